//! A file of checksummed record frames: its format on disk, and appending to it with group commit.

mod contents;
mod frame;
mod header;

pub use contents::{FileRecord, RecordFileContents};
pub use frame::{FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES};
pub use header::{FileHeader, FileKind, FILE_HEADER_BYTES};

use crate::{Damage, FileName, Folder, StorageError, StoredFile};

/// Buffered bytes above which they are written before the sync; bounds memory.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A file of record frames, open for appending and reading. Frames are buffered in memory and go out in one write per
/// sync.
#[derive(Debug)]
pub struct RecordFile<File> {
    name: FileName,
    file: File,
    key: u32,
    /// Frames not yet written.
    buffer: Vec<u8>,
    /// Bytes of the file that were written.
    written: u64,
    /// Bytes of the file that were synced.
    synced: u64,
    next_sequence: u64,
    poisoned: bool,
}

impl<File: StoredFile> RecordFile<File> {
    /// Creates file `name` with `header` and syncs it; its name lasts once the folder is synced.
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
        Ok(Self::with_end(name, file, header, FILE_HEADER_BYTES as u64, header.first_sequence))
    }

    /// Opens file `name` to append after `contents`, which were read from it. Bytes after them are truncated, and the
    /// remaining ones are synced: a process that was killed may have left them unsynced.
    ///
    /// # Errors
    /// Those of the folder.
    pub fn resume<F>(folder: &F, name: &FileName, contents: &RecordFileContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let mut file = folder.open(name)?;
        if contents.torn_bytes() > 0 {
            file.set_length(contents.end())?;
        }
        file.sync()?;
        Ok(Self::with_end(name, file, &contents.header, contents.end(), contents.next_sequence()))
    }

    /// Opens file `name` for reading, all of which was synced before; `contents` were read from it.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if the contents end in a torn record; those of the folder.
    pub fn reopen<F>(folder: &F, name: &FileName, contents: &RecordFileContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        if contents.torn_bytes() > 0 {
            let (file, offset) = (name.clone(), contents.end());
            return Err(StorageError::Corrupt { file, offset, damage: Damage::Frame });
        }
        Ok(Self::with_end(
            name,
            folder.open(name)?,
            &contents.header,
            contents.end(),
            contents.next_sequence(),
        ))
    }

    fn with_end(name: &FileName, file: File, header: &FileHeader, end: u64, next_sequence: u64) -> Self {
        Self {
            name: name.clone(),
            file,
            key: header.frame_key(),
            buffer: Vec::new(),
            written: end,
            synced: end,
            next_sequence,
            poisoned: false,
        }
    }

    /// Appends a record and returns the offset of its frame, in bytes from the start of the file. The record is durable
    /// once [`RecordFile::sync`] returned.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], with nothing appended; those of a write; [`StorageError::Poisoned`].
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, StorageError> {
        self.check_not_poisoned()?;
        check_length(payload)?;
        let offset = self.length();
        frame::encode(&mut self.buffer, payload, self.next_sequence, self.synced, self.key);
        self.next_sequence += 1;
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            self.write_buffer()?;
        }
        Ok(offset)
    }

    /// Waits until every appended record is durable: one write and one sync, or nothing if none is new.
    ///
    /// # Errors
    /// Those of a write or sync; afterwards every call that writes fails with [`StorageError::Poisoned`].
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_not_poisoned()?;
        self.write_buffer()?;
        if self.synced == self.written {
            return Ok(());
        }
        let synced = self.file.sync();
        self.poisoned = synced.is_err();
        synced?;
        self.synced = self.written;
        Ok(())
    }

    fn write_buffer(&mut self) -> Result<(), StorageError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let written = self.file.write_at(self.written, &self.buffer);
        self.poisoned = written.is_err();
        written?;
        self.written += self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(MAX_BUFFERED_BYTES);
        Ok(())
    }

    /// Reads the record of `bytes` bytes whose frame starts at `offset`, synced or not.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if no such record is there; those of a read.
    pub fn read(&mut self, offset: u64, bytes: usize) -> Result<Vec<u8>, StorageError> {
        if bytes > MAX_PAYLOAD_BYTES {
            return Err(self.corrupt_frame(offset));
        }
        let framed_bytes = FRAME_HEADER_BYTES + bytes;
        let end = offset.checked_add(framed_bytes as u64);
        if end.is_none_or(|end| end > self.length()) {
            return Err(self.corrupt_frame(offset));
        }
        let mut buffer = vec![0; framed_bytes];
        self.read_bytes(offset, &mut buffer)?;
        frame::decode(&buffer, 0, self.key)
            .filter(|frame| frame.payload.end == framed_bytes)
            .ok_or_else(|| self.corrupt_frame(offset))?;
        buffer.drain(..FRAME_HEADER_BYTES);
        Ok(buffer)
    }

    fn corrupt_frame(&self, offset: u64) -> StorageError {
        StorageError::Corrupt { file: self.name.clone(), offset, damage: Damage::Frame }
    }

    /// Fills `buffer` from the file or from the write buffer; a frame lies entirely in one or the other.
    fn read_bytes(&mut self, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        let Some(start) = offset.checked_sub(self.written) else {
            return self.file.read_at(offset, buffer);
        };
        let start = usize::try_from(start).expect("the write buffer is in memory");
        buffer.copy_from_slice(&self.buffer[start..start + buffer.len()]);
        Ok(())
    }

    /// Length in bytes, including records that are not written yet.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.written + self.buffer.len() as u64
    }

    /// Whether every appended record is durable.
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

    const fn check_not_poisoned(&self) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }
}

/// Rejects a payload that no frame can hold.
fn check_length(payload: &[u8]) -> Result<(), StorageError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        let (bytes, limit) = (payload.len() as u64, MAX_PAYLOAD_BYTES as u64);
        return Err(StorageError::RecordTooLarge { bytes, limit });
    }
    Ok(())
}
