//! Clocks of a process: a steady one for decisions, the time of day for what is written to disk.

use millrudder_clock::Instant;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Deadlines later than this never come. The runtime cannot represent all readings.
const FAR_FUTURE: Duration = Duration::from_secs(u32::MAX as u64);

/// The process's steady clock. Its origin is the moment at which it was started, so that readings of two clocks, also
/// of one process, cannot be compared.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: tokio::time::Instant,
}

impl SteadyClock {
    /// Starts a clock that reads zero now.
    pub fn start() -> Self {
        SteadyClock { start: tokio::time::Instant::now() }
    }

    /// The present reading, cut to whole milliseconds.
    pub fn now(&self) -> Instant {
        Instant::from_millis(self.millis())
    }

    /// Whole milliseconds since the start, for state machines that count these.
    pub fn millis(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The present reading, cut to whole microseconds: the core node's leases and proofs of contact are counted in these.
    pub fn precise_now(&self) -> Instant {
        Instant::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant at which this clock reads `reading`; for readings that the runtime cannot represent, one that
    /// no process lives to see.
    pub fn at(&self, reading: Instant) -> tokio::time::Instant {
        self.start + reading.as_duration().min(FAR_FUTURE)
    }
}

/// The time of day since 1970, in whole milliseconds; zero where it is set to before then.
pub fn time_of_day() -> Duration {
    Duration::from_millis(time_of_day_ms())
}

/// The same as a number of milliseconds, as it is written to disk.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// A seed for random numbers and drawn identities that differs between processes and between starts of one.
pub fn random_seed() -> u64 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_nanos() as u64);
    fastrand::Rng::new().u64(..) ^ nanos.rotate_left(32) ^ u64::from(std::process::id())
}
