//! Keeps the files of several stores apart in one folder.

use crate::{FileName, FileNamePrefix, Folder, StorageError, StoredFile};

/// A view of another folder: the files whose names begin with a prefix and a dot.
///
/// For environments that offer a single folder without subfolders. A sync covers the whole folder, and
/// errors name files without the prefix.
#[derive(Clone, Debug)]
pub struct PrefixedFolder<F> {
    folder: F,
    prefix: FileNamePrefix,
}

impl<F: Folder> PrefixedFolder<F> {
    /// The files of `folder` whose names begin with `prefix`.
    pub const fn new(folder: F, prefix: FileNamePrefix) -> Self {
        Self { folder, prefix }
    }

    fn outer(&self, name: &FileName) -> Result<FileName, StorageError> {
        FileName::new(&format!("{}.{name}", self.prefix.as_str()))
    }

    fn inner(&self, name: &FileName) -> Option<FileName> {
        let inner = name.as_str().strip_prefix(self.prefix.as_str())?.strip_prefix('.')?;
        FileName::new(inner).ok()
    }
}

impl<F: Folder> Folder for PrefixedFolder<F> {
    type File = PrefixedFile<F::File>;

    fn list(&self) -> Result<Vec<FileName>, StorageError> {
        let names = self.folder.list()?;
        Ok(names.iter().filter_map(|name| self.inner(name)).collect())
    }

    fn read(&self, name: &FileName) -> Result<Vec<u8>, StorageError> {
        self.folder.read(&self.outer(name)?).map_err(with_name(name))
    }

    fn open(&self, name: &FileName) -> Result<Self::File, StorageError> {
        let file = self.folder.open(&self.outer(name)?).map_err(with_name(name))?;
        Ok(PrefixedFile { file, name: name.clone() })
    }

    fn create(&self, name: &FileName) -> Result<Self::File, StorageError> {
        let file = self.folder.create(&self.outer(name)?).map_err(with_name(name))?;
        Ok(PrefixedFile { file, name: name.clone() })
    }

    fn rename(&self, from: &FileName, to: &FileName) -> Result<(), StorageError> {
        self.folder.rename(&self.outer(from)?, &self.outer(to)?).map_err(with_name(from))
    }

    fn remove(&self, name: &FileName) -> Result<(), StorageError> {
        self.folder.remove(&self.outer(name)?).map_err(with_name(name))
    }

    fn sync(&self) -> Result<(), StorageError> {
        self.folder.sync()
    }
}

/// An open file of a [`PrefixedFolder`].
#[derive(Debug)]
pub struct PrefixedFile<File> {
    file: File,
    name: FileName,
}

impl<File: StoredFile> StoredFile for PrefixedFile<File> {
    fn length(&mut self) -> Result<u64, StorageError> {
        self.file.length().map_err(with_name(&self.name))
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        self.file.read_at(offset, buffer).map_err(with_name(&self.name))
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.file.write_at(offset, bytes).map_err(with_name(&self.name))
    }

    fn set_length(&mut self, length: u64) -> Result<(), StorageError> {
        self.file.set_length(length).map_err(with_name(&self.name))
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.file.sync().map_err(with_name(&self.name))
    }
}

/// Replaces the file name in an error by `name`, which has no prefix.
fn with_name(name: &FileName) -> impl FnOnce(StorageError) -> StorageError + '_ {
    move |mut error| {
        match &mut error {
            StorageError::File { file, .. } | StorageError::DiskFull { file, .. } => file.clone_from(name),
            _ => {}
        }
        error
    }
}
