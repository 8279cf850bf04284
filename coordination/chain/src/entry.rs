//! Commands in the replicated order, which the head assigns.

use millrudder_view::{Epoch, NodeId};
use speedy::{Readable, Writable};

/// Index of a command in the replicated order; the first command has number 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Sequence(pub u64);

impl Sequence {
    /// The number that follows.
    pub fn next(self) -> Sequence {
        Sequence(self.0.saturating_add(1))
    }
}

/// Identity of one command or read, given by its caller; a command submitted again under the same identity runs once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestId(pub u128);

/// An index in the replicated order together with the epoch in which it was assigned.
///
/// Two logs that agree on a position agree on every entry up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Position {
    /// Index in the order.
    pub sequence: Sequence,
    /// Epoch of the head that assigned it.
    pub epoch: Epoch,
}

/// One command of the replicated order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// Its position.
    pub position: Position,
    /// The request that it was submitted with.
    pub request_id: RequestId,
    /// The node at which it was submitted.
    pub origin: NodeId,
    /// The encoded command.
    pub command: Vec<u8>,
}

impl Entry {
    /// Bytes that the entry takes in a message.
    pub(crate) fn encoded_bytes(&self) -> usize {
        Writable::<speedy::LittleEndian>::bytes_needed(self).unwrap_or(self.command.len())
    }
}
