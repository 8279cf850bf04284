//! Contact with a majority of the core, from both ends of a control connection, without I/O.
//!
//! A core machine keeps a [`Gate`]: it confirms again and again, by linearizable reads, that its state is current, and
//! tells registrants nothing that is not confirmed. A process that follows the control state keeps a [`LinkPlan`],
//! which leaves core machines that cannot confirm theirs, and a [`Freshness`] that knows how old its own copy is. A
//! [`StandstillWatch`] tells when the clocks on which all this rests have stood still.
//!
//! All times are milliseconds of the owner's steady clock.

#![forbid(unsafe_code)]

mod freshness;
mod gate;
mod lists;
mod plan;
mod standstill;
mod state;

pub use freshness::{Freshness, FreshnessChange, OLD_AFTER_MS};
pub use gate::{Gate, Input, Kind, Output, Part, RoundNumber, CONFIRM_EVERY_MS, MOST_AGE_MS};
pub use lists::CurrentList;
pub use plan::{LinkPlan, LinkStep, FIRST_REST_MS, LONGEST_REST_MS, OPEN_WITHIN_MS, VOUCH_WITHIN_MS};
pub use standstill::StandstillWatch;
pub use state::{ConnectionId, ListNumber, StateNumbers};
