//! Jobs as fronts submit them, and the answers that fronts get back. The types hold owned values and nothing
//! specific to HTTP, so that a front of any protocol can submit jobs.

use crate::progress::{Progress, SharedProgress};
use std::sync::{Arc, Mutex, PoisonError};

/// Number of a submitted job, unique within the dispatcher process.
pub type Ticket = u64;
/// A protocol by which clients submit jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// HTTP/1.1.
    Http,
    /// gRPC.
    Grpc,
}

/// The parts of a request that are forwarded to a worker unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
    /// Key by which workers detect duplicates.
    pub idempotency_key: Option<String>,
    /// Media type of the body.
    pub content_type: Option<String>,
}

/// A job as a front accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The front that received it.
    pub front: Front,
    /// The id that the client chose.
    pub trace_id: String,
    /// Name of its job class.
    pub class: String,
    /// Slots that it occupies at a worker.
    pub slots: f64,
    /// Memory that it occupies at a worker, in the unit that the site uses.
    pub memory: f64,
    /// Time at which its client gives up (ms on the dispatcher's clock).
    pub deadline: f64,
    /// The parts that are forwarded unchanged.
    pub forwarded: ForwardedRequest,
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A worker has run the job successfully.
    Served {
        /// The worker's result.
        result: Vec<u8>,
    },
    /// The job was not run and may be submitted again without harm.
    Defer {
        /// How long the client should wait before it retries (ms).
        retry_after: Option<f64>,
    },
    /// The job failed.
    Failed(Failure),
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its attempts failed, and no further attempt is allowed.
    Attempts,
    /// Its deadline has passed.
    Late,
    /// Another job with the same id has not been answered yet.
    Repeated,
    /// A worker reported that it cannot process the job, whoever sends it.
    Refused,
}

/// Carries the answer of one job from dispatch to the front. Only the first answer counts; later ones are dropped.
#[derive(Clone)]
pub struct Reply(Arc<ReplySlot>);

struct ReplySlot {
    answer: Mutex<Option<Answer>>,
    /// `None` if the client has not asked for progress.
    progress: Option<SharedProgress>,
    wake: Box<dyn Fn() + Send + Sync>,
}

impl Reply {
    /// A reply without progress; `wake` is called when the answer has been stored.
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress: None, wake: Box::new(wake) }))
    }

    /// A reply with progress: `wake` is also called at each progress update before the answer.
    pub fn with_progress(wake: impl Fn() + Send + Sync + 'static) -> Self {
        let progress = Some(SharedProgress::default());
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress, wake: Box::new(wake) }))
    }

    /// Changes the stored progress and wakes the front; does nothing for a reply without progress.
    pub fn update_progress(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(shared) = &self.0.progress {
            shared.change(change);
            (self.0.wake)();
        }
    }

    /// The newest progress; the default for a reply without progress.
    pub fn progress(&self) -> Progress {
        self.0.progress.as_ref().map(SharedProgress::current).unwrap_or_default()
    }

    /// Stores the answer and wakes the front; drops the answer if there is one already.
    pub fn give(&self, answer: Answer) {
        let mut slot = self.0.answer.lock().unwrap_or_else(PoisonError::into_inner);
        if slot.is_none() {
            *slot = Some(answer);
            drop(slot);
            (self.0.wake)();
        }
    }

    /// Takes the stored answer, if there is one.
    pub fn take(&self) -> Option<Answer> {
        self.0.answer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
