//! Whether clients are to go elsewhere (the operators' `DRAIN`). Apart from a planned stop: a drained dispatcher goes
//! on, serves what still comes, and takes clients again.

use std::sync::{Arc, Mutex, PoisonError};

/// After a no at `/ready` new connections may come for 0.2 s; idle ones end from then on (ms).
const NOTICE_MS: f64 = 300.0;

/// Shared by all that act on it.
#[derive(Clone, Default)]
pub struct Drain(Arc<Mutex<Option<f64>>>);

impl Drain {
    /// Again while it is on: the first call's time holds.
    pub fn begin(&self, now: f64) {
        self.at().get_or_insert(now);
    }

    /// Clients are taken again.
    pub fn end(&self) {
        *self.at() = None;
    }

    /// Since when (ms on the dispatcher's clock).
    pub fn since(&self) -> Option<f64> {
        *self.at()
    }

    /// Whether clients are to go elsewhere.
    pub fn is_on(&self) -> bool {
        self.since().is_some()
    }

    /// Clients know by now: their idle connections may end.
    pub fn clients_notified(&self, now: f64) -> bool {
        self.since().is_some_and(|since| now >= since + NOTICE_MS)
    }

    fn at(&self) -> std::sync::MutexGuard<'_, Option<f64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
