//! Offline report on a folder of a [`CheckpointStore`](crate::CheckpointStore): its files, and whether the store would
//! open.

use crate::recovery::{self, Slot, LOG};
use crate::{FileKind, Folder, Generation, RecordFileContents, StorageError};
use std::fmt;

/// A report on the files of a store.
#[derive(Debug)]
pub struct StoreReport {
    /// The two slots.
    pub slots: [SlotReport; 2],
    /// The logs by ascending generation; more than one only if power was lost during a checkpoint.
    pub logs: Vec<LogReport>,
    /// The generation that opening the store would recover, or why it would fail.
    pub recovery: Result<Generation, StorageError>,
}

/// One of the two slots.
#[derive(Debug)]
pub struct SlotReport {
    /// Number of the slot, 0 or 1.
    pub number: u64,
    /// Its contents.
    pub state: SlotState,
}

/// The contents of a slot.
#[derive(Debug)]
pub enum SlotState {
    /// No such file: no checkpoint was written to it yet.
    Absent,
    /// A complete checkpoint.
    Complete {
        /// The checkpoint's generation.
        generation: Generation,
        /// Length of the checkpoint in bytes.
        bytes: u64,
    },
    /// A checkpoint that power was lost in, or a damaged one. Unsound only if [`StoreReport::recovery`] is an error.
    Invalid(StorageError),
}

/// A log.
#[derive(Debug)]
pub struct LogReport {
    /// The generation of the checkpoint that the log follows.
    pub generation: Generation,
    /// Its contents; `None` if power was lost while the log was being created.
    pub contents: Result<Option<LogContents>, StorageError>,
}

/// The contents of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogContents {
    /// Number of complete records.
    pub records: usize,
    /// Length of the file in bytes, without the torn ones.
    pub bytes: u64,
    /// Bytes after the last complete record, which the next open truncates.
    pub torn_bytes: u64,
}

/// Reports on the store in `folder` without changing anything.
///
/// # Errors
/// Those of the folder; damage to the data is reported, not an error.
pub fn inspect<F: Folder>(folder: &F) -> Result<StoreReport, StorageError> {
    let names = folder.list()?;
    let slots = [slot_report(folder, &names, 0)?, slot_report(folder, &names, 1)?];
    let generations = names.iter().filter_map(|name| LOG.number(name)).map(Generation);
    let logs = generations.map(|generation| log_report(folder, generation)).collect();
    let recovery = recovery::find_active(folder).map(|active| active.generation);
    Ok(StoreReport { slots, logs, recovery })
}

fn slot_report<F: Folder>(
    folder: &F,
    names: &[crate::FileName],
    number: u64,
) -> Result<SlotReport, StorageError> {
    let state = match recovery::read_slot(folder, names, number)? {
        Slot::Absent => SlotState::Absent,
        Slot::Complete(generation, contents) => {
            let bytes = contents.records().map(|record| record.payload.len() as u64).sum();
            SlotState::Complete { generation, bytes }
        }
        Slot::Invalid(error) => SlotState::Invalid(error),
    };
    Ok(SlotReport { number, state })
}

fn log_report<F: Folder>(folder: &F, generation: Generation) -> LogReport {
    let loaded = RecordFileContents::load(folder, &generation.log(), FileKind::Log, generation.0);
    let contents = loaded.map(|contents| {
        contents.map(|contents| LogContents {
            records: contents.record_count(),
            bytes: contents.end(),
            torn_bytes: contents.torn_bytes(),
        })
    });
    LogReport { generation, contents }
}

impl StoreReport {
    /// Whether opening the store would succeed.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.recovery.is_ok()
    }
}

impl fmt::Display for StoreReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for slot in &self.slots {
            writeln!(formatter, "{slot}")?;
        }
        for log in &self.logs {
            writeln!(formatter, "{log}")?;
        }
        match &self.recovery {
            Ok(generation) => write!(formatter, "sound: generation {generation} is in force"),
            Err(error) => write!(formatter, "unsound: {error}"),
        }
    }
}

impl fmt::Display for SlotReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "slot {}: ", self.number)?;
        match &self.state {
            SlotState::Absent => formatter.write_str("absent"),
            SlotState::Complete { generation, bytes } => {
                write!(formatter, "checkpoint of generation {generation}, {bytes} bytes")
            }
            SlotState::Invalid(error) => write!(formatter, "unfinished or damaged ({error})"),
        }
    }
}

impl fmt::Display for LogReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "log of generation {}: ", self.generation)?;
        match &self.contents {
            Ok(Some(LogContents { records, bytes, torn_bytes })) => {
                write!(formatter, "{records} records, {bytes} bytes, {torn_bytes} torn")
            }
            Ok(None) => formatter.write_str("unfinished"),
            Err(error) => write!(formatter, "unreadable ({error})"),
        }
    }
}
