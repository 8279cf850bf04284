//! Jobs as fronts submit them, and the answers that fronts get back. Owned values only, and none of HTTP's types, so that
//! any protocol can submit jobs.

use crate::progress::{Followed, Progress};
use std::sync::{Arc, Mutex, PoisonError};

/// A submitted job, numbered over the whole life of the dispatcher.
pub type Ticket = u64;
/// A way by which jobs come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    Http,
    Grpc,
}

/// What passes on to a next hop as the client gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Verbatim {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub idempotency_key: Option<String>,
    pub content_type: Option<String>,
}

/// One job as a front took it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub front: Front,
    pub trace_id: String,
    pub class: String,
    pub slots: f64,
    pub memory: f64,
    /// Clock time at which its client gives up.
    pub deadline: f64,
    pub verbatim: Verbatim,
}

/// The one final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        result: Vec<u8>,
    },
    /// Refused: trying again is harmless, best after this many milliseconds.
    Defer {
        retry_after: Option<f64>,
    },
    Failed(Failure),
}

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
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress: None, wake: Box::new(wake) }))
    }

    /// `wake` is also called when the job has come further.
    pub fn followed(wake: impl Fn() + Send + Sync + 'static) -> Self {
        let progress = Some(Followed::default());
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress, wake: Box::new(wake) }))
    }

    /// Notes how far the job has come, for whoever follows it.
    pub fn note(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(followed) = &self.0.progress {
            followed.change(change);
            (self.0.wake)();
        }
    }

    pub fn progress(&self) -> Progress {
        self.0.progress.as_ref().map(Followed::now).unwrap_or_default()
    }

    pub fn give(&self, answer: Answer) {
        let mut slot = self.0.answer.lock().unwrap_or_else(PoisonError::into_inner);
        if slot.is_none() {
            *slot = Some(answer);
            drop(slot);
            (self.0.wake)();
        }
    }

    pub fn take(&self) -> Option<Answer> {
        self.0.answer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
