//! Catch-up of nodes before a view change, needed if the next view would start with too few complete members.

use std::collections::BTreeSet;

use millrudder_clock::Instant;
use millrudder_view::{NodeId, TargetView};

use super::CoreNode;
use crate::Machine;

impl<M: Machine> CoreNode<M> {
    /// Whether at least `minimum_members` members of the target hold every command committed before the next view, so
    /// that the view may start.
    pub(super) fn has_enough_complete_members(&self, target: &TargetView) -> bool {
        target.complete.len() >= self.config.minimum_members
    }

    /// On the first member of the target: seals the epoch and replicates to the members that lack commands.
    pub(super) fn catch_up_before_view_change(&mut self, now: Instant, target: &TargetView) {
        let members = target.members.iter().map(|member| member.id);
        let incomplete: BTreeSet<NodeId> = members.filter(|id| !target.complete.contains(id)).collect();
        if target.members.first().is_some_and(|first| first.id == self.id) {
            self.replica.catch_up(now, incomplete);
        }
    }

    /// Whether a node has reported, in the current epoch, that it holds every command committed before the next view.
    pub(super) fn is_complete(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_complete();
        }
        self.peers.is_complete_in(id, self.agreement.epoch())
    }
}
