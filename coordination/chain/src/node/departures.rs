//! Nodes that leave: this process when it shuts down, and nodes that are decommissioned. Each stays a member until the
//! others can do without it.

use std::collections::BTreeSet;
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{NodeId, View};

use super::CoreNode;
use crate::Machine;

/// Which nodes leave by request of this node's embedder.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    leaving: bool,
    /// Since when the others can do without this node, which is leaving.
    dispensable_since: Option<Instant>,
    decommissioned: BTreeSet<NodeId>,
}

impl Departures {
    /// Whether this process shuts down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a node is to be removed for good.
    pub(super) fn is_decommissioned(&self, id: NodeId) -> bool {
        self.decommissioned.contains(&id)
    }

    fn set_leaving(&mut self) {
        self.leaving = true;
    }

    fn set_decommissioned(&mut self, ids: BTreeSet<NodeId>) {
        self.decommissioned = ids;
    }

    fn set_dispensable(&mut self, now: Instant, is_dispensable: bool) {
        let since = self.dispensable_since.unwrap_or(now);
        self.dispensable_since = is_dispensable.then_some(since);
    }

    fn dispensable_for(&self, now: Instant) -> Option<Duration> {
        self.dispensable_since.map(|since| now - since)
    }
}

impl<M: Machine> CoreNode<M> {
    /// Whether the core, as this node knows it, can do without the disk of `id`: it holds no state that is needed, and
    /// its vote has gone to another node. The vote of a node that only restarts is not waited for where no node is there
    /// to take it over; that of a decommissioned one is, as others may be lost as soon as it is gone.
    pub fn is_dispensable(&self, now: Instant, id: NodeId) -> bool {
        let Some(view) = self.agreement.view() else {
            return true;
        };
        let holds_state = view.contains(id) || !self.are_members_healthy(now, view);
        let waits_for_vote = self.departures.is_decommissioned(id) || self.has_spare_voter(now, view);
        let holds_vote = view.is_voter(id) && waits_for_vote;
        !holds_state && !holds_vote
    }

    /// Whether this process may end, after [`Input::Leave`](super::Input::Leave): the others have done without it for
    /// so long that the loss of one of them would have been noticed, or all of them leave too.
    pub fn can_leave(&self, now: Instant) -> bool {
        let detection_time = self.config.detector.suspect_after + self.config.detector.heartbeat_interval;
        let others = self.voters().into_iter().filter(|id| *id != self.id);
        let all_depart = others.into_iter().all(|id| self.is_departing(id));
        all_depart || self.departures.dispensable_for(now).is_some_and(|time| time >= detection_time)
    }

    pub(super) fn update_dispensable(&mut self, now: Instant) {
        let is_dispensable = self.departures.is_leaving() && self.is_dispensable(now, self.id);
        self.departures.set_dispensable(now, is_dispensable);
    }

    pub(super) fn handle_leave(&mut self, now: Instant) {
        self.departures.set_leaving();
        self.send_heartbeats(now);
        self.release_leases(now);
        self.propose_view_if_needed(now);
    }

    pub(super) fn handle_decommission(&mut self, now: Instant, ids: BTreeSet<NodeId>) {
        self.departures.set_decommissioned(ids);
        self.propose_view_if_needed(now);
    }

    /// Whether every member is reachable and has caught up.
    fn are_members_healthy(&self, now: Instant, view: &View) -> bool {
        view.ids().all(|id| self.is_caught_up_member(id) && !self.is_unreachable(now, id))
    }

    /// Whether a node without a vote is reachable that could take one over.
    fn has_spare_voter(&self, now: Instant, view: &View) -> bool {
        let outside = self.peers.ids().filter(|id| !view.is_voter(*id));
        let mut reachable = outside.filter(|id| !self.detector.is_suspect(now, *id));
        reachable.any(|id| !self.is_departing(id))
    }
}
