//! Steady clock of one machine: its own origin, a rate of its own, and times for which it stood still.

/// Parts of a million in the whole.
const MILLION: u64 = 1_000_000;

/// Maps true time to the machine's steady clock, both in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// What the clock showed at true time 0.
    pub offset: u64,
    /// How much faster than true time it runs, in parts per million.
    pub rate_ppm: u64,
    /// For how long it has stood still in all (microseconds).
    pub stalled: u64,
}

impl Clock {
    /// What the clock shows at a true time.
    pub fn local(&self, now: u64) -> u64 {
        (self.offset + now + now / MILLION * self.rate_ppm).saturating_sub(self.stalled)
    }

    /// A true time, `now` or later, at which the clock shows `local` or a little more.
    pub fn true_time(&self, now: u64, local: u64) -> u64 {
        now + local.saturating_sub(self.local(now))
    }
}
