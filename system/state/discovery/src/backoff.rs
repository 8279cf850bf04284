//! Exponential backoff with jitter.

use std::time::Duration;

/// Backoff after the first failure, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff before jitter: the list is needed soon after the platform has recovered.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// A backoff that doubles with each consecutive failure, with jitter from a seed.
#[derive(Debug)]
pub(crate) struct Backoff {
    random: fastrand::Rng,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), failures: 0 }
    }

    /// The backoff after another failure: between half and all of the doubled time.
    pub(crate) fn after_failure(&mut self) -> Duration {
        let factor = 2u32.saturating_pow(self.failures);
        let maximum = INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        let jitter = self.random.f64() / 2.0;
        maximum.mul_f64(0.5 + jitter)
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
