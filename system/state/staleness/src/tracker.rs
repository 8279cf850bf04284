//! Age of a process's copy of the control state.

use millrudder_clock::Instant;
use std::time::Duration;

/// A copy is reported as stale once its last confirmation is this old.
pub const STALE_AFTER: Duration = Duration::from_millis(2000);

/// Reports that a copy has become stale or fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessChange {
    /// No core machine has confirmed the copy for [`STALE_AFTER`] or longer.
    Stale {
        /// Age of the last confirmation.
        age: Duration,
    },
    /// A stale copy was confirmed again.
    Fresh {
        /// Time since the confirmation before this one.
        stale_for: Duration,
    },
}

/// Tracks the age of the last confirmation of a copy.
#[derive(Clone, Debug, Default)]
pub struct StalenessTracker {
    /// When this process sent the last confirmed check. A quorum of the core had no newer state at that time.
    confirmed_at: Option<Instant>,
    is_stale: bool,
}

impl StalenessTracker {
    /// Handles a core machine's confirmation that the copy includes everything that was committed at `sent_at`, when
    /// this process sent its check.
    ///
    /// A confirmation that is itself at least [`STALE_AFTER`] old, for instance after a pause of this process, is
    /// ignored.
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

    /// Whether the copy has ever been confirmed since this process started.
    pub fn was_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Age of the last confirmation; `None` before the first one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now - self.confirmed_at?)
    }

    /// Reports, once, that the copy has become stale.
    pub fn poll(&mut self, now: Instant) -> Option<StalenessChange> {
        let age = self.age(now)?;
        if self.is_stale || age < STALE_AFTER {
            return None;
        }
        self.is_stale = true;
        Some(StalenessChange::Stale { age })
    }
}
