//! One node's part in the chain of the present view.

mod commit;
mod replication;
mod sealing;
mod snapshot_install;

use std::collections::{BTreeMap, BTreeSet};

use millrudder_view::{Epoch, NodeId, View};
use speedy::Readable;

use crate::replication_progress::Link;
use crate::store::{Applied, Store};
use crate::transfer::{IncomingSnapshot, OutgoingSnapshot};
use crate::{AppendBatch, CoreMessage, Entry, Machine, Position, Record, RequestId, Sequence};

/// What a replica asks of the node around it, in this order.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaOutput<M: Machine> {
    /// To be made durable before anything that follows.
    Persist(Record),
    /// [`Replica::durable`] is to be called once everything before is durable.
    WhenDurable(DurableMark),
    /// A message.
    Send { to: NodeId, message: CoreMessage },
    /// The state was replaced by a snapshot.
    Replaced { sequence: Sequence },
    /// A command was committed.
    Applied(Applied<M>),
}

/// End of the log at the time when a record was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DurableMark {
    sequence: Sequence,
    generation: u64,
    complete: bool,
}

/// Sizes and times of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaLimits {
    pub(crate) batch_bytes: usize,
    /// Microseconds.
    pub(crate) retry_after: u64,
}

/// A member of the chain, or a learner that follows the tail.
#[derive(Clone, Debug)]
pub(crate) struct Replica<M: Machine> {
    me: NodeId,
    limits: ReplicaLimits,
    view: View,
    store: Store<M>,
    /// Whether this node holds every command committed in earlier views (durable).
    complete: bool,
    /// The same, as the disk has it.
    complete_on_disk: bool,
    /// Whether this node has caught up with its predecessor in this view.
    synced: bool,
    /// The newest epoch that this node has sealed (durable).
    sealed: Epoch,
    /// Whom a node that has sealed the epoch feeds ahead of the next view.
    filling: BTreeSet<NodeId>,
    /// Where the predecessor said that this node is complete.
    sync_target: Option<Sequence>,
    /// What a fed node must hold to be complete.
    complete_at: Sequence,
    /// Commands up to here are durable in this node's log.
    persisted: Sequence,
    /// Grows when the log loses entries, so that older marks do not count.
    generation: u64,
    links: BTreeMap<NodeId, Link>,
    /// The snapshot that is sent to fed nodes that need one, as long as the log goes on from it.
    outgoing: Option<OutgoingSnapshot>,
    /// What has come of a snapshot.
    incoming: Option<IncomingSnapshot>,
    /// Requests at the head that are not committed yet.
    pending: BTreeSet<RequestId>,
    outputs: Vec<ReplicaOutput<M>>,
}

impl<M: Machine> Replica<M> {
    /// Continues with what was on the disk.
    pub(crate) fn new(
        me: NodeId,
        limits: ReplicaLimits,
        store: Store<M>,
        complete: bool,
        sealed: Epoch,
    ) -> Replica<M> {
        let persisted = store.log.end().sequence;
        Replica {
            me,
            limits,
            view: View::default(),
            store,
            complete,
            complete_on_disk: complete,
            synced: false,
            sealed,
            filling: BTreeSet::new(),
            sync_target: None,
            complete_at: Sequence::default(),
            persisted,
            generation: 0,
            links: BTreeMap::new(),
            outgoing: None,
            incoming: None,
            pending: BTreeSet::new(),
            outputs: Vec::new(),
        }
    }

    pub(crate) fn store(&self) -> &Store<M> {
        &self.store
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    pub(crate) fn is_complete_on_disk(&self) -> bool {
        self.complete_on_disk
    }

    /// End of the log as the disk has it; none while what the disk holds is being replaced.
    pub(crate) fn end_on_disk(&self) -> Option<Position> {
        self.store.log.position_at(self.persisted)
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.synced
    }

    pub(crate) fn sealed(&self) -> Epoch {
        self.sealed
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    pub(crate) fn end(&self) -> Position {
        self.store.log.end()
    }

    pub(crate) fn committed(&self) -> Sequence {
        self.store.applied().sequence
    }

    pub(super) fn is_member(&self) -> bool {
        self.view.contains(self.me)
    }

    pub(super) fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }

    pub(crate) fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.me)
    }

    /// What was asked for since the last call.
    pub(crate) fn take_outputs(&mut self) -> Vec<ReplicaOutput<M>> {
        std::mem::take(&mut self.outputs)
    }

    /// Starts the chain of a newer view.
    pub(crate) fn activate(&mut self, now: u64, view: &View) {
        self.view = view.clone();
        self.links.clear();
        self.filling.clear();
        self.store.keep_after(None);
        self.pending.clear();
        self.synced = false;
        self.sync_target = None;
        // What was taken ahead of the next view is kept by a node that starts again before that is decided.
        if self.is_sealed() {
            return;
        }
        if !self.is_member() || !self.complete {
            self.drop_uncommitted();
        }
        if self.is_head() {
            self.lead(now);
        }
    }

    /// The head has nobody to catch up with; what it holds goes down the chain again.
    fn lead(&mut self, now: u64) {
        self.pending = self.store.log.requests_after(self.committed()).into_keys().collect();
        self.become_complete(Vec::new());
        self.become_synced(now);
    }

    /// Outside the view, and by a member that is yet to be filled, nothing but committed commands may be kept: what
    /// goes beyond them may differ from what the chain holds.
    fn drop_uncommitted(&mut self) {
        let loses_entries = self.end().sequence > self.committed();
        if !loses_entries && !self.complete {
            return;
        }
        self.store.drop_uncommitted();
        self.complete = false;
        self.complete_on_disk = false;
        self.generation += 1;
        self.persisted = Sequence::default();
        self.persist(Record::Left { committed: self.committed() });
    }

    /// Takes a command at the head. Returns false at any other node.
    pub(crate) fn submit(
        &mut self,
        now: u64,
        origin: NodeId,
        request_id: RequestId,
        command: Vec<u8>,
    ) -> bool {
        if !self.is_head() || self.is_sealed() {
            return false;
        }
        if let Some(reply) = self.store.reply(request_id).map(<[u8]>::to_vec) {
            self.send(origin, CoreMessage::Answer { request_id, reply });
            return true;
        }
        if self.pending.contains(&request_id) || M::Command::read_from_buffer(&command).is_err() {
            return true;
        }
        let position = Position { sequence: self.end().sequence.next(), epoch: self.epoch() };
        let entry = Entry { position, request_id, origin, command };
        self.pending.insert(request_id);
        self.store.log.append(entry.clone());
        self.persist_entries(vec![entry]);
        self.feed_all(now);
        true
    }

    /// Takes commands from the node that feeds this one.
    pub(crate) fn append(&mut self, now: u64, from: NodeId, batch: AppendBatch) {
        if !self.takes_from(from, batch.sealed) {
            return;
        }
        self.join_seal(batch.sealed);
        if !self.store.log.contains(batch.previous) {
            return self.report_gap(from);
        }
        let agreed = Sequence(batch.previous.sequence.0.saturating_add(batch.entries.len() as u64));
        let Some(fresh) = self.fresh_entries(batch.entries) else {
            return self.acknowledge(from);
        };
        for entry in &fresh {
            self.store.log.append(entry.clone());
        }
        self.commit(now, batch.committed.min(agreed));
        self.reach(now, fresh, batch.complete_at);
        self.feed_all(now);
        self.acknowledge(from);
    }

    /// A node says that it holds commands up to `end`, and that those up to `committed` are committed.
    pub(crate) fn acknowledged(&mut self, now: u64, from: NodeId, end: Position, committed: Sequence) {
        if self.feeds(from) {
            let link = self.links.entry(from).or_insert_with(|| Link::new(end, now));
            link.acknowledged(end, now);
            // A log that went on otherwise has been cut back to where both agree.
            if !self.store.log.contains(link.end) && self.store.log.contains(end) {
                *link = Link::new(end, now);
            }
            self.feed_all(now);
        }
        if self.believes(from) {
            self.commit(now, committed);
        }
    }

    /// A fed node's log ends at `end`, before the commands that it was sent.
    pub(crate) fn gap(&mut self, now: u64, from: NodeId, end: Position) {
        if let Some(link) = self.links.get_mut(&from) {
            link.gap(now, self.limits.retry_after);
        }
        self.acknowledged(now, from, end, Sequence::default());
    }

    /// Sends again what was not acknowledged, and forgets learners that are gone.
    pub(crate) fn tick(&mut self, now: u64, is_gone: impl Fn(NodeId) -> bool) {
        let view = &self.view;
        self.links.retain(|id, _| view.contains(*id) || !is_gone(*id));
        for link in self.links.values_mut() {
            link.rewind_if_stalled(now, self.limits.retry_after);
        }
        self.drop_useless_snapshot();
        self.feed_all(now);
    }

    /// Whether the own log is known to agree with that of `from`, so that its commit point holds here too.
    fn believes(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => self.view.successor(self.me) == Some(from) || (self.synced && self.view.contains(from)),
            false => self.view.tail() == Some(from),
        }
    }

    fn is_fed_by(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => self.view.predecessor(self.me) == Some(from),
            false => self.view.contains(from),
        }
    }

    /// The entries beyond the own log, or none if the log disagrees with them.
    fn fresh_entries(&self, entries: Vec<Entry>) -> Option<Vec<Entry>> {
        let end = self.end().sequence;
        let agrees = |entry: &Entry| {
            entry.position.sequence > end
                || entry.position.sequence < self.store.log.base().sequence
                || self.store.log.contains(entry.position)
        };
        if !entries.iter().all(agrees) {
            return None;
        }
        Some(entries.into_iter().filter(|entry| entry.position.sequence > end).collect())
    }

    fn report_gap(&mut self, to: NodeId) {
        self.send(to, CoreMessage::Gap { epoch: self.epoch(), end: self.end() });
    }

    pub(super) fn acknowledge(&mut self, to: NodeId) {
        let message =
            CoreMessage::Appended { epoch: self.epoch(), end: self.end(), committed: self.committed() };
        self.send(to, message);
    }

    pub(super) fn send(&mut self, to: NodeId, message: CoreMessage) {
        self.outputs.push(ReplicaOutput::Send { to, message });
    }
}
