//! Which records on the disk are still needed.
//!
//! A message's records are needed until it is released or a later one says as much. Those that say that it has ended
//! are needed for longer: until no segment holds the message without its end, or else it would come back to life at a
//! restart. A change of a message that is not on the disk itself is not needed.

use crate::fact::{Fact, Subject};
use crate::remains::Remains;
use millrudder_protocol::MessageId;
use millrudder_queue::DiskRecord;
use millrudder_segments::{Position, SegmentId};
use std::collections::BTreeMap;

/// A needed record.
#[derive(Clone, Copy, Debug)]
struct Needed {
    position: Position,
    fact: Fact,
}

/// Why a record is kept.
#[derive(Clone, Copy, Debug)]
enum Owner {
    /// Its subject needs it.
    Subject(Subject),
    /// It is the end of a released message.
    Remnant(MessageId),
}

/// Positions of all records that are needed.
#[derive(Debug, Default)]
pub(crate) struct Space {
    needed: BTreeMap<Subject, Vec<Needed>>,
    owners: BTreeMap<Position, Owner>,
    remains: Remains,
    free: Vec<Position>,
}

impl Space {
    /// A record was written.
    pub fn wrote(&mut self, position: Position, record: &DiskRecord) {
        let (subject, fact) = (Subject::of(record), Fact::of(record));
        let is_change = matches!(subject, Subject::Message(_)) && !fact.is_state();
        if is_change && !self.needed.contains_key(&subject) {
            self.free.push(position);
            return;
        }
        self.add(subject, Needed { position, fact });
    }

    /// A record was found on the disk; records of one subject may be found in any order.
    pub fn found(&mut self, position: Position, record: &DiskRecord) {
        self.add(Subject::of(record), Needed { position, fact: Fact::of(record) });
    }

    /// All records on the disk were found: changes of messages that are not there are not needed.
    pub fn found_all(&mut self) {
        let is_orphan = |subject: &Subject, needed: &[Needed]| {
            matches!(subject, Subject::Message(_)) && !needed.iter().any(|one| one.fact.is_state())
        };
        let orphans = self.needed.iter().filter(|(subject, needed)| is_orphan(subject, needed));
        let orphans: Vec<Subject> = orphans.map(|(subject, _)| *subject).collect();
        for subject in orphans {
            for one in self.take(subject) {
                self.free.push(one.position);
            }
        }
    }

    /// Whether records of this message are needed.
    pub fn needs(&self, subject: Subject) -> bool {
        self.needed.contains_key(&subject)
    }

    fn add(&mut self, subject: Subject, new: Needed) {
        let needed = self.needed.entry(subject).or_default();
        if needed.iter().any(|old| old.fact.includes(new.fact)) {
            self.free.push(new.position);
            return;
        }
        for old in needed.iter().filter(|old| new.fact.includes(old.fact)) {
            self.owners.remove(&old.position);
            self.free.push(old.position);
        }
        needed.retain(|old| !new.fact.includes(old.fact));
        needed.push(new);
        self.owners.insert(new.position, Owner::Subject(subject));
    }

    fn take(&mut self, subject: Subject) -> Vec<Needed> {
        let needed = self.needed.remove(&subject).unwrap_or_default();
        for one in &needed {
            self.owners.remove(&one.position);
        }
        needed
    }

    /// Nothing about this message is needed any more but that it has ended.
    pub fn release(&mut self, id: MessageId) {
        let needed = self.take(Subject::Message(id));
        let (ending, others): (Vec<Needed>, Vec<Needed>) =
            needed.into_iter().partition(|one| one.fact.ends());
        self.free.extend(others.iter().map(|one| one.position));
        let ends: Vec<Position> = ending.iter().map(|one| one.position).collect();
        for end in &ends {
            self.owners.insert(*end, Owner::Remnant(id));
        }
        let reviving = others.iter().filter(|one| one.fact.revives());
        let free = self.remains.add(id, ends, reviving.map(|one| one.position.segment));
        self.free_ends(free);
    }

    /// A segment is there no more.
    pub fn segment_removed(&mut self, segment: SegmentId) {
        let free = self.remains.segment_removed(segment);
        self.free_ends(free);
    }

    fn free_ends(&mut self, ends: Vec<Position>) {
        for end in &ends {
            self.owners.remove(end);
        }
        self.free.extend(ends);
    }

    /// Positions that are not needed any more.
    pub fn take_free(&mut self) -> Vec<Position> {
        std::mem::take(&mut self.free)
    }

    /// Needed records in a segment.
    pub fn live_in(&self, segment: SegmentId) -> Vec<Position> {
        let first = Position { segment, offset: 0, length: 0 };
        let from_there = self.owners.range(first..).map(|(position, _)| *position);
        from_there.take_while(|position| position.segment == segment).collect()
    }

    /// A needed record was written again elsewhere.
    pub fn moved(&mut self, from: Position, to: Position) {
        let Some(owner) = self.owners.remove(&from) else { return };
        self.owners.insert(to, owner);
        match owner {
            Owner::Subject(subject) => self.moved_needed(subject, from, to),
            Owner::Remnant(id) => self.remains.moved(id, from, to),
        }
    }

    fn moved_needed(&mut self, subject: Subject, from: Position, to: Position) {
        let needed = self.needed.get_mut(&subject).into_iter().flatten();
        for one in needed.filter(|one| one.position == from) {
            one.position = to;
        }
    }
}
