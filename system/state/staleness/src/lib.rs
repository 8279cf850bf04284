//! Contact with a majority of the core, from both ends of a control connection, without I/O.
//!
//! A core machine keeps a [`ReadBarrier`]: it confirms again and again, by linearizable reads, that its state is current, and
//! tells registrants nothing that is not confirmed. A process that follows the control state keeps a [`ConnectionPlanner`],
//! which leaves core machines that cannot confirm theirs, and a [`StalenessTracker`] that knows how old its own copy is. A
//! [`ClockStallDetector`] tells when the clocks on which all this rests have stood still.
//!
//! All times are milliseconds of the owner's steady clock.

#![forbid(unsafe_code)]

mod freshness;
mod gate;
mod lists;
mod plan;
mod standstill;
mod state;

pub use freshness::{StalenessChange, StalenessTracker, STALE_AFTER_MS};
pub use gate::{
    Input, Kind, Output, ReadBarrier, ReadNumber, StatePart, CONFIRM_INTERVAL_MS, MAX_CONFIRMATION_AGE_MS,
};
pub use lists::CurrentWorkerList;
pub use plan::{
    ConnectionPlanner, ConnectionStep, CONFIRM_TIMEOUT_MS, CONNECT_TIMEOUT_MS, INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
};
pub use standstill::ClockStallDetector;
pub use state::{ConnectionId, StateVersions, WorkerListVersion};
