//! Sizes of a log.

use crate::position::framed_bytes;
use millrudder_checkpoint_store::{FILE_HEADER_BYTES, MAX_PAYLOAD_BYTES};

/// Smallest segment allowed, in bytes: smaller ones are mostly headers and syncs.
const MIN_SEGMENT_BYTES: u64 = 1 << 10;

/// How large a log and its segments may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentConfig {
    /// Greatest size of a segment file in bytes; bounds the longest record as well.
    pub segment_bytes: u64,
    /// Greatest size of all segment files together in bytes.
    pub total_bytes: u64,
    /// The part of `total_bytes` that ordinary records leave free, in bytes. At least one segment, so that compaction
    /// always finds room.
    pub reserve_bytes: u64,
    /// A sealed segment is worth compacting when less than this share of it is live, in percent.
    pub compact_below_percent: u8,
    /// Mixed into the checksums of new segments, so that who writes the payload of a record cannot forge frames in
    /// it: a number that is hard to guess. It may be another one each time the log is opened.
    pub salt: u64,
}

impl Default for SegmentConfig {
    /// Segments of 4 MiB, 64 MiB in all, of which two segments are reserved; no salt.
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
            total_bytes: 64 << 20,
            reserve_bytes: 8 << 20,
            compact_below_percent: 50,
            salt: 0,
        }
    }
}

/// Why a [`SegmentConfig`] cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// Segments are too small or too large.
    #[error("segment_bytes is {found}, must be {least} to {most}")]
    SegmentBytes {
        /// The size asked for.
        found: u64,
        /// Smallest size.
        least: u64,
        /// Greatest size.
        most: u64,
    },
    /// The reserve is smaller than a segment.
    #[error("reserve_bytes is {found}, must be at least segment_bytes, {least}")]
    ReserveTooSmall {
        /// The reserve asked for.
        found: u64,
        /// Smallest reserve.
        least: u64,
    },
    /// The reserve leaves no room for ordinary records.
    #[error("total_bytes is {found}, must be at least reserve_bytes and segment_bytes together, {least}")]
    TotalTooSmall {
        /// The size asked for.
        found: u64,
        /// Smallest size.
        least: u64,
    },
    /// The share is no percentage.
    #[error("compact_below_percent is {found}, must be at most 100")]
    Percentage {
        /// The share asked for.
        found: u8,
    },
}

impl SegmentConfig {
    /// Length of the longest record that fits in a segment, in bytes.
    #[must_use]
    pub const fn max_record_bytes(&self) -> u64 {
        self.segment_bytes - FILE_HEADER_BYTES as u64 - framed_bytes(0)
    }

    /// Refuses sizes that cannot work.
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
