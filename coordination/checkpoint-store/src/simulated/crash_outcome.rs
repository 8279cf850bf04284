//! What a loss of power makes of changes that were not synced.

use super::PendingChange;
use crate::FRAME_HEADER_BYTES;
use std::ops::Range;

/// Bytes that a disk writes atomically: the unit in which a write is torn.
const SECTOR_BYTES: usize = 512;

/// What a loss of power makes of one unsynced change. [`CrashOutcome::Torn`] of anything but a write counts as
/// [`CrashOutcome::Lost`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// The change reached the disk.
    Durable,
    /// The change never happened.
    Lost,
    /// Only these ranges of the write's bytes are on disk; ranges beyond its length are ignored.
    Torn(Vec<Range<usize>>),
}

impl CrashOutcome {
    /// A write of which only the bytes in `durable` are on disk.
    #[must_use]
    pub fn torn(durable: Range<usize>) -> Self {
        Self::Torn(Vec::from([durable]))
    }

    /// The outcomes of a change that matter for record files: durable, lost, and for a write cut within the first
    /// frame's header, within the payload, at the last byte, or with a hole before its second half.
    #[must_use]
    pub fn choices(change: &PendingChange) -> Vec<Self> {
        let mut choices = vec![Self::Durable, Self::Lost];
        if let PendingChange::Write { bytes, .. } = change {
            let cuts = [1, FRAME_HEADER_BYTES - 1, FRAME_HEADER_BYTES + 1, bytes.saturating_sub(1)];
            choices.extend(cuts.map(|cut| Self::torn(0..cut)));
            choices.push(Self::torn(bytes / 2..*bytes));
        }
        choices
    }
}

/// How much one loss of power takes.
#[derive(Clone, Copy, Debug)]
enum LossProfile {
    NothingLost,
    EverythingLost,
    /// The outcome of each change is drawn independently.
    Independent,
}

/// Draws the outcomes of one loss of power from a random source.
pub(super) struct RandomCrash {
    random: fastrand::Rng,
    profile: LossProfile,
}

impl RandomCrash {
    pub fn new(mut random: fastrand::Rng) -> Self {
        let profile = match random.u8(0..5) {
            0 => LossProfile::NothingLost,
            1 => LossProfile::EverythingLost,
            _ => LossProfile::Independent,
        };
        Self { random, profile }
    }

    /// Draws the outcome of the next change.
    pub fn outcome(&mut self, change: &PendingChange) -> CrashOutcome {
        match self.profile {
            LossProfile::NothingLost => CrashOutcome::Durable,
            LossProfile::EverythingLost => CrashOutcome::Lost,
            LossProfile::Independent => self.independent_outcome(change),
        }
    }

    fn independent_outcome(&mut self, change: &PendingChange) -> CrashOutcome {
        let torn_length = match change {
            PendingChange::Write { bytes, .. } => *bytes,
            PendingChange::SetLength { .. } | PendingChange::Name { .. } => 0,
        };
        match self.random.u8(0..3) {
            0 => CrashOutcome::Durable,
            1 => CrashOutcome::Lost,
            _ => self.torn(torn_length),
        }
    }

    /// A prefix of `bytes` bytes, or any set of their sectors.
    fn torn(&mut self, bytes: usize) -> CrashOutcome {
        if self.random.bool() {
            return CrashOutcome::torn(0..self.random.usize(0..=bytes));
        }
        let sectors = (0..bytes).step_by(SECTOR_BYTES);
        let durable = sectors.filter(|_| self.random.bool()).map(|start| start..start + SECTOR_BYTES);
        CrashOutcome::Torn(durable.collect())
    }
}
