//! Tombstones of released messages: the records of a message's end must stay live as long as a segment contains the
//! message without its end, or else the message would be resurrected by the next recovery.
//!
//! An end in the same segment as the message is removed together with it, and need not be retained for that segment.

use millrudder_protocol::MessageId;
use millrudder_segments::{Position, SegmentId};
use std::collections::BTreeMap;

/// The tombstone of one released message.
#[derive(Debug, Default)]
struct Tombstone {
    /// Records which assert that the message has ended.
    ends: Vec<Position>,
    /// Segments that contain the message without its end.
    resurrecting_segments: Vec<SegmentId>,
}

impl Tombstone {
    /// Whether the message cannot be resurrected even without these ends: its segments contain an end each.
    fn is_obsolete(&self) -> bool {
        let contains_end = |segment: &SegmentId| self.ends.iter().any(|end| end.segment == *segment);
        self.resurrecting_segments.iter().all(contains_end)
    }
}

/// Tombstones of all released messages that a segment could resurrect.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    by_message: BTreeMap<MessageId, Tombstone>,
    /// The messages that each segment could resurrect.
    by_segment: BTreeMap<SegmentId, Vec<MessageId>>,
}

impl Tombstones {
    /// Adds a released message. Returns the ends that need not be retained any more.
    pub fn insert(
        &mut self,
        id: MessageId,
        ends: Vec<Position>,
        resurrecting_segments: impl IntoIterator<Item = SegmentId>,
    ) -> Vec<Position> {
        let tombstone = self.by_message.entry(id).or_default();
        tombstone.ends.extend(ends);
        for segment in resurrecting_segments {
            if !tombstone.resurrecting_segments.contains(&segment) {
                tombstone.resurrecting_segments.push(segment);
                self.by_segment.entry(segment).or_default().push(id);
            }
        }
        self.remove_if_obsolete(id)
    }

    /// A segment was removed. Returns the ends that need not be retained any more.
    pub fn segment_removed(&mut self, segment: SegmentId) -> Vec<Position> {
        let mut dead = Vec::new();
        for id in self.by_segment.remove(&segment).unwrap_or_default() {
            if let Some(tombstone) = self.by_message.get_mut(&id) {
                tombstone.resurrecting_segments.retain(|other| *other != segment);
            }
            dead.extend(self.remove_if_obsolete(id));
        }
        dead
    }

    fn remove_if_obsolete(&mut self, id: MessageId) -> Vec<Position> {
        if !self.by_message.get(&id).is_some_and(Tombstone::is_obsolete) {
            return Vec::new();
        }
        self.by_message.remove(&id).map(|tombstone| tombstone.ends).unwrap_or_default()
    }

    /// An end was moved by compaction.
    pub fn relocate(&mut self, id: MessageId, from: Position, to: Position) {
        let Some(tombstone) = self.by_message.get_mut(&id) else { return };
        for end in tombstone.ends.iter_mut().filter(|end| **end == from) {
            *end = to;
        }
    }
}
