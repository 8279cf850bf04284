//! Round-trip times to one member, and the time-out that follows from them.

use std::time::Duration;

/// Smoothed round-trip time and its deviation, with the gains of RFC 6298.
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

    /// Time after which an answer counts as missing; none while no round trip was measured.
    pub fn timeout(&self) -> Option<Duration> {
        self.estimate.map(|estimate| estimate.smoothed + estimate.deviation * 4)
    }
}
