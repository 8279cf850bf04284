//! One node's part in the chain of the present view (chain replication: van Renesse, Schneider, 2004).
//!
//! Commands go from the head to the tail. Each node sends them to its receivers: the next member of the chain, or the
//! learners at the tail.

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

/// What a replica asks of the node that embeds it, in this order.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaOutput<M: Machine> {
    /// To be made durable before anything that follows.
    Persist(Record),
    /// [`Replica::handle_durable`] is to be called once everything before is durable.
    WhenDurable(DurableWatermark),
    /// A message.
    Send { to: NodeId, message: CoreMessage },
    /// The state was replaced by a snapshot.
    SnapshotInstalled { sequence: Sequence },
    /// A command was committed.
    Applied(Applied<M>),
}

/// Sizes and durations of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaLimits {
    pub(crate) batch_bytes: usize,
    /// No further command is appended at the head while so many bytes are not committed.
    pub(crate) uncommitted_bytes: usize,
    /// What was not acknowledged is sent again after so long.
    pub(crate) retry_after: Duration,
}

/// A member of the chain, or a learner that follows the tail.
#[derive(Clone, Debug)]
pub(crate) struct Replica<M: Machine> {
    local_id: NodeId,
    limits: ReplicaLimits,
    view: View,
    store: Store<M>,
    durability: Durability,
    catch_up: CatchUpStatus,
    seal: Seal,
    /// The receivers.
    progress: BTreeMap<NodeId, ReplicationProgress>,
    /// The snapshot that is sent to receivers that need one, as long as the log goes on from it.
    outgoing: Option<OutgoingSnapshot>,
    /// The snapshot that is being received.
    incoming: Option<IncomingSnapshot>,
    /// Requests at the head that are not committed yet.
    pending: BTreeSet<RequestId>,
    outputs: Vec<ReplicaOutput<M>>,
}

impl<M: Machine> Replica<M> {
    /// Continues with what was on the disk.
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

    /// The same, as far as it is durable.
    pub(crate) fn is_durably_complete(&self) -> bool {
        self.durability.is_durably_complete()
    }

    /// End of the durable log; none while the log on disk is being replaced.
    pub(crate) fn durable_end(&self) -> Option<Position> {
        self.store.log().position_at(self.durability.durable_through())
    }

    /// Whether this node has caught up with its predecessor in the present view.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.catch_up.is_caught_up()
    }

    /// The newest epoch that this node has sealed.
    pub(crate) fn sealed(&self) -> Epoch {
        self.seal.epoch()
    }

    /// Epoch of the present view.
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
        self.view.contains(self.local_id)
    }

    pub(super) fn is_head(&self) -> bool {
        self.view.head() == Some(self.local_id)
    }

    pub(crate) fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.local_id)
    }

    /// The outputs since the last call.
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
        // A node that restarts before the next view is decided retains what it received ahead of it.
        if self.is_sealed() {
            return;
        }
        if !self.is_member() || !self.durability.is_complete() {
            self.drop_uncommitted();
        }
        if self.is_head() {
            self.start_as_head(now);
        }
    }

    /// The head has no predecessor to catch up with; its log goes down the chain again.
    fn start_as_head(&mut self, now: Instant) {
        self.pending = self.store.log().requests_after(self.committed()).into_keys().collect();
        self.mark_complete(Vec::new());
        self.mark_caught_up(now);
    }

    /// A node outside the view, and a member that is not complete, retains committed commands only: the chain may hold
    /// others beyond them.
    fn drop_uncommitted(&mut self) {
        let loses_entries = self.end().sequence > self.committed();
        if !loses_entries && !self.durability.is_complete() {
            return;
        }
        self.store.drop_uncommitted();
        self.durability.handle_entries_dropped();
        self.persist(Record::UncommittedDropped { committed: self.committed() });
    }

    /// Appends a command at the head, or leaves it to be submitted again where too much is uncommitted. Returns false at any
    /// other node.
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

    /// Whether a command can be appended now. While disks take nothing, what callers have long given up would else stay in
    /// memory; a caller that still waits submits its command again. One command always fits.
    fn has_room_for(&self, command: &[u8]) -> bool {
        let uncommitted = self.store.uncommitted_bytes();
        uncommitted == 0 || uncommitted + command.len() <= self.limits.uncommitted_bytes
    }

    /// Appends commands from the node before this one.
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

    /// The log of `from` is durable up to `end`, and it knows commands up to `committed` to be committed.
    pub(crate) fn handle_ack(&mut self, now: Instant, from: NodeId, end: Position, committed: Sequence) {
        if self.is_sender_to(from) {
            let progress = self.progress.entry(from).or_insert_with(|| ReplicationProgress::new(end, now));
            progress.handle_ack(end, now);
            // A log with other entries has been truncated to where both agree.
            if !self.store.log().contains(progress.acked()) && self.store.log().contains(end) {
                *progress = ReplicationProgress::new(end, now);
            }
            self.replicate_to_all(now);
        }
        if self.accepts_commit_point_of(from) {
            self.commit(now, committed);
        }
    }

    /// The log of a receiver ends at `end`, before the commands that it was sent.
    pub(crate) fn handle_gap(&mut self, now: Instant, from: NodeId, end: Position) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.handle_gap(now, self.limits.retry_after);
        }
        self.handle_ack(now, from, end, Sequence::default());
    }

    /// Sends again what was not acknowledged, and removes learners that are gone.
    pub(crate) fn handle_tick(&mut self, now: Instant, is_gone: impl Fn(NodeId) -> bool) {
        let view = &self.view;
        self.progress.retain(|id, _| view.contains(*id) || !is_gone(*id));
        for progress in self.progress.values_mut() {
            progress.rewind_if_stalled(now, self.limits.retry_after);
        }
        self.drop_unusable_snapshot();
        self.replicate_to_all(now);
    }

    /// Whether the own log is known to agree with that of `from`, so that its commit point counts here too.
    fn accepts_commit_point_of(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => {
                self.view.successor(self.local_id) == Some(from)
                    || (self.catch_up.is_caught_up() && self.view.contains(from))
            }
            false => self.view.tail() == Some(from),
        }
    }

    /// Whether `from` sends commands to this node along the chain.
    fn is_receiver_of(&self, from: NodeId) -> bool {
        match self.is_member() {
            true => self.view.predecessor(self.local_id) == Some(from),
            false => self.view.contains(from),
        }
    }

    /// The entries beyond the own log, or none if the log disagrees with them.
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
