//! The steady clock of a machine, with an origin and a rate of its own, and stalls.

/// Parts per million.
const MILLION: u64 = 1_000_000;

/// Maps true time to the machine's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Reading of the clock at true time 0.
    pub offset: u64,
    /// By how much it runs faster than true time, in parts per million.
    pub rate_ppm: u64,
    /// Total duration of its stalls.
    pub stalled: u64,
}

impl Clock {
    /// Reading of the clock at a true time.
    pub fn local(&self, now: u64) -> u64 {
        (self.offset + now + now / MILLION * self.rate_ppm).saturating_sub(self.stalled)
    }

    /// A true time, not before `now`, at which the clock reads `local` or a little more.
    pub fn true_time(&self, now: u64, local: u64) -> u64 {
        now + local.saturating_sub(self.local(now))
    }
}
