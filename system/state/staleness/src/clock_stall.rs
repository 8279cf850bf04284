//! Detection of a monotonic clock that has stopped for a while.

use millrudder_clock::Instant;
use std::time::Duration;

/// If the time of day gains at least this much on the monotonic clock between two readings, the monotonic clock has
/// stalled. Smaller gains come from corrections of the time of day.
const STALL_THRESHOLD: Duration = Duration::from_millis(1000);

/// Detects that a machine was suspended and its monotonic clock stopped during that time.
///
/// The time of day is kept by hardware and continues to run, so it gains on the monotonic clock. Setting the time of
/// day forward looks the same; the only cost of such a false detection is that the state must be confirmed again.
#[derive(Clone, Copy, Debug)]
pub struct ClockStallDetector {
    /// How far the time of day was ahead of the monotonic clock at the last reading.
    lead: Duration,
}

impl ClockStallDetector {
    /// Creates a detector from current readings: `steady` of the monotonic clock, and `time_of_day` since the Unix
    /// epoch.
    pub fn new(steady: Instant, time_of_day: Duration) -> Self {
        ClockStallDetector { lead: lead(steady, time_of_day) }
    }

    /// Compares the clocks; returns whether the monotonic clock has stalled since the last call.
    pub fn detect_stall(&mut self, steady: Instant, time_of_day: Duration) -> bool {
        let before = std::mem::replace(&mut self.lead, lead(steady, time_of_day));
        self.lead >= before + STALL_THRESHOLD
    }
}

fn lead(steady: Instant, time_of_day: Duration) -> Duration {
    time_of_day.saturating_sub(steady.as_duration())
}
