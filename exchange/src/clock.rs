//! The module's clock: milliseconds of Unix time as it was at the start, carried on by the monotonic clock.
//!
//! Starting from Unix time lets `startedAtMs` of the transport map be used as it comes, and gives all
//! dispatchers nearly the same numbers; being monotonic from there on, a step of the system's clock cannot
//! make deadlines or timers jump.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> f64 {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// A span of milliseconds as a duration; what is not a positive number is none.
pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::ZERO)
}
