//! The store: appends records, writes checkpoints, recovers both.

use crate::recovery::{self, ActiveFiles};
use crate::{
    FileHeader, FileKind, FileName, Folder, Generation, RecordFile, RecordFileContents, StorageError,
    StoredFile, MAX_PAYLOAD_BYTES,
};

/// Salt of the files: only their owner chooses the bytes of records, so that forged frames are no concern.
const SALT: u64 = 0;

/// Small state kept on disk as a checkpoint and the records after it.
#[derive(Debug)]
pub struct CheckpointStore<F: Folder> {
    folder: F,
    generation: Generation,
    log: RecordFile<F::File>,
    poisoned: bool,
}

/// The state that a [`CheckpointStore`] recovered when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest checkpoint; `None` if none was ever written.
    pub checkpoint: Option<Vec<u8>>,
    /// The records after the checkpoint, in the order in which they were appended.
    pub records: Vec<Vec<u8>>,
}

impl<F: Folder> CheckpointStore<F> {
    /// Opens the store in `folder`, or creates it if there is none, and returns its recovered state, all of which has
    /// been synced. Files of other names are not touched.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] and [`StorageError::Missing`] if synced data is damaged or gone (nothing is changed
    /// then), [`StorageError::UnknownVersion`], and those of the folder.
    pub fn open(folder: F) -> Result<(Self, Recovered), StorageError> {
        let active = recovery::find_active(&folder)?;
        let generation = active.generation;
        if active.slot.is_some() {
            folder.open(&generation.slot())?.sync()?;
        }
        let log = match &active.log {
            Some(contents) => RecordFile::resume(&folder, &generation.log(), contents)?,
            None => create_log(&folder, generation, active.first_sequence())?,
        };
        folder.sync()?;
        remove_all(&folder, &active.superseded)?;
        let recovered = recovered(&active);
        Ok((Self { folder, generation, log, poisoned: false }, recovered))
    }

    /// Appends a record. It is durable once [`CheckpointStore::sync`] returned, together with all appended before it.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing appended; [`StorageError::Poisoned`]; those of a write.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StorageError> {
        self.check_not_poisoned()?;
        self.log.append(record)?;
        Ok(())
    }

    /// Waits until all appended records are durable: one write and one sync for all of them, or nothing if none is new.
    ///
    /// # Errors
    /// [`StorageError::Poisoned`], and those of a write or sync. The records may or may not be durable then.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_not_poisoned()?;
        self.log.sync()
    }

    /// Replaces the checkpoint and all records by `state`, which must include their effect, and waits until it is
    /// durable. That holds for records that were appended and not synced, too.
    ///
    /// Costs two syncs of files and one or two of the folder.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing changed; [`StorageError::Poisoned`]; those of the folder. After
    /// those, either the new state or the one before with its synced records is recovered.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        self.check_not_poisoned()?;
        if state.len() > MAX_PAYLOAD_BYTES {
            let (bytes, limit) = (state.len() as u64, MAX_PAYLOAD_BYTES as u64);
            return Err(StorageError::RecordTooLarge { bytes, limit });
        }
        // Any failure leaves it unknown which of the two generations is active.
        self.poisoned = true;
        self.write_checkpoint(state)?;
        self.poisoned = false;
        Ok(())
    }

    fn write_checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        let generation = self.generation.next();
        // The checkpoint takes one sequence number, as a record does.
        let sequence = self.log.next_sequence();
        write_slot(&self.folder, generation, sequence, state)?;
        let log = create_log(&self.folder, generation, sequence + 1)?;
        self.folder.sync()?;
        // A loss of power may undo the removal; `open` repeats it then.
        self.folder.remove(self.log.name())?;
        self.log = log;
        self.generation = generation;
        Ok(())
    }

    /// The generation of the current checkpoint.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Length in bytes of the log since the checkpoint, which a recovery reads beside it. The owner decides by this
    /// when to write the next checkpoint.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.log.length()
    }

    const fn check_not_poisoned(&self) -> Result<(), StorageError> {
        if self.poisoned || self.log.is_poisoned() {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Writes and syncs the slot of `generation`, its name too if it is new: the log's name must not outlive it.
fn write_slot<F: Folder>(
    folder: &F,
    generation: Generation,
    sequence: u64,
    state: &[u8],
) -> Result<(), StorageError> {
    let name = generation.slot();
    let is_new = !folder.list()?.contains(&name);
    let header =
        FileHeader { kind: FileKind::Slot, number: generation.0, first_sequence: sequence, salt: SALT };
    let mut slot = RecordFile::create(folder, &name, &header)?;
    slot.append(state)?;
    slot.sync()?;
    if is_new {
        folder.sync()?;
    }
    Ok(())
}

/// Creates the log of `generation`; its name is durable once the folder is synced.
fn create_log<F: Folder>(
    folder: &F,
    generation: Generation,
    first_sequence: u64,
) -> Result<RecordFile<F::File>, StorageError> {
    let header = FileHeader { kind: FileKind::Log, number: generation.0, first_sequence, salt: SALT };
    RecordFile::create(folder, &generation.log(), &header)
}

fn remove_all<F: Folder>(folder: &F, names: &[FileName]) -> Result<(), StorageError> {
    names.iter().try_for_each(|name| folder.remove(name))
}

fn recovered(active: &ActiveFiles) -> Recovered {
    let payloads =
        |contents: &RecordFileContents| contents.records().map(|record| record.payload.to_vec()).collect();
    let checkpoint = active.slot.as_ref().and_then(|slot| slot.records().next());
    Recovered {
        checkpoint: checkpoint.map(|record| record.payload.to_vec()),
        records: active.log.as_ref().map(payloads).unwrap_or_default(),
    }
}
