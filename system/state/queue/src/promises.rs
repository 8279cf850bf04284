//! As replica: the terms that this store has promised, and the snapshots that it sends to new primaries.
//!
//! The promise is that of Paxos (phase 1b; Lamport, 2001), by shard in place of by value: once a term is promised, writes
//! of lower terms are rejected, and the new primary is sent everything that is on the disk.

use crate::api::DiskRecord;
use crate::context::Context;
use crate::entry::message_bytes;
use crate::message_table::MessageTable;
use crate::timers::Timer;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use std::collections::BTreeMap;

/// States of a shard on their way to its new primary.
#[derive(Clone, Debug)]
struct SnapshotTransfer {
    term: Epoch,
    /// First message of the next chunk.
    next: MessageId,
}

/// Promised terms by shard, and the snapshot transfers under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    terms: BTreeMap<ShardId, Epoch>,
    transfers: BTreeMap<(StoreId, ShardId), SnapshotTransfer>,
}

impl Promises {
    /// The term that the shard is promised to; the lowest one if it is promised to nobody.
    pub fn term_of(&self, shard: ShardId) -> Epoch {
        self.terms.get(&shard).copied().unwrap_or_default()
    }

    /// The shard is promised to this term from now on.
    pub fn set(&mut self, shard: ShardId, term: Epoch) {
        self.terms.insert(shard, term);
    }

    /// A promise that was found on the disk; older ones do not lower a newer one.
    pub fn recover(&mut self, shard: ShardId, term: Epoch) {
        let promised = self.terms.entry(shard).or_default();
        *promised = term.max(*promised);
    }

    /// The promises in force, as they are written to disk.
    pub fn records(&self) -> Vec<DiskRecord> {
        let record = |(shard, term): (&ShardId, &Epoch)| DiskRecord::Promised { shard: *shard, term: *term };
        self.terms.iter().map(record).collect()
    }

    /// Sends a shard's states to its new primary, unless it is promised to a later one meanwhile.
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

    /// Sends the next chunk of a shard's states, and sets the timer for the one behind it.
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
            if bytes >= context.config.snapshot_chunk_bytes {
                next = Some(entry.id);
                break;
            }
            let state = entry.state(context.now);
            bytes += entry.message.as_deref().map_or(0, message_bytes) + size_of::<MessageState>();
            states.push(state);
        }
        context.send_to_store(store, BetweenStores::Promise { shard, term, states, last: next.is_none() });
        if let Some(next) = next {
            self.transfers.insert((store, shard), SnapshotTransfer { term, next });
            let next_chunk_at = context.now + context.config.snapshot_chunk_interval;
            context.timers.set(next_chunk_at, Timer::SnapshotChunk(store, shard));
        }
    }

    /// The connection to `store` is closed: it asks again on the next one.
    pub fn cancel_transfers_to(&mut self, store: StoreId) {
        self.transfers.retain(|(to, _), _| *to != store);
    }

    /// The disk has failed: nothing more is sent of it.
    pub fn cancel_all_transfers(&mut self) {
        self.transfers.clear();
    }
}
