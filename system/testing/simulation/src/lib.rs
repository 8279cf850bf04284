//! Deterministic simulation of the entire control side, for tests.
//!
//! The production state machines of core machines, stores and placement run together with models of dispatchers and
//! operators in one thread on a virtual clock. Networks are partitioned, connections reset, processes killed or frozen,
//! disks lose unsynced writes or all data; faults are drawn from a seed or injected after one single delivery or sync.
//!
//! - [`world::World`] runs a [`plan::Plan`] and stops at the first [`violation::Violation`].
//! - [`explore`] injects faults after every step of a run; [`shrink`] drops the faults that a failure does not need.
//! - [`linearizability`] checks the responses to operators against a versioned register.
//! - [`mechanism::Mechanism`] lists what a test can disable in the simulated shells, to verify that its scenario fails
//!   without it.
//!
//! Guaranteed: a run depends on its plan and seed alone, so that each failure can be reproduced. Times of the world are
//! true time; each machine has a [`clock::Clock`] of its own that deviates from it.

use std::time::Duration;

pub mod checks;
pub mod clock;
pub mod control_machine;
pub mod core_machine;
pub mod dispatcher;
pub mod event;
pub mod explore;
pub mod fault;
mod fault_injection;
pub mod history;
pub mod linearizability;
pub mod machine_id;
pub mod mechanism;
pub mod message_log;
pub mod network;
pub mod operator;
pub mod pending_requests;
pub mod plan;
mod random_time;
pub mod recovery;
pub mod shrink;
pub mod store_disk;
pub mod store_machine;
pub mod violation;
pub mod world;

/// One millisecond.
pub const MILLISECOND: Duration = Duration::from_millis(1);
/// One second.
pub const SECOND: Duration = Duration::from_secs(1);
