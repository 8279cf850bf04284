//! Messages to the dispatch coroutine.

use crate::attempt::{AttemptEnd, AttemptId, LoadReport, WorkerCallBack};
use crate::job::{Job, Reply, Ticket};
use crate::operator_order::PendingOrder;
use crate::peer_process::PeerRequest;
use crate::worker_list::{WorkerId, WorkerListUpdate};
use std::sync::Arc;

/// A message to the dispatch coroutine.
pub enum Message {
    /// A front submits a job.
    Submitted {
        /// Identifies the job from here on.
        ticket: Ticket,
        /// The job.
        job: Arc<Job>,
        /// Receives the answer.
        reply: Reply,
    },
    /// The client has disconnected or cancelled: the job needs no answer.
    Withdrawn {
        /// The job.
        ticket: Ticket,
    },
    /// A worker's call-back about a job.
    CallBack(WorkerCallBack),
    /// A worker has accepted an attempt; the result follows by call-back.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The outcome.
        end: AttemptEnd,
        /// The worker's load report.
        load: Option<LoadReport>,
    },
    /// The cancel of an attempt has finished: the worker has confirmed it, the attempt needed none, or the worker
    /// transport does not wait for the confirmation.
    CancelFinished {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A probe of a worker has finished.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How the probe failed; `None` if it passed.
        end: Option<AttemptEnd>,
        /// Time from the start of the probe to its end (ms).
        latency: f64,
        /// The worker's load report.
        load: Option<LoadReport>,
    },
    /// A full worker list from discovery, or a change to the current one.
    WorkerList(WorkerListUpdate),
    /// A call to discovery failed.
    WorkerListUnavailable,
    /// Reloaded settings are ready for the core to take over.
    SettingsChanged,
    /// The new address of discovery.
    Discovery(std::net::SocketAddr),
    /// Stop the program once every accepted job has its answer.
    Stop,
    /// An operator's order; delivered before all ordinary messages in the queue.
    Ordered(PendingOrder),
    /// A request from the other process during an upgrade.
    PeerRequest(PeerRequest),
    /// Wakes the receiver for a message in the urgent queue; [`Inbox`](crate::Inbox) never returns it.
    WakeUp,
}
