//! Deterministic simulation of the whole control side.
//!
//! The true state machines of core machines, stores and placement run together with a model of dispatchers and of
//! operators in one thread on a virtual clock. Networks are cut, connections reset, processes killed or frozen, disks
//! lose what was not synced or are lost whole, each drawn from a seed or placed after one single delivery or sync.
//!
//! - [`world::World`] plays a [`plan::Plan`] and stops at the first [`violation::Violation`].
//! - [`explore`] places faults after every step of a run; [`shrink`] drops the faults that a failure does not need.
//! - [`linearizability`] checks what operators were answered against a versioned register with repeats.
//! - [`mechanism::Mechanism`] names what a test can switch off in the simulated shells, to see its scenario fail.

#![forbid(unsafe_code)]

pub mod checks;
pub mod clock;
pub mod control_machine;
pub mod core_machine;
pub mod dispatcher;
pub mod event;
pub mod explore;
pub mod fault;
pub mod history;
pub mod ledger;
pub mod linearizability;
pub mod mechanism;
pub mod network;
pub mod operator;
pub mod orders;
pub mod place;
pub mod plan;
pub mod reachability;
pub mod shrink;
pub mod store_disk;
pub mod store_machine;
mod strikes;
pub mod violation;
pub mod world;

/// Microseconds of a millisecond.
pub const MILLISECOND: u64 = 1_000;
/// Microseconds of a second.
pub const SECOND: u64 = 1_000_000;
