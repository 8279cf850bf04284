//! How old a process's copy of the control state is.

/// A copy that no core machine has confirmed for so long is reported as old.
pub const STALE_AFTER_MS: u64 = 2000;

/// The copy has become old, or is current again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessChange {
    Old { age_ms: u64 },
    Current { was_old_for_ms: u64 },
}

/// Since when a copy may be outdated.
#[derive(Clone, Debug, Default)]
pub struct StalenessTracker {
    /// At this moment a majority of the core had nothing newer.
    confirmed_at: Option<u64>,
    old: bool,
}

impl StalenessTracker {
    /// A core machine has confirmed that the copy holds all that was committed at `moment`, of this process's clock.
    /// A confirmation that comes late, as after a freeze of this process, does not count.
    pub fn confirmed(&mut self, now: u64, moment: u64) -> Option<StalenessChange> {
        if now.saturating_sub(moment) >= STALE_AFTER_MS {
            return None;
        }
        let before = self.confirmed_at;
        self.confirmed_at = before.max(Some(moment));
        if !std::mem::take(&mut self.old) {
            return None;
        }
        let was_old_for_ms = now.saturating_sub(before.unwrap_or(now));
        Some(StalenessChange::Current { was_old_for_ms })
    }

    /// Whether a majority has confirmed the copy at any time of this process's life.
    pub fn was_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age_ms(&self, now: u64) -> Option<u64> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Notes the passing of time.
    pub fn poll(&mut self, now: u64) -> Option<StalenessChange> {
        let age_ms = self.age_ms(now)?;
        if self.old || age_ms < STALE_AFTER_MS {
            return None;
        }
        self.old = true;
        Some(StalenessChange::Old { age_ms })
    }
}
