//! How often the list is read.

use std::time::Duration;

/// Fraction of the common rate limit that one reader uses: for a while there may be two, when the lease changes hands.
const RATE_FRACTION: f64 = 0.5;

/// Reads in the time within which deliveries to a draining worker must end: one may fail and be retried, and the list must
/// reach every dispatcher.
const READS_PER_DRAIN: u32 = 3;

/// Minimum interval of reads, whatever the settings say.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum rate that is assumed, in calls per second, where the platform's setting is 0 or not a number.
const MIN_RATE: f64 = 0.1;

/// Determines how often the list is read.
#[derive(Clone, Debug, PartialEq)]
pub struct PollSchedule {
    /// Rate limit: calls per second by all processes together.
    pub calls_per_second: f64,
    /// Maximum lag of the list: reading it much more often shows few changes.
    pub maximum_lag: Duration,
    /// Time after the list shows a worker as draining or gone within which deliveries to it must end.
    pub drain: Duration,
    /// Weight between reading as often as the list changes (0) and as seldom as [`PollSchedule::drain`] allows (1).
    pub economy: f64,
}

impl PollSchedule {
    /// Minimum interval between two calls, by the rate limit.
    pub fn call_interval(&self) -> Duration {
        let rate = (self.calls_per_second * RATE_FRACTION).max(MIN_RATE);
        Duration::try_from_secs_f64(rate.recip()).unwrap_or(Duration::ZERO)
    }

    /// Interval between the starts of two reads of a list of `pages` pages.
    pub fn read_interval(&self, pages: u32) -> Duration {
        let slowest = self.drain / READS_PER_DRAIN;
        let fastest = self.maximum_lag.min(slowest);
        let economy = if self.economy.is_nan() { 0.0 } else { self.economy.clamp(0.0, 1.0) };
        let target = fastest + (slowest - fastest).mul_f64(economy);
        let allowed = self.call_interval().saturating_mul(pages);
        target.max(allowed).max(MIN_INTERVAL)
    }
}
