//! An append-only store of records in segment files, with group commit and compaction.
//!
//! [`SegmentLog`] keeps many records of any size, such as messages and what became of them. Records are appended to
//! the newest segment; a full one is sealed and the next begun. Its owner indexes records by [`Position`], releases
//! those that no longer count, and gives space back by removing segments in which nothing is live:
//!
//! - [`SegmentLog::append`] takes a record, [`SegmentLog::sync`] makes all taken so far last at the cost of one sync.
//! - [`SegmentLog::release`] counts a record out. [`SegmentLog::segments_to_compact`] names the sealed segments that
//!   are mostly dead: append their live records again, release the old ones, then [`SegmentLog::remove_segment`].
//! - The size of all segments together is bounded. Ordinary records leave a reserve, which is for records that let
//!   space be freed, such as ends of messages and what compaction appends again.
//!
//! Promised, whatever a loss of power keeps, loses or tears of what was not synced:
//!
//! - Records for which a sync returned are recovered, in the order in which they were appended, without a gap except
//!   for removed segments. Each removal lasts before the next one begins.
//! - What one [`SegmentLog::open`] recovered is recovered by the next one as well: it is synced first.
//! - Damage to synced data ends in [`StorageError::Corrupt`](millrudder_checkpoint_store::StorageError::Corrupt) with file and
//!   offset wherever a later write proves that the data had been synced; in a sealed segment, always.
//!
//! A record that says that another one no longer counts must stay live until the segment of the other one is removed;
//! otherwise the other one could come back without it. [`SegmentLog::oldest_segment`] tells when.
//!
//! A record that compaction appends again is recovered after all that was appended before, also after records that
//! were once later than it. Either the order of the records of one subject must not matter to the owner, or the owner
//! appends one record with all that is known of the subject instead, and releases the older ones.
//!
//! Calls block; the log belongs to one thread. A failed write or sync makes it refuse all further ones until it is
//! opened again.
//!
//! ```
//! use millrudder_segments::{SegmentConfig, SegmentLog};
//! use millrudder_checkpoint_store::SimulatedFolder;
//!
//! # fn main() -> Result<(), millrudder_segments::SegmentError> {
//! let folder = SimulatedFolder::new(7);
//! let config = SegmentConfig { salt: 0x5eed, ..SegmentConfig::default() };
//! let mut log = SegmentLog::open(folder.clone(), config, |_, _| {})?;
//!
//! let first = log.append(b"message 1")?;
//! let second = log.append(b"message 2")?;
//! log.sync()?;
//! assert_eq!(log.read(first)?, b"message 1");
//!
//! folder.lose_power();
//! let mut recovered = Vec::new();
//! let mut log = SegmentLog::open(folder, config, |position, record| recovered.push((position, record.to_vec())))?;
//! assert_eq!(recovered, [(first, b"message 1".to_vec()), (second, b"message 2".to_vec())]);
//!
//! log.roll()?;
//! log.release(first)?;
//! log.release(second)?;
//! let segment = log.segments_to_compact()[0].segment;
//! log.remove_segment(segment)?;
//! # Ok(())
//! # }
//! ```

#![forbid(unsafe_code)]

mod config;
mod error;
mod inspect;
mod log;
mod position;
mod recovery;
mod segment;
mod usage;

pub use config::{ConfigError, SegmentConfig};
pub use error::SegmentError;
pub use inspect::{inspect, LogReport, SegmentReport, SegmentState};
pub use log::SegmentLog;
pub use position::{Position, SegmentId};
pub use usage::{LogUsage, SegmentUsage};
