//! A segmented append-only log of records, with group commit and compaction.
//!
//! [`SegmentLog`] stores many records of any size, such as messages and their state changes. Records are appended to the
//! active segment; a full one is sealed and the next created. The owner indexes records by [`Position`], releases those
//! that it no longer needs, and reclaims capacity by removing segments without live records:
//!
//! - [`SegmentLog::append`] adds a record; [`SegmentLog::sync`] makes all appended so far durable with one sync.
//! - [`SegmentLog::release`] marks a record as dead. [`SegmentLog::segments_to_compact`] lists the sealed segments that
//!   are mostly dead: append their live records again, release the old ones, then [`SegmentLog::remove_segment`].
//! - The size of all segments together is bounded. Ordinary records leave a reserve for records that allow capacity to
//!   be reclaimed, such as ends of messages and records moved by compaction.
//!
//! Guaranteed, whatever outcome a loss of power has for unsynced changes:
//!
//! - Records for which a sync returned are recovered, in the order in which they were appended, without a gap except
//!   for removed segments. Each removal is durable before the next one begins.
//! - What one [`SegmentLog::open`] recovered is recovered by the next one as well: it is synced first.
//! - Damage to synced data ends in [`StorageError::Corrupt`](millrudder_checkpoint_store::StorageError::Corrupt) with file and
//!   offset wherever a later write proves that the data had been synced; in a sealed segment, always.
//!
//! The embedder must keep a record that supersedes another one (a tombstone) live until the segment of the other one is
//! removed; otherwise the other one could be recovered without it. [`SegmentLog::oldest_segment`] shows when.
//!
//! A record that compaction appends again is recovered after all that was appended before, also after records that
//! once followed it. Either the order of the records of one key must not matter to the owner, or the owner appends one
//! record with the merged state of the key instead, and releases the older ones.
//!
//! Calls block; the log belongs to one thread. A failed write or sync makes it reject all further ones until it is
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
