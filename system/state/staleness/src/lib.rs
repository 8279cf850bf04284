//! Bounded staleness of the control state: state machines, without I/O, for both ends of a control connection.
//!
//! A core machine may be partitioned from the rest of the core without noticing immediately. It must not pass off the
//! state that it still holds as current. Both ends of a connection ensure this:
//!
//! - A core machine has a [`ReadBarrier`]. It confirms at an interval, by linearizable reads, that the machine's state
//!   is current, and sends state to registrants only if a recent read has confirmed it.
//! - A registrant is a process that receives the control state: a dispatcher or a store. It has a
//!   [`ConnectionPlanner`], which replaces connections to core machines that cannot confirm their state, and a
//!   [`StalenessTracker`], which tracks the age of the last confirmation of the process's copy.
//!
//! Both ends rely on monotonic clocks. A [`ClockStallDetector`] detects that a machine's monotonic clock has stopped
//! for a while, so that timeouts measured with it cannot be trusted.
//!
//! The caller passes readings of a single monotonic clock, handles every output in order, and calls the state machines
//! at the deadlines that they return. Clock readings of different processes are never compared: a confirmation carries
//! the time at which the registrant sent its check, measured by the registrant's own clock.

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
