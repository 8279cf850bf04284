//! How often the list is read.

use std::time::Duration;

/// Share of the common rate that one reader uses: for a while there may be two, when the role changes hands.
const RATE_SHARE: f64 = 0.5;

/// Rounds that fit into the time within which deliveries to a draining worker must end: one may fail and be
/// repeated, and the news must reach everyone.
const ROUNDS_PER_DRAIN: u32 = 3;

/// Shortest time between two rounds, whatever the figures say.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(50);

/// Slowest rate that is assumed, in calls a second, where the platform's figure is 0 or no number.
const SLOWEST_RATE: f64 = 0.1;

/// What decides how often the list is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Calls a second that all processes together may make.
    pub calls_per_second: f64,
    /// How far the list lags behind: reading it much more often brings little news.
    pub maximum_lag: Duration,
    /// Deliveries to a worker end within this after the list shows it as draining or gone.
    pub drain: Duration,
    /// From 0, as fresh as the list allows, to 1, as few calls as [`Pace::drain`] allows: the dearer a call, the
    /// higher.
    pub economy: f64,
}

impl Pace {
    /// Time between two calls.
    pub fn call_gap(&self) -> Duration {
        let rate = (self.calls_per_second * RATE_SHARE).max(SLOWEST_RATE);
        Duration::try_from_secs_f64(rate.recip()).unwrap_or(Duration::ZERO)
    }

    /// Time from the start of a round to that of the next one, for a list of `pages` pages.
    pub fn interval(&self, pages: u32) -> Duration {
        let slowest = self.drain / ROUNDS_PER_DRAIN;
        let fastest = self.maximum_lag.min(slowest);
        let economy = if self.economy.is_nan() { 0.0 } else { self.economy.clamp(0.0, 1.0) };
        let wanted = fastest + (slowest - fastest).mul_f64(economy);
        let allowed = self.call_gap().saturating_mul(pages);
        wanted.max(allowed).max(SHORTEST_INTERVAL)
    }
}
