//! Jobs as fronts submit them, and the answers that fronts get back. Owned values only, and none of HTTP's types, so that
//! any protocol can submit jobs.

use crate::progress::{Followed, Progress};
use std::sync::{Arc, Mutex, PoisonError};

/// A submitted job, numbered over the whole life of the dispatcher.
pub type Ticket = u64;
/// A way by which jobs come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// HTTP/1.1.
    Http,
    /// gRPC.
    Grpc,
}

/// What passes on to a next hop as the client gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// Method of the request.
    pub method: String,
    /// Target of the request.
    pub target: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Key by which workers drop repeats.
    pub idempotency_key: Option<String>,
    /// Type of the body.
    pub content_type: Option<String>,
}

/// One job as a front took it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Where it came in.
    pub front: Front,
    /// Its id, as the client gave it.
    pub trace_id: String,
    /// Name of its class.
    pub class: String,
    /// Slots that it takes at its worker.
    pub slots: f64,
    /// Memory that it takes at its worker, in the site's unit.
    pub memory: f64,
    /// Clock time at which its client gives up.
    pub deadline: f64,
    /// What is passed on unchanged.
    pub forwarded: ForwardedRequest,
}

/// The one final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A worker has served it.
    Served {
        /// What the worker answered.
        result: Vec<u8>,
    },
    /// Refused: trying again is harmless, best after this many milliseconds.
    Defer {
        /// When the client should come back (ms).
        retry_after: Option<f64>,
    },
    /// It failed.
    Failed(Failure),
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The attempts failed and none may follow.
    Attempts,
    /// The deadline has come.
    Late,
    /// A job with this id is still here.
    Repeated,
    /// A next hop cannot use it.
    Refused,
}

/// Where one job's answer is put and fetched: settled once, whatever comes later is dropped.
#[derive(Clone)]
pub struct Reply(Arc<ReplySlot>);

struct ReplySlot {
    answer: Mutex<Option<Answer>>,
    /// None where nobody follows the job.
    progress: Option<Followed>,
    wake: Box<dyn Fn() + Send + Sync>,
}

impl Reply {
    /// `wake` is called once the answer is there.
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress: None, wake: Box::new(wake) }))
    }

    /// `wake` is also called when the job has come further.
    pub fn with_progress(wake: impl Fn() + Send + Sync + 'static) -> Self {
        let progress = Some(Followed::default());
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress, wake: Box::new(wake) }))
    }

    /// Notes how far the job has come, for whoever follows it.
    pub fn update_progress(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(followed) = &self.0.progress {
            followed.change(change);
            (self.0.wake)();
        }
    }

    /// How far the job has come; the default where nobody follows it.
    pub fn progress(&self) -> Progress {
        self.0.progress.as_ref().map(Followed::now).unwrap_or_default()
    }

    /// Puts the answer in and wakes the front; a second answer is dropped.
    pub fn give(&self, answer: Answer) {
        let mut slot = self.0.answer.lock().unwrap_or_else(PoisonError::into_inner);
        if slot.is_none() {
            *slot = Some(answer);
            drop(slot);
            (self.0.wake)();
        }
    }

    /// Takes the answer out, if it is there.
    pub fn take(&self) -> Option<Answer> {
        self.0.answer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
