//! Progress of a job, reported to clients that ask for it. Only the newest state is kept, so that a client that
//! does not read its stream cannot make a queue grow.

use std::sync::{Mutex, PoisonError};

/// Progress of a job before its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// The core has accepted the job.
    pub accepted: bool,
    /// Number of attempts that have started to run.
    pub starts: u32,
    /// Completed fraction of the newest attempt (0 to 1).
    pub share: f64,
}

#[derive(Default)]
pub(crate) struct SharedProgress(Mutex<Progress>);

impl SharedProgress {
    pub fn change(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    pub fn current(&self) -> Progress {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
