//! Takeover of a shard by a new primary. A read quorum of replicas promises the new term and sends its copies
//! of the messages. The primary merges the copies and starts to serve the shard. Messages that are on too few
//! disks are replicated again meanwhile.
//!
//! Copies from other stores are appended to the local disk before they are used. A store only reports what is
//! on its disk, so everything that this primary has used is included when it later promises the shard to
//! another primary.

use super::StoreNode;
use crate::api::DiskRecord;
use crate::entry::{Entry, EntryVersion};
use crate::primary_entry::{Effect, PrimaryEntry, ReplicaProgress, SentVersion, Stage};
use crate::primary_term::{MergedRecord, PrimaryTerm, RecoveredCopy};
use crate::replication::SyncAction;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{Epoch, MessageId, Sequence, ShardId, StoreId};
use std::time::Duration;

/// Replication version of a message at the start of a term.
const FIRST_VERSION: u32 = 1;

impl StoreNode {
    /// Applies a newer placement to one shard: starts or ends a term, or changes the members.
    pub(super) fn apply_shard_placement(&mut self, shard: ShardId) {
        let Some(entry) = self.context.placement.shard(shard) else { return };
        let tolerated = self.context.placement.tolerated_losses;
        let present = self.primary_terms.number_of(shard);
        if entry.primary != self.context.local_id || self.replication.is_disk_failed() {
            if present.is_some() {
                self.step_down(shard);
            }
            self.deferred_reports.drop_shard(shard);
            return;
        }
        let primary_term = PrimaryTerm::new(entry, tolerated);
        if present != Some(primary_term.number()) {
            if present.is_some() {
                self.step_down(shard);
            }
            self.start_term(shard, primary_term);
            return;
        }
        self.change_members(shard, primary_term);
    }

    fn change_members(&mut self, shard: ShardId, new: PrimaryTerm) {
        let Some(primary_term) = self.primary_terms.get_mut(shard) else { return };
        if !primary_term.change_members(new) {
            return;
        }
        if primary_term.is_serving() {
            self.handle_members_changed(shard);
        }
        self.send_prepare_to_all(shard);
        self.try_serve(shard);
    }

    fn start_term(&mut self, shard: ShardId, mut primary_term: PrimaryTerm) {
        let term = primary_term.number();
        if self.promises.term_of(shard) > term {
            return;
        }
        for entry in self.table.of_shard_from(MessageId { shard, unique: 0 }) {
            primary_term.add_own_copy(self.context.local_id, entry);
        }
        self.primary_terms.insert(shard, primary_term);
        self.append_promise(shard, term, SyncAction::ContinueTakeover { shard, term });
        self.send_prepare_to_all(shard);
    }

    fn send_prepare_to_all(&mut self, shard: ShardId) {
        for store in self.replication.peer_ids() {
            self.send_prepare(shard, store);
        }
    }

    /// Sends a prepare request to a member that has not promised this term yet.
    pub(super) fn send_prepare(&mut self, shard: ShardId, store: StoreId) {
        let Some(primary_term) = self.primary_terms.get(shard) else { return };
        let is_connected = self.replication.is_connected(store);
        if is_connected
            && store != self.context.local_id
            && primary_term.is_member(store)
            && !primary_term.has_promise_of(store)
        {
            let term = primary_term.number();
            self.context.send_to_store(store, BetweenStores::Prepare { shard, term });
        }
    }

    /// Handles the sync of this store's own promise to the local disk.
    pub(super) fn handle_own_promise_synced(&mut self, shard: ShardId, term: Epoch) {
        let Some(primary_term) = self.primary_terms.get_term_mut(shard, term) else { return };
        primary_term.set_own_promise_synced();
        self.try_serve(shard);
    }

    /// Handles one chunk of the copies that a replica sends with its promise.
    pub(super) fn handle_promise(
        &mut self,
        from: StoreId,
        shard: ShardId,
        term: Epoch,
        states: Vec<MessageState>,
        last: bool,
    ) {
        let Some(primary_term) = self.primary_terms.get_term_mut(shard, term) else { return };
        let is_serving = primary_term.is_serving();
        for state in states.into_iter().filter(|state| state.id.shard == shard) {
            if is_serving {
                self.merge_while_serving(from, state);
            } else {
                self.merge_before_serving(from, state);
            }
        }
        if !last {
            return;
        }
        if let Some(primary_term) = self.primary_terms.get_mut(shard) {
            primary_term.add_promise(from);
        }
        self.try_serve(shard);
    }

    /// Merges a copy sent by a replica before the shard is served.
    fn merge_before_serving(&mut self, from: StoreId, state: MessageState) {
        let (id, entry_version) = (state.id, EntryVersion::of_state(&state));
        let Some(takeover) = self.primary_terms.takeover_mut(id.shard) else { return };
        let recovered = takeover.recovered.entry(id).or_default();
        recovered.retain(|recovered| recovered.store != from);
        recovered.push(RecoveredCopy { store: from, entry_version });
        let appended = takeover.merged.get(&id).map_or(0, |merged| merged.appended);
        if !self.merge_and_append(state, appended + 1) {
            return;
        }
        if let Some(takeover) = self.primary_terms.takeover_mut(id.shard) {
            takeover.merged.entry(id).or_default().appended += 1;
        }
    }

    /// Merges a copy from another store. If it adds anything, appends the full state to the local disk as
    /// `version` and returns `true`.
    fn merge_and_append(&mut self, state: MessageState, version: u32) -> bool {
        let (now, id) = (self.context.now, state.id);
        let Some(term) = self.primary_terms.number_of(id.shard) else {
            return false;
        };
        let before = self.table.get(id).map(Entry::contents);
        self.table.change(id, now, |entry| entry.merge(state, now, Duration::ZERO));
        let Some(entry) = self.table.get(id).filter(|entry| before != Some(entry.contents())) else {
            return false;
        };
        let record = Record::State { state: Box::new(entry.state(now)) };
        let on_synced = SyncAction::CountLocalCopy(SentVersion { id, term, version });
        self.replication.append(&mut self.context, DiskRecord::Message { record }, on_synced);
        true
    }

    /// Handles the sync of a merged copy that was appended before the shard is served.
    pub(super) fn handle_merged_synced(&mut self, sent: SentVersion) {
        if !self.primary_terms.is_current(&sent) {
            return;
        }
        let takeover = self.primary_terms.takeover_mut(sent.id.shard);
        let merged = takeover.and_then(|takeover| takeover.merged.get_mut(&sent.id));
        if let Some(merged) = merged {
            merged.synced = merged.synced.max(sent.version);
        }
    }

    /// Starts to serve the shard if a read quorum has promised it and the own promise is synced.
    fn try_serve(&mut self, shard: ShardId) {
        let Some(primary_term) = self.primary_terms.get_mut(shard) else { return };
        let has_own_promise = primary_term.takeover().is_some_and(|takeover| takeover.is_own_promise_synced);
        if !has_own_promise || !primary_term.has_read_quorum(self.context.local_id) {
            return;
        }
        let Some(takeover) = primary_term.finish_takeover() else { return };
        for (id, recovered) in takeover.recovered {
            let merged = takeover.merged.get(&id).copied();
            self.create_primary_entry(id, &recovered, merged);
        }
        let placement = &self.context.placement;
        let is_on_shard = |service: &str| placement.shard_of(service) == Some(shard);
        self.services.drain_rate_limits(is_on_shard, self.context.now);
        self.schedule_shard(shard);
        self.handle_deferred_reports(shard);
        for withdrawal in takeover.withdrawals {
            self.handle_withdraw(withdrawal.connection, withdrawal.id);
        }
        if let Some(learner) = self.primary_terms.get(shard).and_then(PrimaryTerm::learner) {
            self.catch_up_learner(shard, learner);
        }
    }

    /// Creates the primary's entry of a message. `merged` says how often the message was appended to the local
    /// disk since the takeover started; the local disk has the full state once the last of these appends is
    /// synced.
    fn create_primary_entry(
        &mut self,
        id: MessageId,
        recovered: &[RecoveredCopy],
        merged: Option<MergedRecord>,
    ) {
        let (now, local_id) = (self.context.now, self.context.local_id);
        let Some(entry) = self.table.get_mut(id) else { return };
        let entry_version = entry.entry_version();
        let mut primary = PrimaryEntry::new(Stage::Persisting, now);
        let version = merged.map_or(FIRST_VERSION, |merged| merged.appended.max(FIRST_VERSION));
        let holders = recovered.iter().filter(|recovered| recovered.entry_version == entry_version);
        let holders = holders.filter(|recovered| recovered.store != local_id || merged.is_none());
        let progress = |recovered: &RecoveredCopy| ReplicaProgress {
            store: recovered.store,
            sent: version,
            acked: version,
        };
        let local =
            merged.map(|merged| ReplicaProgress { store: local_id, sent: version, acked: merged.synced });
        primary.set_recovered(version, holders.map(progress).chain(local).collect());
        if let Some(primary_term) = self.primary_terms.get_mut(id.shard) {
            primary_term.skip_issued_numbers(
                entry.sequence,
                entry.grant.map(|grant| grant.token).unwrap_or_default(),
            );
            let durable_version = primary_term.durable_version(&primary);
            // No effects are pending yet.
            let _ = primary.advance_durable(durable_version);
        }
        if entry.grant.is_some() {
            primary.set_runners_unknown();
        }
        let is_durable = primary.is_durable();
        entry.primary = Some(Box::new(primary));
        if !is_durable {
            self.replication.mark_pending(id);
            self.assign_more_replicas(id);
        }
        self.set_expiry(id);
    }

    /// Schedules every message of a shard, in the order of acceptance.
    fn schedule_shard(&mut self, shard: ShardId) {
        let of_shard = self.table.of_shard_from(MessageId { shard, unique: 0 });
        let mut order: Vec<(Sequence, MessageId)> =
            of_shard.map(|entry| (entry.sequence, entry.id)).collect();
        order.sort_unstable();
        for (_, id) in &order {
            self.enqueue_in_key(*id);
        }
        for (_, id) in &order {
            self.adopt_grant(*id);
        }
        for (_, id) in &order {
            self.resume_message(*id);
        }
    }

    /// Adds a message that has not ended to the queue of its order key.
    fn enqueue_in_key(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id).filter(|entry| entry.end.is_none()) else { return };
        if let Some(key) = entry.order_key() {
            self.keys.add(key, entry.sequence, id);
        }
    }

    /// Adopts the lease of a message if a dispatcher may still hold one that a former primary granted.
    fn adopt_grant(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id) else { return };
        let is_open = |entry: &Entry| entry.end.is_none() && entry.primary.is_some();
        let grant = entry.grant.filter(|grant| is_open(entry) && grant.token > entry.resolved_through);
        if let Some(grant) = grant {
            self.adopt_lease(id, grant);
        }
    }

    /// Schedules a message, or if it has ended, continues with what follows its end.
    fn resume_message(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let ended = entry.end.is_some();
        let Some(primary) = entry.primary.as_mut() else { return };
        if primary.is_in_flight() {
            return;
        }
        if !ended {
            self.schedule(id);
            return;
        }
        primary.set_stage(Stage::Ended);
        if primary.defer_until_durable(Effect::ContinueAfterEnd).is_some() {
            self.enqueue_callback(id);
        }
    }

    /// Merges a copy sent by a replica whose promise arrived after the shard was already served. Whatever the
    /// primary does not know yet is added.
    fn merge_while_serving(&mut self, from: StoreId, state: MessageState) {
        let id = state.id;
        if self.table.get(id).is_none() {
            self.merge_unknown_message(id, from, state);
            return;
        }
        let Some(entry) = self.table.get(id) else { return };
        let entry_version = EntryVersion::of_state(&state);
        let knows_more_failures = state.failed_attempts > entry.failed_attempts;
        let knows_callback = state.callback_done && !entry.callback_done;
        let knows_end = state.end.as_ref().is_some_and(|end| entry.end.as_ref().is_none_or(|own| end < own));
        if knows_more_failures {
            let (token, failed_attempts) = (state.resolved_through, state.failed_attempts);
            self.apply_record(id, Record::Failed { id, token, failed_attempts });
        }
        if let Some(end) = state.end.filter(|_| knows_end) {
            self.end_message(id, end);
        }
        if knows_callback {
            self.apply_record(id, Record::CallbackDone { id });
            self.remove_callback(id);
        }
        let Some(entry) = self.table.get_mut(id) else { return };
        let is_same = entry.entry_version() == entry_version;
        let Some(primary) = entry.primary.as_mut() else { return };
        // If something was sent to the replica in this term, only its acknowledgements count.
        if is_same && primary.progress_of(from).sent == 0 {
            primary.mark_up_to_date(from);
            self.update_durable_version(id);
        }
    }

    /// Adds a message that is known only to a replica whose promise arrived late. Its acceptance was never
    /// acknowledged to a client, but it is accepted all the same.
    fn merge_unknown_message(&mut self, id: MessageId, from: StoreId, state: MessageState) {
        let entry_version = EntryVersion::of_state(&state);
        let is_new = self.merge_and_append(state, FIRST_VERSION);
        let merged = is_new.then_some(MergedRecord { appended: FIRST_VERSION, synced: 0 });
        self.create_primary_entry(id, &[RecoveredCopy { store: from, entry_version }], merged);
        self.enqueue_in_key(id);
        self.adopt_grant(id);
        self.resume_message(id);
    }

    /// Ends this store's term as primary of a shard and drops all state that only a primary keeps.
    pub(super) fn step_down(&mut self, shard: ShardId) {
        self.flush();
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in &ids {
            self.unschedule(*id, Stage::Ended);
            self.remove_callback(*id);
            self.replication.unmark_pending(*id);
            if let Some(entry) = self.table.get_mut(*id) {
                entry.primary = None;
            }
        }
        self.primary_terms.remove(shard);
        self.keys.drop_shard(shard);
        self.replication.drop_shard(shard);
        for id in ids {
            self.set_expiry(id);
        }
    }
}
