//! What must outlive a released message: the records of its end, as long as a segment holds the message without it.
//!
//! An end that lies in the same segment as the message goes with it, and need not be kept for its sake.

use millrudder_protocol::MessageId;
use millrudder_segments::{Position, SegmentId};
use std::collections::BTreeMap;

/// What is left of a released message.
#[derive(Debug, Default)]
struct Remnant {
    /// Records that say that it has ended.
    ends: Vec<Position>,
    /// Segments that hold the message without its end.
    revived_by: Vec<SegmentId>,
}

impl Remnant {
    /// No removal of segments brings the message back.
    fn is_safe(&self) -> bool {
        let holds_end = |segment: &SegmentId| self.ends.iter().any(|end| end.segment == *segment);
        self.revived_by.iter().all(holds_end)
    }
}

/// What is left of all released messages that a segment could bring back.
#[derive(Debug, Default)]
pub(crate) struct Remains {
    remnants: BTreeMap<MessageId, Remnant>,
    /// The messages that each segment could bring back.
    by_segment: BTreeMap<SegmentId, Vec<MessageId>>,
}

impl Remains {
    /// Takes a released message. Returns which of `ends` are needed no more.
    pub fn add(
        &mut self,
        id: MessageId,
        ends: Vec<Position>,
        revived_by: impl IntoIterator<Item = SegmentId>,
    ) -> Vec<Position> {
        let remnant = self.remnants.entry(id).or_default();
        remnant.ends.extend(ends);
        for segment in revived_by {
            if !remnant.revived_by.contains(&segment) {
                remnant.revived_by.push(segment);
                self.by_segment.entry(segment).or_default().push(id);
            }
        }
        self.drop_if_safe(id)
    }

    /// A segment is there no more. Returns the ends that are needed no more.
    pub fn segment_removed(&mut self, segment: SegmentId) -> Vec<Position> {
        let mut free = Vec::new();
        for id in self.by_segment.remove(&segment).unwrap_or_default() {
            if let Some(remnant) = self.remnants.get_mut(&id) {
                remnant.revived_by.retain(|other| *other != segment);
            }
            free.extend(self.drop_if_safe(id));
        }
        free
    }

    fn drop_if_safe(&mut self, id: MessageId) -> Vec<Position> {
        if !self.remnants.get(&id).is_some_and(Remnant::is_safe) {
            return Vec::new();
        }
        self.remnants.remove(&id).map(|remnant| remnant.ends).unwrap_or_default()
    }

    /// An end was written again elsewhere.
    pub fn moved(&mut self, id: MessageId, from: Position, to: Position) {
        let Some(remnant) = self.remnants.get_mut(&id) else { return };
        for end in remnant.ends.iter_mut().filter(|end| **end == from) {
            *end = to;
        }
    }
}
