//! Counting of arrivals against a rate.

use std::collections::VecDeque;
use std::time::Duration;

/// A rate is counted over this span.
const WINDOW: Duration = Duration::from_secs(1);

/// At most so many arrivals in any second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    taken: VecDeque<Duration>,
}

impl RateLimit {
    /// `per_second` of 0 or less means no limit.
    pub(crate) fn new(per_second: f64) -> Self {
        Self { per_second, taken: VecDeque::new() }
    }

    /// Counts an arrival at `now`; false if it is beyond the rate, and then it is not counted.
    pub(crate) fn admit(&mut self, now: Duration) -> bool {
        if self.per_second <= 0.0 {
            return true;
        }
        while self.taken.front().is_some_and(|taken| now.saturating_sub(*taken) >= WINDOW) {
            self.taken.pop_front();
        }
        if self.taken.len() as f64 + 1.0 > self.per_second {
            return false;
        }
        self.taken.push_back(now);
        true
    }
}
