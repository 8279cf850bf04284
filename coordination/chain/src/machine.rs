//! The interface of the replicated state machine.

use std::fmt::Debug;

use speedy::{LittleEndian, Readable, Writable};
use thiserror::Error;

use crate::Sequence;

/// Why a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The bytes do not match the machine's snapshot format.
    #[error("the snapshot of the replicated state cannot be decoded")]
    Unreadable,
}

/// A deterministic state machine: the same commands in the same order give the same state at every member.
pub trait Machine: Default {
    /// A change of the state.
    type Command: Clone + Debug + for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian>;
    /// The result of a command. Should be small, since the replies to recent requests are kept in memory and in
    /// snapshots.
    type Reply: Clone + Debug + for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian>;

    /// Applies a committed command.
    fn apply(&mut self, sequence: Sequence, command: &Self::Command) -> Self::Reply;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Rebuilds the state from the bytes of [`snapshot`](Machine::snapshot).
    ///
    /// # Errors
    ///
    /// [`RestoreError::Unreadable`] if the bytes are not such a snapshot.
    fn restore(snapshot: &[u8]) -> Result<Self, RestoreError>;
}
