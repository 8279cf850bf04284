//! Index of the live records on the disk.
//!
//! A message's records are live until it is released or another record supersedes them. Those which assert that it has
//! ended are live for longer, as its tombstone: until no segment contains the message without its end, or else the
//! message would be resurrected by a restart. A change of a message whose state is not on the disk is dead.

use crate::record_effect::{RecordEffect, RecordKey};
use crate::tombstones::Tombstones;
use millrudder_protocol::MessageId;
use millrudder_queue::DiskRecord;
use millrudder_segments::{Position, SegmentId};
use std::collections::BTreeMap;

/// A live record.
#[derive(Clone, Copy, Debug)]
struct LiveRecord {
    position: Position,
    effect: RecordEffect,
}

/// Why a record is live.
#[derive(Clone, Copy, Debug)]
enum Owner {
    /// It contributes to the state of its key.
    Key(RecordKey),
    /// It belongs to the tombstone of a released message.
    Tombstone(MessageId),
}

/// Index of the live records on the disk.
#[derive(Debug, Default)]
pub(crate) struct LiveRecords {
    by_key: BTreeMap<RecordKey, Vec<LiveRecord>>,
    owners: BTreeMap<Position, Owner>,
    tombstones: Tombstones,
    /// Records that died since [`LiveRecords::take_dead`] was last called.
    dead: Vec<Position>,
}

impl LiveRecords {
    /// Adds a record that was appended.
    pub fn insert_appended(&mut self, position: Position, record: &DiskRecord) {
        let (key, effect) = (RecordKey::of(record), RecordEffect::of(record));
        let is_change = matches!(key, RecordKey::Message(_)) && !effect.is_state();
        if is_change && !self.by_key.contains_key(&key) {
            self.dead.push(position);
            return;
        }
        self.add(key, LiveRecord { position, effect });
    }

    /// Adds a record that was recovered from the disk; records of one key may be recovered in any order.
    pub fn insert_recovered(&mut self, position: Position, record: &DiskRecord) {
        self.add(RecordKey::of(record), LiveRecord { position, effect: RecordEffect::of(record) });
    }

    /// Ends the recovery: changes of messages whose state was not recovered are dead.
    pub fn finish_recovery(&mut self) {
        let is_orphan = |key: &RecordKey, records: &[LiveRecord]| {
            matches!(key, RecordKey::Message(_)) && !records.iter().any(|record| record.effect.is_state())
        };
        let orphans = self.by_key.iter().filter(|(key, records)| is_orphan(key, records));
        let orphans: Vec<RecordKey> = orphans.map(|(key, _)| *key).collect();
        for key in orphans {
            for record in self.take(key) {
                self.dead.push(record.position);
            }
        }
    }

    /// Whether any record of this key is live.
    pub fn is_live(&self, key: RecordKey) -> bool {
        self.by_key.contains_key(&key)
    }

    fn add(&mut self, key: RecordKey, new: LiveRecord) {
        let records = self.by_key.entry(key).or_default();
        if records.iter().any(|old| old.effect.supersedes(new.effect)) {
            self.dead.push(new.position);
            return;
        }
        for old in records.iter().filter(|old| new.effect.supersedes(old.effect)) {
            self.owners.remove(&old.position);
            self.dead.push(old.position);
        }
        records.retain(|old| !new.effect.supersedes(old.effect));
        records.push(new);
        self.owners.insert(new.position, Owner::Key(key));
    }

    fn take(&mut self, key: RecordKey) -> Vec<LiveRecord> {
        let records = self.by_key.remove(&key).unwrap_or_default();
        for record in &records {
            self.owners.remove(&record.position);
        }
        records
    }

    /// Releases a message: of its records only its tombstone stays live.
    pub fn release(&mut self, id: MessageId) {
        let records = self.take(RecordKey::Message(id));
        let (ending, others): (Vec<LiveRecord>, Vec<LiveRecord>) =
            records.into_iter().partition(|record| record.effect.ends_message());
        self.dead.extend(others.iter().map(|record| record.position));
        let ends: Vec<Position> = ending.iter().map(|record| record.position).collect();
        for end in &ends {
            self.owners.insert(*end, Owner::Tombstone(id));
        }
        let resurrecting = others.iter().filter(|record| record.effect.resurrects_message());
        let segments = resurrecting.map(|record| record.position.segment);
        let dead_ends = self.tombstones.insert(id, ends, segments);
        self.discard_ends(dead_ends);
    }

    /// A segment was removed.
    pub fn segment_removed(&mut self, segment: SegmentId) {
        let dead_ends = self.tombstones.segment_removed(segment);
        self.discard_ends(dead_ends);
    }

    fn discard_ends(&mut self, ends: Vec<Position>) {
        for end in &ends {
            self.owners.remove(end);
        }
        self.dead.extend(ends);
    }

    /// Positions of the records that died since the last call.
    pub fn take_dead(&mut self) -> Vec<Position> {
        std::mem::take(&mut self.dead)
    }

    /// Positions of the live records in a segment, ascending.
    pub fn positions_in(&self, segment: SegmentId) -> Vec<Position> {
        let first = Position { segment, offset: 0, length: 0 };
        let positions = self.owners.range(first..).map(|(position, _)| *position);
        positions.take_while(|position| position.segment == segment).collect()
    }

    /// A live record was moved by compaction.
    pub fn relocate(&mut self, from: Position, to: Position) {
        let Some(owner) = self.owners.remove(&from) else { return };
        self.owners.insert(to, owner);
        match owner {
            Owner::Key(key) => self.relocate_of_key(key, from, to),
            Owner::Tombstone(id) => self.tombstones.relocate(id, from, to),
        }
    }

    fn relocate_of_key(&mut self, key: RecordKey, from: Position, to: Position) {
        let records = self.by_key.get_mut(&key).into_iter().flatten();
        for record in records.filter(|record| record.position == from) {
            record.position = to;
        }
    }
}
