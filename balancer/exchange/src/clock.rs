//! The dispatcher's clock: Unix time in milliseconds at the start, advanced by the monotonic clock.
//!
//! Because it starts from Unix time, `startedAtMs` of the worker list can be compared with it directly, and all
//! dispatchers read nearly the same values. Because it is monotonic, a step of the system clock does not make
//! deadlines or timers jump.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest span that [`span`] returns: a hundred years, which the timers of the runtimes still represent.
const MAX_SPAN: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// The dispatcher's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: Source,
    unix_ms: f64,
}

#[derive(Clone, Copy, Debug)]
enum Source {
    Monotonic(Instant),
    /// Set by tests: milliseconds since the start, as the bits of an `f64`.
    Manual(&'static AtomicU64),
}

impl Clock {
    /// Starts at the present Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { source: Source::Monotonic(Instant::now()), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// A clock for tests that stays at 0 until [`Clock::set`] is called. Each one leaks a few bytes, so that
    /// `Clock` can be `Copy`.
    pub fn manual() -> Self {
        Clock { source: Source::Manual(Box::leak(Box::default())), unix_ms: 0.0 }
    }

    /// Sets a manual clock to this time (ms); does nothing to a real clock.
    pub fn set(&self, ms: f64) {
        if let Source::Manual(reading) = self.source {
            reading.store(ms.to_bits(), Ordering::Release);
        }
    }

    /// The current time (ms).
    pub fn now(&self) -> f64 {
        let since = match self.source {
            Source::Monotonic(start) => start.elapsed().as_secs_f64() * 1000.0,
            Source::Manual(reading) => f64::from_bits(reading.load(Ordering::Acquire)),
        };
        self.unix_ms + since
    }
}

/// Converts milliseconds to a [`Duration`]; negative numbers and NaN become zero, and what is longer than a hundred
/// years becomes a hundred years.
pub fn span(ms: f64) -> Duration {
    let seconds = ms.max(0.0) / 1000.0;
    Duration::try_from_secs_f64(seconds).map_or(MAX_SPAN, |span| span.min(MAX_SPAN))
}

#[cfg(test)]
mod tests;
