//! Congestion window of a service: how many attempts this dispatcher may have in flight at its workers without being
//! turned away. Dispatchers that share workers converge to their shares as TCP connections on one link do, by additive
//! increase and multiplicative decrease.

/// Bounds and initial value of the window, in attempts.
const MIN_SIZE: f64 = 1.0;
const MAX_SIZE: f64 = 1024.0;
const INITIAL_SIZE: f64 = 64.0;
/// The window is multiplied by this when a worker answers that it is full.
const DECREASE_FACTOR: f64 = 0.9;
/// Full workers within this time (ms) after a decrease belong to the same shortage and do not decrease the window
/// again.
const MIN_DECREASE_INTERVAL_MS: u64 = 100;
/// Soon after a shortage, the window grows by this many attempts for each full window of successes.
const GROWTH_PER_ROUND: f64 = 2.0;
/// Without a shortage for this time (ms), the window grows by one attempt with each success.
const FAST_GROWTH_AFTER_MS: u64 = 1000;

/// The congestion window of one service. Times are milliseconds on the caller's steady clock.
#[derive(Debug)]
pub(crate) struct Window {
    size: f64,
    decreased_at_ms: Option<u64>,
}

impl Default for Window {
    fn default() -> Self {
        Window { size: INITIAL_SIZE, decreased_at_ms: None }
    }
}

impl Window {
    /// An attempt succeeded while `in_flight` attempts, itself included, were in flight. A window that is less than
    /// half used does not grow.
    pub fn on_success(&mut self, now: u64, in_flight: usize) {
        if (in_flight as f64) < self.size / 2.0 {
            return;
        }
        let fast = self.decreased_at_ms.is_none_or(|at| now >= at + FAST_GROWTH_AFTER_MS);
        let growth = if fast { 1.0 } else { (GROWTH_PER_ROUND / self.size).min(1.0) };
        self.size = (self.size + growth).min(MAX_SIZE);
    }

    /// A worker answered that it is full while `in_flight` attempts, that one included, were in flight.
    pub fn on_full(&mut self, now: u64, in_flight: usize) {
        if self.decreased_at_ms.is_some_and(|at| now < at + MIN_DECREASE_INTERVAL_MS) {
            return;
        }
        self.decreased_at_ms = Some(now);
        self.size = (self.size.min(in_flight as f64) * DECREASE_FACTOR).max(MIN_SIZE);
    }

    pub fn has_room(&self, in_flight: usize) -> bool {
        in_flight < self.size as usize
    }
}
