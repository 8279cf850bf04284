//! What the stores need of a folder, so that they run on a disk as well as in a simulation.

use crate::{FileName, StorageError};

/// A folder of files, without folders inside it.
///
/// Names made, renamed or removed last over a loss of power only once [`Folder::sync`] returned; the contents of a
/// file only once [`StoredFile::sync`] of that file returned. Until then any part of what was done may be lost,
/// independently of the rest. Calls block until the disk is done.
pub trait Folder {
    /// An open file of this folder.
    type File: StoredFile;

    /// The names in the folder, in ascending order; names that no [`FileName`] can hold are left out.
    ///
    /// # Errors
    /// [`StorageError::Folder`] if the disk fails.
    fn list(&self) -> Result<Vec<FileName>, StorageError>;

    /// The whole contents of a file.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn read(&self, name: &FileName) -> Result<Vec<u8>, StorageError>;

    /// Opens a file that exists for reading and writing.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn open(&self, name: &FileName) -> Result<Self::File, StorageError>;

    /// Makes an empty file and opens it; a file that has the name already is emptied.
    ///
    /// # Errors
    /// [`StorageError::File`] or [`StorageError::DiskFull`].
    fn create(&self, name: &FileName) -> Result<Self::File, StorageError>;

    /// Gives a file another name; a file that had this name before is replaced.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no file `from` or the disk fails.
    fn rename(&self, from: &FileName, to: &FileName) -> Result<(), StorageError>;

    /// Removes a file.
    ///
    /// # Errors
    /// [`StorageError::File`] if there is no such file or the disk fails.
    fn remove(&self, name: &FileName) -> Result<(), StorageError>;

    /// Waits until all names made, renamed and removed so far are on disk.
    ///
    /// # Errors
    /// [`StorageError::Folder`] if the disk fails; what lasts is unknown then.
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

    /// Writes `bytes` from byte `offset` on; a space between the file's end and `offset` reads as zeros.
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

    /// Cuts the file, or extends it with zeros, to `length` bytes.
    ///
    /// # Errors
    /// [`StorageError::DiskFull`] or [`StorageError::File`].
    fn set_length(&mut self, length: u64) -> Result<(), StorageError>;

    /// Waits until all that was written is on disk.
    ///
    /// # Errors
    /// [`StorageError::File`] if the disk fails; what lasts is unknown then, also after a later sync that succeeds.
    fn sync(&mut self) -> Result<(), StorageError>;
}
