//! Nodes that leave: this node during shutdown, and decommissioned nodes. Each stays a member until the other members
//! no longer need its state or its vote.

use std::collections::BTreeSet;
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{NodeId, View};

use super::CoreNode;
use crate::Machine;

/// Which nodes leave at the request of this node's embedder.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    leaving: bool,
    /// Since when this node, which is leaving, has been dispensable.
    dispensable_since: Option<Instant>,
    decommissioned: BTreeSet<NodeId>,
}

impl Departures {
    /// Whether this process is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a node is to be removed permanently.
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
    /// Whether, in the view that this node knows, the disk of `id` is no longer needed: it holds no needed state, and
    /// its vote has been reassigned.
    ///
    /// For a node that only restarts, the vote does not count if no node is available to take it over. For a
    /// decommissioned node it always counts, since other nodes may fail as soon as it has been removed.
    pub fn is_dispensable(&self, now: Instant, id: NodeId) -> bool {
        let Some(view) = self.agreement.view() else {
            return true;
        };
        let holds_state = view.is_member(id) || !self.are_members_healthy(now, view);
        let waits_for_vote = self.departures.is_decommissioned(id) || self.has_spare_voter(now, view);
        let holds_vote = view.is_voter(id) && waits_for_vote;
        !holds_state && !holds_vote
    }

    /// Whether this process may exit after [`Input::Leave`](super::Input::Leave): either it has been dispensable for so
    /// long that the failure of another node would have been detected, or all other voters are departing too.
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
        view.member_ids().all(|id| self.is_caught_up_member(id) && !self.is_unreachable(now, id))
    }

    /// Whether a reachable node without a vote could take one over.
    fn has_spare_voter(&self, now: Instant, view: &View) -> bool {
        let outside = self.peers.ids().filter(|id| !view.is_voter(*id));
        let mut reachable = outside.filter(|id| !self.detector.is_suspect(now, *id));
        reachable.any(|id| !self.is_departing(id))
    }
}
