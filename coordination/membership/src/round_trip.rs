//! Estimate of the round-trip time to one member, and the time-out derived from it.

use std::time::Duration;

/// Smoothed round-trip time and its mean deviation, computed as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundTrip {
    estimate: Option<Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    smoothed: Duration,
    deviation: Duration,
}

impl RoundTrip {
    /// Adds a measured round-trip time.
    pub fn record(&mut self, sample: Duration) {
        let estimate = match self.estimate {
            None => Estimate { smoothed: sample, deviation: sample / 2 },
            Some(old) => Estimate {
                smoothed: (old.smoothed * 7 + sample) / 8,
                deviation: (old.deviation * 3 + old.smoothed.abs_diff(sample)) / 4,
            },
        };
        self.estimate = Some(estimate);
    }

    /// Returns the time after which an answer counts as missing, or `None` while no round trip has been measured.
    pub fn timeout(&self) -> Option<Duration> {
        self.estimate.map(|estimate| estimate.smoothed + estimate.deviation * 4)
    }
}
