//! Age of a process's copy of the control state.

use millrudder_clock::Instant;
use std::time::Duration;

/// A copy whose last confirmation is this old is reported as stale.
pub const STALE_AFTER: Duration = Duration::from_millis(2000);

/// The copy has become stale, or is fresh again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessChange {
    /// No core machine has confirmed the copy for [`STALE_AFTER`] or longer.
    Stale {
        /// Age of the last confirmation.
        age: Duration,
    },
    /// A stale copy was confirmed again.
    Fresh {
        /// Time between the last confirmation before and the present.
        stale_for: Duration,
    },
}

/// Tracks how old the last confirmation of a copy is.
#[derive(Clone, Debug, Default)]
pub struct StalenessTracker {
    /// When the confirmed check was sent: a quorum of the core had nothing newer then.
    confirmed_at: Option<Instant>,
    is_stale: bool,
}

impl StalenessTracker {
    /// Handles a core machine's confirmation that the copy holds all that was committed when this process sent its
    /// check, at `sent_at`.
    ///
    /// A confirmation that is itself older than [`STALE_AFTER`], as after a pause of this process, does not count.
    pub fn handle_confirmation(&mut self, now: Instant, sent_at: Instant) -> Option<StalenessChange> {
        if now - sent_at >= STALE_AFTER {
            return None;
        }
        let previous = self.confirmed_at;
        self.confirmed_at = previous.max(Some(sent_at));
        if !std::mem::take(&mut self.is_stale) {
            return None;
        }
        let stale_for = now - previous.unwrap_or(now);
        Some(StalenessChange::Fresh { stale_for })
    }

    /// Whether the copy was confirmed at any time since this process started.
    pub fn was_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now - self.confirmed_at?)
    }

    /// Checks the age. Reports once that the copy has become stale.
    pub fn poll(&mut self, now: Instant) -> Option<StalenessChange> {
        let age = self.age(now)?;
        if self.is_stale || age < STALE_AFTER {
            return None;
        }
        self.is_stale = true;
        Some(StalenessChange::Stale { age })
    }
}
