//! Types shared by the dispatcher's fronts (the HTTP, gRPC and operators' listeners) and its core (the dispatch
//! coroutine, which assigns jobs to workers).
//!
//! - [`Exchange`]: the message queue of the dispatch coroutine; fronts submit [`Job`]s and get [`Answer`]s.
//! - [`intake`]: validation rules that every front applies to jobs; [`AdmissionGate`]: the admission control that
//!   all fronts share.
//! - [`PeerProcess`]: the other process during an upgrade; [`Order`]: operators' orders to the core.
//! - [`clock`], [`counters`], [`Drain`], [`shutdown`].

mod admission_gate;
mod attempt;
mod drain;
mod exchange;
mod front;
mod job;
mod message;
mod operator_order;
mod peer_process;
mod progress;
mod worker_list;

pub mod clock;
pub mod counters;
pub mod intake;
pub mod rate;
pub mod shutdown;

pub use admission_gate::{AdmissionGate, Permit};
pub use attempt::{AttemptEnd, AttemptId, JobState, LoadReport, WorkerCallBack};
pub use drain::Drain;
pub use exchange::{Exchange, Inbox};
pub use front::{FrontContext, RetryAdvice};
pub use job::{Answer, Failure, ForwardedRequest, Front, Job, Reply, Ticket};
pub use message::Message;
pub use operator_order::{Order, OrderHandle, OrderResult, PendingOrder};
pub use peer_process::{PeerProcess, PeerRequest, PeerRole, Transfer};
pub use progress::Progress;
pub use worker_list::{WorkerEntry, WorkerId, WorkerListUpdate, WorkerState};
