//! Becoming a shard's primary: a read quorum promises the shard and tells what it knows; what is known together is
//! served, and what too few disks hold is written to more of them meanwhile.
//!
//! What is heard is appended to the local disk before anything else is done with it. So nothing is ever known here that
//! a later promise does not find synced: a store tells another only what its disk holds.

use crate::api::DiskRecord;
use crate::disk::Synced;
use crate::entry::{Entry, Facts};
use crate::grants::order_key;
use crate::lead::{Effect, Holding, Lead, Stage, Told, Waiting};
use crate::node::StoreNode;
use crate::peers::Sent;
use crate::reign::{Joined, Reign, Seen};
use crate::schedule::ServiceIndex;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{Epoch, MessageId, Sequence, ShardId, StoreId};

/// Version of a message at the start of a reign.
const FIRST_VERSION: u32 = 1;

impl StoreNode {
    /// Takes over what a newer placement says of one shard.
    pub(crate) fn adopt_shard(&mut self, shard: ShardId) {
        let Some(entry) = self.placement.shard(shard) else { return };
        let tolerated = self.placement.tolerated_losses;
        let present = self.reigns.get(&shard).map(|reign| reign.since);
        if entry.primary != self.me || self.disk.failed {
            if present.is_some() {
                self.step_down(shard);
            }
            return;
        }
        let reign = Reign::new(entry, tolerated);
        if present != Some(reign.since) {
            if present.is_some() {
                self.step_down(shard);
            }
            self.start_reign(shard, reign);
            return;
        }
        self.change_members(shard, reign);
    }

    fn change_members(&mut self, shard: ShardId, new: Reign) {
        let Some(reign) = self.reigns.get_mut(&shard) else { return };
        if reign.memberships == new.memberships && reign.change == new.change {
            return;
        }
        reign.memberships = new.memberships;
        reign.change = new.change;
        if reign.is_serving() {
            self.members_changed(shard);
        }
        let members = self.peers.keys().copied().collect::<Vec<_>>();
        for store in members {
            self.ask_promise(shard, store);
        }
        self.try_serve(shard);
    }

    fn start_reign(&mut self, shard: ShardId, mut reign: Reign) {
        let since = reign.since;
        if self.promises.get(&shard).is_some_and(|promised| *promised > since) {
            return;
        }
        let me = self.me;
        if let Some(takeover) = &mut reign.takeover {
            for entry in self.table.of_shard_from(MessageId { shard, unique: 0 }) {
                takeover.seen.insert(entry.id, vec![Seen { store: me, facts: entry.facts() }]);
            }
        }
        self.reigns.insert(shard, reign);
        self.note_promise(shard, since, Synced::OwnPromise { shard, since });
        let stores: Vec<StoreId> = self.peers.keys().copied().collect();
        for store in stores {
            self.ask_promise(shard, store);
        }
    }

    /// Asks a member that did not tell all it knows in this reign.
    pub(crate) fn ask_promise(&mut self, shard: ShardId, store: StoreId) {
        let Some(reign) = self.reigns.get(&shard) else { return };
        let is_connected = self.peers.get(&store).is_some_and(|peer| peer.connected);
        if is_connected && store != self.me && reign.is_member(store) && !reign.heard.contains(&store) {
            let since = reign.since;
            self.tell_store(store, BetweenStores::Prepare { shard, term: since });
        }
    }

    pub(crate) fn own_promise_synced(&mut self, shard: ShardId, since: Epoch) {
        let Some(reign) = self.reigns.get_mut(&shard).filter(|reign| reign.since == since) else { return };
        if let Some(takeover) = &mut reign.takeover {
            takeover.own_promise = true;
        }
        self.try_serve(shard);
    }

    /// A piece of what a replica knows.
    pub(crate) fn promised(
        &mut self,
        from: StoreId,
        shard: ShardId,
        since: Epoch,
        states: Vec<MessageState>,
        last: bool,
    ) {
        let Some(reign) = self.reigns.get(&shard).filter(|reign| reign.since == since) else { return };
        let is_serving = reign.is_serving();
        for state in states.into_iter().filter(|state| state.id.shard == shard) {
            if is_serving {
                self.join_late(from, state);
            } else {
                self.join_early(from, state);
            }
        }
        if !last {
            return;
        }
        if let Some(reign) = self.reigns.get_mut(&shard) {
            reign.heard.insert(from);
        }
        self.try_serve(shard);
    }

    /// A replica that is waited for tells what its disk holds.
    fn join_early(&mut self, from: StoreId, state: MessageState) {
        let (id, facts) = (state.id, Facts::of_state(&state));
        let Some(takeover) = self.reigns.get_mut(&id.shard).and_then(|reign| reign.takeover.as_mut()) else {
            return;
        };
        let seen = takeover.seen.entry(id).or_default();
        seen.retain(|seen| seen.store != from);
        seen.push(Seen { store: from, facts });
        let appended = takeover.joined.get(&id).map_or(0, |joined| joined.appended);
        if !self.join_and_append(state, appended + 1) {
            return;
        }
        let takeover = self.reigns.get_mut(&id.shard).and_then(|reign| reign.takeover.as_mut());
        if let Some(takeover) = takeover {
            takeover.joined.entry(id).or_default().appended += 1;
        }
    }

    /// Joins what another store told and appends the whole, as this version, if it is more than was known; `false` if
    /// nothing is new.
    fn join_and_append(&mut self, state: MessageState, version: u32) -> bool {
        let (now, id) = (self.now, state.id);
        let Some(since) = self.reigns.get(&id.shard).map(|reign| reign.since) else { return false };
        let before = self.table.get(id).map(Entry::knowledge);
        self.table.change(id, now, |entry| entry.join(state, now, 0));
        let Some(entry) = self.table.get(id).filter(|entry| before != Some(entry.knowledge())) else {
            return false;
        };
        let record = Record::State { state: Box::new(entry.state(now)) };
        let then = Synced::Own(Sent { id, since, version });
        self.disk.append(DiskRecord::Message { record }, then, now, &mut self.out);
        true
    }

    /// What was heard of a message before the shard is served is on the local disk.
    pub(crate) fn joined_synced(&mut self, sent: Sent) {
        let Some(reign) = self.reigns.get_mut(&sent.id.shard).filter(|reign| reign.since == sent.since)
        else {
            return;
        };
        let joined = reign.takeover.as_mut().and_then(|takeover| takeover.joined.get_mut(&sent.id));
        if let Some(joined) = joined {
            joined.synced = joined.synced.max(sent.version);
        }
    }

    /// Serves the shard if enough members were heard.
    fn try_serve(&mut self, shard: ShardId) {
        let Some(reign) = self.reigns.get_mut(&shard) else { return };
        let own = reign.takeover.as_ref().is_some_and(|takeover| takeover.own_promise);
        if !own || !reign.has_read_quorum(self.me) {
            return;
        }
        let Some(takeover) = reign.takeover.take() else { return };
        for (id, seen) in takeover.seen {
            let joined = takeover.joined.get(&id).copied();
            self.lead_message(id, &seen, joined);
        }
        self.empty_ceilings(shard);
        self.schedule_shard(shard);
        for withdrawal in takeover.withdrawals {
            self.withdraw(withdrawal.connection, withdrawal.id);
        }
        if let Some(learner) = self.reigns.get(&shard).and_then(Reign::learner) {
            self.fill_learner(shard, learner);
        }
    }

    /// Starts to keep for a message what a primary keeps. `joined`: what the local disk was given since the start; it
    /// holds the whole once the last of that is synced.
    fn lead_message(&mut self, id: MessageId, seen: &[Seen], joined: Option<Joined>) {
        let (now, me) = (self.now, self.me);
        let Some(entry) = self.table.get_mut(id) else { return };
        let facts = entry.facts();
        let mut lead = Lead::new(Stage::Storing, now);
        let version = joined.map_or(FIRST_VERSION, |joined| joined.appended.max(FIRST_VERSION));
        lead.version = version;
        let holders = seen.iter().filter(|seen| seen.facts == facts);
        let holders = holders.filter(|seen| seen.store != me || joined.is_none());
        let holding = |seen: &Seen| Holding { store: seen.store, sent: version, acked: version };
        lead.holdings = holders.map(holding).collect();
        lead.holdings.extend(joined.map(|joined| Holding { store: me, sent: version, acked: joined.synced }));
        if let Some(reign) = self.reigns.get_mut(&id.shard) {
            reign.count_past(entry.sequence, entry.grant.map(|grant| grant.token).unwrap_or_default());
            lead.durable = reign.durable_version(&lead);
        }
        if entry.grant.is_some() {
            lead.told = Told::Unknown;
        }
        let is_durable = lead.durable == lead.version;
        entry.lead = Some(Box::new(lead));
        if !is_durable {
            self.pending.insert(id);
            self.assign(id);
        }
        self.set_expiry(id);
    }

    /// Puts every message of a shard where it belongs, in the order of their acceptance.
    fn schedule_shard(&mut self, shard: ShardId) {
        let of_shard = self.table.of_shard_from(MessageId { shard, unique: 0 });
        let mut order: Vec<(Sequence, MessageId)> =
            of_shard.map(|entry| (entry.sequence, entry.id)).collect();
        order.sort_unstable();
        for (_, id) in &order {
            self.join_key(*id);
        }
        for (_, id) in &order {
            self.adopt_grant(*id);
        }
        for (_, id) in &order {
            self.place(*id);
        }
    }

    /// Adds a message that has not ended to its key's queue.
    fn join_key(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id).filter(|entry| entry.end.is_none()) else { return };
        if let Some(key) = order_key(entry) {
            self.keys.add(key, entry.sequence, id);
        }
    }

    /// A lease that a former primary granted may be held still.
    fn adopt_grant(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id) else { return };
        let is_open = |entry: &Entry| entry.end.is_none() && entry.lead.is_some();
        let grant = entry.grant.filter(|grant| is_open(entry) && grant.token > entry.settled);
        if let Some(grant) = grant {
            self.adopt_lease(id, grant);
        }
    }

    /// Lets follow what a message's state asks for, or schedules it.
    fn place(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let ended = entry.end.is_some();
        let Some(lead) = entry.lead.as_mut() else { return };
        if matches!(lead.stage, Stage::Out(_)) {
            return;
        }
        if !ended {
            self.schedule(id);
            return;
        }
        lead.stage = Stage::Over;
        if lead.durable >= lead.version {
            self.owe_callback(id);
            return;
        }
        lead.waiting.push(Waiting { version: lead.version, effect: Effect::Ended });
    }

    fn empty_ceilings(&mut self, shard: ShardId) {
        let indexes: Vec<ServiceIndex> = self.services.indexes().collect();
        for index in indexes {
            let is_here = self.placement.shard_of(&self.services.get(index).name) == Some(shard);
            if let Some(ceiling) = self.services.get_mut(index).ceiling.as_mut().filter(|_| is_here) {
                ceiling.empty(self.now);
            }
        }
    }

    /// A replica that was not waited for tells what it knows: facts that no other one has are added.
    fn join_late(&mut self, from: StoreId, state: MessageState) {
        let id = state.id;
        if self.table.get(id).is_none() {
            self.join_unknown(id, from, state);
            return;
        }
        let Some(entry) = self.table.get(id) else { return };
        let facts = Facts::of_state(&state);
        let knows_more_failures = state.failed_attempts > entry.failed_attempts;
        let knows_callback = state.callback_done && !entry.callback_done;
        let knows_end = state.end.as_ref().is_some_and(|end| entry.end.as_ref().is_none_or(|own| end < own));
        if knows_more_failures {
            let (token, failed_attempts) = (state.resolved_through, state.failed_attempts);
            self.record(id, Record::Failed { id, token, failed_attempts });
        }
        if let Some(end) = state.end.filter(|_| knows_end) {
            self.end(id, end);
        }
        if knows_callback {
            self.record(id, Record::CallbackDone { id });
            self.drop_callback(id);
        }
        let Some(entry) = self.table.get_mut(id) else { return };
        let is_same = entry.facts() == facts;
        let Some(lead) = entry.lead.as_mut() else { return };
        let holding = lead.holding_mut(from);
        // What was sent to it in this reign is counted by its answers alone.
        if is_same && holding.sent == 0 {
            let version = lead.version;
            *lead.holding_mut(from) = Holding { store: from, sent: version, acked: version };
            self.count_disks(id);
        }
    }

    /// A message that only a replica knows which was not waited for: it was never acknowledged, yet may be kept.
    fn join_unknown(&mut self, id: MessageId, from: StoreId, state: MessageState) {
        let facts = Facts::of_state(&state);
        let is_new = self.join_and_append(state, FIRST_VERSION);
        let joined = is_new.then_some(Joined { appended: FIRST_VERSION, synced: 0 });
        self.lead_message(id, &[Seen { store: from, facts }], joined);
        self.join_key(id);
        self.adopt_grant(id);
        self.place(id);
    }

    /// Another store is the shard's primary, or this one must not be: everything that only a primary keeps goes.
    pub(crate) fn step_down(&mut self, shard: ShardId) {
        self.flush();
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in ids {
            self.unschedule(id, Stage::Over);
            self.drop_callback(id);
            self.pending.remove(&id);
            if let Some(entry) = self.table.get_mut(id) {
                entry.lead = None;
            }
        }
        self.reigns.remove(&shard);
        self.keys.drop_shard(shard);
        for peer in self.peers.values_mut() {
            peer.drop_shard(shard);
        }
        let ids: Vec<MessageId> = self.table.ids_of(shard).collect();
        for id in ids {
            self.set_expiry(id);
        }
    }
}
