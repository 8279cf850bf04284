//! A model of the log: what was appended to it, and which of it may and must be recovered.

use super::{try_open, Found};
use millrudder_checkpoint_store::{CrashModel, SimulatedFolder};
use millrudder_segments::{inspect, Position, SegmentError, SegmentId, SegmentLog};

type Log = SegmentLog<SimulatedFolder>;

/// A record that was appended.
#[derive(Clone, Debug)]
struct Entry {
    /// `None` if the append failed: it may have taken effect.
    position: Option<Position>,
    record: Vec<u8>,
    live: bool,
}

/// An operation on a log.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Append an ordinary record with this many bytes beside its number.
    Append(usize),
    /// The same, with the reserve.
    AppendReserved(usize),
    Sync,
    Roll,
    /// Release the live record that has this index, modulo their number.
    Release(usize),
    /// Compact and remove the segment with the smallest live fraction, if one is sparse enough.
    Compact,
    /// Release all that is live in the oldest sealed segment, and remove it.
    RemoveOldest,
}

/// All records that a log must or may hold.
#[derive(Clone, Debug, Default)]
pub struct Model {
    entries: Vec<Entry>,
    /// Entries that were synced, from the first on.
    synced: usize,
    /// A segment whose removal failed: it exists or not.
    removal_in_doubt: Option<SegmentId>,
    next: u64,
}

impl CrashModel for Model {
    type Store = Log;
    type Step = Step;
    type Error = SegmentError;

    fn open(&mut self, folder: &SimulatedFolder) -> Result<Log, SegmentError> {
        let (mut log, found) = try_open(folder)?;
        self.accept(&mut log, &found);
        Ok(log)
    }

    /// Runs one step, and checks the log after it. `Ok` also if the log was full, after a check that it had to be.
    fn run(&mut self, log: &mut Log, step: Step) -> Result<(), SegmentError> {
        self.apply(log, step)?;
        self.check(log);
        Ok(())
    }

    fn must_open(&mut self, folder: &SimulatedFolder) -> Log {
        assert!(inspect(folder).unwrap().is_sound());
        self.open(folder).unwrap()
    }
}

impl Model {
    fn apply(&mut self, log: &mut Log, step: Step) -> Result<(), SegmentError> {
        match step {
            Step::Append(length) => self.append(log, length, false),
            Step::AppendReserved(length) => self.append(log, length, true),
            Step::Sync => log.sync().map(|()| self.synced = self.entries.len()),
            Step::Roll => log.roll().map(|()| self.synced = self.entries.len()),
            Step::Release(index) => self.release(log, index),
            Step::Compact => self.compact(log),
            Step::RemoveOldest => self.remove_oldest(log),
        }
    }

    /// Bytes that never occur twice.
    fn unique_bytes(&mut self, length: usize) -> Vec<u8> {
        self.next += 1;
        let mut bytes = self.next.to_le_bytes().to_vec();
        bytes.resize(bytes.len() + length, self.next as u8);
        bytes
    }

    fn append(&mut self, log: &mut Log, length: usize, reserved: bool) -> Result<(), SegmentError> {
        let record = self.unique_bytes(length);
        let before = log.active_segment();
        let usage = log.usage();
        let result = if reserved { log.append_reserved(&record) } else { log.append(&record) };
        if let Err(SegmentError::StorageFull { needed, available }) = &result {
            assert_eq!(*available, if reserved { usage.reserved_capacity } else { usage.ordinary_capacity });
            assert!(needed > available);
            assert_eq!(log.usage(), usage, "a rejected record changes nothing");
            return Ok(());
        }
        if result.is_ok() && log.active_segment() != before {
            self.synced = self.entries.len();
        }
        let position = result.as_ref().ok().copied();
        self.entries.push(Entry { position, record, live: true });
        result.map(drop)
    }

    fn release(&mut self, log: &mut Log, index: usize) -> Result<(), SegmentError> {
        let mut live: Vec<&mut Entry> = self.entries.iter_mut().filter(|entry| entry.live).collect();
        if live.is_empty() {
            return Ok(());
        }
        let chosen = index % live.len();
        let entry = &mut live[chosen];
        log.release(entry.position.expect("a live record has a position"))?;
        entry.live = false;
        Ok(())
    }

    fn compact(&mut self, log: &mut Log) -> Result<(), SegmentError> {
        let Some(usage) = log.segments_to_compact().first().copied() else { return Ok(()) };
        assert!(usage.live_bytes * 2 < usage.file_bytes, "{usage:?}");
        let mut visited = Vec::new();
        log.visit_segment(usage.segment, |position, record| visited.push((position, record.to_vec())))?;
        let expected =
            self.of_segment(usage.segment).map(|entry| (entry.position.unwrap(), entry.record.clone()));
        assert_eq!(visited, expected.collect::<Vec<_>>());
        let live: Vec<Entry> = self.of_segment(usage.segment).filter(|entry| entry.live).cloned().collect();
        for entry in live {
            let result = log.append_reserved(&entry.record);
            if matches!(result, Err(SegmentError::StorageFull { .. })) {
                return Ok(());
            }
            let position = result.as_ref().ok().copied();
            self.entries.push(Entry { position, record: entry.record.clone(), live: true });
            result?;
            log.release(entry.position.unwrap())?;
            let moved = self.entries.iter_mut().find(|old| old.position == entry.position);
            moved.expect("the old copy").live = false;
        }
        self.remove(log, usage.segment)
    }

    fn remove_oldest(&mut self, log: &mut Log) -> Result<(), SegmentError> {
        let oldest = log.oldest_segment();
        if oldest == log.active_segment() {
            assert!(matches!(
                log.remove_segment(oldest),
                Err(SegmentError::ActiveSegment(_) | SegmentError::Storage(_))
            ));
            return Ok(());
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.live) {
            let position = entry.position.expect("a live record has a position");
            if position.segment == oldest {
                log.release(position)?;
                entry.live = false;
            }
        }
        self.remove(log, oldest)
    }

    fn remove(&mut self, log: &mut Log, segment: SegmentId) -> Result<(), SegmentError> {
        self.removal_in_doubt = Some(segment);
        log.remove_segment(segment)?;
        self.removal_in_doubt = None;
        self.forget(segment);
        self.synced = self.entries.len();
        Ok(())
    }

    fn of_segment(&self, segment: SegmentId) -> impl Iterator<Item = &Entry> {
        let is_in_segment =
            move |entry: &&Entry| entry.position.is_some_and(|position| position.segment == segment);
        self.entries.iter().filter(is_in_segment)
    }

    fn forget(&mut self, segment: SegmentId) {
        let is_removed = |entry: &Entry| entry.position.is_some_and(|position| position.segment == segment);
        self.synced -= self.entries[..self.synced].iter().filter(|entry| is_removed(entry)).count();
        self.entries.retain(|entry| !is_removed(entry));
    }

    /// Checks that the records found are those appended, in order and from the start, with no synced record left out;
    /// continues from there with all records live.
    fn accept(&mut self, log: &mut Log, found: &[Found]) {
        if let Some(segment) = self.removal_in_doubt.take() {
            if found.iter().all(|(position, _)| position.segment != segment) {
                self.forget(segment);
            }
        }
        assert!(found.len() >= self.synced, "recovered {} of {}", found.len(), self.synced);
        assert!(found.len() <= self.entries.len(), "recovered what was never appended");
        for (entry, (position, record)) in self.entries.iter_mut().zip(found) {
            assert_eq!(&entry.record, record);
            assert!(entry.position.is_none_or(|appended| appended == *position));
            *entry = Entry { position: Some(*position), record: record.clone(), live: true };
        }
        self.entries.truncate(found.len());
        // What was recovered once must be recovered again.
        self.synced = found.len();
        self.check(log);
    }

    /// Checks that every record can be read and that the byte counts are right.
    fn check(&self, log: &mut Log) {
        let mut live_bytes = 0;
        for entry in &self.entries {
            let position = entry.position.expect("a record has a position");
            assert_eq!(log.read(position).unwrap(), entry.record);
            if entry.live {
                live_bytes += position.framed_bytes();
            }
        }
        let usage = log.usage();
        assert_eq!(usage.live_bytes, live_bytes);
        assert!(usage.file_bytes <= super::SMALL.total_bytes);
    }
}
