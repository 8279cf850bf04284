//! Nodes are brought up ahead of a view that would begin with too few complete members.

use std::collections::BTreeSet;

use millrudder_clock::Instant;
use millrudder_view::{NodeId, TargetView};

use super::CoreNode;
use crate::Machine;

impl<M: Machine> CoreNode<M> {
    /// Whether so many members of the target hold every command that was committed before the next view that it may
    /// begin with them.
    pub(super) fn has_enough_complete_members(&self, target: &TargetView) -> bool {
        target.complete.len() >= self.config.minimum_members
    }

    /// The first member of the target seals the epoch and brings up those that lack commands.
    pub(super) fn catch_up_before_view_change(&mut self, now: Instant, target: &TargetView) {
        let members = target.members.iter().map(|member| member.id);
        let incomplete: BTreeSet<NodeId> = members.filter(|id| !target.complete.contains(id)).collect();
        if target.members.first().is_some_and(|first| first.id == self.id) {
            self.replica.catch_up(now, incomplete);
        }
    }

    /// Whether a node has said, within the present epoch, that it holds every command committed before the next view.
    pub(super) fn is_complete(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_complete();
        }
        self.peers.is_complete_in(id, self.agreement.epoch())
    }
}
