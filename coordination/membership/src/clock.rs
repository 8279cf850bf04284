//! Active time: spans in which this process was paused do not count.

use std::time::Duration;

use millrudder_clock::Instant;

/// Turns the steady clock into active time, in which all timers of the membership run.
#[derive(Clone, Debug)]
pub(crate) struct ActiveClock {
    now: Instant,
    missed: Duration,
}

impl ActiveClock {
    pub const fn new(now: Instant) -> Self {
        Self { now, missed: Duration::ZERO }
    }

    /// Active time of the input being handled.
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Advances to an input. Where it comes later than `tolerance` after the deadline, the delay is excluded from active
    /// time and returned.
    pub fn advance(
        &mut self,
        steady: Instant,
        deadline: Option<Instant>,
        tolerance: Duration,
    ) -> Option<Duration> {
        let active = (steady - self.missed).max(self.now);
        let late = deadline.map_or(Duration::ZERO, |deadline| active - deadline);
        if late <= tolerance {
            self.now = active;
            return None;
        }
        self.missed += late;
        self.now = active - late;
        Some(late)
    }

    /// The steady clock's reading at an active time.
    pub fn steady(&self, active: Instant) -> Instant {
        active + self.missed
    }
}
