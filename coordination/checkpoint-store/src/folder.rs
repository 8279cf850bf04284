//! The interface between the stores and a folder of files, real or simulated.

use crate::{FileName, StorageError};

/// A folder of files, without folders inside it.
///
/// Created, renamed and removed names are durable only once [`Folder::sync`] returned; the contents of a file only once
/// [`StoredFile::sync`] of that file returned. Until then a loss of power may undo any part of the changes,
/// independently of the others. Calls block until the disk is done.
pub trait Folder {
    /// An open file of this folder.
    type File: StoredFile;

    /// The names in the folder, in ascending order, without those that are no valid [`FileName`].
    ///
    /// # Errors
    /// [`StorageError::Folder`] if the disk fails.
    fn list(&self) -> Result<Vec<FileName>, StorageError>;

    /// The complete contents of a file.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn read(&self, name: &FileName) -> Result<Vec<u8>, StorageError>;

    /// Opens a file that exists for reading and writing.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn open(&self, name: &FileName) -> Result<Self::File, StorageError>;

    /// Creates an empty file and opens it; an existing file of this name is truncated.
    ///
    /// # Errors
    /// [`StorageError::File`] or [`StorageError::DiskFull`].
    fn create(&self, name: &FileName) -> Result<Self::File, StorageError>;

    /// Renames a file; an existing file `to` is replaced.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no file `from` or the disk fails.
    fn rename(&self, from: &FileName, to: &FileName) -> Result<(), StorageError>;

    /// Removes a file.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn remove(&self, name: &FileName) -> Result<(), StorageError>;

    /// Waits until all names created, renamed and removed so far are durable.
    ///
    /// # Errors
    /// [`StorageError::Folder`] if the disk fails; what is durable is unknown then.
    fn sync(&self) -> Result<(), StorageError>;
}

/// An open file.
pub trait StoredFile {
    /// The length in bytes.
    ///
    /// # Errors
    /// [`StorageError::File`] if the disk fails.
    fn length(&mut self) -> Result<u64, StorageError>;

    /// Fills `buffer` from byte `offset` on.
    ///
    /// # Errors
    /// [`StorageError::File`] if the file ends before the buffer is full, or the disk fails.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError>;

    /// Writes `bytes` from byte `offset` on; a gap between the file's end and `offset` reads as zeros.
    ///
    /// # Errors
    /// [`StorageError::DiskFull`] or [`StorageError::File`]; any part may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<(), StorageError>;

    /// Writes `bytes` at the end.
    ///
    /// # Errors
    /// As [`StoredFile::write_at`].
    fn append(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let end = self.length()?;
        self.write_at(end, bytes)
    }

    /// Truncates the file, or extends it with zeros, to `length` bytes.
    ///
    /// # Errors
    /// [`StorageError::DiskFull`] or [`StorageError::File`].
    fn set_length(&mut self, length: u64) -> Result<(), StorageError>;

    /// Waits until all writes so far are durable.
    ///
    /// # Errors
    /// [`StorageError::File`] if the disk fails; what is durable is unknown then, also after a later sync that succeeds.
    fn sync(&mut self) -> Result<(), StorageError>;
}
