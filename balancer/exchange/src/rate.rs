//! Rate limit for repeated log messages.

use std::sync::atomic::{AtomicU64, Ordering};

/// Least time between two lines (ms).
const MIN_INTERVAL_MS: f64 = 1_000.0;

/// Allows one log line per second.
#[derive(Default)]
pub struct Limiter(AtomicU64);

impl Limiter {
    /// Whether a line may be written at `now` (ms).
    pub fn allows(&self, now: f64) -> bool {
        let last = f64::from_bits(self.0.load(Ordering::Relaxed));
        let allowed = now - last >= MIN_INTERVAL_MS;
        if allowed {
            self.0.store(now.to_bits(), Ordering::Relaxed);
        }
        allowed
    }
}

#[cfg(test)]
mod tests;
