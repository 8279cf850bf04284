//! Sealing an epoch: no further commands can be committed in it, so that nodes can catch up before the next view.
//!
//! A view must start with enough members that hold every committed command, or the failure of one of them could destroy
//! the only copy. If too few such members are left, a complete member seals the epoch: it accepts no more commands in
//! it. As a commit needs every member, no command that is missing from its log can be committed in this epoch any more.
//! Any node with a copy of that log therefore holds every committed command.

use std::collections::BTreeSet;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId};

use super::Replica;
use crate::{Machine, Position, Record, Sequence};

/// The newest epoch that a node has sealed, and the nodes that it replicates to before the next view.
#[derive(Clone, Debug)]
pub(super) struct Seal {
    epoch: Epoch,
    targets: BTreeSet<NodeId>,
}

impl Seal {
    /// Restores the durable epoch.
    pub(super) fn restored(epoch: Epoch) -> Seal {
        Seal { epoch, targets: BTreeSet::new() }
    }

    /// The newest epoch that this node has sealed.
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this node replicates to `id` before the next view.
    pub(super) fn is_target(&self, id: NodeId) -> bool {
        self.targets.contains(&id)
    }

    /// Clears the targets when a new view starts.
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
    /// Whether this node has sealed the current epoch and so stopped taking part in its chain.
    pub(crate) fn is_sealed(&self) -> bool {
        self.view.epoch != Epoch::NONE && self.seal.epoch() == self.view.epoch
    }

    /// Whether this node replicates to other nodes before the next view.
    pub(super) fn is_catching_up_targets(&self) -> bool {
        self.is_sealed() && self.durability.is_complete() && self.seal.has_targets()
    }

    /// Seals the epoch, and replicates this node's whole log to `nodes`. Does nothing at a node that may lack commands
    /// or is no member.
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

    /// Seals the epoch too if the sender has, before anything is appended: the sender's log may have entries that other
    /// members lack.
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

    /// Whether this node accepts entries from `from`: along the chain in normal operation; from any member that has
    /// sealed the epoch if this node is incomplete.
    pub(super) fn accepts_from(&self, from: NodeId, sealed: bool) -> bool {
        match sealed {
            true => !self.durability.is_complete() && self.view.is_member(from),
            false => !self.is_sealed() && self.is_receiver_of(from),
        }
    }

    /// A receiver whose log reaches this command holds every committed command.
    pub(super) fn complete_at(&self) -> Sequence {
        match self.is_sealed() {
            true => self.end().sequence,
            false => self.catch_up.complete_at(),
        }
    }

    /// Returns `end`, the end of a receiver's log, if this node's log has a different command there or none.
    pub(super) fn conflict_at(&self, end: Position) -> Option<Position> {
        let log = self.store.log();
        let differs = end.sequence > log.base().sequence && !log.contains(end);
        differs.then_some(end)
    }

    /// Drops uncommitted entries that conflict with the sender's log. A node that caught up before a view from another
    /// node may have entries that its current sender lacks. The sender holds every committed command, so once it
    /// reports the conflict they can be dropped.
    pub(super) fn drop_conflicting(&mut self, conflict_at: Option<Position>) {
        let is_new_in_chain = self.is_member() && !self.is_sealed() && !self.catch_up.has_target();
        let is_brought_up = self.is_sealed() && !self.durability.is_complete();
        if (is_new_in_chain || is_brought_up) && conflict_at == Some(self.end()) {
            self.drop_uncommitted();
        }
    }
}
