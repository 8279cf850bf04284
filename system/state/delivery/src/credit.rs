//! How many messages of a service one store may have granted to this dispatcher: grows with success, shrinks where
//! they find no room.

/// Bounds of the limit at a service that answers.
const LEAST: f64 = 2.0;
const MOST: f64 = 64.0;
/// What a store assumes before it is told.
const FIRST: f64 = 16.0;
/// Share that stays when messages find no room.
const SHRINK: f64 = 0.7;
/// Messages that find no room within so long (ms) after a cut are the same shortage.
const SHRINK_EACH_MS: u64 = 200;
/// At a dark service.
const DARK: u32 = 1;

/// The limit of one service.
#[derive(Debug)]
pub(crate) struct Credit {
    limit: f64,
    shrunk_at: Option<u64>,
}

/// What bounds the limit besides its own course.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Attempts that all its ready workers take from this dispatcher; 0: it has none.
    pub room: u32,
    pub dark: bool,
}

impl Default for Credit {
    fn default() -> Self {
        Credit { limit: FIRST, shrunk_at: None }
    }
}

impl Credit {
    /// A message was run with `held` of the service at this dispatcher: one more a round of successes while the limit
    /// is nearly used, the faster the lower it is.
    pub fn on_success(&mut self, held: usize) {
        if held as f64 >= self.limit / 2.0 {
            self.limit = (self.limit + 1.0).min(MOST);
        }
    }

    /// A message found no room.
    pub fn on_full(&mut self, now: u64) {
        if self.shrunk_at.is_some_and(|at| now < at + SHRINK_EACH_MS) {
            return;
        }
        self.shrunk_at = Some(now);
        self.limit = (self.limit * SHRINK).max(LEAST);
    }

    /// What stores are told.
    pub fn limit(&self, bounds: Bounds) -> u32 {
        // Also without a worker a few are wanted: a message's route may lead elsewhere by now, or nowhere.
        if bounds.room == 0 || bounds.dark {
            return DARK;
        }
        (self.limit as u32).min(bounds.room.max(1))
    }
}
