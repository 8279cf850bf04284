//! Injected faults of a simulated disk.

use std::io;

/// A kind of operation that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Writes, changes of length and of names fail, with nothing done.
    Changes,
    /// Syncs of files and of the folder fail, with nothing done.
    Syncs,
}

/// Why a simulated operation failed: the source of the [`StorageError`](crate::StorageError).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SimulatedFailure {
    /// The process was stopped; see [`SimulatedFolder::interrupt_after`](super::SimulatedFolder::interrupt_after).
    #[error("the process was interrupted")]
    Interrupted,
    /// The file was opened before power was lost or the process ended.
    #[error("the file was opened before the process ended")]
    StaleHandle,
    /// A fault that the test asked for.
    #[error("the disk fails")]
    Failing,
    /// There is no file of this name.
    #[error("no such file")]
    NoSuchFile,
    /// The read goes beyond the end of the file.
    #[error("the file ends before")]
    BeyondEnd,
}

impl From<SimulatedFailure> for io::Error {
    fn from(failure: SimulatedFailure) -> Self {
        let kind = match failure {
            SimulatedFailure::NoSuchFile => io::ErrorKind::NotFound,
            SimulatedFailure::BeyondEnd => io::ErrorKind::UnexpectedEof,
            _ => io::ErrorKind::Other,
        };
        Self::new(kind, failure)
    }
}

/// The injected faults that are active, and the disk's capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    /// Bytes that fit in all files together; `None` for no bound.
    capacity: Option<u64>,
    failing: Option<Fault>,
    /// Changes and syncs left before the process is interrupted.
    changes_left: Option<u64>,
    interrupted: bool,
}

/// How an operation that passed the injected faults ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// It succeeds.
    Done,
    /// The process stops in it: it may have taken effect, but it fails.
    Interrupted,
}

impl Faults {
    pub const fn capacity(&self) -> Option<u64> {
        self.capacity
    }

    pub const fn set_capacity(&mut self, bytes: Option<u64>) {
        self.capacity = bytes;
    }

    /// Makes operations of one kind fail; `None` ends the fault.
    pub const fn set_failing(&mut self, failing: Option<Fault>) {
        self.failing = failing;
    }

    pub const fn interrupt_after(&mut self, changes: u64) {
        self.changes_left = Some(changes);
    }

    /// Decides how an operation that changes or syncs something ends.
    pub fn attempt(&mut self, kind: Fault) -> Result<Completion, SimulatedFailure> {
        self.check_running()?;
        if self.failing == Some(kind) {
            return Err(SimulatedFailure::Failing);
        }
        match &mut self.changes_left {
            Some(0) => {
                self.interrupted = true;
                Ok(Completion::Interrupted)
            }
            Some(left) => {
                *left -= 1;
                Ok(Completion::Done)
            }
            None => Ok(Completion::Done),
        }
    }

    pub const fn check_running(&self) -> Result<(), SimulatedFailure> {
        if self.interrupted {
            return Err(SimulatedFailure::Interrupted);
        }
        Ok(())
    }

    /// The next process starts.
    pub const fn end_interruption(&mut self) {
        self.interrupted = false;
        self.changes_left = None;
    }

    /// Power is restored: all faults end; the capacity stays.
    pub fn restore(&mut self) {
        *self = Self { capacity: self.capacity, ..Self::default() };
    }
}
