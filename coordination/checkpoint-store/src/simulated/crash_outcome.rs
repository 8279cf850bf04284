//! What becomes of a change that was not synced when power is lost.

use super::PendingChange;
use crate::FRAME_HEADER_BYTES;
use std::ops::Range;

/// Bytes that a disk writes as a whole: the unit in which a write is torn.
const SECTOR_BYTES: usize = 512;

/// What becomes of one change. A change other than a write counts as missing when it is torn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// It is on disk.
    Kept,
    /// It never happened.
    Missing,
    /// Only these ranges of the write's bytes are on disk; ranges beyond its length are ignored.
    Torn(Vec<Range<usize>>),
}

impl CrashOutcome {
    /// Only `kept` of the write's bytes are on disk.
    #[must_use]
    pub fn torn(kept: Range<usize>) -> Self {
        Self::Torn(Vec::from([kept]))
    }

    /// The fates of a change that matter for framed files: kept, missing, and for a write cut within the first
    /// frame's header, within the payload, at the last byte, or with a hole before its second half.
    #[must_use]
    pub fn choices(change: &PendingChange) -> Vec<Self> {
        let mut choices = vec![Self::Kept, Self::Missing];
        if let PendingChange::Write { bytes, .. } = change {
            let cuts = [1, FRAME_HEADER_BYTES - 1, FRAME_HEADER_BYTES + 1, bytes.saturating_sub(1)];
            choices.extend(cuts.map(|cut| Self::torn(0..cut)));
            choices.push(Self::torn(bytes / 2..*bytes));
        }
        choices
    }
}

/// How a loss of power goes as a whole.
#[derive(Clone, Copy, Debug)]
enum Temper {
    AllKept,
    AllMissing,
    EachByItself,
}

/// Fates left to chance.
pub(super) struct Chance {
    random: fastrand::Rng,
    temper: Temper,
}

impl Chance {
    pub fn new(mut random: fastrand::Rng) -> Self {
        let temper = match random.u8(0..5) {
            0 => Temper::AllKept,
            1 => Temper::AllMissing,
            _ => Temper::EachByItself,
        };
        Self { random, temper }
    }

    pub fn fate(&mut self, change: &PendingChange) -> CrashOutcome {
        match self.temper {
            Temper::AllKept => CrashOutcome::Kept,
            Temper::AllMissing => CrashOutcome::Missing,
            Temper::EachByItself => self.single_fate(change),
        }
    }

    fn single_fate(&mut self, change: &PendingChange) -> CrashOutcome {
        let torn_length = match change {
            PendingChange::Write { bytes, .. } => *bytes,
            PendingChange::SetLength { .. } | PendingChange::Name { .. } => 0,
        };
        match self.random.u8(0..3) {
            0 => CrashOutcome::Kept,
            1 => CrashOutcome::Missing,
            _ => self.torn(torn_length),
        }
    }

    /// A prefix of `bytes` bytes, or any set of their sectors.
    fn torn(&mut self, bytes: usize) -> CrashOutcome {
        if self.random.bool() {
            return CrashOutcome::torn(0..self.random.usize(0..=bytes));
        }
        let sectors = (0..bytes).step_by(SECTOR_BYTES);
        let kept = sectors.filter(|_| self.random.bool()).map(|start| start..start + SECTOR_BYTES);
        CrashOutcome::Torn(kept.collect())
    }
}
