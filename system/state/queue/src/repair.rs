//! As primary: what too few stores have, or were too slow to write, is sent to further ones; learners are filled.

use crate::node::StoreNode;
use crate::peers::{Peer, Sent};
use crate::primary_entry::PrimaryEntry;
use crate::replication::Batch;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, ShardId, StoreId};
use std::collections::BTreeMap;
use std::ops::Range;

/// Number of the first write to a store in one life of this process: far below the end of all numbers.
const FIRST_NUMBERS: Range<u64> = 1..1 << 48;

impl StoreNode {
    /// Lets further stores be sent a message that too few have and may be expected to have soon.
    pub(crate) fn assign_replicas(&mut self, id: MessageId) {
        let lacks = |primary: &PrimaryEntry| primary.progress_of(self.local_id).sent < primary.version;
        if self.table.get(id).and_then(|entry| entry.primary.as_deref()).is_some_and(lacks) {
            self.write_own_full_state(id);
        }
        let Some(primary_term) = self.primary_terms.get(&id.shard) else { return };
        let Some(primary) = self.table.get(id).and_then(|entry| entry.primary.as_ref()) else { return };
        let members = primary_term.replicas().iter().copied().chain(primary_term.learner());
        let mut expected: Vec<StoreId> =
            members.filter(|store| self.is_expected(id, primary, *store)).collect();
        let mut additional: Vec<StoreId> = Vec::new();
        for store in self.ranked_replicas(id) {
            if !self.is_under_way(id, primary, store) && primary_term.lacks_write_quorum(&expected, store) {
                expected.push(store);
                additional.push(store);
            }
        }
        for store in additional {
            if let Some(peer) = self.peers.get_mut(&store) {
                peer.catch_up.insert(id);
            }
        }
    }

    /// A store was sent all that is known of a message, or will be.
    fn is_under_way(&self, id: MessageId, primary: &PrimaryEntry, store: StoreId) -> bool {
        let waits = self.peers.get(&store).is_some_and(|peer| peer.catch_up.contains(&id));
        waits || primary.progress_of(store).sent >= primary.version
    }

    /// A store has all that is known of a message on its disk, or will have it within its usual time.
    fn is_expected(&self, id: MessageId, primary: &PrimaryEntry, store: StoreId) -> bool {
        let is_late = match self.peers.get(&store) {
            _ if store == self.local_id => self.disk.is_overdue(),
            Some(peer) => !peer.connected || peer.is_overdue(),
            None => true,
        };
        primary.progress_of(store).acked >= primary.version
            || (!is_late && self.is_under_way(id, primary, store))
    }

    /// This store's own disk lacks something that others know.
    fn write_own_full_state(&mut self, id: MessageId) {
        let now = self.now;
        let Some(term) = self.primary_terms.get(&id.shard).map(|primary_term| primary_term.number) else {
            return;
        };
        let Some(entry) = self.table.get_mut(id) else { return };
        let record = Record::State { state: Box::new(entry.state(now)) };
        let Some(primary) = entry.primary.as_mut() else { return };
        primary.progress_mut(self.local_id).sent = primary.version;
        let sent = Sent { id, term, version: primary.version };
        self.append_own(vec![record], sent);
    }

    /// Sends what other stores are to catch up with, as far as their windows allow.
    pub(crate) fn send_catch_up(&mut self) {
        let is_busy = |peer: &Peer| peer.connected && !(peer.catch_up.is_empty() && peer.filling.is_empty());
        let busy: Vec<StoreId> =
            self.peers.iter().filter(|(_, peer)| is_busy(peer)).map(|(store, _)| *store).collect();
        for store in busy {
            self.send_catch_up_to(store);
            self.notify_filled(store);
        }
    }

    fn send_catch_up_to(&mut self, store: StoreId) {
        let mut batches: BTreeMap<ShardId, Batch> = BTreeMap::new();
        let mut window = self
            .peers
            .get(&store)
            .map_or(0, |peer| self.config.repair_window_bytes.saturating_sub(peer.repair_bytes));
        while window > 0 {
            let Some(id) = self.peers.get_mut(&store).and_then(|peer| peer.catch_up.pop_first()) else {
                break;
            };
            let batch = batches.entry(id.shard).or_default();
            let before = batch.bytes;
            self.add_full_state(store, id, batch);
            window = window.saturating_sub(batch.bytes - before);
        }
        for (shard, batch) in batches.into_iter().filter(|(_, batch)| !batch.records.is_empty()) {
            self.send_batch(store, shard, batch, true);
        }
    }

    /// Adds all that is known of a message, unless the store was told that already.
    fn add_full_state(&mut self, store: StoreId, id: MessageId, batch: &mut Batch) {
        let now = self.now;
        let Some(term) = self.primary_terms.get(&id.shard).map(|primary_term| primary_term.number) else {
            return;
        };
        let Some(entry) = self.table.get_mut(id) else { return };
        let Some(version) = entry.primary.as_ref().map(|primary| primary.version) else { return };
        if entry.primary.as_ref().is_some_and(|primary| primary.progress_of(store).sent >= version) {
            return;
        }
        let record = Record::State { state: Box::new(entry.state(now)) };
        if let Some(primary) = entry.primary.as_mut() {
            primary.progress_mut(store).sent = version;
        }
        batch.add(vec![record], Sent { id, term, version });
    }

    fn notify_filled(&mut self, store: StoreId) {
        let Some(peer) = self.peers.get_mut(&store) else { return };
        for shard in peer.take_filled() {
            let Some(primary_term) = self.primary_terms.get(&shard) else { continue };
            let term = primary_term.number;
            if let Some(change) = primary_term.change.filter(|change| change.joins == store) {
                self.send_to_store(store, BetweenStores::Filled { shard, term, change: change.epoch });
            }
        }
    }

    /// Writes to further stores what others did not answer in their usual time.
    pub(crate) fn hedge(&mut self) {
        let mut overdue = self.disk.take_overdue(self.now, self.config.max_write_timeout);
        let mut waiting = Vec::new();
        for peer in self.peers.values_mut() {
            let late = peer.take_overdue(self.now, &self.config);
            if !late.is_empty() {
                waiting.extend(peer.catch_up.iter().copied());
            }
            overdue.extend(late);
        }
        self.assign_sent(&overdue);
        self.assign_pending(waiting);
    }

    fn assign_pending(&mut self, ids: Vec<MessageId>) {
        for id in ids {
            if self.pending.contains(&id) {
                self.assign_replicas(id);
            }
        }
    }

    fn assign_sent(&mut self, sent: &[Sent]) {
        for sent in sent {
            if self.is_of_current_term(sent) && self.pending.contains(&sent.id) {
                self.assign_replicas(sent.id);
            }
        }
    }

    pub(crate) fn handle_store_connected(&mut self, store: StoreId) {
        self.handle_store_closed(store);
        let now = self.now;
        let first_number = self.random.u64(FIRST_NUMBERS);
        self.peers.entry(store).or_insert_with(|| Peer::new(now, first_number)).connected = true;
        let pending: Vec<MessageId> = self.pending.iter().copied().collect();
        for id in pending {
            self.assign_replicas(id);
        }
        let shards: Vec<ShardId> = self.primary_terms.keys().copied().collect();
        for shard in shards {
            self.send_prepare(shard, store);
            self.fill_learner(shard, store);
        }
    }

    pub(crate) fn handle_store_closed(&mut self, store: StoreId) {
        self.snapshot_transfers.retain(|(to, _), _| *to != store);
        self.disk.forget_writes(store);
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let expected: Vec<MessageId> = peer.catch_up.iter().copied().collect();
        let lost = peer.disconnect();
        for sent in lost.iter().filter(|sent| {
            self.primary_terms
                .get(&sent.id.shard)
                .is_some_and(|primary_term| primary_term.number == sent.term)
        }) {
            if let Some(primary) = self.table.get_mut(sent.id).and_then(|entry| entry.primary.as_mut()) {
                let progress = primary.progress_mut(store);
                progress.sent = progress.acked;
            }
        }
        self.assign_sent(&lost);
        self.assign_pending(expected);
    }

    /// Fills a learner of a shard that is served with what it lacks.
    pub(crate) fn fill_learner(&mut self, shard: ShardId, store: StoreId) {
        let Some(primary_term) = self.primary_terms.get(&shard) else { return };
        if !primary_term.is_serving() || primary_term.learner() != Some(store) {
            return;
        }
        let lacks = |id: &MessageId| {
            let primary = self.table.get(*id).and_then(|entry| entry.primary.as_ref());
            primary.is_some_and(|primary| primary.progress_of(store).sent < primary.version)
        };
        let lacking: Vec<MessageId> = self.table.ids_of(shard).filter(lacks).collect();
        let Some(peer) = self.peers.get_mut(&store).filter(|peer| peer.connected) else { return };
        peer.catch_up.extend(lacking);
        peer.filling.insert(shard, None);
    }

    /// The members of a shard that is served have changed.
    pub(crate) fn handle_members_changed(&mut self, shard: ShardId) {
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in ids {
            self.update_durable_version(id);
            if self.pending.contains(&id) {
                self.assign_replicas(id);
            }
        }
        let Some(primary_term) = self.primary_terms.get(&shard) else { return };
        if let Some(learner) = primary_term.learner() {
            self.fill_learner(shard, learner);
        }
    }
}
