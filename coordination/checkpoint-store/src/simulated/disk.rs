//! The state of a simulated disk: what programs read, what is durable, and the pending changes between the two.

use super::change::{Change, Inode};
use super::crash_outcome::{CrashOutcome, RandomCrash};
use super::fault::{Completion, Fault, Faults, SimulatedFailure};
use crate::{FileName, Operation, StorageError};
use std::collections::BTreeMap;

/// Counts of a disk's operations, for tests that bound the cost of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounts {
    /// Writes to files.
    pub writes: u64,
    /// Bytes written to files.
    pub written_bytes: u64,
    /// Syncs of files.
    pub file_syncs: u64,
    /// Syncs of the folder.
    pub folder_syncs: u64,
}

/// A change that a loss of power could undo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingChange {
    /// Bytes written to a file.
    Write {
        /// The file's name when it was opened.
        file: FileName,
        /// Where the write begins.
        offset: u64,
        /// Length of the write.
        bytes: usize,
    },
    /// A file cut or extended.
    SetLength {
        /// The file's name when it was opened.
        file: FileName,
        /// The new length in bytes.
        length: u64,
    },
    /// A name made, renamed or removed.
    Name {
        /// The name made or removed, or the old one of a rename.
        file: FileName,
    },
}

/// An open file.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    inode: Inode,
    name: FileName,
    boot: u64,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    current: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(super) struct Disk {
    random: fastrand::Rng,
    /// Counts losses of power and ends of the process; handles of earlier ones fail.
    boot: u64,
    next_inode: Inode,
    files: BTreeMap<Inode, Contents>,
    names: BTreeMap<FileName, Inode>,
    durable_names: BTreeMap<FileName, Inode>,
    pending: Vec<Change>,
    faults: Faults,
    counts: DiskCounts,
}

impl Disk {
    pub fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            boot: 0,
            next_inode: Inode(0),
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            pending: Vec::new(),
            faults: Faults::default(),
            counts: DiskCounts::default(),
        }
    }

    /// Draws a random loss of power from the disk's seed.
    pub fn random_crash(&mut self) -> RandomCrash {
        RandomCrash::new(self.random.fork())
    }

    pub const fn faults_mut(&mut self) -> &mut Faults {
        &mut self.faults
    }

    pub const fn counts(&self) -> DiskCounts {
        self.counts
    }

    pub fn pending(&self) -> Vec<PendingChange> {
        self.pending.iter().map(Change::describe).collect()
    }

    pub fn lose_power(&mut self, outcome_of: &mut dyn FnMut(&PendingChange) -> CrashOutcome) {
        for change in std::mem::take(&mut self.pending) {
            let outcome = outcome_of(&change.describe());
            self.make_durable(&change, &outcome);
        }
        self.names = self.durable_names.clone();
        let names = &self.names;
        self.files.retain(|inode, _| names.values().any(|named| named == inode));
        for contents in self.files.values_mut() {
            contents.current.clone_from(&contents.durable);
        }
        self.end_process();
        self.faults.restore();
    }

    pub const fn end_process(&mut self) {
        self.boot += 1;
        self.faults.end_interruption();
    }

    pub fn wipe(&mut self) {
        self.files.clear();
        self.names.clear();
        self.durable_names.clear();
        self.pending.clear();
        self.end_process();
        self.faults.restore();
    }

    pub fn corrupt(&mut self, name: &FileName, offset: usize, mask: u8) -> bool {
        let Some(contents) = self.names.get(name).and_then(|inode| self.files.get_mut(inode)) else {
            return false;
        };
        let Some(byte) = contents.current.get_mut(offset) else { return false };
        *byte ^= mask;
        if let Some(durable) = contents.durable.get_mut(offset) {
            *durable ^= mask;
        }
        true
    }

    /// Applies to the durable state what `outcome` leaves of a change.
    fn make_durable(&mut self, change: &Change, outcome: &CrashOutcome) {
        match change {
            Change::Write { inode, .. } | Change::SetLength { inode, .. } => {
                let Some(contents) = self.files.get_mut(inode) else { return };
                change.apply_to_bytes(&mut contents.durable, outcome);
            }
            Change::Bind { .. } | Change::Rename { .. } | Change::Unbind { .. } => {
                if *outcome == CrashOutcome::Durable {
                    change.apply_to_names(&mut self.durable_names);
                }
            }
        }
    }

    // Names.

    pub fn list(&self) -> Result<Vec<FileName>, StorageError> {
        self.faults.check_running().map_err(on_folder(Operation::List))?;
        Ok(self.names.keys().cloned().collect())
    }

    pub fn open(&self, name: &FileName, operation: Operation) -> Result<Handle, StorageError> {
        self.faults.check_running().map_err(on_file(operation, name))?;
        let inode = self.names.get(name).copied().ok_or(SimulatedFailure::NoSuchFile);
        let inode = inode.map_err(on_file(operation, name))?;
        Ok(Handle { inode, name: name.clone(), boot: self.boot })
    }

    pub fn create(&mut self, name: &FileName) -> Result<Handle, StorageError> {
        if self.names.contains_key(name) {
            let handle = self.open(name, Operation::Create)?;
            self.set_length(&handle, 0)?;
            return Ok(handle);
        }
        let inode = self.next_inode;
        self.next_inode = inode.next();
        self.files.insert(inode, Contents::default());
        self.change_names(Operation::Create, Change::Bind { name: name.clone(), inode })?;
        self.open(name, Operation::Create)
    }

    pub fn rename(&mut self, from: &FileName, to: &FileName) -> Result<(), StorageError> {
        let handle = self.open(from, Operation::Rename)?;
        let change = Change::Rename { from: from.clone(), to: to.clone(), inode: handle.inode };
        self.change_names(Operation::Rename, change)
    }

    pub fn remove(&mut self, name: &FileName) -> Result<(), StorageError> {
        self.open(name, Operation::Remove)?;
        self.change_names(Operation::Remove, Change::Unbind { name: name.clone() })
    }

    fn change_names(&mut self, operation: Operation, change: Change) -> Result<(), StorageError> {
        let name = change.name().clone();
        let completion = self.faults.attempt(Fault::Changes).map_err(on_file(operation, &name))?;
        change.apply_to_names(&mut self.names);
        self.pending.push(change);
        finish(completion).map_err(on_file(operation, &name))
    }

    pub fn sync_names(&mut self) -> Result<(), StorageError> {
        let completion = self.faults.attempt(Fault::Syncs).map_err(on_folder(Operation::Sync))?;
        finish(completion).map_err(on_folder(Operation::Sync))?;
        self.counts.folder_syncs += 1;
        self.flush(|change| change.inode().is_none());
        Ok(())
    }

    // Contents.

    pub fn read(&self, name: &FileName) -> Result<Vec<u8>, StorageError> {
        let handle = self.open(name, Operation::Read)?;
        Ok(self.files[&handle.inode].current.clone())
    }

    pub fn length(&self, handle: &Handle) -> Result<u64, StorageError> {
        self.check(handle, Operation::Read)?;
        Ok(self.files[&handle.inode].current.len() as u64)
    }

    pub fn read_at(&self, handle: &Handle, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        self.check(handle, Operation::Read)?;
        let current = &self.files[&handle.inode].current;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let bytes = current.get(start..).and_then(|remainder| remainder.get(..buffer.len()));
        let bytes =
            bytes.ok_or(SimulatedFailure::BeyondEnd).map_err(on_file(Operation::Read, &handle.name))?;
        buffer.copy_from_slice(bytes);
        Ok(())
    }

    pub fn write_at(&mut self, handle: &Handle, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.check(handle, Operation::Write)?;
        let writable = self.writable_bytes(handle.inode, offset, bytes.len());
        let is_full = writable < bytes.len();
        let bytes = bytes[..writable].to_vec();
        let (inode, file) = (handle.inode, handle.name.clone());
        self.counts.writes += 1;
        self.counts.written_bytes += writable as u64;
        self.change_bytes(handle, Operation::Write, Change::Write { inode, file, offset, bytes })?;
        if is_full {
            return Err(StorageError::DiskFull { operation: Operation::Write, file: handle.name.clone() });
        }
        Ok(())
    }

    /// How many of `bytes` bytes written at `offset` the disk has capacity for.
    fn writable_bytes(&self, inode: Inode, offset: u64, bytes: usize) -> usize {
        let Some(capacity) = self.faults.capacity() else { return bytes };
        let length = |inode: &Inode| self.files[inode].current.len() as u64;
        let used: u64 = self.names.values().map(length).sum();
        let writable = length(&inode).saturating_sub(offset) + capacity.saturating_sub(used);
        bytes.min(usize::try_from(writable).unwrap_or(usize::MAX))
    }

    pub fn set_length(&mut self, handle: &Handle, length: u64) -> Result<(), StorageError> {
        self.check(handle, Operation::SetLength)?;
        let (inode, file) = (handle.inode, handle.name.clone());
        self.change_bytes(handle, Operation::SetLength, Change::SetLength { inode, file, length })
    }

    fn change_bytes(
        &mut self,
        handle: &Handle,
        operation: Operation,
        change: Change,
    ) -> Result<(), StorageError> {
        let failed = on_file(operation, &handle.name);
        let completion = match self.faults.attempt(Fault::Changes) {
            Ok(completion) => completion,
            Err(failure) => return Err(failed(failure)),
        };
        let contents = self.files.get_mut(&handle.inode).expect("an open file has contents");
        change.apply_to_bytes(&mut contents.current, &CrashOutcome::Durable);
        self.pending.push(change);
        finish(completion).map_err(failed)
    }

    pub fn sync_file(&mut self, handle: &Handle) -> Result<(), StorageError> {
        self.check(handle, Operation::Sync)?;
        let completion = self.faults.attempt(Fault::Syncs).map_err(on_file(Operation::Sync, &handle.name))?;
        finish(completion).map_err(on_file(Operation::Sync, &handle.name))?;
        self.counts.file_syncs += 1;
        self.flush(|change| change.inode() == Some(handle.inode));
        Ok(())
    }

    /// Makes the pending changes durable that a sync covers.
    fn flush(&mut self, is_covered: impl Fn(&Change) -> bool) {
        let (flushed, pending): (Vec<Change>, Vec<Change>) =
            std::mem::take(&mut self.pending).into_iter().partition(is_covered);
        self.pending = pending;
        for change in &flushed {
            self.make_durable(change, &CrashOutcome::Durable);
        }
    }

    fn check(&self, handle: &Handle, operation: Operation) -> Result<(), StorageError> {
        self.faults.check_running().map_err(on_file(operation, &handle.name))?;
        if handle.boot != self.boot {
            return Err(on_file(operation, &handle.name)(SimulatedFailure::StaleHandle));
        }
        Ok(())
    }
}

/// Fails an operation that the process was interrupted in.
fn finish(completion: Completion) -> Result<(), SimulatedFailure> {
    match completion {
        Completion::Done => Ok(()),
        Completion::Interrupted => Err(SimulatedFailure::Interrupted),
    }
}

fn on_file(operation: Operation, name: &FileName) -> impl FnOnce(SimulatedFailure) -> StorageError + '_ {
    move |failure| StorageError::File { operation, file: name.clone(), source: failure.into() }
}

fn on_folder(operation: Operation) -> impl FnOnce(SimulatedFailure) -> StorageError {
    move |failure| StorageError::Folder { operation, source: failure.into() }
}
