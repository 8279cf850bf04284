//! A folder in memory that loses power, fails, runs full and is corrupted under a test's control.

mod change;
mod crash_combinations;
mod crash_outcome;
mod crash_test;
mod disk;
mod fault;
mod file;

use crate::{FileName, Folder, Operation, StorageError};
pub use crash_outcome::CrashOutcome;
pub use crash_test::{run_crash_events, CrashEvent, CrashModel, CrashTest};
use disk::Disk;
pub use disk::{DiskCounts, PendingChange};
pub use fault::{Fault, SimulatedFailure};
pub use file::SimulatedFile;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A folder in memory. Clones are handles to the same disk, so that a test keeps one while a store has another.
///
/// Stricter than most disks: after a loss of power each change since the last sync is durable, lost or torn
/// independently of the others, and a new name may be lost although its file was synced.
#[derive(Clone, Debug)]
pub struct SimulatedFolder {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFolder {
    /// An empty folder. All random outcomes follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { disk: Arc::new(Mutex::new(Disk::new(seed))) }
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses power and restores it. The outcome of the changes that were not synced is random: all of them durable,
    /// all of them lost, or each drawn independently. Files opened before fail from now on, and injected faults end.
    pub fn lose_power(&self) {
        let mut disk = self.lock();
        let mut crash = disk.random_crash();
        disk.lose_power(&mut |change| crash.outcome(change));
    }

    /// As [`SimulatedFolder::lose_power`]; `outcome_of` chooses the outcome of each change, in the order they were made.
    pub fn lose_power_with(&self, mut outcome_of: impl FnMut(&PendingChange) -> CrashOutcome) {
        self.lock().lose_power(&mut outcome_of);
    }

    /// The changes that a loss of power now could undo, in the order they were made.
    #[must_use]
    pub fn pending(&self) -> Vec<PendingChange> {
        self.lock().pending()
    }

    /// Ends the process that uses the folder: its open files fail from now on; all changes stay, synced or not. An
    /// interruption ends.
    pub fn end_process(&self) {
        self.lock().end_process();
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&self) {
        self.lock().wipe();
    }

    /// Sets how many bytes fit in all files together; `None` for no bound.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.lock().faults_mut().set_capacity(bytes);
    }

    /// Makes every operation of a kind fail from now on, until the next loss of power or [`SimulatedFolder::repair`].
    pub fn fail(&self, fault: Fault) {
        self.lock().faults_mut().set_failing(Some(fault));
    }

    /// Ends a fault set by [`SimulatedFolder::fail`].
    pub fn repair(&self) {
        self.lock().faults_mut().set_failing(None);
    }

    /// Lets `changes` more changes and syncs succeed. The process stops in the one after them: a change was done, a
    /// sync was not, and it and everything after it fails until [`SimulatedFolder::lose_power`] or
    /// [`SimulatedFolder::end_process`] is called.
    pub fn interrupt_after(&self, changes: u64) {
        self.lock().faults_mut().interrupt_after(changes);
    }

    /// Inverts the bits of `mask` in one byte of a file, on disk too. Returns whether there is such a byte.
    pub fn corrupt(&self, name: &FileName, offset: usize, mask: u8) -> bool {
        self.lock().corrupt(name, offset, mask)
    }

    /// Counts of the disk's operations since it was made.
    #[must_use]
    pub fn counts(&self) -> DiskCounts {
        self.lock().counts()
    }

    /// An independent copy: the same files, names and pending changes, its own random outcomes.
    #[must_use]
    pub fn fork(&self) -> Self {
        Self { disk: Arc::new(Mutex::new(self.lock().clone())) }
    }
}

impl Folder for SimulatedFolder {
    type File = SimulatedFile;

    fn list(&self) -> Result<Vec<FileName>, StorageError> {
        self.lock().list()
    }

    fn read(&self, name: &FileName) -> Result<Vec<u8>, StorageError> {
        self.lock().read(name)
    }

    fn open(&self, name: &FileName) -> Result<SimulatedFile, StorageError> {
        let disk = self.lock();
        let handle = disk.open(name, Operation::Open)?;
        Ok(SimulatedFile::new(Arc::clone(&self.disk), handle))
    }

    fn create(&self, name: &FileName) -> Result<SimulatedFile, StorageError> {
        let mut disk = self.lock();
        let handle = disk.create(name)?;
        Ok(SimulatedFile::new(Arc::clone(&self.disk), handle))
    }

    fn rename(&self, from: &FileName, to: &FileName) -> Result<(), StorageError> {
        self.lock().rename(from, to)
    }

    fn remove(&self, name: &FileName) -> Result<(), StorageError> {
        self.lock().remove(name)
    }

    fn sync(&self) -> Result<(), StorageError> {
        self.lock().sync_names()
    }
}
