//! What the fronts and the core of the dispatcher share.
//!
//! - [`Exchange`]: the queue of the dispatch coroutine; fronts submit [`Job`]s and get [`Answer`]s.
//! - [`intake`]: the rules by which every front accepts jobs; [`AdmissionGate`]: the admission that they share.
//! - [`PeerProcess`]: the other process of an upgrade; [`Order`]: what operators order.
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
pub use front::{Core, RetryAdvice};
pub use job::{Answer, Failure, ForwardedRequest, Front, Job, Reply, Ticket};
pub use message::Message;
pub use operator_order::{Order, OrderHandle, OrderResult, PendingOrder};
pub use peer_process::{PeerProcess, PeerRequest, PeerRole, Transfer};
pub use progress::Progress;
pub use worker_list::{WorkerEntry, WorkerId, WorkerListUpdate, WorkerState};
