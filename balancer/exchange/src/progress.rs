//! What a client may follow of its job before the answer. Only the newest state is kept, so that a client that does
//! not read cannot make anything grow.

use std::sync::{Mutex, PoisonError};

/// How far a job has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// The core has taken it on.
    pub accepted: bool,
    /// How many attempts have started to run.
    pub starts: u32,
    /// Of the newest attempt, the share that is done (0 to 1).
    pub share: f64,
}

#[derive(Default)]
pub(crate) struct Followed(Mutex<Progress>);

impl Followed {
    pub fn change(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    pub fn now(&self) -> Progress {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
