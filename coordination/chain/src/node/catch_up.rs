//! Nodes are filled ahead of a view that would begin with too few members that hold every committed command.

use std::collections::BTreeSet;

use millrudder_view::{NodeId, TargetView};

use super::CoreNode;
use crate::Machine;

/// Pause between two looks whether those that are filled hold everything.
const FILL_LOOK_MICROS: u64 = 20_000;

impl<M: Machine> CoreNode<M> {
    /// Whether so many of the wanted members hold every command that was committed before the next view that it may
    /// begin with them.
    pub(super) fn has_enough_complete(&self, wanted: &TargetView) -> bool {
        wanted.complete.len() >= self.config.minimum_members
    }

    /// The first of the wanted members seals the epoch and feeds those that lack commands.
    pub(super) fn fill_ahead(&mut self, now: u64, wanted: &TargetView) {
        self.proposal_due = Some(now + FILL_LOOK_MICROS);
        let members = wanted.members.iter().map(|member| member.id);
        let lacking: BTreeSet<NodeId> = members.filter(|id| !wanted.complete.contains(id)).collect();
        if wanted.members.first().is_some_and(|first| first.id == self.id) {
            self.replica.fill(now, lacking);
        }
    }

    /// Whether a node has said, within the present epoch, that it holds every command committed before the next view.
    pub(super) fn is_complete(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_complete();
        }
        self.peers.get(&id).is_some_and(|peer| peer.complete_in == Some(self.agreement.epoch()))
    }
}
