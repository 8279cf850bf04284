//! Messages to the dispatch coroutine.

use crate::attempt::{AttemptEnd, AttemptId, LoadReport, WorkerCallBack};
use crate::job::{Job, Reply, Ticket};
use crate::operator_order::PendingOrder;
use crate::peer_process::PeerRequest;
use crate::worker_list::{WorkerId, WorkerListUpdate};
use std::sync::Arc;

/// All that reaches the dispatch coroutine.
pub enum Message {
    /// A front submits a job.
    Submitted {
        /// The job.
        ticket: Ticket,
        /// The job itself.
        job: Arc<Job>,
        /// Where its answer goes.
        reply: Reply,
    },
    /// The client has gone: nothing is owed for this job.
    Withdrawn {
        /// The job.
        ticket: Ticket,
    },
    /// A call-back of a worker.
    CallBack(WorkerCallBack),
    /// A worker has accepted an attempt.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// The worker's load report.
        load: Option<LoadReport>,
    },
    /// A worker has confirmed that an attempt is cancelled.
    CancelFinished {
        /// The attempt.
        attempt: AttemptId,
    },
    /// `end`: none if the probe passed.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it failed.
        end: Option<AttemptEnd>,
        /// How long it took (ms).
        latency: f64,
        /// The worker's load report.
        load: Option<LoadReport>,
    },
    /// A list of workers, or a change of it.
    WorkerList(WorkerListUpdate),
    /// A call at discovery failed.
    WorkerListUnavailable,
    /// New settings wait for the core.
    SettingsChanged,
    /// From now on discovery is here.
    Discovery(std::net::SocketAddr),
    /// The program ends once nothing is owed.
    Stop,
    /// An operator's order: it comes before all else that waits.
    Ordered(PendingOrder),
    /// The other process of an upgrade asks.
    PeerRequest(PeerRequest),
    /// Something more urgent has come; `Inbox` never gives this out.
    WakeUp,
}
