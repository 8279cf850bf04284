//! How many messages of a service one store may have granted to this dispatcher: grows with success, shrinks where
//! they find no room.

/// Bounds of the limit at a service that answers.
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 64.0;
/// What a store assumes before it is told.
const INITIAL_LIMIT: f64 = 16.0;
/// Share that stays when messages find no room.
const DECREASE_FACTOR: f64 = 0.7;
/// Messages that find no room within so long (ms) after a cut are the same shortage.
const MIN_DECREASE_INTERVAL_MS: u64 = 200;
/// At a dark service.
const UNAVAILABLE_LIMIT: u32 = 1;

/// The limit of one service.
#[derive(Debug)]
pub(crate) struct CreditLimit {
    limit: f64,
    decreased_at_ms: Option<u64>,
}

/// What bounds the limit besides its own course.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitBounds {
    /// Attempts that all its ready workers take from this dispatcher; 0: it has none.
    pub attempt_capacity: u32,
    pub unavailable: bool,
}

impl Default for CreditLimit {
    fn default() -> Self {
        CreditLimit { limit: INITIAL_LIMIT, decreased_at_ms: None }
    }
}

impl CreditLimit {
    /// A message was run with `held` of the service at this dispatcher: one more a round of successes while the limit
    /// is nearly used, the faster the lower it is.
    pub fn on_success(&mut self, messages: usize) {
        if messages as f64 >= self.limit / 2.0 {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
    }

    /// A message found no room.
    pub fn on_no_room(&mut self, now: u64) {
        if self.decreased_at_ms.is_some_and(|at| now < at + MIN_DECREASE_INTERVAL_MS) {
            return;
        }
        self.decreased_at_ms = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// What stores are told.
    pub fn limit(&self, bounds: LimitBounds) -> u32 {
        // Also without a worker a few are wanted: a message's route may lead elsewhere by now, or nowhere.
        if bounds.attempt_capacity == 0 || bounds.unavailable {
            return UNAVAILABLE_LIMIT;
        }
        (self.limit as u32).min(bounds.attempt_capacity.max(1))
    }
}
