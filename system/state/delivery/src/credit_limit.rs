//! Limit of the leases of one service that one store may grant to this dispatcher at one time. It grows with successes
//! and shrinks when messages wait in vain for a worker with room.

/// Minimum and maximum limit of an available service, in messages.
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 64.0;
/// Limit that a store assumes before the dispatcher announces one.
const INITIAL_LIMIT: f64 = 16.0;
/// The limit is multiplied by this when messages find no worker with room.
const DECREASE_FACTOR: f64 = 0.7;
/// Messages that find no room within this time (ms) after a decrease belong to the same shortage and do not decrease
/// the limit again.
const MIN_DECREASE_INTERVAL_MS: u64 = 200;
/// Limit of an unavailable service, or of one without ready workers.
const UNAVAILABLE_LIMIT: u32 = 1;

/// The limit of one service, adapted to successes and shortages. Times are milliseconds on the caller's steady clock.
#[derive(Debug)]
pub(crate) struct CreditLimit {
    limit: f64,
    decreased_at_ms: Option<u64>,
}

/// Bounds of the announced limit that do not depend on successes and shortages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitBounds {
    /// Attempts that all ready workers of the service take from this dispatcher together; 0 if no worker is ready.
    pub attempt_capacity: u32,
    /// The service is taken to be down.
    pub unavailable: bool,
}

impl Default for CreditLimit {
    fn default() -> Self {
        CreditLimit { limit: INITIAL_LIMIT, decreased_at_ms: None }
    }
}

impl CreditLimit {
    /// A message ran successfully while this dispatcher had `messages` leases of the service, that message's included.
    /// Raises the limit by one if at least half of it is in use, since a limit that is not used says nothing about what
    /// workers can take. A low limit thus grows relatively faster.
    pub fn on_success(&mut self, messages: usize) {
        if messages as f64 >= self.limit / 2.0 {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
    }

    /// A message found no worker with room in time.
    pub fn on_no_room(&mut self, now: u64) {
        if self.decreased_at_ms.is_some_and(|at| now < at + MIN_DECREASE_INTERVAL_MS) {
            return;
        }
        self.decreased_at_ms = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// The limit to announce to stores.
    pub fn limit(&self, bounds: LimitBounds) -> u32 {
        // One message is still accepted without a worker: its route may lead to another service by now, or nowhere.
        if bounds.attempt_capacity == 0 || bounds.unavailable {
            return UNAVAILABLE_LIMIT;
        }
        (self.limit as u32).min(bounds.attempt_capacity.max(1))
    }
}
