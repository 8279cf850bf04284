//! The rate limit of one service, shared by all dispatchers: a token bucket that starts empty.

use crate::time::millis;
use crate::time::Instant;
use std::time::Duration;

/// Length in seconds of the sliding window over which the rate is enforced.
const WINDOW_S: f64 = 5.0;
/// Capacity of the bucket, as a fraction of the permits of one window. With it, the grants in any window exceed
/// the rate by at most this fraction. The rest of the permitted excess is left for deliveries that are
/// reordered on the network.
const BURST_FRACTION: f64 = 0.02;
/// Minimum capacity of the bucket in permits, so that a permit can be taken at any rate.
const MIN_BURST: f64 = 1.0;
/// Minimum number of grants that may wait for their records to become durable.
const MIN_UNNOTIFIED: f64 = 2.0;
/// Fraction of a permit that may be missing because of rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;
const MS_PER_S: f64 = 1_000.0;
/// Time in seconds in which the record of a grant is normally durable, even if one of the disks is slow.
const SLOW_SYNC_S: f64 = 0.15;

/// The token bucket of one service.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    permits: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates an empty bucket, because another primary may already have spent the permits of the current
    /// window.
    pub fn new(per_second: f64, now: Instant) -> Self {
        RateLimit { per_second, permits: 0.0, refilled_at: now }
    }

    fn burst(&self) -> f64 {
        (self.per_second * WINDOW_S * BURST_FRACTION).max(MIN_BURST)
    }

    fn refill(&mut self, now: Instant) {
        // A day's worth of milliseconds is represented exactly in an `f64`.
        let passed_ms = millis(now.saturating_duration_since(self.refilled_at)) as f64;
        self.permits = (self.permits + passed_ms * self.per_second / MS_PER_S).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes the rate. Saved permits are kept, up to the new capacity.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
        self.permits = self.permits.min(self.burst());
    }

    pub fn drain(&mut self, now: Instant) {
        self.permits = 0.0;
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Maximum number of grants that may wait for their records to become durable at the same time. Grants that
    /// wait together are delivered together as a burst, which a new primary would not count.
    pub fn max_unnotified(&self) -> usize {
        (self.per_second * SLOW_SYNC_S).max(MIN_UNNOTIFIED) as usize
    }

    /// Takes a permit if one is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        // Tolerates rounding errors: otherwise the timer set for this permit would find none.
        let is_available = self.permits >= 1.0 - ROUNDING_TOLERANCE;
        if is_available {
            self.permits -= 1.0;
        }
        is_available
    }

    /// Takes a permit even if none is available; the balance then goes negative and later grants wait for it.
    pub fn borrow(&mut self, now: Instant) {
        self.refill(now);
        self.permits -= 1.0;
    }

    /// Time at which the next permit is available.
    pub fn next_permit_at(&self) -> Instant {
        let missing = (1.0 - self.permits).max(0.0);
        let wait_ms = (missing * MS_PER_S / self.per_second.max(f64::MIN_POSITIVE)).ceil();
        self.refilled_at + Duration::from_millis((wait_ms as u64).max(1))
    }
}
