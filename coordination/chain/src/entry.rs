//! Entries of the replicated log. The head assigns their order.

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

/// Identity of a command or read, chosen by its caller. A command resubmitted with the same identity is applied only
/// once, while its reply is retained.
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

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// Its position.
    pub position: Position,
    /// The request with which it was submitted.
    pub request_id: RequestId,
    /// The node at which it was submitted.
    pub origin: NodeId,
    /// The encoded command.
    pub command: Vec<u8>,
}

impl Entry {
    /// Encoded size of the entry in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        Writable::<speedy::LittleEndian>::bytes_needed(self).unwrap_or(self.command.len())
    }
}
