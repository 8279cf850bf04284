//! The steady clock of a machine, with an origin and a rate of its own, and stalls.

use millrudder_clock::Instant;
use std::time::Duration;

/// Microseconds of a second, and parts per million.
const MILLION: u64 = 1_000_000;

/// Maps true time to the machine's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Reading of the clock at true time 0.
    pub offset: Duration,
    /// By how much it runs faster than true time, in parts per million.
    pub rate_ppm: u64,
    /// Total duration of its stalls.
    pub stalled: Duration,
}

impl Clock {
    /// Reading of the clock at a true time.
    pub fn local(&self, now: Instant) -> Instant {
        let whole_seconds = now.as_micros() / MILLION;
        let drift = Duration::from_micros(whole_seconds * self.rate_ppm);
        let unstalled = now + self.offset + drift;
        unstalled.checked_sub(self.stalled).unwrap_or(Instant::ORIGIN)
    }

    /// A true time, not before `now`, at which the clock reads `local` or a little more.
    pub fn true_time(&self, now: Instant, local: Instant) -> Instant {
        now + (local - self.local(now))
    }
}

/// The reading in whole milliseconds, which the production shells pass to the state machines of stores, the placement
/// manager and the read barrier.
pub(crate) fn whole_millis(now: Instant) -> Instant {
    Instant::from_millis(now.as_millis())
}
