//! Configuration of a log: sizes and compaction.

use crate::position::framed_bytes;
use millrudder_checkpoint_store::{FILE_HEADER_BYTES, MAX_PAYLOAD_BYTES};

/// Smallest segment allowed, in bytes: in smaller ones, headers and syncs dominate.
const MIN_SEGMENT_BYTES: u64 = 1 << 10;

/// Bytes of a segment with a single record beside that record.
const SEGMENT_OVERHEAD_BYTES: u64 = FILE_HEADER_BYTES as u64 + framed_bytes(0);

/// Configuration of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentConfig {
    /// Greatest size of a segment file in bytes, unless it has a single record that is longer.
    pub segment_bytes: u64,
    /// Longest record in bytes, where that is more than fits in a segment: a longer record than that gets a segment of its
    /// own. At most [`MAX_PAYLOAD_BYTES`] and what `reserve_bytes` has room for; 0 if none is longer than a segment.
    pub oversized_record_bytes: u64,
    /// Greatest size of all segment files together in bytes.
    pub total_bytes: u64,
    /// The part of `total_bytes` that ordinary records leave free, in bytes. At least one segment, so that compaction
    /// always has capacity.
    pub reserve_bytes: u64,
    /// A sealed segment is compacted when less than this percentage of its bytes is live.
    pub compact_below_percent: u8,
    /// Mixed into the checksums of new segments, so that the author of a record's payload cannot forge frames in it: a
    /// number that is hard to guess. It may differ each time the log is opened.
    pub salt: u64,
}

impl Default for SegmentConfig {
    /// Segments of 4 MiB, 64 MiB in all, of which two segments are reserved; no record is longer than a segment; no salt.
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
            oversized_record_bytes: 0,
            total_bytes: 64 << 20,
            reserve_bytes: 8 << 20,
            compact_below_percent: 50,
            salt: 0,
        }
    }
}

/// Why a [`SegmentConfig`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// Segments are too small or too large.
    #[error("segment_bytes is {found}, must be {least} to {most}")]
    SegmentBytes {
        /// The configured size.
        found: u64,
        /// Smallest size.
        least: u64,
        /// Greatest size.
        most: u64,
    },
    /// Records may be longer than a frame or than the reserve.
    #[error("oversized_record_bytes is {found}, must be at most {most}")]
    OversizedRecordBytes {
        /// The configured length.
        found: u64,
        /// Greatest length.
        most: u64,
    },
    /// The reserve is smaller than a segment.
    #[error("reserve_bytes is {found}, must be at least segment_bytes, {least}")]
    ReserveTooSmall {
        /// The configured reserve.
        found: u64,
        /// Smallest reserve.
        least: u64,
    },
    /// The reserve leaves no capacity for ordinary records.
    #[error("total_bytes is {found}, must be at least reserve_bytes and segment_bytes together, {least}")]
    TotalTooSmall {
        /// The configured size.
        found: u64,
        /// Smallest size.
        least: u64,
    },
    /// The value is no percentage.
    #[error("compact_below_percent is {found}, must be at most 100")]
    Percentage {
        /// The configured percentage.
        found: u8,
    },
}

impl SegmentConfig {
    /// Length of the longest record, in bytes.
    #[must_use]
    pub const fn max_record_bytes(&self) -> u64 {
        let fits = self.segment_bytes - SEGMENT_OVERHEAD_BYTES;
        if self.oversized_record_bytes > fits {
            self.oversized_record_bytes
        } else {
            fits
        }
    }

    /// Rejects an invalid configuration.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let most = FILE_HEADER_BYTES as u64 + framed_bytes(MAX_PAYLOAD_BYTES as u32);
        if !(MIN_SEGMENT_BYTES..=most).contains(&self.segment_bytes) {
            let (found, least) = (self.segment_bytes, MIN_SEGMENT_BYTES);
            return Err(ConfigError::SegmentBytes { found, least, most });
        }
        if self.reserve_bytes < self.segment_bytes {
            let (found, least) = (self.reserve_bytes, self.segment_bytes);
            return Err(ConfigError::ReserveTooSmall { found, least });
        }
        let most = (MAX_PAYLOAD_BYTES as u64).min(self.reserve_bytes - SEGMENT_OVERHEAD_BYTES);
        if self.oversized_record_bytes > most {
            let found = self.oversized_record_bytes;
            return Err(ConfigError::OversizedRecordBytes { found, most });
        }
        let least = self.reserve_bytes.saturating_add(self.segment_bytes);
        if self.total_bytes < least {
            return Err(ConfigError::TotalTooSmall { found: self.total_bytes, least });
        }
        if self.compact_below_percent > 100 {
            return Err(ConfigError::Percentage { found: self.compact_below_percent });
        }
        Ok(())
    }
}
