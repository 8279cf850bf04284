//! The whole control side under faults: the five points, at every step, and drawn runs.
//!
//! `SIMULATION_SEEDS=from..to` plays other seeds of the drawn runs, `SIMULATION_STRIDE=n` explores every n-th step only.

mod forgetful;
mod point_1;
mod point_2;
mod point_3;
mod point_4;
mod point_5;
mod random;
mod support;
