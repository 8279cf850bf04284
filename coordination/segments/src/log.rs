//! The log: appends to the active segment, rolls, compacts and removes segments.

use crate::position::framed_bytes;
use crate::recovery::{self, Continuity};
use crate::segment::Segment;
use crate::{LogUsage, Position, SegmentConfig, SegmentError, SegmentId, SegmentUsage};
use millrudder_checkpoint_store::{Folder, RecordFileContents, StorageError, FILE_HEADER_BYTES};
use std::collections::BTreeMap;

/// A segmented append-only log of records.
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
    /// Opens the log in `folder`, or creates it if there is none, and calls `visit` with every record in the order in
    /// which they were appended. All records count as live; the owner releases those that are not. Files of other names
    /// are not touched. Reads each byte once, one segment at a time.
    ///
    /// # Errors
    /// [`SegmentError::Config`]; [`SegmentError::Storage`] if synced data is damaged or the disk fails, possibly after
    /// some records were visited.
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
            continuity.check_next(id, &contents)?;
            sealed.insert(id, Segment::reopen(&folder, id, &contents)?);
            recovery::visit_records(id, &contents, &mut visit);
        }
        let active = match newest {
            Some((id, contents)) => {
                continuity.check_next(id, &contents)?;
                let active = Segment::resume(&folder, id, &contents)?;
                // A process that was killed may have left the name unsynced, and an unfinished segment was removed.
                folder.sync()?;
                recovery::visit_records(id, &contents, &mut visit);
                active
            }
            None => Segment::create(&folder, SegmentId::FIRST, 0, &config)?,
        };
        let sealed_bytes = sealed.values().map(|segment| segment.file_bytes()).sum();
        Ok(Self { folder, config, sealed, active, sealed_bytes, poisoned: false })
    }

    /// Appends an ordinary record. It is durable once [`SegmentLog::sync`] returned, together with all appended before
    /// it, and counts as live until it is released.
    ///
    /// Rolls first if the record does not fit in the newest segment. One that fits in no segment gets one of its own.
    ///
    /// # Errors
    /// [`SegmentError::StorageFull`] and [`SegmentError::RecordTooLarge`], with nothing written;
    /// [`SegmentError::Storage`].
    pub fn append(&mut self, record: &[u8]) -> Result<Position, SegmentError> {
        let limit = self.config.total_bytes - self.config.reserve_bytes;
        self.append_below(limit, record)
    }

    /// Appends a record that may use the reserve: one that allows capacity to be reclaimed.
    ///
    /// # Errors
    /// As [`SegmentLog::append`].
    pub fn append_reserved(&mut self, record: &[u8]) -> Result<Position, SegmentError> {
        self.append_below(self.config.total_bytes, record)
    }

    fn append_below(&mut self, limit: u64, record: &[u8]) -> Result<Position, SegmentError> {
        self.check_not_poisoned()?;
        let framed = self.checked_framed_bytes(record)?;
        let must_roll = self.active.file_bytes() + framed > self.config.segment_bytes;
        let needed = if must_roll { framed + FILE_HEADER_BYTES as u64 } else { framed };
        let available = limit.saturating_sub(self.file_bytes());
        if needed > available {
            return Err(SegmentError::StorageFull { needed, available });
        }
        if must_roll {
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

    /// Waits until all appended records are durable: one write and one sync for all of them, or nothing if none is new.
    ///
    /// # Errors
    /// [`SegmentError::Storage`]; the records may or may not be durable then, and the log rejects further writes.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        self.check_not_poisoned()?;
        Ok(self.active.sync()?)
    }

    /// Seals the active segment and creates the next, unless it has no records yet. All appended records are durable
    /// then. Costs two syncs of files and one of the folder.
    ///
    /// # Errors
    /// [`SegmentError::Storage`]; the log rejects further writes then.
    pub fn roll(&mut self) -> Result<(), SegmentError> {
        self.check_not_poisoned()?;
        if self.active.record_bytes() == 0 {
            return Ok(());
        }
        self.sync()?;
        let (id, sequence) = (self.active.id().next(), self.active.next_sequence());
        // After a failure the next segment may exist or not: records appended to this one could contradict it.
        self.poisoned = true;
        let next = Segment::create(&self.folder, id, sequence, &self.config)?;
        self.poisoned = false;
        let sealed = std::mem::replace(&mut self.active, next);
        self.sealed_bytes += sealed.file_bytes();
        self.sealed.insert(sealed.id(), sealed);
        Ok(())
    }

    /// Reads a record, synced or not.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`] if its segment was removed; [`SegmentError::Storage`] if it is damaged, the
    /// disk fails or there is no record at this position.
    pub fn read(&mut self, position: Position) -> Result<Vec<u8>, SegmentError> {
        Ok(self.segment_mut(position.segment)?.read(position)?)
    }

    /// Marks a live record as dead: its owner no longer needs it.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`]; [`SegmentError::Accounting`] if more than the entire segment would be released.
    pub fn release(&mut self, position: Position) -> Result<(), SegmentError> {
        self.segment_mut(position.segment)?.release(position)
    }

    /// Marks a released record as live again.
    ///
    /// # Errors
    /// [`SegmentError::UnknownSegment`]; [`SegmentError::Accounting`] if more than the entire segment would be live.
    pub fn retain(&mut self, position: Position) -> Result<(), SegmentError> {
        self.segment_mut(position.segment)?.retain(position)
    }

    /// The sealed segments to compact, those with the smallest live fraction first. Those without live bytes can be
    /// removed at once; the live records of the others must first be appended again with
    /// [`SegmentLog::append_reserved`].
    #[must_use]
    pub fn segments_to_compact(&self) -> Vec<SegmentUsage> {
        let percent = u64::from(self.config.compact_below_percent);
        let is_sparse = |usage: &SegmentUsage| {
            usage.live_bytes == 0 || usage.live_bytes * 100 < usage.file_bytes * percent
        };
        let mut usages: Vec<_> = self.sealed.values().map(Segment::usage).filter(is_sparse).collect();
        // By live fraction in thousandths.
        usages.sort_by_key(|usage| (usage.live_bytes * 1000 / usage.file_bytes, usage.segment));
        usages
    }

    /// Calls `visit` with every record of a sealed segment, live or not, in order.
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

    /// Syncs all appended records, removes a sealed segment without live records, and returns the bytes reclaimed. The
    /// removal is durable when this returns.
    ///
    /// # Errors
    /// [`SegmentError::StillLive`], [`SegmentError::ActiveSegment`], [`SegmentError::UnknownSegment`], with nothing
    /// changed; [`SegmentError::Storage`]: the log rejects further writes then.
    pub fn remove_segment(&mut self, segment: SegmentId) -> Result<u64, SegmentError> {
        self.check_not_poisoned()?;
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

    /// The oldest segment that exists. A record that supersedes others may be released once all of those were in
    /// segments older than this.
    #[must_use]
    pub fn oldest_segment(&self) -> SegmentId {
        self.sealed.keys().next().copied().unwrap_or(self.active.id())
    }

    /// The segment to which records are appended.
    #[must_use]
    pub const fn active_segment(&self) -> SegmentId {
        self.active.id()
    }

    /// Sizes of one segment; `None` if there is no such segment.
    #[must_use]
    pub fn segment_usage(&self, segment: SegmentId) -> Option<SegmentUsage> {
        if segment == self.active.id() {
            return Some(self.active.usage());
        }
        self.sealed.get(&segment).map(Segment::usage)
    }

    /// Sizes and free capacity of the log.
    #[must_use]
    pub fn usage(&self) -> LogUsage {
        let segments = self.sealed.values().chain([&self.active]);
        let live_bytes = segments.map(|segment| segment.usage().live_bytes).sum();
        let file_bytes = self.file_bytes();
        let reserved_capacity = self.config.total_bytes.saturating_sub(file_bytes);
        LogUsage {
            segments: self.sealed.len() + 1,
            file_bytes,
            live_bytes,
            ordinary_capacity: reserved_capacity.saturating_sub(self.config.reserve_bytes),
            reserved_capacity,
        }
    }

    fn file_bytes(&self) -> u64 {
        self.sealed_bytes + self.active.file_bytes()
    }

    fn segment_mut(&mut self, segment: SegmentId) -> Result<&mut Segment<F::File>, SegmentError> {
        if segment == self.active.id() {
            return Ok(&mut self.active);
        }
        self.sealed.get_mut(&segment).ok_or(SegmentError::UnknownSegment(segment))
    }

    fn check_sealed(&self, segment: SegmentId) -> Result<SegmentUsage, SegmentError> {
        if segment == self.active.id() {
            return Err(SegmentError::ActiveSegment(segment));
        }
        let sealed = self.sealed.get(&segment).ok_or(SegmentError::UnknownSegment(segment))?;
        Ok(sealed.usage())
    }

    fn check_not_poisoned(&self) -> Result<(), StorageError> {
        if self.poisoned || self.active.is_poisoned() {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Pops the newest complete segment off `ids` and reads it. One that power was lost in while it was being created has
/// no records and is removed.
fn take_newest<F: Folder>(
    folder: &F,
    ids: &mut Vec<SegmentId>,
) -> Result<Option<(SegmentId, RecordFileContents)>, StorageError> {
    let Some(newest) = ids.pop() else { return Ok(None) };
    if let Some(contents) = recovery::load(folder, newest)? {
        return Ok(Some((newest, contents)));
    }
    let previous = ids.pop();
    recovery::check_unfinished(newest, previous)?;
    // Durable with the sync of the folder before the first append; a loss of power before it undoes the removal, and
    // the next open repeats it.
    folder.remove(&newest.file())?;
    let Some(previous) = previous else { return Ok(None) };
    Ok(Some((previous, recovery::load_sealed(folder, previous)?)))
}
