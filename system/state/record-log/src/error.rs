//! Errors of a store's record log.

use millrudder_segments::SegmentError;
use thiserror::Error;

/// A failure of a [`RecordLog`](crate::RecordLog).
#[derive(Debug, Error)]
pub enum RecordLogError {
    /// The log has no capacity for the record now. Nothing was written; the log remains usable.
    #[error("the log is full: {needed} bytes needed, {available} bytes left")]
    Full {
        /// Bytes that the record needs.
        needed: u64,
        /// Bytes left for records of its kind.
        available: u64,
    },
    /// The disk failed, or its data is damaged.
    #[error(transparent)]
    Segments(SegmentError),
    /// A complete record cannot be decoded, or a record cannot be encoded.
    #[error("a record on the disk cannot be read: {0}")]
    Unreadable(#[source] speedy::Error),
}

impl RecordLogError {
    /// Whether the log is only full, and remains usable.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}

impl From<SegmentError> for RecordLogError {
    fn from(error: SegmentError) -> Self {
        match error {
            SegmentError::StorageFull { needed, available } => Self::Full { needed, available },
            error => Self::Segments(error),
        }
    }
}
