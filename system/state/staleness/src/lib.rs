//! Bounded staleness of the control state, at both ends of a control connection, without I/O.
//!
//! A core machine may be cut off from the rest of the core without noticing at once. What it still holds must not reach
//! a process as current. Two sides keep to that:
//!
//! - A core machine keeps a [`ReadBarrier`]: linearizable reads confirm again and again that its state is current, and
//!   it sends registrants nothing unless a recent read confirmed it.
//! - A process that follows the control state (a registrant: dispatcher or store) keeps a [`ConnectionPlanner`], which
//!   replaces connections to core machines that cannot confirm their state, and a [`StalenessTracker`], which knows how
//!   old the last confirmation of its own copy is.
//!
//! Both rest on steady clocks. A [`ClockStallDetector`] notices that a machine's steady clock has stood still, so that
//! time-outs measured by it cannot be trusted.
//!
//! An embedder passes readings of one steady clock that never go back, handles every output in order, and calls the
//! state machines at the deadlines that they give. Readings of different processes are never compared: a confirmation
//! carries the time at which the registrant asked, on the registrant's own clock.

#![forbid(unsafe_code)]

mod clock_stall;
mod connection_planner;
mod read_barrier;
mod tracker;
mod versions;
mod worker_list;

pub use clock_stall::ClockStallDetector;
pub use connection_planner::{
    ConnectionPlanner, ConnectionStep, CONFIRM_TIMEOUT, CONNECT_TIMEOUT, INITIAL_BACKOFF, MAX_BACKOFF,
};
pub use read_barrier::{
    Input, Output, ReadBarrier, ReadNumber, RegistrantKind, RegistrantTime, StatePart, CONFIRM_INTERVAL,
    MAX_CONFIRMATION_AGE,
};
pub use tracker::{StalenessChange, StalenessTracker, STALE_AFTER};
pub use versions::{ConnectionId, StateVersions, WorkerListVersion};
pub use worker_list::CurrentWorkerList;
