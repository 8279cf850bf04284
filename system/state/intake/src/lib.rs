//! The intake of a dispatcher: submits clients' messages to stores and queries the state of messages. It does no I/O.
//!
//! [`Intake`] returns exactly one final result for each submission and each query:
//!
//! - A submission is accepted once a store has confirmed that the message is durable. It is rejected only if no store
//!   can have the message. If a store may have it, the result is in doubt, and the stores that may have it are asked to
//!   withdraw it: a client that received no 202 may send its message again, and the first copy must not run.
//! - A query is answered by the primary of the message's shard, or by other replicas if the primary is slow or
//!   unreachable.
//!
//! The caller passes inputs with readings of a single monotonic clock in whole milliseconds, sends every message in
//! [`Output::ToStore`] in order, and passes [`Input::Tick`] at [`Intake::next_deadline`].

#![forbid(unsafe_code)]

mod deadlines;
mod intake;
mod interface;
mod queries;
mod response_time;
mod store_directory;
mod submissions;
mod withdrawals;

pub use intake::Intake;
pub use interface::{CallNumber, Input, Output, QueryResult, Submission, SubmissionResult, TargetShard};
