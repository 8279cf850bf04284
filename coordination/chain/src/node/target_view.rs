//! Computes the view to propose next: its voters, and its members, which hold the replicated state.
//!
//! At most one voter changes per view. A node becomes a voter either in place of one that is unreachable or to be
//! replaced, or in addition while there are fewer than the configured number. Neither the failure of a machine nor its
//! decommissioning alone removes a vote, since the next failure could then cost the core its majority. Members are the
//! reachable voters. A departing node stays a member until enough others hold the state.

use millrudder_clock::Instant;
use millrudder_view::{Member, NodeId, TargetView, View};

use super::CoreNode;
use crate::Machine;

/// A learner may be at most this many commands behind when it is admitted; it gets the rest through the chain.
const MAX_ADMISSIBLE_LAG_COMMANDS: u64 = 64;

impl<M: Machine> CoreNode<M> {
    /// The view that this node would propose: the current one while no majority of the voters is reachable.
    pub(super) fn target_view(&self, now: Instant, view: &View) -> TargetView {
        let reachable = view.voters.iter().filter(|voter| !self.is_unreachable(now, voter.id)).count();
        if reachable < view.majority() {
            return self.with_completeness(view.voters.clone(), view.members.clone());
        }
        let mut members = self.retained_members(now, view);
        self.add_needed_voters(now, view, &mut members);
        if let Some(joining_node) = self.joining_node(now, view, &members) {
            return self.with_joining_node(now, view, members, joining_node);
        }
        self.with_completeness(view.voters.clone(), members)
    }

    /// Whether heartbeats are missing between this node and another one, in either direction.
    pub(super) fn is_unreachable(&self, now: Instant, id: NodeId) -> bool {
        id != self.id && self.detector.is_unreachable(now, id)
    }

    /// Whether a node is shutting down or decommissioned.
    pub(super) fn is_departing(&self, id: NodeId) -> bool {
        let leaving = if id == self.id { self.departures.is_leaving() } else { self.detector.is_leaving(id) };
        leaving || self.departures.is_decommissioned(id)
    }

    /// Whether another node should replace this one as a member: it is departing, or its disk is too slow.
    fn should_be_replaced(&self, now: Instant, id: NodeId) -> bool {
        let lagging = match id == self.id {
            true => self.disk_lag.is_lagging(now),
            false => self.peers.is_disk_lagging(id),
        };
        lagging || self.is_departing(id)
    }

    /// Whether a member has reported, in the current epoch, that it has caught up with its predecessor.
    pub(super) fn is_caught_up_member(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_caught_up();
        }
        self.peers.is_caught_up_in(id, self.agreement.epoch())
    }

    /// The reachable members of the view. Those to be replaced are left out, last first, as long as `minimum_members`
    /// remain; all are kept until every member that is not to be replaced has caught up.
    fn retained_members(&self, now: Instant, view: &View) -> Vec<Member> {
        let is_reachable = |member: &&Member| !self.is_unreachable(now, member.id);
        let mut members: Vec<Member> = view.members.iter().filter(is_reachable).cloned().collect();
        let mut staying = members.iter().filter(|member| !self.should_be_replaced(now, member.id));
        if !staying.all(|member| self.is_caught_up_member(member.id)) {
            return members;
        }
        let replaced: Vec<NodeId> =
            members.iter().map(|member| member.id).filter(|id| self.should_be_replaced(now, *id)).collect();
        let spare = members.len().saturating_sub(self.config.minimum_members);
        let removed: Vec<NodeId> = replaced.into_iter().rev().take(spare).collect();
        members.retain(|member| !removed.contains(&member.id));
        members
    }

    /// Adds reachable voters, however far behind, while there are fewer than `minimum_members`. Voters to be replaced
    /// are added only after all others.
    fn add_needed_voters(&self, now: Instant, view: &View, members: &mut Vec<Member>) {
        let outside = view.voters.iter().filter(|voter| !view.is_member(voter.id));
        let reachable = outside.filter(|voter| !self.is_unreachable(now, voter.id));
        let (replaced, staying): (Vec<&Member>, Vec<&Member>) =
            reachable.partition(|voter| self.should_be_replaced(now, voter.id));
        for voter in staying.into_iter().chain(replaced) {
            let is_needed = members.len() < self.config.minimum_members;
            if is_needed && self.is_connected(voter.id, members) {
                members.push(voter.clone());
            }
        }
    }

    /// A node that can become a member: preferably a voter, otherwise a node that can also take over a vote. If there
    /// are fewer than `minimum_members`, it may be any number of commands behind, as it catches up before the view
    /// change.
    fn joining_node(&self, now: Instant, view: &View, members: &[Member]) -> Option<Member> {
        let outside =
            self.peers.as_members().filter(|peer| !members.iter().any(|member| member.id == peer.id));
        let is_short = members.len() < self.config.minimum_members;
        let is_candidate = |peer: &Member| {
            self.is_admissible(now, peer.id, members) && (is_short || self.is_nearly_caught_up(peer.id))
        };
        let learners: Vec<Member> = outside.filter(is_candidate).collect();
        if let Some(voter) = learners.iter().find(|learner| view.is_voter(learner.id)) {
            return Some(voter.clone());
        }
        let replaced = self.replaceable_voters(now, view, members);
        let same_address = |learner: &&Member| replaced.iter().any(|voter| voter.address == learner.address);
        let has_vacancy = view.voters.len() < self.config.voters || !replaced.is_empty();
        let preferred = learners.iter().find(same_address).or(learners.first());
        preferred.filter(|_| has_vacancy).cloned()
    }

    fn with_joining_node(
        &self,
        now: Instant,
        view: &View,
        mut members: Vec<Member>,
        joining_node: Member,
    ) -> TargetView {
        let mut voters = view.voters.clone();
        if !view.is_voter(joining_node.id) {
            let replaced = self.replaceable_voters(now, view, &members);
            let same_address = replaced.iter().find(|voter| voter.address == joining_node.address);
            let replaced_id = same_address.or(replaced.first()).map(|voter| voter.id);
            match voters.iter_mut().find(|voter| Some(voter.id) == replaced_id) {
                Some(voter) => *voter = joining_node.clone(),
                None => voters.push(joining_node.clone()),
            }
        }
        members.push(joining_node);
        self.with_completeness(voters, members)
    }

    /// The target view, with those of its members that are known to be complete.
    fn with_completeness(&self, voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        let complete = members.iter().map(|member| member.id).filter(|id| self.is_complete(*id));
        let complete = complete.collect();
        TargetView { complete, ..TargetView::new(voters, members) }
    }

    /// Voters outside `members` that are unreachable or to be replaced.
    fn replaceable_voters(&self, now: Instant, view: &View, members: &[Member]) -> Vec<Member> {
        let outside = view.voters.iter().filter(|voter| !members.contains(voter));
        let replaceable = outside
            .filter(|voter| self.is_unreachable(now, voter.id) || self.should_be_replaced(now, voter.id));
        replaceable.cloned().collect()
    }

    /// Whether a learner is at most [`MAX_ADMISSIBLE_LAG_COMMANDS`] behind, so that it can catch up within the chain.
    fn is_nearly_caught_up(&self, learner: NodeId) -> bool {
        self.replica.learner_lag(learner).is_some_and(|lag| lag <= MAX_ADMISSIBLE_LAG_COMMANDS)
    }

    fn is_admissible(&self, now: Instant, learner: NodeId, members: &[Member]) -> bool {
        let is_suitable = self.detector.is_stable(now, learner) && !self.should_be_replaced(now, learner);
        is_suitable && self.is_connected(learner, members)
    }

    /// Whether a node and each of `members` have reported that they receive each other's heartbeats.
    fn is_connected(&self, id: NodeId, members: &[Member]) -> bool {
        let mut others = members.iter().map(|member| member.id).filter(|other| *other != self.id);
        others.all(|other| self.peers.receives_from(other, id) && self.peers.receives_from(id, other))
    }
}
