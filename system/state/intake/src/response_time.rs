//! Adaptive timeout of attempts.

use std::time::Duration;

/// Weight of a new measurement in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Timeout of an attempt, as a multiple of the mean response time.
const TIMEOUT_FACTOR: u64 = 6;
/// Lower bound of the timeout of an attempt.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);
/// Upper bound of the timeout of an attempt.
const MAX_TIMEOUT: Duration = Duration::from_millis(150);

/// Exponentially weighted moving average of the stores' response times.
#[derive(Clone, Debug, Default)]
pub struct ResponseTime {
    mean_ms: f64,
}

impl ResponseTime {
    /// Adds a measurement, in whole milliseconds.
    pub fn record(&mut self, elapsed: Duration) {
        self.mean_ms += EWMA_WEIGHT * (elapsed.as_millis() as f64 - self.mean_ms);
    }

    /// How long to wait for the answer to an attempt before trying another store.
    pub fn attempt_timeout(&self) -> Duration {
        let mean_ms = self.mean_ms.ceil() as u64;
        Duration::from_millis(TIMEOUT_FACTOR * mean_ms).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
