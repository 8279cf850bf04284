//! How many attempts of a service this dispatcher has out at one time: as many as its workers take without turning
//! some away. All dispatchers find their shares so, as connections on one link do (additive increase, multiplicative
//! decrease).

/// Bounds, and what is assumed at first.
const MIN_SIZE: f64 = 1.0;
const MAX_SIZE: f64 = 1024.0;
const INITIAL_SIZE: f64 = 64.0;
/// Share that stays when a worker is full.
const DECREASE_FACTOR: f64 = 0.9;
/// Full workers within so long (ms) after a cut are the same shortage.
const MIN_DECREASE_INTERVAL_MS: u64 = 100;
/// Growth with as many successes as the window holds, soon after a shortage; by one with each success once none was
/// met for so long (ms).
const GROWTH_PER_ROUND: f64 = 2.0;
const FAST_GROWTH_AFTER_MS: u64 = 1000;

/// The window of one service.
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
    /// A success came with `out` attempts out, itself included.
    pub fn on_success(&mut self, now: u64, in_flight: usize) {
        if (in_flight as f64) < self.size / 2.0 {
            return;
        }
        let fast = self.decreased_at_ms.is_none_or(|at| now >= at + FAST_GROWTH_AFTER_MS);
        let growth = if fast { 1.0 } else { (GROWTH_PER_ROUND / self.size).min(1.0) };
        self.size = (self.size + growth).min(MAX_SIZE);
    }

    /// A worker was full with `out` attempts out, itself included.
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
