//! The core's disk: a checkpoint store that holds the durable state of the replicated state machine.

use crate::disk_thread::{DiskThread, DiskWriter, ReportSender};
use crate::error::RoleError;
use millrudder_chain::{DurableState, PersistToken, Record};
use millrudder_checkpoint_store::{CheckpointStore, RealFolder, StorageError};
use speedy::{Readable, Writable};
use std::path::Path;
use tokio::sync::mpsc::UnboundedSender;

/// A report of the journal's thread.
#[derive(Debug)]
pub enum JournalReport {
    /// Everything up to this token is durable.
    Persisted {
        /// Token of the last record that was written.
        token: PersistToken,
    },
    /// The disk failed; nothing more is written.
    Failed {
        /// Why it did.
        error: StorageError,
    },
}

enum Command {
    Append { token: PersistToken, record: Vec<u8> },
    Checkpoint { token: PersistToken, state: Vec<u8> },
}

/// The queue of the journal's thread.
pub struct Journal {
    thread: DiskThread<Command>,
}

/// A journal that was opened, and the state that it held.
pub struct OpenedJournal {
    store: CheckpointStore<RealFolder>,
    /// The durable state; `None` on a disk that has never been used.
    pub state: Option<DurableState>,
}

impl OpenedJournal {
    /// Opens the folder and reads the state back.
    ///
    /// # Errors
    /// The folder cannot be used, or holds something else.
    pub fn open(folder: &Path) -> Result<Self, RoleError> {
        std::fs::create_dir_all(folder).map_err(RoleError::Folder)?;
        let (store, recovered) = CheckpointStore::open(RealFolder::open(folder)?)?;
        let checkpoint = recovered.checkpoint.as_deref().map(DurableState::read_from_buffer);
        let mut state = checkpoint.transpose().map_err(RoleError::Unreadable)?;
        for bytes in &recovered.records {
            let record = Record::read_from_buffer(bytes).map_err(RoleError::Unreadable)?;
            state.get_or_insert_with(DurableState::default).apply(&record);
        }
        Ok(OpenedJournal { store, state })
    }

    /// Verifies that the disk takes writes, by writing the state once more.
    ///
    /// # Errors
    /// The disk does not take writes.
    pub fn verify_writable(mut self) -> Result<Self, RoleError> {
        if let Some(state) = &self.state {
            let state = state.write_to_vec().map_err(RoleError::Unreadable)?;
            self.store.checkpoint(&state)?;
        }
        Ok(self)
    }

    /// Starts the journal's thread; `reports` tells what has become durable.
    pub fn start(self, reports: UnboundedSender<JournalReport>) -> Journal {
        let writer = JournalWriter { store: self.store, last_token: PersistToken::default() };
        Journal { thread: DiskThread::start(writer, reports) }
    }
}

impl Journal {
    /// Appends a record.
    pub fn append(&self, token: PersistToken, record: &Record) {
        if let Ok(record) = record.write_to_vec() {
            self.thread.send(Command::Append { token, record });
        }
    }

    /// Replaces what was written up to `token` by the state that it leads to.
    pub fn checkpoint(&self, token: PersistToken, state: &DurableState) {
        if let Ok(state) = state.write_to_vec() {
            self.thread.send(Command::Checkpoint { token, state });
        }
    }
}

struct JournalWriter {
    store: CheckpointStore<RealFolder>,
    /// Token of the record that was appended last.
    last_token: PersistToken,
}

impl DiskWriter for JournalWriter {
    type Command = Command;
    type Report = JournalReport;
    type Error = StorageError;

    fn write(&mut self, command: Command) -> Result<(), StorageError> {
        match command {
            Command::Append { token, record } => {
                self.store.append(&record)?;
                self.last_token = token;
                Ok(())
            }
            // Records after the one that the state ends with would be lost; another checkpoint comes soon.
            Command::Checkpoint { token, .. } if token != self.last_token => Ok(()),
            Command::Checkpoint { state, .. } => self.store.checkpoint(&state),
        }
    }

    fn commit(&mut self, reports: &ReportSender<JournalReport>) -> Result<(), StorageError> {
        self.store.sync()?;
        reports.send(JournalReport::Persisted { token: self.last_token });
        Ok(())
    }

    fn failure(error: StorageError) -> JournalReport {
        JournalReport::Failed { error }
    }
}
