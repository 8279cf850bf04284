//! A planned stop: how long the dispatcher accepts jobs and runs after it was told to stop.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Jobs are accepted for at least this long after the stop began (ms): new connections may arrive until 0.4 s
/// after SIGTERM, and requests are expected to be served until 0.7 s after it.
const MIN_GRACE_MS: f64 = 800.0;
/// Most that counts of the longest deadline (ms). SIGKILL follows SIGTERM no sooner than the longest deadline,
/// counted as 3 s at most, plus 0.7 s.
const MAX_DEADLINE_MS: f64 = 3_000.0;
/// All jobs are answered by the longest deadline plus this (ms), so before SIGKILL.
const ANSWER_MARGIN_MS: f64 = 450.0;
/// The last job is accepted this long before all jobs must be answered (ms): a few times the mean running time.
const LAST_JOB_MARGIN_MS: f64 = 400.0;

/// State of a planned stop; clones share it.
///
/// Clients with an open connection may have no other dispatcher to use, so they are served on it for as long as
/// time allows. After that connections are closed between requests and new jobs are deferred.
#[derive(Clone)]
pub struct Stopping {
    since: Arc<Mutex<Option<f64>>>,
    no_clients: Arc<AtomicBool>,
    /// A successor process accepts connections in place of this one.
    succeeded: Arc<AtomicBool>,
    /// Number of client connections on fronts other than the one that calls `note_no_clients`.
    other_clients: Arc<AtomicUsize>,
    /// The longest deadline, at most `MAX_DEADLINE_MS` (ms).
    longest_deadline: Arc<Mutex<f64>>,
}

impl Stopping {
    /// No stop has begun. `longest_deadline` is the longest of all job classes in the settings (ms).
    pub fn new(longest_deadline: f64) -> Self {
        Stopping {
            since: Arc::default(),
            no_clients: Arc::default(),
            succeeded: Arc::default(),
            other_clients: Arc::default(),
            longest_deadline: Arc::new(Mutex::new(longest_deadline.min(MAX_DEADLINE_MS))),
        }
    }

    /// Takes over the longest deadline of reloaded settings, because the platform's wait before SIGKILL follows
    /// the current settings. Does not change a stop that has begun.
    pub fn set_longest_deadline(&self, longest_deadline: f64) {
        if !self.has_begun() {
            let mut current = self.longest_deadline.lock().unwrap_or_else(PoisonError::into_inner);
            *current = longest_deadline.min(MAX_DEADLINE_MS);
        }
    }

    fn longest_deadline(&self) -> f64 {
        *self.longest_deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the stop at `now` (ms). Returns true at the first call only; later calls change nothing.
    pub fn begin(&self, now: f64) -> bool {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_none() && since.replace(now).is_none()
    }

    /// Start of the stop (ms), if it has begun.
    pub fn since(&self) -> Option<f64> {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the dispatcher has been told to stop.
    pub fn has_begun(&self) -> bool {
        self.since().is_some()
    }

    /// Sets whether a successor process accepts the new connections. If it does, this process stops as soon as
    /// all jobs are answered and its client connections have been transferred.
    pub fn set_succeeded(&self, succeeded: bool) {
        self.succeeded.store(succeeded, Ordering::Release);
    }

    /// Reports that the calling front has no connection left on which a job could come. It ends the grace period,
    /// but is ignored while another front has clients and while new connections can still arrive: for the least
    /// grace period after the stop began, unless a successor process accepts them.
    pub fn note_no_clients(&self, now: f64) {
        let other_clients = self.other_clients.load(Ordering::Acquire);
        let grace = if self.succeeded.load(Ordering::Acquire) { 0.0 } else { MIN_GRACE_MS };
        if other_clients == 0 && self.since().is_some_and(|since| now >= since + grace) {
            self.no_clients.store(true, Ordering::Release);
        }
    }

    /// Notes that a client has connected on another front than the one that calls [`Stopping::note_no_clients`].
    pub fn client_connected(&self) {
        self.other_clients.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that a client connection counted by [`Stopping::client_connected`] has closed.
    pub fn client_disconnected(&self) {
        self.other_clients.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether the grace period is over, in which jobs are still accepted during a stop.
    pub fn grace_is_over(&self, now: f64) -> bool {
        let end = self.longest_deadline() + ANSWER_MARGIN_MS;
        // Every accepted job must be answered by `last_moment`, so `end` wins where deadlines are so short that
        // the least grace period would pass it.
        let grace = (end - LAST_JOB_MARGIN_MS).max(MIN_GRACE_MS).min(end);
        let over = self.since().is_some_and(|since| now >= since + grace);
        over || self.no_clients.load(Ordering::Acquire)
    }

    /// Time by which all jobs must be answered (ms); infinite if no stop has begun.
    pub fn last_moment(&self) -> f64 {
        self.since().map_or(f64::INFINITY, |since| since + self.longest_deadline() + ANSWER_MARGIN_MS)
    }
}

#[cfg(test)]
mod tests;
