//! The module's clock: milliseconds of Unix time as it was at the start, carried on by the monotonic clock.
//!
//! Starting from Unix time lets `startedAtMs` of the transport map be used as it comes, and gives all
//! dispatchers nearly the same numbers; being monotonic from there on, a step of the system's clock cannot
//! make deadlines or timers jump.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The dispatcher's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    goes_by: GoesBy,
    unix_ms: f64,
}

#[derive(Clone, Copy, Debug)]
enum GoesBy {
    Monotonic(Instant),
    /// Milliseconds since the start (bits).
    Hand(&'static AtomicU64),
}

impl Clock {
    /// Starts at the present Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { goes_by: GoesBy::Monotonic(Instant::now()), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// One that stands at 0 until `set`: for tests of what happens at which moment. Each keeps a few bytes for good.
    pub fn manual() -> Self {
        Clock { goes_by: GoesBy::Hand(Box::leak(Box::default())), unix_ms: 0.0 }
    }

    /// Turns a clock `manual` to this time (ms); another goes on by itself.
    pub fn set(&self, ms: f64) {
        if let GoesBy::Hand(hand) = self.goes_by {
            hand.store(ms.to_bits(), Ordering::Release);
        }
    }

    /// The present reading (ms).
    pub fn now(&self) -> f64 {
        let since = match self.goes_by {
            GoesBy::Monotonic(start) => start.elapsed().as_secs_f64() * 1000.0,
            GoesBy::Hand(hand) => f64::from_bits(hand.load(Ordering::Acquire)),
        };
        self.unix_ms + since
    }
}

/// A span of milliseconds as a duration; what is not a positive number is none.
pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::ZERO)
}
