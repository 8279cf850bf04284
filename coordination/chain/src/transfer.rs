//! A snapshot on its way to another node: cut into parts that each fit a message, and put together again.
//!
//! A transfer goes on where it stood after lost messages and after a change of view, as long as the same snapshot is
//! sent: the receiver keeps the part that it holds, and answers the first part with how far it is.

use std::collections::BTreeMap;
use std::sync::Arc;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_128;

use crate::{Position, Snapshot};

/// Encoded snapshots are not larger, in bytes; a receiver takes no part of one that says it is.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;
/// Parts under way at the most; one after each pause without progress, and one more for each answer.
const PARTS_IN_FLIGHT: u64 = 4;

/// Names the encoded form of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SnapshotId {
    /// The last command that is contained.
    pub position: Position,
    /// Digest of the encoded form.
    pub digest: u128,
    /// Length of the encoded form in bytes.
    pub length: u64,
}

/// Some bytes of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SnapshotChunk {
    /// The whole that this is a part of.
    pub id: SnapshotId,
    /// Bytes before this part.
    pub offset: u64,
    /// The part itself.
    pub bytes: Vec<u8>,
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) id: SnapshotId,
    encoded: Arc<[u8]>,
}

impl OutgoingSnapshot {
    pub(crate) fn new(snapshot: &Snapshot) -> OutgoingSnapshot {
        let encoded = snapshot.write_to_vec().unwrap_or_default();
        let (digest, length) = (xxh3_128(&encoded), encoded.len() as u64);
        let id = SnapshotId { position: snapshot.position, digest, length };
        OutgoingSnapshot { id, encoded: encoded.into() }
    }

    /// The part after `offset`, of `most` bytes or less.
    pub(crate) fn part(&self, offset: u64, most: usize) -> SnapshotChunk {
        let from = usize::try_from(offset).map_or(self.encoded.len(), |from| from.min(self.encoded.len()));
        let to = from.saturating_add(most).min(self.encoded.len());
        SnapshotChunk { id: self.id, offset, bytes: self.encoded[from..to].to_vec() }
    }
}

/// How far a snapshot has been sent to one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) id: SnapshotId,
    /// Bytes that the receiver has said it holds.
    received: u64,
    /// Bytes sent.
    pub(crate) sent: u64,
    /// Parts that may be under way.
    window: u64,
}

impl Transfer {
    pub(crate) fn new(id: SnapshotId) -> Transfer {
        Transfer { id, received: 0, sent: 0, window: 1 }
    }

    /// Whether another part of `part_bytes` may be sent.
    pub(crate) fn may_send(&self, part_bytes: usize) -> bool {
        let under_way = self.sent.saturating_sub(self.received);
        self.sent < self.id.length && under_way < self.window.saturating_mul(part_bytes as u64)
    }

    /// The receiver holds the first `received` bytes. Returns whether that is news.
    pub(crate) fn received(&mut self, received: u64) -> bool {
        let received = received.min(self.id.length);
        if received <= self.received {
            return false;
        }
        self.received = received;
        self.sent = self.sent.max(received);
        self.window = (self.window + 1).min(PARTS_IN_FLIGHT);
        true
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) id: SnapshotId,
    bytes: Vec<u8>,
    /// Parts that came before their turn, by offset; no more than may be under way.
    early: BTreeMap<u64, Vec<u8>>,
}

impl IncomingSnapshot {
    pub(crate) fn new(id: SnapshotId) -> IncomingSnapshot {
        IncomingSnapshot { id, bytes: Vec::new(), early: BTreeMap::new() }
    }

    /// Bytes held from the start.
    pub(crate) fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Takes a part. Of those that come before their turn the nearest are kept.
    pub(crate) fn take(&mut self, part: SnapshotChunk) {
        let end = part.offset.saturating_add(part.bytes.len() as u64);
        if part.id != self.id || end > self.id.length || part.offset < self.received() {
            return;
        }
        self.early.insert(part.offset, part.bytes);
        while let Some(next) = self.early.remove(&self.received()) {
            self.bytes.extend_from_slice(&next);
        }
        let received = self.received();
        self.early.retain(|offset, _| *offset > received);
        if self.early.len() as u64 > PARTS_IN_FLIGHT {
            self.early.pop_last();
        }
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.received() == self.id.length
    }

    /// The snapshot, if the bytes are those that were promised.
    pub(crate) fn decode(&self) -> Option<Snapshot> {
        if xxh3_128(&self.bytes) != self.id.digest {
            return None;
        }
        let snapshot = Snapshot::read_from_buffer(&self.bytes).ok()?;
        (snapshot.position == self.id.position).then_some(snapshot)
    }
}
