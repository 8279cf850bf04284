//! A service's common rate limit: a token bucket that starts empty.

use crate::time::millis;
use crate::time::Instant;
use std::time::Duration;

/// Length of the window in which the rate is judged, in seconds.
const WINDOW_S: f64 = 5.0;
/// Fraction of a window's permits that may be saved up. Grants in any window stay within this over the rate, and the rest
/// of what is tolerated is left for deliveries that overtake each other on the network.
const BURST_FRACTION: f64 = 0.02;
const MS_PER_S: f64 = 1_000.0;
/// Time in which a grant's record should be on its disks also when one is slow, in seconds.
const UNNOTIFIED_S: f64 = 0.15;

/// Permits of one service.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    permits: f64,
    counted_at: Instant,
}

impl RateLimit {
    /// Without a permit at first: another primary may have spent what would be here.
    pub fn new(per_second: f64, now: Instant) -> Self {
        RateLimit { per_second, permits: 0.0, counted_at: now }
    }

    fn burst(&self) -> f64 {
        (self.per_second * WINDOW_S * BURST_FRACTION).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        // Milliseconds of a day are exact in a float.
        let passed_ms = millis(now.saturating_duration_since(self.counted_at)) as f64;
        self.permits = (self.permits + passed_ms * self.per_second / MS_PER_S).min(self.burst());
        self.counted_at = self.counted_at.max(now);
    }

    /// Another rate from now on; saved permits stay, within the new bound.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
        self.permits = self.permits.min(self.burst());
    }

    pub fn drain(&mut self, now: Instant) {
        self.permits = 0.0;
        self.counted_at = self.counted_at.max(now);
    }

    /// Grants that may wait for their disks at a time: those that wait together are delivered together, and another
    /// primary would not count them.
    pub fn max_unnotified(&self) -> usize {
        (self.per_second * UNNOTIFIED_S).max(2.0) as usize
    }

    /// Takes a permit if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        // A float's rounding must not cost a wake-up a permit.
        let there = self.permits >= 1.0 - 1e-9;
        if there {
            self.permits -= 1.0;
        }
        there
    }

    /// Takes a permit that need not be there yet: it is missing later.
    pub fn borrow(&mut self, now: Instant) {
        self.refill(now);
        self.permits -= 1.0;
    }

    /// When there is a permit again.
    pub fn next(&self) -> Instant {
        let missing = (1.0 - self.permits).max(0.0);
        let wait_ms = (missing * MS_PER_S / self.per_second.max(f64::MIN_POSITIVE)).ceil();
        self.counted_at + Duration::from_millis((wait_ms as u64).max(1))
    }
}
