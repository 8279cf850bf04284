//! Sealing an epoch: its commands are fixed, so that nodes can be brought up ahead of the next view.
//!
//! A view must begin with enough members that hold every committed command, or the loss of one of them could take the
//! only copy. Where too few are left, a member that holds everything takes no more commands in its epoch. As a commit
//! needs every member, nothing that its log lacks can be committed in this epoch any more; whoever holds that log
//! holds everything.

use std::collections::BTreeSet;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId};

use super::Replica;
use crate::{Machine, Position, Record, Sequence};

/// The newest epoch that a node has sealed, and whom it brings up ahead of the next view.
#[derive(Clone, Debug)]
pub(super) struct Seal {
    epoch: Epoch,
    targets: BTreeSet<NodeId>,
}

impl Seal {
    /// Continues with the durable epoch.
    pub(super) fn restored(epoch: Epoch) -> Seal {
        Seal { epoch, targets: BTreeSet::new() }
    }

    /// The newest epoch that this node has sealed.
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a node is brought up ahead of the next view.
    pub(super) fn is_target(&self, id: NodeId) -> bool {
        self.targets.contains(&id)
    }

    /// A new view: nobody is brought up ahead of the next one yet.
    pub(super) fn clear_targets(&mut self) {
        self.targets.clear();
    }

    fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Replaces the targets. Returns whether they differ from those before.
    fn set_targets(&mut self, targets: BTreeSet<NodeId>) -> bool {
        let has_changed = self.targets != targets;
        self.targets = targets;
        has_changed
    }
}

impl<M: Machine> Replica<M> {
    /// Whether this node has left the chain of the present epoch by sealing it.
    pub(crate) fn is_sealed(&self) -> bool {
        self.view.epoch != Epoch::NONE && self.seal.epoch() == self.view.epoch
    }

    /// Whether this node brings up others ahead of the next view.
    pub(super) fn is_catching_up_targets(&self) -> bool {
        self.is_sealed() && self.durability.is_complete() && self.seal.has_targets()
    }

    /// Seals the epoch, and brings up `nodes` with all that this node holds. Does nothing at a node that may lack commands.
    pub(crate) fn catch_up(&mut self, now: Instant, nodes: BTreeSet<NodeId>) {
        if !self.durability.is_complete() || !self.is_member() {
            return;
        }
        self.seal();
        if self.seal.set_targets(nodes) {
            self.progress.clear();
        }
        self.replicate_to_all(now);
    }

    /// Joins the sender's seal before anything is appended: its log may go beyond what other members hold.
    pub(super) fn adopt_seal(&mut self, sealed: bool) {
        if sealed {
            self.seal();
        }
    }

    fn seal(&mut self) {
        if !self.is_sealed() {
            let epoch = self.epoch();
            self.seal.set_epoch(epoch);
            self.persist(Record::Sealed { epoch });
        }
    }

    /// Whether commands are accepted from a node: along the chain, or, ahead of the next view, by a node that lacks
    /// commands from a member that has sealed the epoch.
    pub(super) fn accepts_from(&self, from: NodeId, sealed: bool) -> bool {
        match sealed {
            true => !self.durability.is_complete() && self.view.contains(from),
            false => !self.is_sealed() && self.is_receiver_of(from),
        }
    }

    /// What a receiver must hold to hold every committed command.
    pub(super) fn complete_at(&self) -> Sequence {
        match self.is_sealed() {
            true => self.end().sequence,
            false => self.catch_up.complete_at(),
        }
    }

    /// The end of a receiver's log, if this node's log has another command there or none.
    pub(super) fn conflict_at(&self, end: Position) -> Option<Position> {
        let log = self.store.log();
        let differs = end.sequence > log.base().sequence && !log.contains(end);
        differs.then_some(end)
    }

    /// What a node received ahead of a view, from another node than its present sender, may go beyond what that one
    /// holds. It is dropped as soon as the sender, which holds all that was committed, reports the conflict.
    pub(super) fn drop_conflicting(&mut self, conflict_at: Option<Position>) {
        let is_new_in_chain = self.is_member() && !self.is_sealed() && !self.catch_up.has_target();
        let is_brought_up = self.is_sealed() && !self.durability.is_complete();
        if (is_new_in_chain || is_brought_up) && conflict_at == Some(self.end()) {
            self.drop_uncommitted();
        }
    }
}
