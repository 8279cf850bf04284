//! The log: consecutive entries of the replicated order after a base position.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use crate::{Entry, Position, RequestId, Sequence};

/// Consecutive entries, without gaps, after a base position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Log {
    base: Position,
    entries: Vec<Entry>,
}

impl Log {
    /// An empty log that starts after `base`.
    pub fn after(base: Position) -> Log {
        Log { base, entries: Vec::new() }
    }

    /// The position before the first entry.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry, or the base.
    pub fn end(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.position)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry at `sequence`.
    pub fn get(&self, sequence: Sequence) -> Option<&Entry> {
        // Subtract instead of adding to the base, which overflows if a damaged state has the maximum sequence as its
        // base.
        let after_base = sequence.0.checked_sub(self.base.sequence.0)?;
        let index = after_base.checked_sub(1)?;
        self.entries.get(usize::try_from(index).ok()?)
    }

    /// The position at `sequence`, if that is the base or one of the entries.
    pub fn position_at(&self, sequence: Sequence) -> Option<Position> {
        if sequence == self.base.sequence {
            return Some(self.base);
        }
        self.get(sequence).map(|entry| entry.position)
    }

    /// Whether `position` is the base or an entry of this log. If so, this log agrees with every log that contains
    /// `position` on all entries up to it.
    pub fn contains(&self, position: Position) -> bool {
        self.position_at(position.sequence) == Some(position)
    }

    /// Entries after `sequence`, which must not lie before the base.
    pub fn entries_after(&self, sequence: Sequence) -> impl Iterator<Item = &Entry> {
        let skipped = sequence.0.saturating_sub(self.base.sequence.0);
        self.entries.iter().skip(usize::try_from(skipped).unwrap_or(usize::MAX))
    }

    /// Appends an entry if it directly follows the end, and returns whether it does; any other entry is ignored.
    pub fn append(&mut self, entry: Entry) -> bool {
        let end = self.end().sequence;
        // `next` saturates at the maximum sequence, which no entry may follow.
        let follows = entry.position.sequence > end && entry.position.sequence == end.next();
        if follows {
            self.entries.push(entry);
        }
        follows
    }

    /// Drops the entries after `sequence`.
    pub fn truncate_after(&mut self, sequence: Sequence) {
        let retained = sequence.0.saturating_sub(self.base.sequence.0);
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to `sequence`, whose position becomes the base. Takes time linear in the number of entries.
    pub fn trim_to(&mut self, sequence: Sequence) {
        let Some(base) = self.get(sequence).map(|entry| entry.position) else {
            return;
        };
        self.entries.retain(|entry| entry.position.sequence > sequence);
        self.base = base;
    }

    /// Requests of the entries after `sequence`, with their indices.
    pub fn requests_after(&self, sequence: Sequence) -> BTreeMap<RequestId, Sequence> {
        let entries = self.entries_after(sequence);
        entries.map(|entry| (entry.request_id, entry.position.sequence)).collect()
    }
}
