//! What the next view should be: who votes, and who holds the state.
//!
//! Voters change one at a time, and only by a replacement for one that is unreachable or departs, or by one more until
//! the configured number is reached: the loss of a machine alone takes nobody's vote, nor does its decommissioning, since
//! the next loss would then end the core. Members are the voters that are reachable. One that departs stays a member
//! until enough others hold the state.

use millrudder_clock::Instant;
use millrudder_view::{Member, NodeId, TargetView, View};

use super::CoreNode;
use crate::Machine;

/// A learner may be so many commands behind when it is admitted; the chain brings it up.
const MAX_ADMISSIBLE_LAG_COMMANDS: u64 = 64;

impl<M: Machine> CoreNode<M> {
    /// The view that this node would propose, which is the present one while no majority of voters is reachable.
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

    /// Whether a node is not heard, or does not hear this one.
    pub(super) fn is_unreachable(&self, now: Instant, id: NodeId) -> bool {
        id != self.id && self.detector.is_unreachable(now, id)
    }

    /// Whether a node shuts down or is decommissioned.
    pub(super) fn is_departing(&self, id: NodeId) -> bool {
        let leaving = if id == self.id { self.departures.is_leaving() } else { self.detector.is_leaving(id) };
        leaving || self.departures.is_decommissioned(id)
    }

    /// Whether a node should be no member where another can be: it departs, or its disk does not keep up.
    fn should_be_replaced(&self, now: Instant, id: NodeId) -> bool {
        let lagging = match id == self.id {
            true => self.disk_lag.is_lagging(now),
            false => self.peers.is_disk_lagging(id),
        };
        lagging || self.is_departing(id)
    }

    /// Whether a member has said, within the present epoch, that it has caught up with its predecessor.
    pub(super) fn is_caught_up_member(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_caught_up();
        }
        self.peers.is_caught_up_in(id, self.agreement.epoch())
    }

    /// The members that are reachable, without those to be replaced as far as enough others hold the state.
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

    /// Adds reachable voters, however far behind, where too few members are left to hold the state; those to be replaced
    /// only if nobody else is left.
    fn add_needed_voters(&self, now: Instant, view: &View, members: &mut Vec<Member>) {
        let outside = view.voters.iter().filter(|voter| !view.contains(voter.id));
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

    /// A node that can become a member: a voter first, else one that can also take over a vote. Where too few would hold
    /// the state it may be any number of commands behind, as it is brought up before the view changes.
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

    /// The target with what is known of the completeness of its members.
    fn with_completeness(&self, voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        let complete = members.iter().map(|member| member.id).filter(|id| self.is_complete(*id));
        let complete = complete.collect();
        TargetView { complete, ..TargetView::new(voters, members) }
    }

    /// Voters that are unreachable or to be replaced, and are to be no members.
    fn replaceable_voters(&self, now: Instant, view: &View, members: &[Member]) -> Vec<Member> {
        let outside = view.voters.iter().filter(|voter| !members.contains(voter));
        let replaceable = outside
            .filter(|voter| self.is_unreachable(now, voter.id) || self.should_be_replaced(now, voter.id));
        replaceable.cloned().collect()
    }

    /// Whether a learner is so little behind that the chain can bring it up.
    fn is_nearly_caught_up(&self, learner: NodeId) -> bool {
        self.replica.learner_lag(learner).is_some_and(|lag| lag <= MAX_ADMISSIBLE_LAG_COMMANDS)
    }

    fn is_admissible(&self, now: Instant, learner: NodeId, members: &[Member]) -> bool {
        let is_suitable = self.detector.is_stable(now, learner) && !self.should_be_replaced(now, learner);
        is_suitable && self.is_connected(learner, members)
    }

    /// Whether a node and each of `members` have said that they hear each other.
    fn is_connected(&self, id: NodeId, members: &[Member]) -> bool {
        let mut others = members.iter().map(|member| member.id).filter(|other| *other != self.id);
        others.all(|other| self.peers.receives_from(other, id) && self.peers.receives_from(id, other))
    }
}
