//! Sizes of a log and its segments, and how much of them is live.

use crate::SegmentId;

/// Sizes of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUsage {
    /// The segment.
    pub segment: SegmentId,
    /// Size of its file in bytes, including records that are not written yet.
    pub file_bytes: u64,
    /// Bytes of its records that count as live, with their frames.
    pub live_bytes: u64,
}

/// Sizes of a log and its free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogUsage {
    /// The number of segments.
    pub segments: usize,
    /// Size of all files in bytes, including records that are not written yet.
    pub file_bytes: u64,
    /// Bytes of records that count as live, with their frames.
    pub live_bytes: u64,
    /// Bytes left for ordinary records.
    pub ordinary_capacity: u64,
    /// Bytes left for records that may use the reserve.
    pub reserved_capacity: u64,
}
