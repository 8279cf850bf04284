//! Whether the machine has stood still, its steady clock with it.

/// The time of day may run ahead of the steady clock by so much from one look to the next (ms): it is set now and then.
const LEAP_MS: u64 = 1000;

/// Tells when the machine has stood still, its steady clock with it: the time of day has gone on, as the machine's
/// hardware keeps it. A time of day that was set forward looks the same, and costs what is asked for anew.
#[derive(Clone, Copy, Debug)]
pub struct ClockStallDetector {
    /// How far the time of day was ahead of the steady clock (ms).
    ahead: u64,
}

impl ClockStallDetector {
    /// Begins with both clocks as they are.
    pub fn new(steady_ms: u64, time_of_day_ms: u64) -> Self {
        ClockStallDetector { ahead: time_of_day_ms.saturating_sub(steady_ms) }
    }

    /// Whether the machine has stood still since the last look.
    pub fn has_stood_still(&mut self, steady_ms: u64, time_of_day_ms: u64) -> bool {
        let before = std::mem::replace(&mut self.ahead, time_of_day_ms.saturating_sub(steady_ms));
        self.ahead >= before + LEAP_MS
    }
}
