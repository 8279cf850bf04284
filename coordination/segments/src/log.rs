//! The log of segments.

use crate::position::framed_bytes;
use crate::recovery::{self, Continuity};
use crate::segment::Segment;
use crate::{LogUsage, Position, SegmentConfig, SegmentError, SegmentId, SegmentUsage};
use millrudder_checkpoint_store::{Folder, StorageError, FILE_HEADER_BYTES};
use std::collections::BTreeMap;

/// An append-only store of records in segment files.
#[derive(Debug)]
pub struct SegmentLog<F: Folder> {
    folder: F,
    config: SegmentConfig,
    sealed: BTreeMap<SegmentId, Segment<F::File>>,
    active: Segment<F::File>,
    sealed_bytes: u64,
    poisoned: bool,
}

impl<F: Folder> SegmentLog<F> {
    /// Opens the log in `folder`, or makes it if there is none, and shows `visit` every record in the order in which
    /// they were appended. All records count as live; the owner releases those that do not. Files of other names are
    /// left alone. Reads each byte once, one segment at a time.
    ///
    /// # Errors
    /// [`SegmentError::Config`]; [`SegmentError::Storage`] if synced data is damaged or the disk fails, possibly after
    /// some records were shown.
    pub fn open(
        folder: F,
        config: SegmentConfig,
        mut visit: impl FnMut(Position, &[u8]),
    ) -> Result<Self, SegmentError> {
        config.check()?;
        let mut ids = recovery::segment_ids(&folder)?;
        let newest = take_newest(&folder, &mut ids)?;
        let mut sealed = BTreeMap::new();
        let mut continuity = Continuity::new();
        for id in ids {
            let contents = recovery::load_sealed(&folder, id)?;
            continuity.follow(id, &contents)?;
            sealed.insert(id, Segment::reopen(&folder, id, &contents)?);
            recovery::visit_records(id, &contents, &mut visit);
        }
        let active = match newest {
            Some((id, contents)) => {
                continuity.follow(id, &contents)?;
                let active = Segment::resume(&folder, id, &contents)?;
                // A process that was killed may have left the name unsynced, and an unfinished segment was removed.
                folder.sync()?;
                recovery::visit_records(id, &contents, &mut visit);
                active
            }
            None => Segment::create(&folder, SegmentId::FIRST, 0, &config)?,
        };
        let sealed_bytes = sealed.values().map(|segment| segment.file.length()).sum();
        Ok(Self { folder, config, sealed, active, sealed_bytes, poisoned: false })
    }

    /// Takes an ordinary record; it lasts once [`SegmentLog::sync`] returned, together with all taken before it. It
    /// counts as live until it is released.
    ///
    /// Rolls first if the record does not fit in the newest segment.
    ///
    /// # Errors
    /// [`SegmentError::StorageFull`] and [`SegmentError::RecordTooLarge`], with nothing written;
    /// [`SegmentError::Storage`].
    pub fn append(&mut self, record: &[u8]) -> Result<Position, SegmentError> {
        let limit = self.config.total_bytes - self.config.reserve_bytes;
        self.append_below(limit, record)
    }

    /// Takes a record that lets space be freed, and may use the reserve for it.
    ///
    /// # Errors
    /// As [`SegmentLog::append`].
    pub fn append_reserved(&mut self, record: &[u8]) -> Result<Position, SegmentError> {
        self.append_below(self.config.total_bytes, record)
    }

    fn append_below(&mut self, limit: u64, record: &[u8]) -> Result<Position, SegmentError> {
        self.check_sound()?;
        let framed = self.checked_framed_bytes(record)?;
        let rolls = self.active.file.length() + framed > self.config.segment_bytes;
        let needed = if rolls { framed + FILE_HEADER_BYTES as u64 } else { framed };
        let room = limit.saturating_sub(self.file_bytes());
        if needed > room {
            return Err(SegmentError::StorageFull { needed, room });
        }
        if rolls {
            self.roll()?;
        }
        Ok(self.active.append(record)?)
    }

    fn checked_framed_bytes(&self, record: &[u8]) -> Result<u64, SegmentError> {
        let (bytes, limit) = (record.len() as u64, self.config.max_record_bytes());
        match u32::try_from(bytes) {
            Ok(length) if bytes <= limit => Ok(framed_bytes(length)),
            _ => Err(SegmentError::RecordTooLarge { bytes, limit }),
        }
    }

    /// Waits until all records taken are on disk: one write and one sync for all of them, or nothing if none is new.
    ///
    /// # Errors
    /// [`SegmentError::Storage`]; the records may or may not last then, and the log refuses further writes.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        self.check_sound()?;
        Ok(self.active.file.sync()?)
    }

    /// Seals the newest segment and begins the next, unless it has no records yet. All records taken are on disk
    /// then. Costs two syncs of files and one of the folder.
    ///
    /// # Errors
    /// [`SegmentError::Storage`]; the log refuses further writes then.
    pub fn roll(&mut self) -> Result<(), SegmentError> {
        self.check_sound()?;
        if self.active.record_bytes() == 0 {
            return Ok(());
        }
        self.sync()?;
        let (id, sequence) = (self.active.id.next(), self.active.file.next_sequence());
        // After a failure the next segment may be there or not: going on in the one before it could contradict it.
        self.poisoned = true;
        let next = Segment::create(&self.folder, id, sequence, &self.config)?;
        self.poisoned = false;
        let sealed = std::mem::replace(&mut self.active, next);
        self.sealed_bytes += sealed.file.length();
        self.sealed.insert(sealed.id, sealed);
        Ok(())
    }

    /// Reads a record, synced or not.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`] if its segment was removed; [`SegmentError::Storage`] if it is damaged, the
    /// disk fails or no record lies there.
    pub fn read(&mut self, position: Position) -> Result<Vec<u8>, SegmentError> {
        Ok(self.segment_mut(position.segment)?.read(position)?)
    }

    /// Counts a live record out: its owner needs it no longer.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`]; [`SegmentError::Accounting`] if more than the whole segment would be released.
    pub fn release(&mut self, position: Position) -> Result<(), SegmentError> {
        self.segment_mut(position.segment)?.release(position)
    }

    /// Counts a released record as live again.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`]; [`SegmentError::Accounting`] if more than the whole segment would be live.
    pub fn retain(&mut self, position: Position) -> Result<(), SegmentError> {
        self.segment_mut(position.segment)?.retain(position)
    }

    /// The sealed segments that are worth compacting, those with the smallest live share first. Those without live
    /// bytes can be removed at once; of the others append the live records again first, with
    /// [`SegmentLog::append_reserved`].
    #[must_use]
    pub fn segments_to_compact(&self) -> Vec<SegmentUsage> {
        let below = u64::from(self.config.compact_below_percent);
        let worth =
            |usage: &SegmentUsage| usage.live_bytes == 0 || usage.live_bytes * 100 < usage.file_bytes * below;
        let mut usages: Vec<_> = self.sealed.values().map(Segment::usage).filter(worth).collect();
        // By live share in thousandths.
        usages.sort_by_key(|usage| (usage.live_bytes * 1000 / usage.file_bytes, usage.segment));
        usages
    }

    /// Shows every record of a sealed segment, live or not, in order.
    ///
    /// # Errors
    /// [`SegmentError::ActiveSegment`], [`SegmentError::UnknownSegment`], [`SegmentError::Storage`].
    pub fn visit_segment(
        &self,
        segment: SegmentId,
        mut visit: impl FnMut(Position, &[u8]),
    ) -> Result<(), SegmentError> {
        self.check_sealed(segment)?;
        let contents = recovery::load_sealed(&self.folder, segment)?;
        recovery::visit_records(segment, &contents, &mut visit);
        Ok(())
    }

    /// Removes a sealed segment without live records, having synced all records taken so far, and returns the bytes
    /// given back. The removal lasts when this returns.
    ///
    /// # Errors
    /// [`SegmentError::StillLive`], [`SegmentError::ActiveSegment`], [`SegmentError::UnknownSegment`], with nothing
    /// changed; [`SegmentError::Storage`]: the log refuses further writes then.
    pub fn remove_segment(&mut self, segment: SegmentId) -> Result<u64, SegmentError> {
        self.check_sound()?;
        let usage = self.check_sealed(segment)?;
        if usage.live_bytes > 0 {
            return Err(SegmentError::StillLive { segment, live_bytes: usage.live_bytes });
        }
        self.sync()?;
        self.poisoned = true;
        self.folder.remove(&segment.file())?;
        self.folder.sync()?;
        self.poisoned = false;
        self.sealed.remove(&segment);
        self.sealed_bytes -= usage.file_bytes;
        Ok(usage.file_bytes)
    }

    /// The oldest segment there is. A record that makes others void may be released once all of those lay in older
    /// segments than this.
    #[must_use]
    pub fn oldest_segment(&self) -> SegmentId {
        self.sealed.keys().next().copied().unwrap_or(self.active.id)
    }

    /// The segment that takes records.
    #[must_use]
    pub const fn active_segment(&self) -> SegmentId {
        self.active.id
    }

    /// How full one segment is; `None` if there is no such segment.
    #[must_use]
    pub fn segment_usage(&self, segment: SegmentId) -> Option<SegmentUsage> {
        if segment == self.active.id {
            return Some(self.active.usage());
        }
        self.sealed.get(&segment).map(Segment::usage)
    }

    /// How full the log is.
    #[must_use]
    pub fn usage(&self) -> LogUsage {
        let segments = self.sealed.values().chain([&self.active]);
        let live_bytes = segments.map(|segment| segment.usage().live_bytes).sum();
        let file_bytes = self.file_bytes();
        let reserved_room = self.config.total_bytes.saturating_sub(file_bytes);
        LogUsage {
            segments: self.sealed.len() + 1,
            file_bytes,
            live_bytes,
            room: reserved_room.saturating_sub(self.config.reserve_bytes),
            reserved_room,
        }
    }

    fn file_bytes(&self) -> u64 {
        self.sealed_bytes + self.active.file.length()
    }

    fn segment_mut(&mut self, segment: SegmentId) -> Result<&mut Segment<F::File>, SegmentError> {
        if segment == self.active.id {
            return Ok(&mut self.active);
        }
        self.sealed.get_mut(&segment).ok_or(SegmentError::UnknownSegment(segment))
    }

    fn check_sealed(&self, segment: SegmentId) -> Result<SegmentUsage, SegmentError> {
        if segment == self.active.id {
            return Err(SegmentError::ActiveSegment(segment));
        }
        let sealed = self.sealed.get(&segment).ok_or(SegmentError::UnknownSegment(segment))?;
        Ok(sealed.usage())
    }

    fn check_sound(&self) -> Result<(), StorageError> {
        if self.poisoned || self.active.file.is_poisoned() {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Takes the newest segment that was finished off `ids` and reads it; one that power was lost in while it was being
/// made holds nothing and is removed.
fn take_newest<F: Folder>(
    folder: &F,
    ids: &mut Vec<SegmentId>,
) -> Result<Option<(SegmentId, millrudder_checkpoint_store::RecordFileContents)>, StorageError> {
    let Some(newest) = ids.pop() else { return Ok(None) };
    if let Some(contents) = recovery::load(folder, newest)? {
        return Ok(Some((newest, contents)));
    }
    let before = ids.pop();
    recovery::check_unfinished(newest, before)?;
    // Lasts with the sync of the folder before the first record is taken; until then it is removed again.
    folder.remove(&newest.file())?;
    let Some(before) = before else { return Ok(None) };
    Ok(Some((before, recovery::load_sealed(folder, before)?)))
}
