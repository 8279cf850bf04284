//! The store of checkpoints and records.

use crate::recovery::{self, Current};
use crate::{
    FileHeader, FileKind, FileName, Folder, FramedContents, FramedFile, Generation, StorageError, StoredFile,
    MAX_PAYLOAD_BYTES,
};

/// Salt of the files: what they hold comes from their owner, and nobody else writes bytes into it at will.
const SALT: u64 = 0;

/// Small state kept on disk as a checkpoint and the records after it.
#[derive(Debug)]
pub struct CheckpointStore<F: Folder> {
    folder: F,
    generation: Generation,
    log: FramedFile<F::File>,
    poisoned: bool,
}

/// What a [`CheckpointStore`] held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest checkpoint; `None` if none was ever written.
    pub checkpoint: Option<Vec<u8>>,
    /// The records after the checkpoint, in the order in which they were appended.
    pub records: Vec<Vec<u8>>,
}

impl<F: Folder> CheckpointStore<F> {
    /// Opens the store in `folder`, or makes it if there is none, and returns what it holds. All that is returned has
    /// been synced. Files of other names are left alone.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] and [`StorageError::Missing`] if synced data is damaged or gone (nothing is changed
    /// then), [`StorageError::UnknownVersion`], and those of the folder.
    pub fn open(folder: F) -> Result<(Self, Recovered), StorageError> {
        let current = recovery::find(&folder)?;
        let generation = current.generation;
        if current.slot.is_some() {
            folder.open(&generation.slot())?.sync()?;
        }
        let log = match &current.log {
            Some(contents) => FramedFile::resume(&folder, &generation.log(), contents)?,
            None => create_log(&folder, generation, current.first_sequence())?,
        };
        folder.sync()?;
        remove_all(&folder, &current.superseded)?;
        let recovered = recovered(&current);
        Ok((Self { folder, generation, log, poisoned: false }, recovered))
    }

    /// Takes a record; it lasts once [`CheckpointStore::sync`] returned, together with all taken before it.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing taken; [`StorageError::Poisoned`]; those of a write.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StorageError> {
        self.check_sound()?;
        self.log.append(record)?;
        Ok(())
    }

    /// Waits until all records taken are on disk: one write and one sync for all of them, or nothing if none is new.
    ///
    /// # Errors
    /// [`StorageError::Poisoned`], and those of a write or sync. The records may or may not last then.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_sound()?;
        self.log.sync()
    }

    /// Replaces the checkpoint and all records by `state`, which must hold what they held, and waits until it is on
    /// disk. Records that were taken and not synced are part of `state`.
    ///
    /// Costs two syncs of files and one or two of the folder.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing changed; [`StorageError::Poisoned`]; those of the folder. After
    /// those, either the new state or the one before with its synced records is recovered.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        self.check_sound()?;
        if state.len() > MAX_PAYLOAD_BYTES {
            let (bytes, limit) = (state.len() as u64, MAX_PAYLOAD_BYTES as u64);
            return Err(StorageError::RecordTooLarge { bytes, limit });
        }
        // Any failure leaves open which of the two generations is in force.
        self.poisoned = true;
        self.write_checkpoint(state)?;
        self.poisoned = false;
        Ok(())
    }

    fn write_checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        let generation = self.generation.next();
        // The checkpoint takes the place of one record in the order.
        let sequence = self.log.next_sequence();
        write_slot(&self.folder, generation, sequence, state)?;
        let log = create_log(&self.folder, generation, sequence + 1)?;
        self.folder.sync()?;
        // This name may come back when power is lost; `open` removes it then.
        self.folder.remove(self.log.name())?;
        self.log = log;
        self.generation = generation;
        Ok(())
    }

    /// The generation of the checkpoint in force.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Length in bytes of the log since the checkpoint: what a recovery reads beside it. Its owner decides by this
    /// when the next checkpoint pays.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.log.length()
    }

    const fn check_sound(&self) -> Result<(), StorageError> {
        if self.poisoned || self.log.is_poisoned() {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Writes and syncs the slot of `generation`, its name too if it is new: the log's name must not outlast it.
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
    let mut slot = FramedFile::create(folder, &name, &header)?;
    slot.append(state)?;
    slot.sync()?;
    if is_new {
        folder.sync()?;
    }
    Ok(())
}

/// Makes the log of `generation`; its name lasts once the folder is synced.
fn create_log<F: Folder>(
    folder: &F,
    generation: Generation,
    first_sequence: u64,
) -> Result<FramedFile<F::File>, StorageError> {
    let header = FileHeader { kind: FileKind::Log, number: generation.0, first_sequence, salt: SALT };
    FramedFile::create(folder, &generation.log(), &header)
}

fn remove_all<F: Folder>(folder: &F, names: &[FileName]) -> Result<(), StorageError> {
    names.iter().try_for_each(|name| folder.remove(name))
}

fn recovered(current: &Current) -> Recovered {
    let payloads =
        |contents: &FramedContents| contents.records().map(|record| record.payload.to_vec()).collect();
    let checkpoint = current.slot.as_ref().and_then(|slot| slot.records().next());
    Recovered {
        checkpoint: checkpoint.map(|record| record.payload.to_vec()),
        records: current.log.as_ref().map(payloads).unwrap_or_default(),
    }
}
