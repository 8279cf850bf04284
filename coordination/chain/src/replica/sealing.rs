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

impl<M: Machine> Replica<M> {
    /// Whether this node has left the chain of the present epoch by sealing it.
    pub(crate) fn is_sealed(&self) -> bool {
        self.view.epoch != Epoch::NONE && self.sealed == self.view.epoch
    }

    /// Whether this node brings up others ahead of the next view.
    pub(super) fn is_catching_up_targets(&self) -> bool {
        self.is_sealed() && self.durability.is_complete() && !self.catch_up_targets.is_empty()
    }

    /// Seals the epoch, and brings up `nodes` with all that this node holds. Does nothing at a node that may lack commands.
    pub(crate) fn catch_up(&mut self, now: Instant, nodes: BTreeSet<NodeId>) {
        if !self.durability.is_complete() || !self.is_member() {
            return;
        }
        self.seal();
        if self.catch_up_targets != nodes {
            self.progress.clear();
            self.catch_up_targets = nodes;
        }
        self.replicate_to_all(now);
    }

    /// Joins the sender's seal before anything is appended: its log may go beyond what other members hold.
    pub(super) fn join_seal(&mut self, sealed: bool) {
        if sealed {
            self.seal();
        }
    }

    fn seal(&mut self) {
        if !self.is_sealed() {
            self.sealed = self.epoch();
            self.persist(Record::Sealed { epoch: self.sealed });
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
            false => self.complete_at,
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
        let is_new_in_chain = self.is_member() && !self.is_sealed() && self.caught_up_at.is_none();
        let is_brought_up = self.is_sealed() && !self.durability.is_complete();
        if (is_new_in_chain || is_brought_up) && conflict_at == Some(self.end()) {
            self.drop_uncommitted();
        }
    }
}
