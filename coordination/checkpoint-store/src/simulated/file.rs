//! An open file of a simulated folder.

use super::disk::{Disk, Handle};
use crate::{StorageError, StoredFile};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An open file of a [`SimulatedFolder`](super::SimulatedFolder).
#[derive(Debug)]
pub struct SimulatedFile {
    disk: Arc<Mutex<Disk>>,
    handle: Handle,
}

impl SimulatedFile {
    pub(super) const fn new(disk: Arc<Mutex<Disk>>, handle: Handle) -> Self {
        Self { disk, handle }
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoredFile for SimulatedFile {
    fn length(&mut self) -> Result<u64, StorageError> {
        self.lock().length(&self.handle)
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        self.lock().read_at(&self.handle, offset, buffer)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.lock().write_at(&self.handle, offset, bytes)
    }

    fn set_length(&mut self, length: u64) -> Result<(), StorageError> {
        self.lock().set_length(&self.handle, length)
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.lock().sync_file(&self.handle)
    }
}
