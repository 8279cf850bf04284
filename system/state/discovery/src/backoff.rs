//! Time to wait after failures.

use std::time::Duration;

/// Wait after the first failure, before jitter.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait before jitter: news is needed soon after the platform is back.
const LONGEST_WAIT: Duration = Duration::from_millis(1_600);

/// Waits that double with each failure in a row, with jitter from a seed.
#[derive(Debug)]
pub(crate) struct Backoff {
    random: fastrand::Rng,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), failures: 0 }
    }

    /// The wait after one more failure: between half and all of the doubled time.
    pub(crate) fn after_failure(&mut self) -> Duration {
        let factor = 2u32.saturating_pow(self.failures);
        let whole = FIRST_WAIT.saturating_mul(factor).min(LONGEST_WAIT);
        self.failures = self.failures.saturating_add(1);
        let jitter = self.random.f64() / 2.0;
        whole.mul_f64(0.5 + jitter)
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
