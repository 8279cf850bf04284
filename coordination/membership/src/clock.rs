//! Active time: spans in which this process was paused do not count.

use std::time::Duration;

use millrudder_clock::Instant;

/// Turns the steady clock into active time, in which all timers of the membership run.
#[derive(Clone, Debug)]
pub(crate) struct ActiveClock {
    now: Instant,
    paused_time: Duration,
}

impl ActiveClock {
    pub const fn new(now: Instant) -> Self {
        Self { now, paused_time: Duration::ZERO }
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

    /// The steady clock's reading at an active time.
    pub fn to_steady(&self, active: Instant) -> Instant {
        active + self.paused_time
    }
}
