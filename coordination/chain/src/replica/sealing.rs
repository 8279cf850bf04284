//! Sealing an epoch: its commands are fixed, so that nodes can be filled ahead of the next view.
//!
//! A view must begin with enough members that hold every committed command, or the loss of one of them could take the
//! only copy. Where too few are left, a member that holds everything takes no more commands in its epoch. As a commit
//! needs every member, nothing that its log lacks can be committed in this epoch any more; whoever holds that log
//! holds everything.

use std::collections::BTreeSet;

use millrudder_view::{Epoch, NodeId};

use super::Replica;
use crate::{Machine, Position, Record, Sequence};

impl<M: Machine> Replica<M> {
    /// Whether this node takes part in the chain of the present epoch no more.
    pub(crate) fn is_sealed(&self) -> bool {
        self.view.epoch != Epoch::NONE && self.sealed == self.view.epoch
    }

    /// Whether this node feeds others ahead of the next view.
    pub(super) fn is_filling(&self) -> bool {
        self.is_sealed() && self.complete && !self.filling.is_empty()
    }

    /// Seals the epoch, and feeds `nodes` all that this node holds. Does nothing at a node that may lack commands.
    pub(crate) fn fill(&mut self, now: u64, nodes: BTreeSet<NodeId>) {
        if !self.complete || !self.is_member() {
            return;
        }
        self.seal();
        if self.filling != nodes {
            self.links.clear();
            self.filling = nodes;
        }
        self.feed_all(now);
    }

    /// Joins the sender's seal before anything is taken from it: what comes may go beyond what other members hold.
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

    /// Whether commands are taken from a node: along the chain, or, ahead of the next view, from a member that has
    /// sealed the epoch by a node that lacks commands.
    pub(super) fn takes_from(&self, from: NodeId, sealed: bool) -> bool {
        match sealed {
            true => !self.complete && self.view.contains(from),
            false => !self.is_sealed() && self.is_fed_by(from),
        }
    }

    /// What a fed node must hold to hold every committed command.
    pub(super) fn complete_at(&self) -> Sequence {
        match self.is_sealed() {
            true => self.end().sequence,
            false => self.complete_at,
        }
    }

    /// The end of a fed node's log, if this node's log has another command there or none.
    pub(super) fn differs_at(&self, end: Position) -> Option<Position> {
        let log = &self.store.log;
        let differs = end.sequence > log.base().sequence && !log.contains(end);
        differs.then_some(end)
    }

    /// What a node was fed ahead of a view, by another node than the one that feeds it now, may go beyond what that one
    /// holds. It is dropped as soon as the feeding node, which holds all that was committed, says so.
    pub(super) fn drop_what_differs(&mut self, differs_at: Option<Position>) {
        let is_new_in_chain = self.is_member() && !self.is_sealed() && self.sync_target.is_none();
        let is_being_filled = self.is_sealed() && !self.complete;
        if (is_new_in_chain || is_being_filled) && differs_at == Some(self.end()) {
            self.drop_uncommitted();
        }
    }
}
