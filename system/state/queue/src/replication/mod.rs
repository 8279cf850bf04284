//! Replication as a primary: changes are written to the local disk and to other stores in parallel, and the
//! effects that wait for them are released once enough disks have them.
//!
//! [`Replication`] owns the queue of the local disk, the connections to other stores with the writes in flight
//! on them, and the set of messages whose latest version is not durable yet. The messages themselves, with the
//! progress of each replica, are in the [`MessageTable`].

mod disk;
mod peer;
mod repair;

pub(crate) use disk::SyncAction;

use crate::api::{DiskRecord, Ticket};
use crate::context::Context;
use crate::entry::message_bytes;
use crate::message_table::MessageTable;
use crate::primary_entry::{Effect, SentVersion};
use crate::primary_term::PrimaryTerms;
use crate::time::Instant;
use disk::LocalDisk;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, RequestNumber, ShardId, StoreId};
use millrudder_topology::Distance;
use peer::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A change to a message that has not been written yet.
#[derive(Clone, Debug)]
struct Change {
    id: MessageId,
    /// `None` if the full state is to be written.
    record: Option<Record>,
}

/// Records to be sent to one store for one shard.
#[derive(Clone, Default)]
struct Batch {
    records: Vec<Record>,
    versions: Vec<SentVersion>,
    bytes: usize,
}

/// The writes of one turn, by store and shard.
#[derive(Default)]
struct Batches {
    by_target: BTreeMap<(StoreId, ShardId), Vec<Batch>>,
}

/// Sort key of the replicas that a write could be sent to; the lowest one is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WritePreference {
    is_overdue: bool,
    /// The replica is being replaced, so its acknowledgements do not count in the next membership.
    is_leaving: bool,
    slowness: u32,
    has_no_copy: bool,
    distance: Distance,
    position: usize,
}

/// Size in bytes from which a further record goes into the next `Write`. With the largest message, which is sent alone, it
/// stays far below what a frame carries.
const MAX_WRITE_BYTES: usize = 1 << 20;
/// Approximate size in bytes of a record without the message in it.
const RECORD_BYTES: usize = 100;

fn record_bytes(record: &Record) -> usize {
    match record {
        Record::State { state } => RECORD_BYTES + state.message.as_ref().map_or(0, message_bytes),
        _ => RECORD_BYTES,
    }
}

/// The writes that a primary has in flight to its own disk and to other stores.
#[derive(Clone, Debug)]
pub(crate) struct Replication {
    disk: LocalDisk,
    peers: BTreeMap<StoreId, Peer>,
    /// Messages whose latest version is not on enough disks yet.
    pending: BTreeSet<MessageId>,
    /// Changes since the last flush.
    changes: Vec<Change>,
    /// See [`Replication::assignments`].
    assignments: u64,
}

impl Replication {
    pub fn new() -> Self {
        Replication {
            disk: LocalDisk::new(),
            peers: BTreeMap::new(),
            pending: BTreeSet::new(),
            changes: Vec::new(),
            assignments: 0,
        }
    }

    /// How often a message was considered for further stores since the start of the process.
    pub fn assignments(&self) -> u64 {
        self.assignments
    }

    /// Applies a change to a message of a served shard, and queues it to be written.
    pub fn apply_record(&mut self, now: Instant, table: &mut MessageTable, id: MessageId, record: Record) {
        let change = record.clone();
        table.change(id, now, |entry| entry.apply(change, now, Duration::ZERO));
        self.mark_changed(table, id, Some(record));
    }

    /// Queues the full state of a message to be written.
    pub fn mark_full_state_changed(&mut self, table: &mut MessageTable, id: MessageId) {
        self.mark_changed(table, id, None);
    }

    fn mark_changed(&mut self, table: &mut MessageTable, id: MessageId, record: Option<Record>) {
        if let Some(primary) = table.primary_mut(id) {
            primary.advance_version();
            self.pending.insert(id);
            self.changes.push(Change { id, record });
        }
    }

    /// Writes the changes since the last call to the local disk and sends them to other stores.
    pub fn flush(&mut self, context: &mut Context, table: &mut MessageTable, terms: &PrimaryTerms) {
        if self.changes.is_empty() {
            return;
        }
        let mut batches = Batches::default();
        for changed in group_by_message(std::mem::take(&mut self.changes)) {
            self.flush_message(context, table, terms, changed, &mut batches);
        }
        self.send_batches(context, terms, batches, false);
    }

    fn flush_message(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        changed: ChangedMessage,
        batches: &mut Batches,
    ) {
        let ChangedMessage { id, records } = changed;
        let Some(term) = terms.number_of(id.shard) else { return };
        let targets = self.write_targets(context, table, terms, id);
        let Some(entry) = table.get_mut(id) else { return };
        let full_state = || Record::State { state: Box::new(entry.state(context.now)) };
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        let deltas: Option<Vec<Record>> = records.into_iter().collect();
        let Some(primary) = entry.primary.as_ref() else { return };
        // A single change is only useful to a store that has all earlier ones; others are sent the full state.
        let is_next = |store: StoreId| primary.progress_of(store).sent + count == primary.version();
        let for_store =
            |store: StoreId| deltas.clone().filter(|_| is_next(store)).unwrap_or_else(|| vec![full_state()]);
        let local = for_store(context.local_id);
        let per_target: Vec<(StoreId, Vec<Record>)> =
            targets.into_iter().map(|target| (target, for_store(target))).collect();
        let Some(primary) = entry.primary.as_mut() else { return };
        let sent = SentVersion { id, term, version: primary.version() };
        primary.mark_sent(context.local_id);
        for (target, records) in per_target {
            primary.mark_sent(target);
            if let Some(peer) = self.peers.get_mut(&target) {
                peer.remove_catch_up(id);
            }
            batches.add(target, id.shard, records, sent);
        }
        self.append_local(context, local, sent);
    }

    fn append_local(&mut self, context: &mut Context, records: Vec<Record>, sent: SentVersion) {
        self.append_records(context, records, SyncAction::CountLocalCopy(sent));
    }

    /// Appends records to the local disk; `on_synced` is carried out once the last one is synced.
    pub fn append_records(&mut self, context: &mut Context, records: Vec<Record>, on_synced: SyncAction) {
        let last = records.len().saturating_sub(1);
        for (index, record) in records.into_iter().enumerate() {
            let action = if index == last { on_synced } else { SyncAction::Nothing };
            self.append(context, DiskRecord::Message { record }, action);
        }
    }

    /// Appends one record to the local disk; `on_synced` is carried out once it is synced.
    pub fn append(&mut self, context: &mut Context, record: DiskRecord, on_synced: SyncAction) {
        self.disk.append(record, on_synced, context.now, &mut context.outputs);
    }

    fn send_batches(
        &mut self,
        context: &mut Context,
        terms: &PrimaryTerms,
        batches: Batches,
        is_repair: bool,
    ) {
        for ((store, shard), batches) in batches.by_target {
            for batch in batches {
                self.send_batch(context, terms, store, shard, batch, is_repair);
            }
        }
    }

    fn send_batch(
        &mut self,
        context: &mut Context,
        terms: &PrimaryTerms,
        store: StoreId,
        shard: ShardId,
        batch: Batch,
        is_repair: bool,
    ) {
        let Some(term) = terms.number_of(shard) else { return };
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let repair_bytes = if is_repair { batch.bytes } else { 0 };
        let number = peer.register_write(context.now, batch.versions, repair_bytes);
        context.send_to_store(store, BetweenStores::Write { number, shard, term, records: batch.records });
    }

    /// The other stores that a change is sent to at once: the learner, and enough replicas for a write quorum.
    fn write_targets(
        &self,
        context: &Context,
        table: &MessageTable,
        terms: &PrimaryTerms,
        id: MessageId,
    ) -> Vec<StoreId> {
        let Some(primary_term) = terms.get(id.shard) else { return Vec::new() };
        let mut targets: Vec<StoreId> =
            primary_term.learner().into_iter().filter(|store| self.is_connected(*store)).collect();
        let mut chosen = targets.clone();
        if !self.disk.is_overdue() {
            chosen.push(context.local_id);
        }
        for store in self.ranked_replicas(context, table, terms, id) {
            if primary_term.lacks_write_quorum(&chosen, store) {
                chosen.push(store);
                targets.push(store);
            }
        }
        targets
    }

    /// The other connected replicas of a message's shard, in order of preference for a write.
    fn ranked_replicas(
        &self,
        context: &Context,
        table: &MessageTable,
        terms: &PrimaryTerms,
        id: MessageId,
    ) -> Vec<StoreId> {
        let Some(primary_term) = terms.get(id.shard) else { return Vec::new() };
        let primary = table.primary(id);
        let mut ranked: Vec<(WritePreference, StoreId)> = Vec::with_capacity(primary_term.replicas().len());
        for (position, store) in primary_term.replicas().iter().enumerate() {
            let Some(peer) =
                self.peers.get(store).filter(|peer| peer.is_connected() && *store != context.local_id)
            else {
                continue;
            };
            let has_copy = primary.is_some_and(|primary| primary.progress_of(*store).sent > 0);
            let preference = WritePreference {
                is_overdue: peer.is_overdue(),
                is_leaving: primary_term.is_leaving(*store),
                slowness: peer.slowness(context.now),
                has_no_copy: !has_copy,
                distance: context.distance_to_store(*store),
                position,
            };
            ranked.push((preference, *store));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, store)| store).collect()
    }

    /// Handles a store's acknowledgement of all writes up to `number`. Returns the versions in them.
    #[must_use]
    pub fn handle_written(&mut self, from: StoreId, number: RequestNumber, now: Instant) -> Vec<SentVersion> {
        self.peers.get_mut(&from).map(|peer| peer.handle_written(number, now)).unwrap_or_default()
    }

    /// Records that a version is on a store's disk. Returns the effects that are released by it.
    #[must_use]
    pub fn record_ack(
        &mut self,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        store: StoreId,
        sent: SentVersion,
    ) -> Vec<Effect> {
        if !terms.is_current(&sent) {
            return Vec::new();
        }
        let Some(primary) = table.primary_mut(sent.id) else { return Vec::new() };
        primary.mark_acked(store, sent.version);
        if !self.pending.contains(&sent.id) {
            return Vec::new();
        }
        self.update_durable_version(table, terms, sent.id)
    }

    /// Recomputes the durable version of a message. Returns the effects that are released by it.
    #[must_use]
    pub fn update_durable_version(
        &mut self,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        id: MessageId,
    ) -> Vec<Effect> {
        let Some(primary_term) = terms.get(id.shard) else { return Vec::new() };
        let Some(primary) = table.primary_mut(id) else { return Vec::new() };
        let version = primary_term.durable_version(primary);
        if version == primary.version() {
            self.pending.remove(&id);
        } else {
            self.pending.insert(id);
        }
        primary.advance_durable(version)
    }

    /// Whether the latest version of the message is not on enough disks yet.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.pending.contains(&id)
    }

    /// Marks a message whose latest version has to be brought to enough disks.
    pub fn mark_pending(&mut self, id: MessageId) {
        self.pending.insert(id);
    }

    /// Removes the mark of a message of whose shard this store is no longer the primary.
    pub fn unmark_pending(&mut self, id: MessageId) {
        self.pending.remove(&id);
    }

    /// Cancels the repair of a message that is removed.
    pub fn cancel_repair(&mut self, id: MessageId) {
        for peer in self.peers.values_mut() {
            peer.remove_catch_up(id);
        }
    }

    /// Cancels the repair of a shard of which this store is no longer the primary.
    pub fn drop_shard(&mut self, shard: ShardId) {
        for peer in self.peers.values_mut() {
            peer.drop_shard(shard);
        }
    }

    /// Handles the sync of everything up to `ticket` to the local disk. Returns the actions that follow, in the
    /// order of the appends.
    #[must_use]
    pub fn handle_local_synced(&mut self, ticket: Ticket) -> Vec<SyncAction> {
        self.disk.handle_synced(ticket)
    }

    /// Marks the local disk as failed: nothing on it can be relied on any more.
    pub fn fail_disk(&mut self) {
        self.disk.fail();
    }

    pub fn is_disk_failed(&self) -> bool {
        self.disk.is_failed()
    }

    /// Time that the oldest append has been waiting for its sync; the maximum duration if the disk has failed.
    pub fn oldest_unsynced(&self, now: Instant) -> Duration {
        if self.disk.is_failed() {
            return Duration::MAX;
        }
        self.disk.oldest_unsynced(now)
    }

    /// Stores that have been connected since this process started, in ascending order.
    pub fn peer_ids(&self) -> Vec<StoreId> {
        self.peers.keys().copied().collect()
    }

    pub fn is_connected(&self, store: StoreId) -> bool {
        self.peers.get(&store).is_some_and(Peer::is_connected)
    }

    /// Time at which the oldest write that is not overdue becomes overdue.
    pub fn deadline(&self, context: &Context) -> Option<Instant> {
        let peers = self.peers.values().filter_map(|peer| peer.deadline(&context.config));
        peers.chain(self.disk.deadline(context.config.max_write_timeout)).min()
    }
}

/// Defers an effect until the latest version of the message is durable. Returns the effect if that is the case
/// already.
#[must_use]
pub(crate) fn defer_until_durable(table: &mut MessageTable, id: MessageId, effect: Effect) -> Option<Effect> {
    table.primary_mut(id)?.defer_until_durable(effect)
}

/// The changes to one message since the last flush, in order.
struct ChangedMessage {
    id: MessageId,
    records: Vec<Option<Record>>,
}

/// Groups changes by message, in the order of each message's first change.
fn group_by_message(changes: Vec<Change>) -> Vec<ChangedMessage> {
    let mut positions = BTreeMap::new();
    let mut grouped: Vec<ChangedMessage> = Vec::with_capacity(changes.len());
    for Change { id, record } in changes {
        let position = *positions.entry(id).or_insert(grouped.len());
        match grouped.get_mut(position) {
            Some(changed) => changed.records.push(record),
            None => grouped.push(ChangedMessage { id, records: vec![record] }),
        }
    }
    grouped
}

impl Batches {
    /// Adds the records of one message for a store, and returns their approximate size in bytes. They are in one `Write`,
    /// whose acknowledgement stands for all of them.
    fn add(&mut self, store: StoreId, shard: ShardId, records: Vec<Record>, sent: SentVersion) -> usize {
        let bytes = records.iter().map(record_bytes).sum::<usize>();
        let batches = self.by_target.entry((store, shard)).or_default();
        if batches.last().is_none_or(|last| last.bytes + bytes > MAX_WRITE_BYTES) {
            batches.push(Batch::default());
        }
        if let Some(batch) = batches.last_mut() {
            batch.bytes += bytes;
            batch.records.extend(records);
            batch.versions.push(sent);
        }
        bytes
    }
}
