//! Simulation of one dispatcher for a day, from a seed: arrivals, workers, lists, operators and upgrades.

mod day;
mod digest;
mod site;

pub use day::Day;
pub use digest::Digest;
