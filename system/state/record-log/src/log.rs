//! The log: append, sync, give space back, read all of it.

use crate::error::RecordLogError;
use crate::fact::{Fact, Subject};
use crate::space::Space;
use millrudder_checkpoint_store::{Folder, FILE_HEADER_BYTES, FRAME_HEADER_BYTES};
use millrudder_protocol::MessageId;
use millrudder_queue::{DiskRecord, Recovered};
use millrudder_segments::{LogUsage, Position, SegmentConfig, SegmentId, SegmentLog, SegmentUsage};
use speedy::{Readable, Writable};

/// Where room is short, segments are compacted up to this live share, in percent: those above give too little back
/// for what they cost.
const COMPACT_BELOW_WHEN_SHORT_PERCENT: u8 = 85;
/// File headers that a compacted segment's records may need where they go: they lie in two segments at the most.
const MOVED_HEADERS: u64 = 2;

/// A record as it lies on the disk: with the time of day, in milliseconds since 1970, at which it was written.
#[derive(Readable)]
struct Stamped {
    written_ms: u64,
    record: DiskRecord,
}

/// A [`Stamped`] record that is to be written.
#[derive(Writable)]
struct Stamping<'a> {
    written_ms: u64,
    record: &'a DiskRecord,
}

/// The records of one store.
pub struct RecordLog<F: Folder> {
    log: SegmentLog<F>,
    space: Space,
    config: SegmentConfig,
    /// Bytes that changes and promises may take for sure; found anew where they do not suffice.
    known_room: u64,
}

/// A log and what it held.
pub struct Opened<F: Folder> {
    pub log: RecordLog<F>,
    /// Messages first, then what became known of them.
    pub records: Vec<Recovered>,
}

impl<F: Folder> RecordLog<F> {
    /// Opens the log in `folder`, or makes it; `now_ms` is the time of day.
    ///
    /// `config.reserve_bytes` should be two segments or more: one is kept for compaction, changes of messages get the
    /// rest.
    ///
    /// # Errors
    /// The folder cannot be used, or holds something else.
    pub fn open(folder: F, config: SegmentConfig, now_ms: u64) -> Result<Opened<F>, RecordLogError> {
        let (mut records, mut space, mut damaged) = (Vec::new(), Space::default(), false);
        let compact_below_percent = config.compact_below_percent.max(COMPACT_BELOW_WHEN_SHORT_PERCENT);
        let eager = SegmentConfig { compact_below_percent, ..config };
        let log = SegmentLog::open(folder, eager, |position, bytes| {
            let Ok(stamped) = Stamped::read_from_buffer(bytes) else {
                damaged = true;
                return;
            };
            space.found(position, &stamped.record);
            let age_ms = now_ms.saturating_sub(stamped.written_ms);
            records.push(Recovered { record: stamped.record, age_ms });
        })?;
        if damaged {
            return Err(RecordLogError::Unreadable);
        }
        space.found_all();
        records.retain(|recovered| space.needs(Subject::of(&recovered.record)));
        records.sort_by_key(|recovered| !is_message(&recovered.record));
        Ok(Opened { log: RecordLog { log, space, config, known_room: 0 }, records })
    }

    /// Takes a record; it lasts once [`RecordLog::sync`] returned. Compacts if there is no room otherwise.
    ///
    /// # Errors
    /// [`RecordLogError::Full`] with nothing written; others if the disk fails.
    pub fn append(&mut self, now_ms: u64, record: &DiskRecord) -> Result<(), RecordLogError> {
        let bytes =
            Stamping { written_ms: now_ms, record }.write_to_vec().map_err(|_| RecordLogError::Unreadable)?;
        let position = match self.write(&bytes, record) {
            Err(RecordLogError::Full { .. }) => {
                self.make_room()?;
                self.write(&bytes, record)?
            }
            written => written?,
        };
        self.space.wrote(position, record);
        Ok(())
    }

    fn write(&mut self, bytes: &[u8], record: &DiskRecord) -> Result<Position, RecordLogError> {
        let needed = (bytes.len() + FRAME_HEADER_BYTES + FILE_HEADER_BYTES) as u64;
        if is_message(record) {
            let position = self.log.append(bytes)?;
            self.known_room = self.known_room.saturating_sub(needed);
            return Ok(position);
        }
        if needed > self.known_room {
            self.known_room = self.log.usage().reserved_capacity.saturating_sub(self.config.segment_bytes);
        }
        if needed > self.known_room {
            return Err(RecordLogError::Full { needed, room: self.known_room });
        }
        let position = self.log.append_reserved(bytes)?;
        self.known_room -= needed;
        Ok(position)
    }

    /// Nothing about this message is needed any more but that it has ended.
    pub fn release(&mut self, id: MessageId) {
        self.space.release(id);
    }

    /// Waits until all records taken are on the disk.
    ///
    /// # Errors
    /// The disk fails; what was taken since the last sync may or may not last.
    pub fn sync(&mut self) -> Result<(), RecordLogError> {
        Ok(self.log.sync()?)
    }

    /// Shows by a new segment that the disk takes writes.
    ///
    /// # Errors
    /// It does not.
    pub fn prove(&mut self) -> Result<(), RecordLogError> {
        Ok(self.log.roll()?)
    }

    /// How full the log is.
    #[must_use]
    pub fn usage(&self) -> LogUsage {
        self.log.usage()
    }

    /// Less than a segment is left for messages: no new ones should be taken.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.log.usage().ordinary_capacity < self.config.segment_bytes
    }

    /// Frees what nobody needs, and one segment that is nearly empty, or several where room is short.
    ///
    /// # Errors
    /// The disk fails.
    pub fn give_back(&mut self) -> Result<(), RecordLogError> {
        if self.is_short() {
            return self.make_room();
        }
        let below = u64::from(self.config.compact_below_percent);
        let is_worth = |usage: &SegmentUsage| usage.live_bytes * 100 < usage.file_bytes * below;
        self.compact_one(is_worth)?;
        Ok(())
    }

    /// Compacts until room is no longer short or nothing is worth it.
    fn make_room(&mut self) -> Result<(), RecordLogError> {
        while self.compact_one(|_| true)? {
            if !self.is_short() {
                break;
            }
        }
        Ok(())
    }

    /// Frees what nobody needs, and the emptiest segment if it is worth it; returns whether there was one.
    fn compact_one(&mut self, is_worth: impl Fn(&SegmentUsage) -> bool) -> Result<bool, RecordLogError> {
        for position in self.space.take_free() {
            self.log.release(position)?;
        }
        let emptiest = self.log.segments_to_compact().into_iter().next();
        let Some(usage) = emptiest.filter(|usage| is_worth(usage) && self.can_move(usage)) else {
            return Ok(false);
        };
        self.empty_segment(usage.segment)?;
        self.log.remove_segment(usage.segment)?;
        self.space.segment_removed(usage.segment);
        Ok(true)
    }

    /// A segment is emptied as a whole or not at all: there is no second copy of a record that nobody counts.
    fn can_move(&self, usage: &SegmentUsage) -> bool {
        let needed = usage.live_bytes + MOVED_HEADERS * FILE_HEADER_BYTES as u64;
        usage.live_bytes == 0 || needed <= self.log.usage().reserved_capacity
    }

    /// Writes the needed records of a segment again.
    fn empty_segment(&mut self, segment: SegmentId) -> Result<(), RecordLogError> {
        for position in self.space.live_in(segment) {
            let bytes = self.log.read(position)?;
            let moved = self.log.append_reserved(&bytes)?;
            self.known_room = 0;
            self.space.moved(position, moved);
            self.log.release(position)?;
        }
        Ok(())
    }
}

/// Messages take the ordinary room; all else lets room be freed, or is as rare as promises are.
fn is_message(record: &DiskRecord) -> bool {
    Fact::of(record).is_state()
}
