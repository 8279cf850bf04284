//! Repair as a primary: messages that too few stores have, or that stores were too slow to write, are sent to
//! further stores, and learners are brought up to date.

use super::peer::Peer;
use super::{Batches, Replication, SyncAction};
use crate::api::DiskRecord;
use crate::context::Context;
use crate::message_table::MessageTable;
use crate::primary_entry::{PrimaryEntry, SentVersion};
use crate::primary_term::PrimaryTerms;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{MessageId, ShardId, StoreId};
use std::ops::Range;

/// Range from which the number of the first write to a store is drawn, once per incarnation of this process. It
/// ends far below the largest number, so that numbers never overflow.
const FIRST_WRITE_NUMBERS: Range<u64> = 1..1 << 48;

impl Replication {
    /// Queues a message for further stores, if too few have it or can be expected to have it soon.
    pub fn assign_more_replicas(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        id: MessageId,
    ) {
        self.assignments += 1;
        let lacks = |primary: &PrimaryEntry| primary.progress_of(context.local_id).sent < primary.version();
        if table.primary(id).is_some_and(lacks) {
            self.write_local_full_state(context, table, terms, id);
        }
        let Some(primary_term) = terms.get(id.shard) else { return };
        let Some(primary) = table.primary(id) else { return };
        let members = primary_term.replicas().iter().copied().chain(primary_term.learner());
        let mut expected: Vec<StoreId> =
            members.filter(|store| self.is_expected(context, id, primary, *store)).collect();
        let mut additional: Vec<StoreId> = Vec::new();
        for store in self.ranked_replicas(context, table, terms, id) {
            if !self.is_sent_or_queued(id, primary, store)
                && primary_term.lacks_write_quorum(&expected, store)
            {
                expected.push(store);
                additional.push(store);
            }
        }
        for store in additional {
            if let Some(peer) = self.peers.get_mut(&store) {
                peer.add_catch_up([id]);
            }
        }
    }

    /// Whether a store was sent the latest version of a message, or will be.
    fn is_sent_or_queued(&self, id: MessageId, primary: &PrimaryEntry, store: StoreId) -> bool {
        let is_queued = self.peers.get(&store).is_some_and(|peer| peer.is_catching_up_with(id));
        is_queued || primary.progress_of(store).sent >= primary.version()
    }

    /// Whether a store has the latest version of a message on its disk, or is expected to have it within its
    /// usual latency.
    fn is_expected(&self, context: &Context, id: MessageId, primary: &PrimaryEntry, store: StoreId) -> bool {
        let is_late = match self.peers.get(&store) {
            _ if store == context.local_id => self.disk.is_overdue(),
            Some(peer) => !peer.is_connected() || peer.is_overdue(),
            None => true,
        };
        primary.progress_of(store).acked >= primary.version()
            || (!is_late && self.is_sent_or_queued(id, primary, store))
    }

    /// Writes the full state of a message to the local disk, which lacks something that other stores have.
    fn write_local_full_state(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        id: MessageId,
    ) {
        let Some(term) = terms.number_of(id.shard) else { return };
        let Some(entry) = table.get_mut(id) else { return };
        let record = Record::State { state: Box::new(entry.state(context.now)) };
        let Some(primary) = entry.primary.as_mut() else { return };
        primary.mark_sent(context.local_id);
        let sent = SentVersion { id, term, version: primary.version() };
        self.append(context, DiskRecord::Message { record }, SyncAction::CountLocalCopy(sent));
    }

    /// Sends queued messages to the stores that have to catch up, within their windows.
    pub fn send_catch_up(&mut self, context: &mut Context, table: &mut MessageTable, terms: &PrimaryTerms) {
        let catching_up: Vec<StoreId> =
            self.peers.iter().filter(|(_, peer)| peer.has_catch_up()).map(|(store, _)| *store).collect();
        for store in catching_up {
            self.send_catch_up_to(context, table, terms, store);
            self.notify_caught_up(context, terms, store);
        }
    }

    fn send_catch_up_to(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        store: StoreId,
    ) {
        let mut batches = Batches::default();
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let mut window = peer.repair_window(&context.config);
        while window > 0 {
            let Some(id) = peer.next_catch_up() else { break };
            window = window.saturating_sub(add_full_state(context, table, terms, store, id, &mut batches));
        }
        self.send_batches(context, terms, batches, true);
    }

    /// Tells a learner for which shards it has caught up.
    fn notify_caught_up(&mut self, context: &mut Context, terms: &PrimaryTerms, store: StoreId) {
        let Some(peer) = self.peers.get_mut(&store) else { return };
        for shard in peer.take_caught_up() {
            let Some(primary_term) = terms.get(shard) else { continue };
            let (term, change) = (primary_term.number(), primary_term.change());
            if let Some(change) = change.filter(|change| change.joins == store) {
                let caught_up = BetweenStores::LearnerCaughtUp { shard, term, change: change.epoch };
                context.send_to_store(store, caught_up);
            }
        }
    }

    /// Sends writes that are overdue at some stores to further stores (hedged requests).
    ///
    /// What is queued for a store is assigned anew when the store becomes slow, and not with each further write that is
    /// overdue there: a queue may have thousands of messages, and a store that catches up has many writes in flight.
    pub fn hedge(&mut self, context: &mut Context, table: &mut MessageTable, terms: &PrimaryTerms) {
        let mut overdue = self.disk.take_overdue(context.now, context.config.max_write_timeout);
        let mut queued = Vec::new();
        for peer in self.peers.values_mut() {
            let was_overdue = peer.is_overdue();
            let late = peer.take_overdue(context.now, &context.config);
            if peer.is_overdue() && !was_overdue {
                queued.extend(peer.catch_up());
            }
            overdue.extend(late);
        }
        self.assign_sent(context, table, terms, &overdue);
        self.assign_pending(context, table, terms, queued);
    }

    fn assign_pending(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        ids: Vec<MessageId>,
    ) {
        for id in ids {
            if self.pending.contains(&id) {
                self.assign_more_replicas(context, table, terms, id);
            }
        }
    }

    fn assign_sent(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        sent: &[SentVersion],
    ) {
        for sent in sent {
            if terms.is_current(sent) && self.pending.contains(&sent.id) {
                self.assign_more_replicas(context, table, terms, sent.id);
            }
        }
    }

    /// Handles a new connection to `store`, to which pending messages may now be sent.
    pub fn handle_connected(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        store: StoreId,
    ) {
        let first_number = context.random.u64(FIRST_WRITE_NUMBERS);
        let now = context.now;
        self.peers.entry(store).or_insert_with(|| Peer::new(now, first_number)).connect();
        let pending: Vec<MessageId> = self.pending.iter().copied().collect();
        for id in pending {
            self.assign_more_replicas(context, table, terms, id);
        }
    }

    /// Handles the end of the connection to `store`: the writes in flight on it are sent to other stores.
    pub fn handle_closed(
        &mut self,
        context: &mut Context,
        table: &mut MessageTable,
        terms: &PrimaryTerms,
        store: StoreId,
    ) {
        self.disk.cancel_write_acks(store);
        let Some(peer) = self.peers.get_mut(&store) else { return };
        let queued: Vec<MessageId> = peer.catch_up().collect();
        let lost = peer.disconnect();
        for sent in lost.iter().filter(|sent| terms.is_current(sent)) {
            if let Some(primary) = table.primary_mut(sent.id) {
                primary.forget_in_flight(store);
            }
        }
        self.assign_sent(context, table, terms, &lost);
        self.assign_pending(context, table, terms, queued);
    }

    /// Queues for the learner of a served shard all messages that it lacks.
    pub fn catch_up_learner(
        &mut self,
        table: &MessageTable,
        terms: &PrimaryTerms,
        shard: ShardId,
        store: StoreId,
    ) {
        let Some(primary_term) = terms.get(shard) else { return };
        if !primary_term.is_serving() || primary_term.learner() != Some(store) {
            return;
        }
        let lacks = |id: &MessageId| {
            table.primary(*id).is_some_and(|primary| primary.progress_of(store).sent < primary.version())
        };
        let Some(peer) = self.peers.get_mut(&store).filter(|peer| peer.is_connected()) else { return };
        peer.add_catch_up(table.ids_of(shard).filter(lacks));
        peer.begin_catch_up_of(shard);
    }
}

/// Adds the full state of a message for a store, unless it was sent the latest version already. Returns the bytes added.
fn add_full_state(
    context: &Context,
    table: &mut MessageTable,
    terms: &PrimaryTerms,
    store: StoreId,
    id: MessageId,
    batches: &mut Batches,
) -> usize {
    let Some(term) = terms.number_of(id.shard) else { return 0 };
    let Some(entry) = table.get_mut(id) else { return 0 };
    let Some(version) = entry.primary.as_ref().map(|primary| primary.version()) else { return 0 };
    if entry.primary.as_ref().is_some_and(|primary| primary.progress_of(store).sent >= version) {
        return 0;
    }
    let record = Record::State { state: Box::new(entry.state(context.now)) };
    if let Some(primary) = entry.primary.as_mut() {
        primary.mark_sent(store);
    }
    batches.add(store, id.shard, vec![record], SentVersion { id, term, version })
}
