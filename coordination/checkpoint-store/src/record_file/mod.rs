//! Writing a framed file: records are gathered in memory and go out in one write a sync.

mod contents;
mod frame;
mod header;

pub use contents::{FramedContents, FramedRecord};
pub use frame::{FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES};
pub use header::{FileHeader, FileKind, FILE_HEADER_BYTES};

use crate::{Damage, FileName, Folder, StorageError, StoredFile};

/// Gathered bytes above which they are written before the sync; bounds memory.
const GATHERED_BYTES: usize = 256 << 10;

/// A framed file open for appending.
#[derive(Debug)]
pub struct FramedFile<File> {
    name: FileName,
    file: File,
    key: u32,
    /// Frames not yet written.
    gathered: Vec<u8>,
    written: u64,
    synced: u64,
    next_sequence: u64,
    poisoned: bool,
}

impl<File: StoredFile> FramedFile<File> {
    /// Makes file `name` with `header` and syncs it; its name lasts once the folder is synced.
    ///
    /// # Errors
    /// Those of the folder.
    pub fn create<F>(folder: &F, name: &FileName, header: &FileHeader) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let mut file = folder.create(name)?;
        file.write_at(0, &header.encode())?;
        file.sync()?;
        Ok(Self::at(name, file, header, FILE_HEADER_BYTES as u64, header.first_sequence))
    }

    /// Opens file `name` to go on after `contents`, which were read from it. Whatever follows them is cut off, and all
    /// that stays is synced: a process that was killed may have left it unsynced.
    ///
    /// # Errors
    /// Those of the folder.
    pub fn resume<F>(folder: &F, name: &FileName, contents: &FramedContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let mut file = folder.open(name)?;
        if contents.torn_bytes() > 0 {
            file.set_length(contents.end())?;
        }
        file.sync()?;
        Ok(Self::at(name, file, &contents.header, contents.end(), contents.next_sequence()))
    }

    /// Opens file `name` for reading, all of which was synced before; `contents` were read from it.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if the contents end in a torn record; those of the folder.
    pub fn reopen<F>(folder: &F, name: &FileName, contents: &FramedContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        if contents.torn_bytes() > 0 {
            let (file, offset) = (name.clone(), contents.end());
            return Err(StorageError::Corrupt { file, offset, damage: Damage::Frame });
        }
        Ok(Self::at(name, folder.open(name)?, &contents.header, contents.end(), contents.next_sequence()))
    }

    fn at(name: &FileName, file: File, header: &FileHeader, end: u64, next_sequence: u64) -> Self {
        Self {
            name: name.clone(),
            file,
            key: header.frame_key(),
            gathered: Vec::new(),
            written: end,
            synced: end,
            next_sequence,
            poisoned: false,
        }
    }

    /// Takes a record and says where its frame starts, in bytes from the start of the file. It lasts once
    /// [`FramedFile::sync`] returned.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing taken; those of a write; [`StorageError::Poisoned`].
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, StorageError> {
        self.check_sound()?;
        check_length(payload)?;
        let offset = self.length();
        frame::encode(&mut self.gathered, payload, self.next_sequence, self.synced, self.key);
        self.next_sequence += 1;
        if self.gathered.len() > GATHERED_BYTES {
            self.write()?;
        }
        Ok(offset)
    }

    /// Waits until every record taken is on disk: one write and one sync, or nothing if none is new.
    ///
    /// # Errors
    /// Those of a write or sync; afterwards every call that writes fails with [`StorageError::Poisoned`].
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_sound()?;
        self.write()?;
        if self.synced == self.written {
            return Ok(());
        }
        let synced = self.file.sync();
        self.poisoned = synced.is_err();
        synced?;
        self.synced = self.written;
        Ok(())
    }

    fn write(&mut self) -> Result<(), StorageError> {
        if self.gathered.is_empty() {
            return Ok(());
        }
        let written = self.file.write_at(self.written, &self.gathered);
        self.poisoned = written.is_err();
        written?;
        self.written += self.gathered.len() as u64;
        self.gathered.clear();
        self.gathered.shrink_to(GATHERED_BYTES);
        Ok(())
    }

    /// Reads the record of `bytes` bytes whose frame starts at `offset`, synced or not.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if no such record is there; those of a read.
    pub fn read(&mut self, offset: u64, bytes: usize) -> Result<Vec<u8>, StorageError> {
        let corrupt = || StorageError::Corrupt { file: self.name.clone(), offset, damage: Damage::Frame };
        if bytes > MAX_PAYLOAD_BYTES {
            return Err(corrupt());
        }
        let framed_bytes = FRAME_HEADER_BYTES + bytes;
        let end = offset.checked_add(framed_bytes as u64);
        if end.is_none_or(|end| end > self.length()) {
            return Err(corrupt());
        }
        let mut buffer = vec![0; framed_bytes];
        self.read_bytes(offset, &mut buffer)?;
        let whole = frame::decode(&buffer, 0, self.key).filter(|frame| frame.payload.end == framed_bytes);
        whole.ok_or_else(|| StorageError::Corrupt {
            file: self.name.clone(),
            offset,
            damage: Damage::Frame,
        })?;
        buffer.drain(..FRAME_HEADER_BYTES);
        Ok(buffer)
    }

    /// Fills `buffer` from the file or from what is gathered; frames lie wholly in one or the other.
    fn read_bytes(&mut self, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        let Some(start) = offset.checked_sub(self.written) else {
            return self.file.read_at(offset, buffer);
        };
        let start = usize::try_from(start).expect("what is gathered is in memory");
        buffer.copy_from_slice(&self.gathered[start..start + buffer.len()]);
        Ok(())
    }

    /// Length in bytes, with the records that are not written yet.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.written + self.gathered.len() as u64
    }

    /// Whether every record taken is on disk.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced == self.length()
    }

    /// The sequence number that the next record gets.
    #[must_use]
    pub const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether an earlier write or sync failed.
    #[must_use]
    pub const fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    /// The file's name.
    #[must_use]
    pub const fn name(&self) -> &FileName {
        &self.name
    }

    const fn check_sound(&self) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Refuses what no frame can hold.
fn check_length(payload: &[u8]) -> Result<(), StorageError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        let (bytes, limit) = (payload.len() as u64, MAX_PAYLOAD_BYTES as u64);
        return Err(StorageError::RecordTooLarge { bytes, limit });
    }
    Ok(())
}
