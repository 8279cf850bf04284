//! What can go wrong with a store's records.

use millrudder_segments::SegmentError;
use thiserror::Error;

/// A failure of a [`RecordLog`](crate::RecordLog).
#[derive(Debug, Error)]
pub enum RecordLogError {
    /// The record does not fit now; nothing was written, and the log goes on.
    #[error("the log is full: {needed} bytes needed, {room} bytes left")]
    Full {
        /// Bytes that the record would take.
        needed: u64,
        /// Bytes left for records of its kind.
        room: u64,
    },
    /// The disk failed, or what it holds is damaged.
    #[error(transparent)]
    Segments(SegmentError),
    /// A whole record is none of this program's.
    #[error("a record on the disk cannot be read")]
    Unreadable,
}

impl RecordLogError {
    /// The log is only full, not broken.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}

impl From<SegmentError> for RecordLogError {
    fn from(error: SegmentError) -> Self {
        match error {
            SegmentError::StorageFull { needed, available } => Self::Full { needed, room: available },
            error => Self::Segments(error),
        }
    }
}
