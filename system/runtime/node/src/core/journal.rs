//! The core's disk: a thread that appends what the node persists, and joins syncs.

use crate::error::RoleError;
use millrudder_chain::{DurableState, PersistToken, Record};
use millrudder_checkpoint_store::{CheckpointStore, RealFolder, StorageError};
use speedy::{Readable, Writable};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;

/// What the disk's thread reports.
#[derive(Debug)]
pub enum Report {
    /// Everything up to this token is durable.
    Persisted { token: PersistToken },
    /// The disk failed; nothing more is written.
    Failed { error: StorageError },
}

enum Command {
    Append { token: PersistToken, record: Vec<u8> },
    Checkpoint { token: PersistToken, state: Vec<u8> },
}

/// The queue of the disk's thread.
pub struct Journal {
    commands: Sender<Command>,
}

/// What the disk held.
pub struct Opened {
    pub store: CheckpointStore<RealFolder>,
    pub state: Option<DurableState>,
}

impl Opened {
    /// Shows by writing the state once more that the disk takes writes.
    ///
    /// # Errors
    /// It does not.
    pub fn proven(mut self) -> Result<Self, RoleError> {
        if let Some(state) = &self.state {
            let state = state.write_to_vec().map_err(|_| RoleError::Unreadable)?;
            self.store.checkpoint(&state)?;
        }
        Ok(self)
    }
}

/// Opens the folder and reads the state back.
///
/// # Errors
/// The folder cannot be used, or holds something else.
pub fn open(folder: &Path) -> Result<Opened, RoleError> {
    std::fs::create_dir_all(folder).map_err(RoleError::Folder)?;
    let (store, recovered) = CheckpointStore::open(RealFolder::open(folder)?)?;
    let unreadable = |_| RoleError::Unreadable;
    let checkpoint = recovered.checkpoint.as_deref().map(DurableState::read_from_buffer);
    let mut state = checkpoint.transpose().map_err(unreadable)?;
    for bytes in &recovered.records {
        let record = Record::read_from_buffer(bytes).map_err(unreadable)?;
        state.get_or_insert_with(DurableState::default).apply(&record);
    }
    Ok(Opened { store, state })
}

impl Journal {
    /// Starts the thread.
    pub fn start(store: CheckpointStore<RealFolder>, reports: UnboundedSender<Report>) -> Self {
        let (commands, queue) = channel();
        std::thread::spawn(move || write_all(store, &queue, &reports));
        Journal { commands }
    }

    pub fn append(&self, token: PersistToken, record: &Record) {
        if let Ok(record) = record.write_to_vec() {
            // The thread ends only after it has reported why.
            let _ = self.commands.send(Command::Append { token, record });
        }
    }

    pub fn checkpoint(&self, token: PersistToken, state: &DurableState) {
        if let Ok(state) = state.write_to_vec() {
            let _ = self.commands.send(Command::Checkpoint { token, state });
        }
    }
}

fn write_all(
    mut store: CheckpointStore<RealFolder>,
    queue: &Receiver<Command>,
    reports: &UnboundedSender<Report>,
) {
    let mut last = PersistToken::default();
    while let Ok(first) = queue.recv() {
        let batch = std::iter::once(first).chain(queue.try_iter());
        let written = batch.map(|command| write(&mut store, command, &mut last));
        let written: Result<(), StorageError> = written.collect();
        let report = match written.and_then(|()| store.sync()) {
            Ok(()) => Report::Persisted { token: last },
            Err(error) => Report::Failed { error },
        };
        let failed = matches!(report, Report::Failed { .. });
        if reports.send(report).is_err() || failed {
            return;
        }
    }
}

fn write(
    store: &mut CheckpointStore<RealFolder>,
    command: Command,
    last: &mut PersistToken,
) -> Result<(), StorageError> {
    match command {
        Command::Append { token, record } => {
            store.append(&record)?;
            *last = token;
            Ok(())
        }
        // Records after the one that the state ends with would be lost; another checkpoint comes soon.
        Command::Checkpoint { token, .. } if token != *last => Ok(()),
        Command::Checkpoint { state, .. } => store.checkpoint(&state),
    }
}
