//! The record log: appends, syncs, reclaims capacity, recovers.

use crate::error::RecordLogError;
use crate::live_records::LiveRecords;
use crate::record_effect::{RecordEffect, RecordKey};
use millrudder_checkpoint_store::{Folder, FILE_HEADER_BYTES, FRAME_HEADER_BYTES};
use millrudder_protocol::MessageId;
use millrudder_queue::{DiskRecord, Recovered};
use millrudder_segments::{LogUsage, Position, SegmentConfig, SegmentId, SegmentLog, SegmentUsage};
use speedy::{Readable, Writable};
use std::time::Duration;

/// In a nearly full log, segments are compacted below this percentage of live bytes: above it, they reclaim too little
/// for their cost.
const COMPACT_BELOW_PERCENT_WHEN_NEARLY_FULL: u8 = 85;
/// File headers that the records of a compacted segment may need: they are moved to two segments at the most.
const MOVED_HEADERS: u64 = 2;

/// A record in its form on the disk: with the time of day, in milliseconds since 1970, at which it was written.
#[derive(Readable)]
struct TimestampedRecord {
    written_ms: u64,
    record: DiskRecord,
}

/// A [`TimestampedRecord`] that is to be written.
#[derive(Writable)]
struct TimestampedRecordRef<'a> {
    written_ms: u64,
    record: &'a DiskRecord,
}

/// The records of one store.
pub struct RecordLog<F: Folder> {
    log: SegmentLog<F>,
    live: LiveRecords,
    config: SegmentConfig,
    /// A lower bound of the bytes left for changes and promises; computed again where it does not suffice.
    known_capacity: u64,
}

/// An open log and the records that it recovered.
pub struct Opened<F: Folder> {
    /// The log.
    pub log: RecordLog<F>,
    /// The live records: states of messages first, then all others.
    pub records: Vec<Recovered>,
}

impl<F: Folder> RecordLog<F> {
    /// Opens the log in `folder`, or creates it; `now_ms` is the time of day in milliseconds since 1970.
    ///
    /// `config.reserve_bytes` should be two segments or more: one is reserved for compaction, the others for changes of
    /// messages.
    ///
    /// # Errors
    /// [`RecordLogError::Segments`] if the disk fails, data is damaged or the configuration is invalid;
    /// [`RecordLogError::Unreadable`] if a record cannot be decoded.
    pub fn open(folder: F, config: SegmentConfig, now_ms: u64) -> Result<Opened<F>, RecordLogError> {
        let (mut records, mut live) = (Vec::new(), LiveRecords::default());
        let mut unreadable = None;
        let compact_below_percent = config.compact_below_percent.max(COMPACT_BELOW_PERCENT_WHEN_NEARLY_FULL);
        let eager_config = SegmentConfig { compact_below_percent, ..config };
        let log = SegmentLog::open(folder, eager_config, |position, bytes| {
            let timestamped = match TimestampedRecord::read_from_buffer(bytes) {
                Ok(timestamped) => timestamped,
                Err(error) => {
                    unreadable.get_or_insert(error);
                    return;
                }
            };
            live.insert_recovered(position, &timestamped.record);
            let age = Duration::from_millis(now_ms.saturating_sub(timestamped.written_ms));
            records.push(Recovered { record: timestamped.record, age });
        })?;
        if let Some(error) = unreadable {
            return Err(RecordLogError::Unreadable(error));
        }
        live.finish_recovery();
        records.retain(|recovered| live.is_live(RecordKey::of(&recovered.record)));
        records.sort_by_key(|recovered| !is_state(&recovered.record));
        Ok(Opened { log: RecordLog { log, live, config, known_capacity: 0 }, records })
    }

    /// Appends a record, written at the time of day `now_ms`. It is durable once [`RecordLog::sync`] returned. Compacts
    /// where the capacity does not suffice otherwise.
    ///
    /// # Errors
    /// [`RecordLogError::Full`], with nothing written; [`RecordLogError::Segments`] if the disk fails.
    pub fn append(&mut self, now_ms: u64, record: &DiskRecord) -> Result<(), RecordLogError> {
        let bytes = TimestampedRecordRef { written_ms: now_ms, record }
            .write_to_vec()
            .map_err(RecordLogError::Unreadable)?;
        let position = match self.write(&bytes, record) {
            Err(RecordLogError::Full { .. }) => {
                self.free_capacity()?;
                self.write(&bytes, record)?
            }
            written => written?,
        };
        self.live.insert_appended(position, record);
        Ok(())
    }

    fn write(&mut self, bytes: &[u8], record: &DiskRecord) -> Result<Position, RecordLogError> {
        let needed = (bytes.len() + FRAME_HEADER_BYTES + FILE_HEADER_BYTES) as u64;
        if is_state(record) {
            let position = self.log.append(bytes)?;
            self.known_capacity = self.known_capacity.saturating_sub(needed);
            return Ok(position);
        }
        if needed > self.known_capacity {
            self.known_capacity =
                self.log.usage().reserved_capacity.saturating_sub(self.config.segment_bytes);
        }
        if needed > self.known_capacity {
            return Err(RecordLogError::Full { needed, available: self.known_capacity });
        }
        let position = self.log.append_reserved(bytes)?;
        self.known_capacity -= needed;
        Ok(position)
    }

    /// Releases a message: of its records only those of its end are retained, as long as needed.
    pub fn release(&mut self, id: MessageId) {
        self.live.release(id);
    }

    /// Waits until all appended records are durable.
    ///
    /// # Errors
    /// The disk fails; what was appended since the last sync may or may not be durable.
    pub fn sync(&mut self) -> Result<(), RecordLogError> {
        Ok(self.log.sync()?)
    }

    /// Verifies that the disk accepts writes, by creating a new segment.
    ///
    /// # Errors
    /// It does not accept writes.
    pub fn verify_writable(&mut self) -> Result<(), RecordLogError> {
        Ok(self.log.roll()?)
    }

    /// Sizes and free capacity of the log.
    #[must_use]
    pub fn usage(&self) -> LogUsage {
        self.log.usage()
    }

    /// Whether less than a segment is left for messages: no new ones should be accepted.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.log.usage().ordinary_capacity < self.config.segment_bytes
    }

    /// Releases dead records and compacts one sparse segment, or several if the log is nearly full.
    ///
    /// # Errors
    /// The disk fails.
    pub fn reclaim(&mut self) -> Result<(), RecordLogError> {
        if self.is_nearly_full() {
            return self.free_capacity();
        }
        let percent = u64::from(self.config.compact_below_percent);
        let is_sparse = |usage: &SegmentUsage| usage.live_bytes * 100 < usage.file_bytes * percent;
        self.compact_one(is_sparse)?;
        Ok(())
    }

    /// Compacts until the log is no longer nearly full or no segment is left to compact.
    fn free_capacity(&mut self) -> Result<(), RecordLogError> {
        while self.compact_one(|_| true)? {
            if !self.is_nearly_full() {
                break;
            }
        }
        Ok(())
    }

    /// Releases dead records and compacts the emptiest segment if it is sparse; returns whether it did.
    fn compact_one(&mut self, is_sparse: impl Fn(&SegmentUsage) -> bool) -> Result<bool, RecordLogError> {
        for position in self.live.take_dead() {
            self.log.release(position)?;
        }
        let emptiest = self.log.segments_to_compact().into_iter().next();
        let Some(usage) = emptiest.filter(|usage| is_sparse(usage) && self.can_evacuate(usage)) else {
            return Ok(false);
        };
        self.evacuate(usage.segment)?;
        self.log.remove_segment(usage.segment)?;
        self.live.segment_removed(usage.segment);
        Ok(true)
    }

    /// Whether all live records of a segment can be moved. A segment is evacuated completely or not at all: a part would
    /// leave second copies that are not accounted for.
    fn can_evacuate(&self, usage: &SegmentUsage) -> bool {
        let needed = usage.live_bytes + MOVED_HEADERS * FILE_HEADER_BYTES as u64;
        usage.live_bytes == 0 || needed <= self.log.usage().reserved_capacity
    }

    /// Appends the live records of a segment again.
    fn evacuate(&mut self, segment: SegmentId) -> Result<(), RecordLogError> {
        for position in self.live.positions_in(segment) {
            let bytes = self.log.read(position)?;
            let moved = self.log.append_reserved(&bytes)?;
            self.known_capacity = 0;
            self.live.relocate(position, moved);
            self.log.release(position)?;
        }
        Ok(())
    }
}

/// States of messages use the ordinary capacity; other records allow capacity to be reclaimed, or are as rare as
/// promises.
fn is_state(record: &DiskRecord) -> bool {
    RecordEffect::of(record).is_state()
}
