//! Detection of a steady clock that stood still.

use millrudder_clock::Instant;
use std::time::Duration;

/// A gain of the time of day on the steady clock, between two readings, that counts as a stall. Smaller ones come from
/// corrections of the time of day.
const STALL_THRESHOLD: Duration = Duration::from_millis(1000);

/// Detects that a machine was suspended and its steady clock stood still meanwhile.
///
/// The time of day goes on, since the hardware keeps it, and so gains on the steady clock. A time of day that is set
/// forward looks the same; its cost is that state is confirmed anew.
#[derive(Clone, Copy, Debug)]
pub struct ClockStallDetector {
    /// How far the time of day was ahead of the steady clock at the last reading.
    lead: Duration,
}

impl ClockStallDetector {
    /// Starts from the present readings: `steady` of the steady clock, `time_of_day` since the Unix epoch.
    pub fn new(steady: Instant, time_of_day: Duration) -> Self {
        ClockStallDetector { lead: lead(steady, time_of_day) }
    }

    /// Compares the clocks, and tells whether the steady clock stood still since the last call.
    pub fn detect_stall(&mut self, steady: Instant, time_of_day: Duration) -> bool {
        let before = std::mem::replace(&mut self.lead, lead(steady, time_of_day));
        self.lead >= before + STALL_THRESHOLD
    }
}

fn lead(steady: Instant, time_of_day: Duration) -> Duration {
    time_of_day.saturating_sub(steady.as_duration())
}
