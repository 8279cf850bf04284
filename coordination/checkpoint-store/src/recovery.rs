//! Which slot and log are in force, read without changing anything.

use crate::{
    Damage, FileKind, FileName, FileNamePrefix, Folder, FramedContents, StorageError, FILE_HEADER_BYTES,
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

/// What one of the two slots holds.
pub(crate) enum Slot {
    /// No such file.
    Absent,
    /// A whole checkpoint.
    Whole(Generation, FramedContents),
    /// Neither: a checkpoint that was not finished, or damage.
    Broken(StorageError),
}

/// What is in force in a folder.
pub(crate) struct Current {
    pub generation: Generation,
    /// The slot in force; `None` in generation 0.
    pub slot: Option<FramedContents>,
    /// The log in force; `None` if it was not made yet.
    pub log: Option<FramedContents>,
    /// Logs that no longer count.
    pub superseded: Vec<FileName>,
}

impl Current {
    /// The sequence number of the first record after the slot in force.
    pub fn first_sequence(&self) -> u64 {
        sequence_after(self.slot.as_ref())
    }
}

fn sequence_after(slot: Option<&FramedContents>) -> u64 {
    slot.map_or(0, FramedContents::next_sequence)
}

/// Finds the slot and log in force.
pub(crate) fn find<F: Folder>(folder: &F) -> Result<Current, StorageError> {
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
    Ok(Current { generation, slot, log, superseded })
}

fn read_slots<F: Folder>(folder: &F, names: &[FileName]) -> Result<[Slot; 2], StorageError> {
    Ok([read_slot(folder, names, 0)?, read_slot(folder, names, 1)?])
}

/// Reads one slot; whether a broken one matters is not decided here.
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
    match FramedContents::load_numbered(folder, &name, FileKind::Slot, None) {
        Ok(Some(contents)) => Ok(whole_slot(&name, number, contents)),
        Ok(None) => Ok(Slot::Broken(damaged())),
        Err(error @ StorageError::Corrupt { .. }) => Ok(Slot::Broken(error)),
        Err(error) => Err(error),
    }
}

fn whole_slot(name: &FileName, number: u64, contents: FramedContents) -> Slot {
    let generation = Generation(contents.header.number);
    let damaged = |offset, damage| Slot::Broken(StorageError::Corrupt { file: name.clone(), offset, damage });
    if generation.0 % 2 != number || generation == Generation::default() {
        return damaged(0, Damage::Header);
    }
    if contents.record_count() == 0 {
        return damaged(FILE_HEADER_BYTES as u64, Damage::Frame);
    }
    Slot::Whole(generation, contents)
}

/// The newest whole slot. A log proves that the slot of its generation had been synced: it must be whole.
fn newest_slot(
    slots: [Slot; 2],
    newest_log: Option<Generation>,
) -> Result<(Generation, Option<FramedContents>), StorageError> {
    let mut newest = (Generation::default(), None);
    let mut broken = Vec::new();
    for slot in slots {
        match slot {
            Slot::Whole(generation, contents) if generation > newest.0 => {
                newest = (generation, Some(contents));
            }
            Slot::Whole(..) | Slot::Absent => {}
            Slot::Broken(error) => broken.push(error),
        }
    }
    let Some(proven) = newest_log.filter(|proven| *proven > newest.0) else { return Ok(newest) };
    let file = proven.slot();
    let names_it = |error: &StorageError| matches!(error, StorageError::Corrupt { file: damaged, .. } if *damaged == file);
    let error = broken.into_iter().find(names_it);
    Err(error.unwrap_or(StorageError::Missing { file }))
}

/// The log of `generation`. It may be absent or unfinished only while the log before it is still there.
fn read_log<F: Folder>(
    folder: &F,
    names: &[FileName],
    generation: Generation,
) -> Result<Option<FramedContents>, StorageError> {
    let name = generation.log();
    let present = names.contains(&name);
    if present {
        let log = FramedContents::load(folder, &name, FileKind::Log, generation.0)?;
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

/// Refuses a log that does not go on where its slot ends.
fn check_follows(
    log: &FramedContents,
    generation: Generation,
    slot: Option<&FramedContents>,
) -> Result<(), StorageError> {
    let (expected, found) = (sequence_after(slot), log.header.first_sequence);
    if expected == found {
        return Ok(());
    }
    let damage = Damage::Sequence { expected, found };
    Err(StorageError::Corrupt { file: generation.log(), offset: 0, damage })
}

/// Whether power may have been lost before the log of `generation` was made.
fn may_be_unfinished(names: &[FileName], generation: Generation) -> bool {
    match generation.0.checked_sub(1) {
        Some(before) => names.contains(&Generation(before).log()),
        // The first log lasts before any slot is made.
        None => !names.iter().any(|name| SLOT.number(name).is_some()),
    }
}
