//! As primary: what became known is written to the local disk and to other stores at the same time, and what waits for
//! it follows once it is on as many disks as promised.

use crate::api::DiskRecord;
use crate::disk::SyncAction;
use crate::entry::message_bytes;
use crate::node::StoreNode;
use crate::peers::Sent;
use crate::primary_entry::{Effect, PendingEffect};
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, RequestNumber, ShardId, StoreId};
use millrudder_topology::Distance;
use std::collections::BTreeMap;
use std::time::Duration;

/// Something that became known of a message and is not written yet.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    id: MessageId,
    /// Absent where the whole state is to be written.
    record: Option<Record>,
}

/// Records for one store and shard.
#[derive(Clone, Default)]
pub(crate) struct Batch {
    pub records: Vec<Record>,
    pub messages: Vec<Sent>,
    pub bytes: usize,
}

/// How gladly a replica is written to; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WritePreference {
    is_overdue: bool,
    /// What it holds does not count in the membership to come.
    is_leaving: bool,
    slowness: u32,
    holds_nothing: bool,
    distance: Distance,
    position: usize,
}

/// Bytes of a record besides the message in it, about.
const RECORD_BYTES: usize = 100;

fn record_bytes(record: &Record) -> usize {
    match record {
        Record::State { state } => RECORD_BYTES + state.message.as_ref().map_or(0, message_bytes),
        _ => RECORD_BYTES,
    }
}

impl StoreNode {
    /// Adds a fact to what is known of a message of a shard that is served.
    pub(crate) fn apply_record(&mut self, id: MessageId, record: Record) {
        let (now, change) = (self.now, record.clone());
        self.table.change(id, now, |entry| entry.apply(change, now, Duration::ZERO));
        self.mark_changed(id, Some(record));
    }

    /// The whole of a message is to be written.
    pub(crate) fn mark_full_state_changed(&mut self, id: MessageId) {
        self.mark_changed(id, None);
    }

    fn mark_changed(&mut self, id: MessageId, record: Option<Record>) {
        if let Some(primary) = self.table.get_mut(id).and_then(|entry| entry.primary.as_mut()) {
            primary.version += 1;
            self.pending.insert(id);
            self.changes.push(Change { id, record });
        }
    }

    /// Lets `effect` follow once all that is known of the message now is on as many disks as promised.
    pub(crate) fn when_durable(&mut self, id: MessageId, effect: Effect) {
        let Some(primary) = self.table.get_mut(id).and_then(|entry| entry.primary.as_mut()) else { return };
        if primary.durable >= primary.version {
            self.apply_effect(id, effect);
            return;
        }
        primary.pending_effects.push(PendingEffect { version: primary.version, effect });
    }

    /// Writes and sends what became known since the last call.
    pub(crate) fn flush(&mut self) {
        if self.changes.is_empty() {
            return;
        }
        let mut batches = BTreeMap::new();
        for (id, records) in by_message(std::mem::take(&mut self.changes)) {
            self.flush_message(id, records, &mut batches);
        }
        for ((store, shard), batch) in batches {
            self.send_batch(store, shard, batch, false);
        }
    }

    fn flush_message(
        &mut self,
        id: MessageId,
        records: Vec<Option<Record>>,
        batches: &mut BTreeMap<(StoreId, ShardId), Batch>,
    ) {
        let Some(primary_term) = self.primary_terms.get(&id.shard) else { return };
        let term = primary_term.number;
        let targets = self.write_targets(id);
        let now = self.now;
        let Some(entry) = self.table.get_mut(id) else { return };
        let full_state = || Record::State { state: Box::new(entry.state(now)) };
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        let deltas: Option<Vec<Record>> = records.into_iter().collect();
        let Some(primary) = entry.primary.as_ref() else { return };
        // A change says nothing to a store that lacks what was known before.
        let is_next = |store: StoreId| primary.progress_of(store).sent + count == primary.version;
        let for_store =
            |store: StoreId| deltas.clone().filter(|_| is_next(store)).unwrap_or_else(|| vec![full_state()]);
        let local = for_store(self.local_id);
        let per_target: Vec<(StoreId, Vec<Record>)> =
            targets.into_iter().map(|target| (target, for_store(target))).collect();
        let Some(primary) = entry.primary.as_mut() else { return };
        let sent = Sent { id, term, version: primary.version };
        primary.progress_mut(self.local_id).sent = sent.version;
        for (target, records) in per_target {
            primary.progress_mut(target).sent = sent.version;
            if let Some(peer) = self.peers.get_mut(&target) {
                peer.catch_up.remove(&id);
            }
            let batch = batches.entry((target, id.shard)).or_default();
            batch.add(records, sent);
        }
        self.append_own(local, sent);
    }

    pub(crate) fn append_own(&mut self, records: Vec<Record>, sent: Sent) {
        let last = records.len().saturating_sub(1);
        for (at, record) in records.into_iter().enumerate() {
            let on_synced = if at == last { SyncAction::Own(sent) } else { SyncAction::Nothing };
            self.disk.append(DiskRecord::Message { record }, on_synced, self.now, &mut self.outputs);
        }
    }

    pub(crate) fn send_batch(&mut self, store: StoreId, shard: ShardId, batch: Batch, repair: bool) {
        let Some(term) = self.primary_terms.get(&shard).map(|primary_term| primary_term.number) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let repair_bytes = if repair { batch.bytes } else { 0 };
        let number = peer.register_write(self.now, batch.messages, repair_bytes);
        self.send_to_store(store, BetweenStores::Write { number, shard, term, records: batch.records });
    }

    /// Other stores that a change is sent to at once: the learner, and as many replicas as are promised.
    fn write_targets(&self, id: MessageId) -> Vec<StoreId> {
        let Some(primary_term) = self.primary_terms.get(&id.shard) else { return Vec::new() };
        let is_connected = |store: &StoreId| self.peers.get(store).is_some_and(|peer| peer.connected);
        let mut targets: Vec<StoreId> = primary_term.learner().into_iter().filter(is_connected).collect();
        let mut chosen = targets.clone();
        if !self.disk.is_overdue() {
            chosen.push(self.local_id);
        }
        for store in self.ranked_replicas(id) {
            if primary_term.lacks_write_quorum(&chosen, store) {
                chosen.push(store);
                targets.push(store);
            }
        }
        targets
    }

    /// Connected other replicas of a message's shard, those that should be written to first in front.
    pub(crate) fn ranked_replicas(&self, id: MessageId) -> Vec<StoreId> {
        let Some(primary_term) = self.primary_terms.get(&id.shard) else { return Vec::new() };
        let primary = self.table.get(id).and_then(|entry| entry.primary.as_ref());
        let mut ranked: Vec<(WritePreference, StoreId)> = Vec::with_capacity(primary_term.replicas().len());
        for (position, store) in primary_term.replicas().iter().enumerate() {
            let Some(peer) = self.peers.get(store).filter(|peer| peer.connected && *store != self.local_id)
            else {
                continue;
            };
            let is_holder = primary.is_some_and(|primary| primary.progress_of(*store).sent > 0);
            let preference = WritePreference {
                is_overdue: peer.is_overdue(),
                is_leaving: primary_term.is_leaving(*store),
                slowness: peer.slowness(self.now),
                holds_nothing: !is_holder,
                distance: self.distance_to(*store),
                position,
            };
            ranked.push((preference, *store));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, store)| store).collect()
    }

    fn distance_to(&self, store: StoreId) -> Distance {
        let entry = self.placement.store(store);
        entry.map(|entry| self.location.distance_to(&entry.zone)).unwrap_or_default()
    }

    pub(crate) fn is_of_current_term(&self, sent: &Sent) -> bool {
        self.primary_terms.get(&sent.id.shard).is_some_and(|primary_term| primary_term.number == sent.term)
    }

    /// A store has synced everything up to `number`.
    pub(crate) fn handle_written(&mut self, from: StoreId, number: RequestNumber) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        for sent in peer.handle_written(number, self.now) {
            self.record_ack(from, sent);
        }
    }

    /// A version is on a store's disk.
    pub(crate) fn record_ack(&mut self, store: StoreId, sent: Sent) {
        if !self.is_of_current_term(&sent) {
            return;
        }
        let Some(primary) = self.table.get_mut(sent.id).and_then(|entry| entry.primary.as_mut()) else {
            return;
        };
        let progress = primary.progress_mut(store);
        progress.acked = progress.acked.max(sent.version);
        if self.pending.contains(&sent.id) {
            self.update_durable_version(sent.id);
        }
    }

    /// Counts the disks that a message is on, and lets follow what waited for them.
    pub(crate) fn update_durable_version(&mut self, id: MessageId) {
        let Some(primary_term) = self.primary_terms.get(&id.shard) else { return };
        let Some(primary) = self.table.get_mut(id).and_then(|entry| entry.primary.as_mut()) else { return };
        let version = primary_term.durable_version(primary);
        if version == primary.version {
            self.pending.remove(&id);
        } else {
            self.pending.insert(id);
        }
        primary.durable = primary.durable.max(version);
        for effect in primary.take_allowed_effects() {
            self.apply_effect(id, effect);
        }
    }

    pub(crate) fn handle_own_synced(&mut self, sent: Sent) {
        self.handle_merged_synced(sent);
        self.record_ack(self.local_id, sent);
    }
}

/// Changes by message, in the order of each message's first one.
fn by_message(changes: Vec<Change>) -> Vec<(MessageId, Vec<Option<Record>>)> {
    let mut positions = BTreeMap::new();
    let mut grouped: Vec<(MessageId, Vec<Option<Record>>)> = Vec::with_capacity(changes.len());
    for Change { id, record } in changes {
        let position = *positions.entry(id).or_insert(grouped.len());
        match grouped.get_mut(position) {
            Some((_, records)) => records.push(record),
            None => grouped.push((id, vec![record])),
        }
    }
    grouped
}

impl Batch {
    pub fn add(&mut self, records: Vec<Record>, sent: Sent) {
        self.bytes += records.iter().map(record_bytes).sum::<usize>();
        self.records.extend(records);
        self.messages.push(sent);
    }
}
