//! A dispatcher's intake, without I/O: asks stores to accept clients' messages, and queries their state.
//!
//! [`Intake`] gives one final answer to each submission and each query:
//!
//! - A submission is accepted once a store has confirmed that the message is durable. It is rejected only if no store can
//!   have the message. If one may have it, the answer is in doubt, and the stores that may have it are asked to withdraw
//!   it: a client without a 202 may send its message again, and the first one must not run.
//! - A query is answered by the shard's primary, or by other replicas if that is slow or unreachable.
//!
//! The embedder passes inputs with readings of one steady clock that never go back, in whole milliseconds, sends every
//! message in [`Output::ToStore`] in order, and passes [`Input::Tick`] at [`Intake::next_deadline`].

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
