//! The replica's side of a takeover: the terms that this store has promised, and the snapshots that it sends to
//! new primaries.
//!
//! A promise is that of Paxos (phase 1b; Lamport, 2001), made for a whole shard instead of a single value. Once
//! a term is promised, writes of lower terms are rejected, and the new primary is sent all copies of the
//! shard's messages that are on the disk.

use crate::api::DiskRecord;
use crate::context::Context;
use crate::entry::message_bytes;
use crate::message_table::MessageTable;
use crate::timers::Timer;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use std::collections::BTreeMap;

/// A snapshot of a shard that is being sent to its new primary.
#[derive(Clone, Debug)]
struct SnapshotTransfer {
    term: Epoch,
    /// The first message of the next chunk.
    next: MessageId,
}

/// Promised terms by shard, and the snapshot transfers in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    terms: BTreeMap<ShardId, Epoch>,
    transfers: BTreeMap<(StoreId, ShardId), SnapshotTransfer>,
}

impl Promises {
    /// The highest term promised for the shard; the lowest possible term if none was promised.
    pub fn term_of(&self, shard: ShardId) -> Epoch {
        self.terms.get(&shard).copied().unwrap_or_default()
    }

    /// Records a promise for the shard.
    pub fn set(&mut self, shard: ShardId, term: Epoch) {
        self.terms.insert(shard, term);
    }

    /// Restores a promise found on the disk. Records may be read in any order, so the highest term wins.
    pub fn recover(&mut self, shard: ShardId, term: Epoch) {
        let promised = self.terms.entry(shard).or_default();
        *promised = term.max(*promised);
    }

    /// The current promises, as records to be written to disk.
    pub fn records(&self) -> Vec<DiskRecord> {
        let record = |(shard, term): (&ShardId, &Epoch)| DiskRecord::Promised { shard: *shard, term: *term };
        self.terms.iter().map(record).collect()
    }

    /// Starts to send a snapshot of a shard to its new primary, unless a later term has been promised since.
    pub fn start_transfer(
        &mut self,
        context: &mut Context,
        table: &MessageTable,
        store: StoreId,
        shard: ShardId,
        term: Epoch,
    ) {
        if self.term_of(shard) == term {
            let next = MessageId { shard, unique: 0 };
            self.transfers.insert((store, shard), SnapshotTransfer { term, next });
            self.send_chunk(context, table, store, shard);
        }
    }

    /// Sends the next chunk of a snapshot, and sets the timer for the one after it.
    pub fn send_chunk(
        &mut self,
        context: &mut Context,
        table: &MessageTable,
        store: StoreId,
        shard: ShardId,
    ) {
        let Some(transfer) = self.transfers.remove(&(store, shard)) else { return };
        let term = transfer.term;
        if self.term_of(shard) != term {
            return;
        }
        let (mut states, mut bytes, mut next) = (Vec::<MessageState>::new(), 0, None);
        for entry in table.of_shard_from(transfer.next) {
            let entry_bytes = entry.message.as_deref().map_or(0, message_bytes) + size_of::<MessageState>();
            // A larger state is sent alone, so that a chunk fits in a frame.
            if !states.is_empty() && bytes + entry_bytes > context.config.snapshot_chunk_bytes {
                next = Some(entry.id);
                break;
            }
            bytes += entry_bytes;
            states.push(entry.state(context.now));
        }
        context.send_to_store(store, BetweenStores::Promise { shard, term, states, last: next.is_none() });
        if let Some(next) = next {
            self.transfers.insert((store, shard), SnapshotTransfer { term, next });
            let next_chunk_at = context.now + context.config.snapshot_chunk_interval;
            context.timers.set(next_chunk_at, Timer::SnapshotChunk(store, shard));
        }
    }

    /// Cancels the transfers to a store whose connection is closed. It asks again on its next connection.
    pub fn cancel_transfers_to(&mut self, store: StoreId) {
        self.transfers.retain(|(to, _), _| *to != store);
    }

    /// Cancels all transfers after a failure of the local disk, which must not be reported from any more.
    pub fn cancel_all_transfers(&mut self) {
        self.transfers.clear();
    }
}
