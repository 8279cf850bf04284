//! Identifiers of segments and positions of records.

use millrudder_checkpoint_store::{FileName, FileNamePrefix, FRAME_HEADER_BYTES};
use speedy::{Readable, Writable};
use std::fmt;

/// Names of segment files: their number is the segment's id.
const SEGMENT: FileNamePrefix = FileNamePrefix::new("segment");

/// A segment of a log; later segments have greater ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct SegmentId(pub u64);

impl SegmentId {
    pub(crate) const FIRST: Self = Self(0);

    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    pub(crate) fn file(self) -> FileName {
        SEGMENT.file(self.0)
    }

    pub(crate) fn of_file(name: &FileName) -> Option<Self> {
        SEGMENT.number(name).map(Self)
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Position of a record in a log. Positions ascend in the order in which records were appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Position {
    /// The segment.
    pub segment: SegmentId,
    /// Offset of the record's frame, in bytes from the start of the segment's file.
    pub offset: u32,
    /// Length of the record in bytes.
    pub length: u32,
}

impl Position {
    /// Bytes of the record in its segment, with its frame.
    #[must_use]
    pub const fn framed_bytes(&self) -> u64 {
        framed_bytes(self.length)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "byte {} of segment {}", self.offset, self.segment)
    }
}

/// Bytes of a record of `length` bytes with its frame.
pub(crate) const fn framed_bytes(length: u32) -> u64 {
    length as u64 + FRAME_HEADER_BYTES as u64
}
