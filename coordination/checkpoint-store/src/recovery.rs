//! Finds the active slot and log of a folder, without changing anything.

use crate::{
    Damage, FileKind, FileName, FileNamePrefix, Folder, RecordFileContents, StorageError, FILE_HEADER_BYTES,
};
use std::fmt;

/// Names of the two slots: numbers 0 and 1.
pub(crate) const SLOT: FileNamePrefix = FileNamePrefix::new("slot");
/// Names of logs: their number is the generation of the checkpoint that they follow.
pub(crate) const LOG: FileNamePrefix = FileNamePrefix::new("log");

/// Counts checkpoints: generation 0 is the empty state before the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl Generation {
    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The slot that holds the checkpoint of this generation.
    pub(crate) fn slot(self) -> FileName {
        SLOT.file(self.0 % 2)
    }

    /// The log of the records after the checkpoint of this generation.
    pub(crate) fn log(self) -> FileName {
        LOG.file(self.0)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The contents of one of the two slots.
pub(crate) enum Slot {
    /// No such file.
    Absent,
    /// A complete checkpoint.
    Complete(Generation, RecordFileContents),
    /// A checkpoint that was not finished, or a damaged one.
    Invalid(StorageError),
}

/// The files of a folder that opening its store recovers from.
pub(crate) struct ActiveFiles {
    pub generation: Generation,
    /// The slot of this generation; `None` in generation 0.
    pub slot: Option<RecordFileContents>,
    /// The log of this generation; `None` if it was not created yet.
    pub log: Option<RecordFileContents>,
    /// Logs of earlier generations, to be removed.
    pub superseded: Vec<FileName>,
}

impl ActiveFiles {
    /// The sequence number of the first record after the active slot.
    pub fn first_sequence(&self) -> u64 {
        sequence_after(self.slot.as_ref())
    }
}

fn sequence_after(slot: Option<&RecordFileContents>) -> u64 {
    slot.map_or(0, RecordFileContents::next_sequence)
}

/// Finds the active slot and log.
pub(crate) fn find_active<F: Folder>(folder: &F) -> Result<ActiveFiles, StorageError> {
    let names = folder.list()?;
    let newest_log = names.iter().filter_map(|name| LOG.number(name)).max().map(Generation);
    let (generation, slot) = newest_slot(read_slots(folder, &names)?, newest_log)?;
    let log = read_log(folder, &names, generation)?;
    if let Some(log) = &log {
        check_follows(log, generation, slot.as_ref())?;
    }
    let current_log = generation.log();
    let superseded =
        names.into_iter().filter(|name| LOG.number(name).is_some() && *name != current_log).collect();
    Ok(ActiveFiles { generation, slot, log, superseded })
}

fn read_slots<F: Folder>(folder: &F, names: &[FileName]) -> Result<[Slot; 2], StorageError> {
    Ok([read_slot(folder, names, 0)?, read_slot(folder, names, 1)?])
}

/// Reads one slot; the caller decides whether an invalid one matters.
pub(crate) fn read_slot<F: Folder>(
    folder: &F,
    names: &[FileName],
    number: u64,
) -> Result<Slot, StorageError> {
    let name = SLOT.file(number);
    if !names.contains(&name) {
        return Ok(Slot::Absent);
    }
    let damaged = || StorageError::Corrupt { file: name.clone(), offset: 0, damage: Damage::Header };
    match RecordFileContents::load_numbered(folder, &name, FileKind::Slot, None) {
        Ok(Some(contents)) => Ok(complete_slot(&name, number, contents)),
        Ok(None) => Ok(Slot::Invalid(damaged())),
        Err(error @ StorageError::Corrupt { .. }) => Ok(Slot::Invalid(error)),
        Err(error) => Err(error),
    }
}

fn complete_slot(name: &FileName, number: u64, contents: RecordFileContents) -> Slot {
    let generation = Generation(contents.header.number);
    let damaged =
        |offset, damage| Slot::Invalid(StorageError::Corrupt { file: name.clone(), offset, damage });
    if generation.0 % 2 != number || generation == Generation::default() {
        return damaged(0, Damage::Header);
    }
    if contents.record_count() == 0 {
        return damaged(FILE_HEADER_BYTES as u64, Damage::Frame);
    }
    Slot::Complete(generation, contents)
}

/// The newest complete slot. A log proves that the slot of its generation had been synced: it must be complete.
fn newest_slot(
    slots: [Slot; 2],
    newest_log: Option<Generation>,
) -> Result<(Generation, Option<RecordFileContents>), StorageError> {
    let mut newest = (Generation::default(), None);
    let mut invalid = Vec::new();
    for slot in slots {
        match slot {
            Slot::Complete(generation, contents) if generation > newest.0 => {
                newest = (generation, Some(contents));
            }
            Slot::Complete(..) | Slot::Absent => {}
            Slot::Invalid(error) => invalid.push(error),
        }
    }
    let Some(proven) = newest_log.filter(|proven| *proven > newest.0) else { return Ok(newest) };
    let file = proven.slot();
    let is_of_file = |error: &StorageError| matches!(error, StorageError::Corrupt { file: damaged, .. } if *damaged == file);
    let error = invalid.into_iter().find(is_of_file);
    Err(error.unwrap_or(StorageError::Missing { file }))
}

/// The log of `generation`. It may be absent or unfinished only while the log before it is still there.
fn read_log<F: Folder>(
    folder: &F,
    names: &[FileName],
    generation: Generation,
) -> Result<Option<RecordFileContents>, StorageError> {
    let name = generation.log();
    let present = names.contains(&name);
    if present {
        let log = RecordFileContents::load(folder, &name, FileKind::Log, generation.0)?;
        if log.is_some() {
            return Ok(log);
        }
    }
    if may_be_unfinished(names, generation) {
        return Ok(None);
    }
    if present {
        return Err(StorageError::Corrupt { file: name, offset: 0, damage: Damage::Header });
    }
    Err(StorageError::Missing { file: name })
}

/// Rejects a log that does not continue where its slot ends.
fn check_follows(
    log: &RecordFileContents,
    generation: Generation,
    slot: Option<&RecordFileContents>,
) -> Result<(), StorageError> {
    let (expected, found) = (sequence_after(slot), log.header.first_sequence);
    if expected == found {
        return Ok(());
    }
    let damage = Damage::Sequence { expected, found };
    Err(StorageError::Corrupt { file: generation.log(), offset: 0, damage })
}

/// Whether power may have been lost before the log of `generation` was created.
fn may_be_unfinished(names: &[FileName], generation: Generation) -> bool {
    match generation.0.checked_sub(1) {
        Some(before) => names.contains(&Generation(before).log()),
        // The first log is durable before any slot is created.
        None => !names.iter().any(|name| SLOT.number(name).is_some()),
    }
}
