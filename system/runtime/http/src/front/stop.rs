//! Graceful shutdown of a server: requests that it has accepted are finished.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// How a server stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// How long new connections are still accepted, as callers learn of the stop with a delay.
    pub accept_for: Duration,
    /// When requests that are still at the handler are answered 504 and other busy connections closed, from the
    /// beginning of the stop.
    pub finish_within: Duration,
}

/// The moments of a stop that has begun.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopTimes {
    pub(super) accept_until: Instant,
    pub(super) deadline: Instant,
}

/// Begins the graceful shutdown of the servers that were given a clone of it.
#[derive(Debug, Clone)]
pub struct Stop {
    times: watch::Sender<Option<StopTimes>>,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}

impl Stop {
    /// A stop that has not begun.
    pub fn new() -> Stop {
        Stop { times: watch::Sender::new(None) }
    }

    /// Begins the stop; from here on each connection is closed after its present request. Later calls change
    /// nothing.
    pub fn begin(&self, plan: StopPlan) {
        let now = Instant::now();
        let times = StopTimes { accept_until: now + plan.accept_for, deadline: now + plan.finish_within };
        self.times.send_if_modified(|present| {
            let first = present.is_none();
            present.get_or_insert(times);
            first
        });
    }

    /// Whether the stop has begun.
    pub fn is_begun(&self) -> bool {
        self.times.borrow().is_some()
    }

    /// Waits for the beginning of the stop.
    pub(super) async fn begun(&self) -> StopTimes {
        let mut receiver = self.times.subscribe();
        loop {
            if let Some(times) = *receiver.borrow_and_update() {
                return times;
            }
            if receiver.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
