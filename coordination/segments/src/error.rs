//! Errors of a log.

use crate::{ConfigError, Position, SegmentId};
use millrudder_checkpoint_store::StorageError;

/// A failure of a [`SegmentLog`](crate::SegmentLog).
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SegmentError {
    /// The disk failed or is full, or synced data is damaged.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The configuration is invalid. Nothing was opened.
    #[error("the log's configuration cannot work")]
    Config(#[from] ConfigError),
    /// The record does not fit in the log's capacity. Nothing was written.
    #[error("log is full: {needed} bytes needed, {available} bytes left")]
    StorageFull {
        /// Bytes that the record would take, with its frame and, where one must begin, a new segment's header.
        needed: u64,
        /// Bytes left for records of this kind.
        available: u64,
    },
    /// The record does not fit in a segment. Nothing was written.
    #[error("record of {bytes} bytes is over the limit of {limit} bytes")]
    RecordTooLarge {
        /// Length of the record.
        bytes: u64,
        /// Greatest length allowed.
        limit: u64,
    },
    /// The segment does not exist, or was removed.
    #[error("there is no segment {0}")]
    UnknownSegment(SegmentId),
    /// The active segment, to which records are appended, cannot be removed or compacted. Roll first.
    #[error("segment {0} is the one being written")]
    ActiveSegment(SegmentId),
    /// The segment holds records that were not released.
    #[error("segment {segment} still holds {live_bytes} live bytes")]
    StillLive {
        /// The segment.
        segment: SegmentId,
        /// Bytes of its records that count as live, with their frames.
        live_bytes: u64,
    },
    /// More was released in a segment than is live, or more retained than was appended. Nothing was changed.
    #[error("the record at {0} was released or retained too often")]
    Accounting(Position),
}
