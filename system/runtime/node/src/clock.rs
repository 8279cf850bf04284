//! Clocks of a process: a steady one for decisions, the time of day for what is written to disk.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The steady clock; it starts at 0 with the process.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    pub fn start() -> Self {
        SteadyClock { start: Instant::now() }
    }

    pub fn millis(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The moment at which [`SteadyClock::millis`] is `millis`.
    pub fn at_millis(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// The moment at which [`SteadyClock::micros`] is `micros`.
    pub fn at_micros(&self, micros: u64) -> Instant {
        self.start + Duration::from_micros(micros)
    }
}

/// Milliseconds of the time of day since 1970.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// A number that differs between processes and between starts of one.
pub fn seed() -> u64 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_nanos() as u64);
    fastrand::Rng::new().u64(..) ^ nanos.rotate_left(32) ^ u64::from(std::process::id())
}
