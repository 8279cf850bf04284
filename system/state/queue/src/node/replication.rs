//! The node's side of replication as a primary: passes changes and acknowledgements to
//! [`Replication`](crate::replication::Replication), and applies the effects that are released once changes are
//! durable.

use super::StoreNode;
use crate::api::Ticket;
use crate::primary_entry::{Effect, SentVersion};
use crate::replication::{defer_until_durable, SyncAction};
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, RequestNumber, ShardId, StoreId};

/// The acknowledgement to be sent to a store for writes that are synced to the local disk.
struct Written {
    store: StoreId,
    number: RequestNumber,
}

impl StoreNode {
    /// Applies a change to a message of a served shard, and replicates it.
    pub(super) fn apply_record(&mut self, id: MessageId, record: Record) {
        self.replication.apply_record(self.context.now, &mut self.table, id, record);
    }

    /// Replicates the full state of a message.
    pub(super) fn mark_full_state_changed(&mut self, id: MessageId) {
        self.replication.mark_full_state_changed(&mut self.table, id);
    }

    /// Applies `effect` once the latest version of the message is durable.
    pub(super) fn when_durable(&mut self, id: MessageId, effect: Effect) {
        if let Some(effect) = defer_until_durable(&mut self.table, id, effect) {
            self.apply_effect(id, effect);
        }
    }

    /// Writes the changes since the last call to the local disk and sends them to other stores.
    pub(super) fn flush(&mut self) {
        self.replication.flush(&mut self.context, &mut self.table, &self.primary_terms);
    }

    /// Queues a message for further stores, if too few have it or can be expected to have it soon.
    pub(super) fn assign_more_replicas(&mut self, id: MessageId) {
        self.replication.assign_more_replicas(&mut self.context, &mut self.table, &self.primary_terms, id);
    }

    /// Queues for the learner of a served shard all messages that it lacks.
    pub(super) fn catch_up_learner(&mut self, shard: ShardId, store: StoreId) {
        self.replication.catch_up_learner(&self.table, &self.primary_terms, shard, store);
    }

    /// Handles a store's acknowledgement of all writes up to `number`.
    pub(super) fn handle_written(&mut self, from: StoreId, number: RequestNumber) {
        for sent in self.replication.handle_written(from, number, self.context.now) {
            self.record_ack(from, sent);
        }
    }

    /// Records that a version is on a store's disk.
    fn record_ack(&mut self, store: StoreId, sent: SentVersion) {
        let effects = self.replication.record_ack(&mut self.table, &self.primary_terms, store, sent);
        self.apply_effects(sent.id, effects);
    }

    /// Recomputes the durable version of a message, and applies the effects that are released by it.
    pub(super) fn update_durable_version(&mut self, id: MessageId) {
        let effects = self.replication.update_durable_version(&mut self.table, &self.primary_terms, id);
        self.apply_effects(id, effects);
    }

    fn apply_effects(&mut self, id: MessageId, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(id, effect);
        }
    }

    /// Handles the sync of everything up to `ticket` to the local disk.
    pub(super) fn handle_local_synced(&mut self, ticket: Ticket) {
        // Writes of one store that were synced together are acknowledged together, by the highest number.
        let mut written: Vec<Written> = Vec::new();
        for action in self.replication.handle_local_synced(ticket) {
            match action {
                SyncAction::Nothing => {}
                SyncAction::CountLocalCopy(sent) => self.handle_own_synced(sent),
                SyncAction::AcknowledgeWrite { store, number } => {
                    coalesce_written(&mut written, store, number)
                }
                SyncAction::ContinueTakeover { shard, term } => self.handle_own_promise_synced(shard, term),
                SyncAction::SendSnapshot { store, shard, term } => {
                    self.promises.start_transfer(&mut self.context, &self.table, store, shard, term);
                }
            }
        }
        for Written { store, number } in written {
            self.context.send_to_store(store, BetweenStores::Written { number });
        }
    }

    fn handle_own_synced(&mut self, sent: SentVersion) {
        self.handle_merged_synced(sent);
        self.record_ack(self.context.local_id, sent);
    }

    /// Handles a new connection with another store, whichever side opened it. An older one counts as closed.
    pub(super) fn handle_store_connected(&mut self, store: StoreId) {
        self.handle_store_closed(store);
        self.replication.handle_connected(&mut self.context, &mut self.table, &self.primary_terms, store);
        for shard in self.primary_terms.shards() {
            self.send_prepare(shard, store);
            self.catch_up_learner(shard, store);
        }
    }

    /// Handles the end of the connection with another store.
    pub(super) fn handle_store_closed(&mut self, store: StoreId) {
        self.promises.cancel_transfers_to(store);
        self.replication.handle_closed(&mut self.context, &mut self.table, &self.primary_terms, store);
    }

    /// Handles a change of the members of a served shard.
    pub(super) fn handle_members_changed(&mut self, shard: ShardId) {
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in ids {
            self.update_durable_version(id);
            if self.replication.is_pending(id) {
                self.assign_more_replicas(id);
            }
        }
        let learner = self.primary_terms.get(shard).and_then(|primary_term| primary_term.learner());
        if let Some(learner) = learner {
            self.catch_up_learner(shard, learner);
        }
    }
}

/// Merges acknowledgements of the same sync to the same store into one with the highest number.
fn coalesce_written(written: &mut Vec<Written>, store: StoreId, number: RequestNumber) {
    match written.iter_mut().find(|known| known.store == store) {
        Some(known) => known.number = number.max(known.number),
        None => written.push(Written { store, number }),
    }
}
