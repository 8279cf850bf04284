//! A planned stop: how long the dispatcher goes on after it was told to.

use std::sync::{Arc, Mutex, PoisonError};

/// New connections may come for 0.4 s after SIGTERM, and requests count until 0.7 s after it.
const GRACE_MS: f64 = 800.0;
/// From then on the front sends nobody new here: a client whose idle connection ends goes elsewhere.
const FRONT_MS: f64 = 450.0;
/// SIGKILL follows no sooner than 0.7 s after the longest deadline, taken as 3 s at the most. All is answered
/// before that.
const LONGEST_MS: f64 = 3_000.0;
const KILL_MARGIN_MS: f64 = 400.0;

/// Since when the dispatcher has been told to stop; shared by all that act on it.
#[derive(Clone)]
pub struct Stopping {
    since: Arc<Mutex<Option<f64>>>,
    longest: f64,
}

impl Stopping {
    pub fn new(longest_deadline: f64) -> Self {
        Stopping { since: Arc::default(), longest: longest_deadline.min(LONGEST_MS) }
    }

    /// True at the first call.
    pub fn begin(&self, now: f64) -> bool {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_none() && since.replace(now).is_none()
    }

    pub fn since(&self) -> Option<f64> {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn has_begun(&self) -> bool {
        self.since().is_some()
    }

    pub fn front_has_left(&self, now: f64) -> bool {
        self.since().is_some_and(|since| now >= since + FRONT_MS)
    }

    /// The time is over in which jobs are still taken on.
    pub fn grace_is_over(&self, now: f64) -> bool {
        self.since().is_some_and(|since| now >= since + GRACE_MS)
    }

    /// By then all must be answered.
    pub fn last_moment(&self) -> f64 {
        self.since().map_or(f64::INFINITY, |since| since + self.longest + KILL_MARGIN_MS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_grace_starts_at_the_first_signal_only() {
        let stopping = Stopping::new(5000.0);
        assert!(!stopping.grace_is_over(1e9));
        assert!(stopping.begin(100.0));
        assert!(!stopping.begin(600.0), "a second signal must not stretch the grace");
        assert!(!stopping.front_has_left(500.0) && stopping.front_has_left(550.0));
        assert!(!stopping.grace_is_over(899.0));
        assert!(stopping.grace_is_over(900.0));
        // SIGKILL may come 3.7 s after SIGTERM.
        assert!(stopping.last_moment() < 100.0 + 3700.0);
    }
}
