//! Active time: the steady clock without the intervals in which this process was paused.

use std::time::Duration;

use millrudder_clock::Instant;

/// Converts between the steady clock and active time. All timers of the membership use active time.
#[derive(Clone, Debug)]
pub(crate) struct ActiveClock {
    /// Latest reading, in active time.
    now: Instant,
    /// Total time excluded so far.
    paused_time: Duration,
}

impl ActiveClock {
    pub const fn new(now: Instant) -> Self {
        Self { now, paused_time: Duration::ZERO }
    }

    /// Returns the active time of the input that is being handled.
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Advances to the steady time of an input. If the input comes more than `tolerance` after `deadline`, this process is
    /// taken to have been paused: the delay is excluded from active time and returned.
    pub fn advance(
        &mut self,
        steady: Instant,
        deadline: Option<Instant>,
        tolerance: Duration,
    ) -> Option<Duration> {
        let active = (steady - self.paused_time).max(self.now);
        let lateness = deadline.map_or(Duration::ZERO, |deadline| active - deadline);
        if lateness <= tolerance {
            self.now = active;
            return None;
        }
        self.paused_time += lateness;
        self.now = active - lateness;
        Some(lateness)
    }

    /// Converts an active time to a reading of the steady clock.
    pub fn to_steady(&self, active: Instant) -> Instant {
        active + self.paused_time
    }
}
