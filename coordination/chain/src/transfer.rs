//! Transfer of a snapshot to another node, in chunks that each fit into a message.
//!
//! A transfer resumes after lost messages and after a view change, as long as the same snapshot is sent: the receiver
//! keeps the bytes that it has, and reports their number in the answer to the first chunk.

use std::collections::BTreeMap;
use std::sync::Arc;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_128;

use crate::{Position, Snapshot};

/// Maximum size of an encoded snapshot in bytes; a receiver rejects chunks of a snapshot with a larger stated length.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;
/// Upper bound on the window of chunks in flight. The window restarts at one after each retry time-out without
/// progress, and grows by one with each answer that reports progress.
const MAX_CHUNKS_IN_FLIGHT: u64 = 4;

/// Identity of an encoded snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SnapshotId {
    /// Position of the last command contained.
    pub position: Position,
    /// XXH3 digest of the encoded snapshot.
    pub digest: u128,
    /// Length of the encoded snapshot in bytes.
    pub length: u64,
}

/// A chunk of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SnapshotChunk {
    /// The snapshot.
    pub id: SnapshotId,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    id: SnapshotId,
    encoded: Arc<[u8]>,
}

impl OutgoingSnapshot {
    pub(crate) fn new(snapshot: &Snapshot) -> OutgoingSnapshot {
        let encoded = snapshot.write_to_vec().unwrap_or_default();
        let (digest, length) = (xxh3_128(&encoded), encoded.len() as u64);
        let id = SnapshotId { position: snapshot.position, digest, length };
        OutgoingSnapshot { id, encoded: encoded.into() }
    }

    /// Identity of the snapshot.
    pub(crate) fn id(&self) -> SnapshotId {
        self.id
    }

    /// The chunk at `offset`, of at most `max_bytes` bytes.
    pub(crate) fn chunk(&self, offset: u64, max_bytes: usize) -> SnapshotChunk {
        let from = usize::try_from(offset).map_or(self.encoded.len(), |from| from.min(self.encoded.len()));
        let to = from.saturating_add(max_bytes).min(self.encoded.len());
        SnapshotChunk { id: self.id, offset, bytes: self.encoded[from..to].to_vec() }
    }
}

/// Progress of the transfer of a snapshot to one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    id: SnapshotId,
    /// Bytes that the receiver has acknowledged.
    received: u64,
    /// Bytes sent.
    sent: u64,
    /// Maximum number of chunks in flight at present.
    window: u64,
}

impl Transfer {
    pub(crate) fn new(id: SnapshotId) -> Transfer {
        Transfer { id, received: 0, sent: 0, window: 1 }
    }

    /// Identity of the snapshot.
    pub(crate) fn id(&self) -> SnapshotId {
        self.id
    }

    /// Bytes sent.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }

    /// Records that another `bytes` bytes were sent.
    pub(crate) fn record_sent(&mut self, bytes: u64) {
        self.sent += bytes;
    }

    /// Whether another chunk of `chunk_bytes` may be sent.
    pub(crate) fn can_send(&self, chunk_bytes: usize) -> bool {
        let in_flight = self.sent.saturating_sub(self.received);
        self.sent < self.id.length && in_flight < self.window.saturating_mul(chunk_bytes as u64)
    }

    /// Handles the receiver's report that it has the first `received` bytes. Returns whether that is progress.
    pub(crate) fn handle_received(&mut self, received: u64) -> bool {
        let received = received.min(self.id.length);
        if received <= self.received {
            return false;
        }
        self.received = received;
        self.sent = self.sent.max(received);
        self.window = (self.window + 1).min(MAX_CHUNKS_IN_FLIGHT);
        true
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
    /// Chunks received out of order, by offset; at most [`MAX_CHUNKS_IN_FLIGHT`].
    out_of_order: BTreeMap<u64, Vec<u8>>,
}

impl IncomingSnapshot {
    pub(crate) fn new(id: SnapshotId) -> IncomingSnapshot {
        IncomingSnapshot { id, bytes: Vec::new(), out_of_order: BTreeMap::new() }
    }

    /// Identity of the snapshot.
    pub(crate) fn id(&self) -> SnapshotId {
        self.id
    }

    /// Bytes received from the start without a gap.
    pub(crate) fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds a chunk. Of the chunks that arrive out of order, those with the lowest offsets are kept.
    pub(crate) fn add_chunk(&mut self, chunk: SnapshotChunk) {
        let end = chunk.offset.saturating_add(chunk.bytes.len() as u64);
        if chunk.id != self.id || end > self.id.length || chunk.offset < self.received() {
            return;
        }
        self.out_of_order.insert(chunk.offset, chunk.bytes);
        while let Some(next) = self.out_of_order.remove(&self.received()) {
            self.bytes.extend_from_slice(&next);
        }
        let received = self.received();
        self.out_of_order.retain(|offset, _| *offset > received);
        if self.out_of_order.len() as u64 > MAX_CHUNKS_IN_FLIGHT {
            self.out_of_order.pop_last();
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.received() == self.id.length
    }

    /// Decodes the snapshot; `None` if its digest or position does not match the identity.
    pub(crate) fn decode(&self) -> Option<Snapshot> {
        if xxh3_128(&self.bytes) != self.id.digest {
            return None;
        }
        let snapshot = Snapshot::read_from_buffer(&self.bytes).ok()?;
        (snapshot.position == self.id.position).then_some(snapshot)
    }
}
