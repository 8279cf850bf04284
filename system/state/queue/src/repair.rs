//! As primary: what too few stores have, or were too slow to write, is sent to further ones; learners are filled.

use crate::lead::Lead;
use crate::node::StoreNode;
use crate::peers::{Peer, Sent};
use crate::replication::Batch;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, ShardId, StoreId};
use std::collections::BTreeMap;
use std::ops::Range;

/// Number of the first write to a store in one life of this process: far below the end of all numbers.
const FIRST_NUMBERS: Range<u64> = 1..1 << 48;

impl StoreNode {
    /// Lets further stores be sent a message that too few have and may be expected to have soon.
    pub(crate) fn assign(&mut self, id: MessageId) {
        let lacks = |lead: &Lead| lead.holding(self.me).sent < lead.version;
        if self.table.get(id).and_then(|entry| entry.lead.as_deref()).is_some_and(lacks) {
            self.write_own_whole(id);
        }
        let Some(reign) = self.reigns.get(&id.shard) else { return };
        let Some(lead) = self.table.get(id).and_then(|entry| entry.lead.as_ref()) else { return };
        let members = reign.replicas().iter().copied().chain(reign.learner());
        let mut expected: Vec<StoreId> = members.filter(|store| self.is_expected(id, lead, *store)).collect();
        let mut spare: Vec<StoreId> = Vec::new();
        for store in self.ranked_replicas(id) {
            if !self.is_under_way(id, lead, store) && reign.lacks_write_quorum(&expected, store) {
                expected.push(store);
                spare.push(store);
            }
        }
        for store in spare {
            if let Some(peer) = self.peers.get_mut(&store) {
                peer.catch_up.insert(id);
            }
        }
    }

    /// A store was sent all that is known of a message, or will be.
    fn is_under_way(&self, id: MessageId, lead: &Lead, store: StoreId) -> bool {
        let waits = self.peers.get(&store).is_some_and(|peer| peer.catch_up.contains(&id));
        waits || lead.holding(store).sent >= lead.version
    }

    /// A store has all that is known of a message on its disk, or will have it within its usual time.
    fn is_expected(&self, id: MessageId, lead: &Lead, store: StoreId) -> bool {
        let is_late = match self.peers.get(&store) {
            _ if store == self.me => self.disk.is_overdue(),
            Some(peer) => !peer.connected || peer.is_overdue(),
            None => true,
        };
        lead.holding(store).acked >= lead.version || (!is_late && self.is_under_way(id, lead, store))
    }

    /// This store's own disk lacks something that others know.
    fn write_own_whole(&mut self, id: MessageId) {
        let now = self.now;
        let Some(since) = self.reigns.get(&id.shard).map(|reign| reign.since) else { return };
        let Some(entry) = self.table.get_mut(id) else { return };
        let record = Record::State { state: Box::new(entry.state(now)) };
        let Some(lead) = entry.lead.as_mut() else { return };
        lead.holding_mut(self.me).sent = lead.version;
        let sent = Sent { id, since, version: lead.version };
        self.append_own(vec![record], sent);
    }

    /// Sends what other stores are to catch up with, as far as their windows allow.
    pub(crate) fn pump(&mut self) {
        let is_busy = |peer: &Peer| peer.connected && !(peer.catch_up.is_empty() && peer.filling.is_empty());
        let busy: Vec<StoreId> =
            self.peers.iter().filter(|(_, peer)| is_busy(peer)).map(|(store, _)| *store).collect();
        for store in busy {
            self.pump_to(store);
            self.tell_filled(store);
        }
    }

    fn pump_to(&mut self, store: StoreId) {
        let mut batches: BTreeMap<ShardId, Batch> = BTreeMap::new();
        let mut room = self
            .peers
            .get(&store)
            .map_or(0, |peer| self.config.repair_window_bytes.saturating_sub(peer.repair_bytes));
        while room > 0 {
            let Some(id) = self.peers.get_mut(&store).and_then(|peer| peer.catch_up.pop_first()) else {
                break;
            };
            let batch = batches.entry(id.shard).or_default();
            let before = batch.bytes;
            self.add_whole(store, id, batch);
            room = room.saturating_sub(batch.bytes - before);
        }
        for (shard, batch) in batches.into_iter().filter(|(_, batch)| !batch.records.is_empty()) {
            self.send_batch(store, shard, batch, true);
        }
    }

    /// Adds all that is known of a message, unless the store was told that already.
    fn add_whole(&mut self, store: StoreId, id: MessageId, batch: &mut Batch) {
        let now = self.now;
        let Some(since) = self.reigns.get(&id.shard).map(|reign| reign.since) else { return };
        let Some(entry) = self.table.get_mut(id) else { return };
        let Some(version) = entry.lead.as_ref().map(|lead| lead.version) else { return };
        if entry.lead.as_ref().is_some_and(|lead| lead.holding(store).sent >= version) {
            return;
        }
        let record = Record::State { state: Box::new(entry.state(now)) };
        if let Some(lead) = entry.lead.as_mut() {
            lead.holding_mut(store).sent = version;
        }
        batch.add(vec![record], Sent { id, since, version });
    }

    fn tell_filled(&mut self, store: StoreId) {
        let Some(peer) = self.peers.get_mut(&store) else { return };
        for shard in peer.take_filled() {
            let Some(reign) = self.reigns.get(&shard) else { continue };
            let since = reign.since;
            if let Some(change) = reign.change.filter(|change| change.joins == store) {
                self.tell_store(
                    store,
                    BetweenStores::LearnerCaughtUp { shard, term: since, change: change.epoch },
                );
            }
        }
    }

    /// Writes to further stores what others did not answer in their usual time.
    pub(crate) fn hedge(&mut self) {
        let mut overdue = self.disk.take_overdue(self.now, self.config.max_write_wait_ms);
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
                self.assign(id);
            }
        }
    }

    fn assign_sent(&mut self, sent: &[Sent]) {
        for sent in sent {
            if self.is_of_reign(sent) && self.pending.contains(&sent.id) {
                self.assign(sent.id);
            }
        }
    }

    pub(crate) fn store_connected(&mut self, store: StoreId) {
        self.store_closed(store);
        let now = self.now;
        let first_number = self.random.u64(FIRST_NUMBERS);
        self.peers.entry(store).or_insert_with(|| Peer::new(now, first_number)).connected = true;
        let pending: Vec<MessageId> = self.pending.iter().copied().collect();
        for id in pending {
            self.assign(id);
        }
        let shards: Vec<ShardId> = self.reigns.keys().copied().collect();
        for shard in shards {
            self.ask_promise(shard, store);
            self.fill_learner(shard, store);
        }
    }

    pub(crate) fn store_closed(&mut self, store: StoreId) {
        self.dumps.retain(|(to, _), _| *to != store);
        self.disk.forget_writes(store);
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let expected: Vec<MessageId> = peer.catch_up.iter().copied().collect();
        let lost = peer.close();
        for sent in
            lost.iter().filter(|sent| self.reigns.get(&sent.id.shard).is_some_and(|r| r.since == sent.since))
        {
            if let Some(lead) = self.table.get_mut(sent.id).and_then(|entry| entry.lead.as_mut()) {
                let holding = lead.holding_mut(store);
                holding.sent = holding.acked;
            }
        }
        self.assign_sent(&lost);
        self.assign_pending(expected);
    }

    /// Fills a learner of a shard that is served with what it lacks.
    pub(crate) fn fill_learner(&mut self, shard: ShardId, store: StoreId) {
        let Some(reign) = self.reigns.get(&shard) else { return };
        if !reign.is_serving() || reign.learner() != Some(store) {
            return;
        }
        let lacks = |id: &MessageId| {
            let lead = self.table.get(*id).and_then(|entry| entry.lead.as_ref());
            lead.is_some_and(|lead| lead.holding(store).sent < lead.version)
        };
        let lacking: Vec<MessageId> = self.table.ids_of(shard).filter(lacks).collect();
        let Some(peer) = self.peers.get_mut(&store).filter(|peer| peer.connected) else { return };
        peer.catch_up.extend(lacking);
        peer.filling.insert(shard, None);
    }

    /// The members of a shard that is served have changed.
    pub(crate) fn members_changed(&mut self, shard: ShardId) {
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in ids {
            self.count_disks(id);
            if self.pending.contains(&id) {
                self.assign(id);
            }
        }
        let Some(reign) = self.reigns.get(&shard) else { return };
        if let Some(learner) = reign.learner() {
            self.fill_learner(shard, learner);
        }
    }
}
