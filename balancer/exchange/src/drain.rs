//! Drain state (the operators' `DRAIN` and `UNDRAIN`): whether clients are asked to use another dispatcher.
//! Unlike a planned stop, a drained dispatcher keeps running, serves the requests that still arrive, and can be
//! undrained.

use std::sync::{Arc, Mutex, PoisonError};

/// Idle connections are closed this long after the drain began (ms): new connections may still arrive for 0.2 s
/// after `/ready` has turned negative.
const NOTICE_MS: f64 = 300.0;

/// The drain state; clones share it.
#[derive(Clone, Default)]
pub struct Drain(Arc<Mutex<Option<f64>>>);

impl Drain {
    /// Starts the drain at `now` (ms). While it is on, further calls do not move its start.
    pub fn begin(&self, now: f64) {
        self.at().get_or_insert(now);
    }

    /// Ends the drain: the dispatcher is ready for clients again.
    pub fn end(&self) {
        *self.at() = None;
    }

    /// Start of the drain (ms on the dispatcher's clock), while it is on.
    pub fn since(&self) -> Option<f64> {
        *self.at()
    }

    /// Whether the drain is on.
    pub fn is_on(&self) -> bool {
        self.since().is_some()
    }

    /// Whether clients have had time to learn of the drain, so that idle connections may be closed.
    pub fn clients_notified(&self, now: f64) -> bool {
        self.since().is_some_and(|since| now >= since + NOTICE_MS)
    }

    fn at(&self) -> std::sync::MutexGuard<'_, Option<f64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
