//! The whole control side under faults: the five points, at every step, and drawn runs.
//!
//! `SIMULATION_SEEDS=from..to` plays other seeds of the drawn runs, `SIMULATION_STRIDE=n` explores every n-th step only.

mod consecutive_disk_losses;
mod duplicate_requests;
mod forgetful;
mod partitioned_core;
mod racing_updates;
mod random_runs;
mod restart_after_many_changes;
mod support;
