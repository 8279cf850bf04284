//! A node that is about to end, or is to be taken out, stays until others can do without it.

use std::collections::BTreeSet;

use millrudder_view::{NodeId, View};

use super::CoreNode;
use crate::Machine;

impl<M: Machine> CoreNode<M> {
    /// Whether the core, as this node knows it, can do without the disk of `id`: it keeps no state that is needed, and
    /// its vote has gone to another. One that ends and comes back is not waited for where nobody is there to take its
    /// vote; one that is to be taken out for good is, as others may be lost as soon as it has gone.
    pub fn can_do_without(&self, now: u64, id: NodeId) -> bool {
        let Some(view) = self.agreement.view() else {
            return true;
        };
        let holds_state = view.contains(id) || !self.are_members_well(now, view);
        let may_wait = self.excluded.contains(&id) || self.is_there_a_successor(now, view);
        let vote_waits = view.is_voter(id) && may_wait;
        !holds_state && !vote_waits
    }

    /// Whether this process may end, after [`Input::Leave`](super::Input::Leave): the others have done without it for
    /// so long that the loss of one of them would have been seen, or all of them are about to end too.
    pub fn may_go(&self, now: u64) -> bool {
        let settled = self.config.detector.suspect_after + self.config.detector.heartbeat;
        let dispensable = self.dispensable_since.map(|since| now.saturating_sub(since));
        let others = self.voters().into_iter().filter(|id| *id != self.id);
        let all_go = others.into_iter().all(|id| self.is_departing(id));
        all_go || dispensable.is_some_and(|time| time >= settled.as_micros() as u64)
    }

    pub(super) fn note_departure(&mut self, now: u64) {
        let dispensable = self.leaving && self.can_do_without(now, self.id);
        let since = self.dispensable_since.unwrap_or(now);
        self.dispensable_since = dispensable.then_some(since);
    }

    pub(super) fn on_leave(&mut self, now: u64) {
        self.leaving = true;
        self.send_heartbeats(now);
        self.release_leases(now);
        self.consider_view(now);
    }

    pub(super) fn on_exclude(&mut self, now: u64, ids: BTreeSet<NodeId>) {
        self.excluded = ids;
        self.consider_view(now);
    }

    /// Whether every member is there and has caught up.
    fn are_members_well(&self, now: u64, view: &View) -> bool {
        view.ids().all(|id| self.is_synced_member(id) && !self.is_lost(now, id))
    }

    /// Whether a node without a vote is there that could take one over.
    fn is_there_a_successor(&self, now: u64, view: &View) -> bool {
        let outside = self.peers.keys().filter(|id| !view.is_voter(**id));
        let mut there = outside.filter(|id| !self.detector.is_suspect(now, **id));
        there.any(|id| !self.is_departing(*id))
    }
}
