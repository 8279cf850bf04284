//! The replica's side of replication: appends the writes of a shard's primary, and promises the shard to new
//! primaries.

use super::StoreNode;
use crate::api::{DiskRecord, Output};
use crate::replication::SyncAction;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{Epoch, RequestNumber, ShardId, StoreId};
use std::time::Duration;

impl StoreNode {
    /// Promises the shard to a term and appends the promise to the local disk.
    pub(super) fn append_promise(&mut self, shard: ShardId, term: Epoch, on_synced: SyncAction) {
        self.promises.set(shard, term);
        self.replication.append(&mut self.context, DiskRecord::Promised { shard, term }, on_synced);
    }

    /// Handles a write from a primary.
    pub(super) fn handle_write(
        &mut self,
        from: StoreId,
        number: RequestNumber,
        shard: ShardId,
        term: Epoch,
        records: Vec<Record>,
    ) {
        if self.replication.is_disk_failed() {
            return;
        }
        let promised = self.promises.term_of(shard);
        if term < promised {
            self.context.send_to_store(from, BetweenStores::Fenced { number, shard, term: promised });
            return;
        }
        if term > promised {
            self.yield_to(shard, term);
            self.append_promise(shard, term, SyncAction::Nothing);
        }
        for record in &records {
            self.apply_replicated_record(record.clone());
        }
        let on_synced = SyncAction::AcknowledgeWrite { store: from, number };
        self.replication.append_records(&mut self.context, records, on_synced);
    }

    fn apply_replicated_record(&mut self, record: Record) {
        let id = record.id();
        self.apply_received_record(record, Duration::ZERO);
        self.set_expiry(id);
    }

    /// Applies a record that was written `age` ago. A change to an unknown message is ignored, because only a
    /// full state can create an entry.
    pub(super) fn apply_received_record(&mut self, record: Record, age: Duration) {
        let (now, id) = (self.context.now, record.id());
        let is_full_state = matches!(record, Record::State { .. });
        if is_full_state || self.table.get(id).is_some() {
            self.table.change(id, now, |entry| entry.apply(record, now, age));
        }
    }

    /// Steps down as primary of the shard if this store's term is lower than `term`.
    fn yield_to(&mut self, shard: ShardId, term: Epoch) {
        if self.primary_terms.number_of(shard).is_some_and(|own| own < term) {
            self.step_down(shard);
        }
    }

    /// Handles the rejection of a write by a store that has promised the shard to a later primary.
    pub(super) fn handle_fenced(&mut self, shard: ShardId, term: Epoch) {
        self.yield_to(shard, term);
    }

    /// Handles the prepare request of a new primary (phase 1a of Paxos).
    pub(super) fn handle_prepare(&mut self, from: StoreId, shard: ShardId, term: Epoch) {
        if self.replication.is_disk_failed() {
            return;
        }
        let promised = self.promises.term_of(shard);
        if term < promised {
            let number = RequestNumber(0);
            self.context.send_to_store(from, BetweenStores::Fenced { number, shard, term: promised });
            return;
        }
        self.yield_to(shard, term);
        self.append_promise(shard, term, SyncAction::SendSnapshot { store: from, shard, term });
    }

    /// Handles the primary's message that this learner has caught up with the shard.
    pub(super) fn handle_learner_caught_up(&mut self, shard: ShardId, term: Epoch, change: Epoch) {
        if term >= self.promises.term_of(shard) && !self.replication.is_disk_failed() {
            self.context.outputs.push(Output::CaughtUp { shard: CaughtUpShard { shard, change } });
        }
    }
}
