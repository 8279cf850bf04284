//! One node of the chain of the current view (chain replication: van Renesse, Schneider, 2004).
//!
//! Commands are replicated from the head to the tail. Each node sends them to its receivers: a member to its successor,
//! the tail to the learners.

mod catch_up_status;
mod commit;
mod durability;
mod replication;
mod sealing;
mod snapshot_install;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, View};
use speedy::Readable;

use self::catch_up_status::CatchUpStatus;
use self::durability::Durability;
pub(crate) use self::durability::DurableWatermark;
use self::sealing::Seal;
use crate::replication_progress::ReplicationProgress;
use crate::store::{Applied, Store};
use crate::transfer::{IncomingSnapshot, OutgoingSnapshot};
use crate::{AppendBatch, CoreMessage, Entry, Machine, Position, Record, RequestId, Sequence};

/// An action for the node that embeds the replica; actions must be run in order.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaOutput<M: Machine> {
    /// Make a record durable before any later output takes effect.
    Persist(Record),
    /// Call [`Replica::handle_durable`] once every earlier record is durable.
    WhenDurable(DurableWatermark),
    /// Send a message.
    Send { to: NodeId, message: CoreMessage },
    /// The state was replaced with a snapshot.
    SnapshotInstalled { sequence: Sequence },
    /// A command was committed.
    Applied(Applied<M>),
}

/// Size limits and the retry time-out of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaLimits {
    /// Bytes of entries or of a snapshot in one message; a single larger entry is sent alone.
    pub(crate) batch_bytes: usize,
    /// Bytes of uncommitted commands from which the head appends no further command.
    pub(crate) uncommitted_bytes: usize,
    /// Time after which unacknowledged entries and chunks are resent.
    pub(crate) retry_after: Duration,
}

/// A member of the chain, or a learner that replicates from the tail.
#[derive(Clone, Debug)]
pub(crate) struct Replica<M: Machine> {
    local_id: NodeId,
    limits: ReplicaLimits,
    view: View,
    store: Store<M>,
    durability: Durability,
    catch_up: CatchUpStatus,
    seal: Seal,
    /// Replication progress of each receiver.
    progress: BTreeMap<NodeId, ReplicationProgress>,
    /// The snapshot sent to receivers that need one; valid while the log contains its position.
    outgoing: Option<OutgoingSnapshot>,
    /// The snapshot that is being received.
    incoming: Option<IncomingSnapshot>,
    /// Requests appended at the head that are not committed yet.
    pending: BTreeSet<RequestId>,
    outputs: Vec<ReplicaOutput<M>>,
}

impl<M: Machine> Replica<M> {
    /// Creates a replica from the durable state.
    pub(crate) fn new(
        local_id: NodeId,
        limits: ReplicaLimits,
        store: Store<M>,
        complete: bool,
        sealed: Epoch,
    ) -> Replica<M> {
        let durability = Durability::restored(store.log().end().sequence, complete);
        Replica {
            local_id,
            limits,
            view: View::default(),
            store,
            durability,
            catch_up: CatchUpStatus::default(),
            seal: Seal::restored(sealed),
            progress: BTreeMap::new(),
            outgoing: None,
            incoming: None,
            pending: BTreeSet::new(),
            outputs: Vec::new(),
        }
    }

    pub(crate) fn store(&self) -> &Store<M> {
        &self.store
    }

    /// Whether this node holds every command committed in earlier views.
    pub(crate) fn is_complete(&self) -> bool {
        self.durability.is_complete()
    }

    /// Whether the durable records show that this node holds every command committed in earlier views.
    pub(crate) fn is_durably_complete(&self) -> bool {
        self.durability.is_durably_complete()
    }

    /// End of the durable log; `None` while the log on disk is being replaced.
    pub(crate) fn durable_end(&self) -> Option<Position> {
        self.store.log().position_at(self.durability.durable_through())
    }

    /// Whether this node has caught up with its predecessor in the current view.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.catch_up.is_caught_up()
    }

    /// The newest epoch that this node has sealed.
    pub(crate) fn sealed(&self) -> Epoch {
        self.seal.epoch()
    }

    /// Epoch of the current view.
    pub(crate) fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// End of the log.
    pub(crate) fn end(&self) -> Position {
        self.store.log().end()
    }

    /// The last command that this node knows to be committed.
    pub(crate) fn committed(&self) -> Sequence {
        self.store.applied().sequence
    }

    pub(super) fn is_member(&self) -> bool {
        self.view.is_member(self.local_id)
    }

    pub(super) fn is_head(&self) -> bool {
        self.view.head() == Some(self.local_id)
    }

    pub(crate) fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.local_id)
    }

    /// Returns the outputs since the last call.
    pub(crate) fn take_outputs(&mut self) -> Vec<ReplicaOutput<M>> {
        std::mem::take(&mut self.outputs)
    }

    /// Starts the chain of a newer view.
    pub(crate) fn activate(&mut self, now: Instant, view: &View) {
        self.view = view.clone();
        self.progress.clear();
        self.seal.clear_targets();
        self.store.retain_after(None);
        self.pending.clear();
        self.catch_up.reset();
        // A node that restarts after it sealed this epoch keeps the entries that it received to catch up for the next
        // view.
        if self.is_sealed() {
            return;
        }
        if !self.is_member() || !self.durability.is_complete() {
            self.drop_uncommitted();
        }
        if self.is_head() {
            self.start_as_head(now);
        } else if self.view.epoch == Epoch::FIRST && self.is_member() {
            // Nothing was committed before the first view.
            self.mark_complete(Vec::new());
        }
    }

    /// The head has no predecessor to catch up with. It replicates the uncommitted end of its log down the new chain.
    fn start_as_head(&mut self, now: Instant) {
        self.pending = self.store.log().requests_after(self.committed()).into_keys().collect();
        self.mark_complete(Vec::new());
        self.mark_caught_up(now);
    }

    /// Drops the uncommitted entries of a node outside the view or of an incomplete member: the chain may have
    /// different entries at these positions.
    fn drop_uncommitted(&mut self) {
        let loses_entries = self.end().sequence > self.committed();
        if !loses_entries && !self.durability.is_complete() {
            return;
        }
        self.store.drop_uncommitted();
        self.durability.handle_entries_dropped();
        self.persist(Record::UncommittedDropped { committed: self.committed() });
    }

    /// Appends a command at the head. If too many bytes are uncommitted the command is ignored, and its origin submits
    /// it again. Returns false if this node is not the head or has sealed the epoch.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        origin: NodeId,
        request_id: RequestId,
        command: Vec<u8>,
    ) -> bool {
        if !self.is_head() || self.is_sealed() {
            return false;
        }
        if let Some(reply) = self.store.reply(request_id).map(<[u8]>::to_vec) {
            self.send(origin, CoreMessage::Reply { request_id, reply });
            return true;
        }
        if self.pending.contains(&request_id) || M::Command::read_from_buffer(&command).is_err() {
            return true;
        }
        if !self.has_room_for(&command) {
            return true;
        }
        let position = Position { sequence: self.end().sequence.next(), epoch: self.epoch() };
        let entry = Entry { position, request_id, origin, command };
        self.pending.insert(request_id);
        self.store.append(entry.clone());
        self.persist_entries(vec![entry]);
        self.replicate_to_all(now);
        true
    }

    /// Whether the limit on uncommitted bytes allows another command. Without it, commands whose callers have timed out
    /// would accumulate in memory while disks are stalled. A caller that is still waiting submits its command again. A
    /// single command is always allowed.
    fn has_room_for(&self, command: &[u8]) -> bool {
        let uncommitted = self.store.uncommitted_bytes();
        uncommitted == 0 || uncommitted + command.len() <= self.limits.uncommitted_bytes
    }

    /// Appends entries received from the predecessor, or from the node that this one catches up from.
    pub(crate) fn handle_append(&mut self, now: Instant, from: NodeId, batch: AppendBatch) {
        if !self.accepts_from(from, batch.sealed) {
            return;
        }
        self.adopt_seal(batch.sealed);
        if !self.store.log().contains(batch.previous) {
            return self.report_gap(from);
        }
        let agreed = Sequence(batch.previous.sequence.0.saturating_add(batch.entries.len() as u64));
        let Some(new_entries) = self.new_entries_in(batch.entries) else {
            return self.acknowledge(from);
        };
        for entry in &new_entries {
            self.store.append(entry.clone());
        }
        self.commit(now, batch.committed.min(agreed));
        self.record_entries(now, new_entries, batch.complete_at);
        self.replicate_to_all(now);
        self.acknowledge(from);
    }

    /// Handles an acknowledgement: the log of `from` is durable up to `end`, and `from` knows that commands up to
    /// `committed` are committed.
    pub(crate) fn handle_ack(&mut self, now: Instant, from: NodeId, end: Position, committed: Sequence) {
        if self.is_sender_to(from) {
            let progress = self.progress.entry(from).or_insert_with(|| ReplicationProgress::new(end, now));
            progress.handle_ack(end, now);
            // The acknowledged position is not in this log but the new end is: the receiver has truncated its log to a
            // common position.
            if !self.store.log().contains(progress.acked()) && self.store.log().contains(end) {
                *progress = ReplicationProgress::new(end, now);
            }
            self.replicate_to_all(now);
        }
        if self.accepts_commit_point_of(from) {
            self.commit(now, committed);
        }
    }

    /// Handles a gap: the log of a receiver ends at `end`, before the entries that it was sent.
    pub(crate) fn handle_gap(&mut self, now: Instant, from: NodeId, end: Position) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.handle_gap(now, self.limits.retry_after);
        }
        self.handle_ack(now, from, end, Sequence::default());
    }

    /// Resends what was not acknowledged in time, and removes learners for which `is_gone` returns true.
    pub(crate) fn handle_tick(&mut self, now: Instant, is_gone: impl Fn(NodeId) -> bool) {
        let view = &self.view;
        self.progress.retain(|id, _| view.is_member(*id) || !is_gone(*id));
        for progress in self.progress.values_mut() {
            progress.rewind_if_stalled(now, self.limits.retry_after);
        }
        self.drop_unusable_snapshot();
        self.replicate_to_all(now);
    }

    /// Whether this node's log is known to agree with that of `from`, so that the commit point of `from` applies here.
    fn accepts_commit_point_of(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => {
                self.view.successor(self.local_id) == Some(from)
                    || (self.catch_up.is_caught_up() && self.view.is_member(from))
            }
            false => self.view.tail() == Some(from),
        }
    }

    /// Whether this node receives commands from `from`: a member from its predecessor, any other node from a member.
    fn is_receiver_of(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => self.view.predecessor(self.local_id) == Some(from),
            false => self.view.is_member(from),
        }
    }

    /// The entries beyond the end of this node's log, or `None` if the log has different entries at the same positions.
    fn new_entries_in(&self, entries: Vec<Entry>) -> Option<Vec<Entry>> {
        let end = self.end().sequence;
        let agrees = |entry: &Entry| {
            entry.position.sequence > end
                || entry.position.sequence < self.store.log().base().sequence
                || self.store.log().contains(entry.position)
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
