//! Waiting for a condition, within a bound.

use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior};

/// A condition is looked at this often: far below any bound of a test, and cheap.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The condition did not come true within the bound.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the condition did not come true within {bound:?}")]
pub struct NotInTime {
    /// How long it was waited for.
    pub bound: Duration,
}

/// Waits until `condition` holds, at most for `bound`.
pub async fn eventually(bound: Duration, mut condition: impl FnMut() -> bool) -> Result<(), NotInTime> {
    eventually_some(bound, async || condition().then_some(())).await
}

/// Waits until `probe` gives a value, at most for `bound`; a probe under way at the end of the bound is dropped.
pub async fn eventually_some<T>(
    bound: Duration,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Result<T, NotInTime> {
    let deadline = Instant::now() + bound;
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let polling = async {
        loop {
            ticks.tick().await;
            if let Some(value) = probe().await {
                return value;
            }
        }
    };
    tokio::time::timeout_at(deadline, polling).await.map_err(|_| NotInTime { bound })
}
