//! The control side under faults: five scenarios with faults at every step, and random runs.
//!
//! `SIMULATION_SEEDS=from..to` runs other seeds of the random runs, `SIMULATION_STRIDE=n` explores every n-th step only,
//! `SIMULATION_THREADS=n` sets the number of threads of random runs.

mod consecutive_disk_losses;
mod duplicate_requests;
mod forgetful;
mod partitioned_core;
mod racing_updates;
mod random_runs;
mod restart_after_many_changes;
mod support;
