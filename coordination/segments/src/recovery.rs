//! Reads the segments of a folder back in order.

use crate::segment::position;
use crate::{Position, SegmentId};
use millrudder_checkpoint_store::{Damage, FileKind, Folder, RecordFileContents, StorageError};

/// The ids of the segments in a folder, ascending.
pub(crate) fn segment_ids<F: Folder>(folder: &F) -> Result<Vec<SegmentId>, StorageError> {
    Ok(folder.list()?.iter().filter_map(SegmentId::of_file).collect())
}

/// Reads one segment. `None`: power was lost while it was being created, which is valid for the newest segment only.
pub(crate) fn load<F: Folder>(folder: &F, id: SegmentId) -> Result<Option<RecordFileContents>, StorageError> {
    RecordFileContents::load(folder, &id.file(), FileKind::Segment, id.0)
}

/// Reads a segment that was sealed, so that all of it was synced.
pub(crate) fn load_sealed<F: Folder>(folder: &F, id: SegmentId) -> Result<RecordFileContents, StorageError> {
    let damaged = |offset, damage| StorageError::Corrupt { file: id.file(), offset, damage };
    let contents = load(folder, id)?.ok_or_else(|| damaged(0, Damage::Header))?;
    if contents.torn_bytes() > 0 {
        return Err(damaged(contents.end(), Damage::Frame));
    }
    Ok(contents)
}

/// Checks that power may have been lost while the newest segment, whose header is incomplete, was being created: the
/// segment before it is removed only later.
pub(crate) fn check_unfinished(newest: SegmentId, previous: Option<SegmentId>) -> Result<(), StorageError> {
    let follows = match previous {
        Some(previous) => previous.next() == newest,
        None => newest == SegmentId::FIRST,
    };
    if follows {
        return Ok(());
    }
    Err(StorageError::Corrupt { file: newest.file(), offset: 0, damage: Damage::Header })
}

/// Checks that segments continue one another: tracks the end of those read so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Continuity {
    last: Option<End>,
}

/// The end of a sealed segment.
#[derive(Clone, Copy, Debug)]
struct End {
    segment: SegmentId,
    bytes: u64,
    next_sequence: u64,
}

impl Continuity {
    pub const fn new() -> Self {
        Self { last: None }
    }

    /// Checks that segment `id` continues where the one before it ended; segments between the two may have been removed.
    pub fn check_next(&mut self, id: SegmentId, contents: &RecordFileContents) -> Result<(), StorageError> {
        let first = contents.header.first_sequence;
        if let Some(end) = self.last {
            check_end(end, id, first)?;
        }
        let (bytes, next_sequence) = (contents.end(), contents.next_sequence());
        self.last = Some(End { segment: id, bytes, next_sequence });
        Ok(())
    }
}

fn check_end(end: End, next: SegmentId, first: u64) -> Result<(), StorageError> {
    if end.next_sequence > first {
        let damage = Damage::Sequence { expected: end.next_sequence, found: first };
        return Err(StorageError::Corrupt { file: next.file(), offset: 0, damage });
    }
    if end.segment.next() == next && end.next_sequence < first {
        // The segment was truncated between two records.
        let file = end.segment.file();
        return Err(StorageError::Corrupt { file, offset: end.bytes, damage: Damage::Frame });
    }
    Ok(())
}

/// Calls `visit` with each record of a segment and its position.
pub(crate) fn visit_records(
    id: SegmentId,
    contents: &RecordFileContents,
    visit: &mut impl FnMut(Position, &[u8]),
) {
    for record in contents.records() {
        visit(position(id, record.offset, record.payload.len()), record.payload);
    }
}
