//! What the next view should be: who votes, and who keeps the state.
//!
//! Voters change one at a time, and only by one in the place of another that is lost or about to go, or by one more
//! until the wanted number is reached: the loss of a machine alone takes nobody's vote, nor does the wish to take one
//! out, since the next loss would then end the core. Members are the voters that
//! are there. One that is about to go stays a member until enough others hold the state.

use millrudder_view::{Member, NodeId, TargetView, View};

use super::CoreNode;
use crate::Machine;

/// A learner may be this many commands behind when it is admitted; the chain brings it up.
const ADMISSIBLE_LAG: u64 = 64;

impl<M: Machine> CoreNode<M> {
    /// The view that this node would have, which is the present one while no majority of voters is there.
    pub(super) fn wanted_view(&self, now: u64, view: &View) -> TargetView {
        let present = view.voters.iter().filter(|voter| !self.is_lost(now, voter.id)).count();
        if present < view.majority() {
            return self.wanted(view.voters.clone(), view.members.clone());
        }
        let mut members = self.members_that_stay(now, view);
        self.fill_up(now, view, &mut members);
        if let Some(newcomer) = self.newcomer(now, view, &members) {
            return self.with_newcomer(now, view, members, newcomer);
        }
        self.wanted(view.voters.clone(), members)
    }

    /// Whether a node is silent or does not hear this one.
    pub(super) fn is_lost(&self, now: u64, id: NodeId) -> bool {
        id != self.id && self.detector.is_lost(now, id)
    }

    /// Whether a node is about to end, or is to be taken out.
    pub(super) fn is_departing(&self, id: NodeId) -> bool {
        let leaving = if id == self.id { self.leaving } else { self.detector.is_leaving(id) };
        leaving || self.excluded.contains(&id)
    }

    /// Whether a node should be no member where others can be: it departs, or its disk does not keep up.
    fn is_dispensable(&self, now: u64, id: NodeId) -> bool {
        let lagging = match id == self.id {
            true => self.lag.is_lagging(now),
            false => self.peers.get(&id).is_some_and(|peer| peer.lagging),
        };
        lagging || self.is_departing(id)
    }

    /// Whether a member has said, within the present epoch, that it holds what its predecessor holds.
    pub(super) fn is_synced_member(&self, id: NodeId) -> bool {
        if id == self.id {
            return self.replica.is_synced();
        }
        self.peers.get(&id).is_some_and(|peer| peer.synced_in == Some(self.agreement.epoch()))
    }

    /// The members that are there, without those about to go as far as enough others hold the state.
    fn members_that_stay(&self, now: u64, view: &View) -> Vec<Member> {
        let there = |member: &&Member| !self.is_lost(now, member.id);
        let mut members: Vec<Member> = view.members.iter().filter(there).cloned().collect();
        let mut successors = members.iter().filter(|member| !self.is_dispensable(now, member.id));
        if !successors.all(|member| self.is_synced_member(member.id)) {
            return members;
        }
        let departing: Vec<NodeId> =
            members.iter().map(|member| member.id).filter(|id| self.is_dispensable(now, *id)).collect();
        let spare = members.len().saturating_sub(self.config.minimum_members);
        let going: Vec<NodeId> = departing.into_iter().rev().take(spare).collect();
        members.retain(|member| !going.contains(&member.id));
        members
    }

    /// Adds voters that are there, however far behind, where too few members are left to keep the state; those about
    /// to go only if nobody else is left.
    fn fill_up(&self, now: u64, view: &View, members: &mut Vec<Member>) {
        let outside = view.voters.iter().filter(|voter| !view.contains(voter.id));
        let there = outside.filter(|voter| !self.is_lost(now, voter.id));
        let (departing, staying): (Vec<&Member>, Vec<&Member>) =
            there.partition(|voter| self.is_dispensable(now, voter.id));
        for voter in staying.into_iter().chain(departing) {
            let needed = members.len() < self.config.minimum_members;
            if needed && self.is_connected(voter.id, members) {
                members.push(voter.clone());
            }
        }
    }

    /// A node that can become a member: a voter first, else one that can also take over a vote. Where too few would
    /// keep the state it may be any number of commands behind, as it is filled before the view changes.
    fn newcomer(&self, now: u64, view: &View, members: &[Member]) -> Option<Member> {
        let outside = self.peers.iter().filter(|(id, _)| !members.iter().any(|member| member.id == **id));
        let is_short = members.len() < self.config.minimum_members;
        let admissible =
            outside.filter(|(id, _)| self.is_there(now, **id, members) && (is_short || self.is_close(**id)));
        let learners: Vec<Member> =
            admissible.map(|(id, peer)| Member { id: *id, address: peer.address.clone() }).collect();
        if let Some(voter) = learners.iter().find(|learner| view.is_voter(learner.id)) {
            return Some(voter.clone());
        }
        let replaced = self.replaceable_voters(now, view, members);
        let in_place = |learner: &&Member| replaced.iter().any(|voter| voter.address == learner.address);
        let has_room = view.voters.len() < self.config.voters || !replaced.is_empty();
        let preferred = learners.iter().find(in_place).or(learners.first());
        preferred.filter(|_| has_room).cloned()
    }

    fn with_newcomer(&self, now: u64, view: &View, mut members: Vec<Member>, newcomer: Member) -> TargetView {
        let mut voters = view.voters.clone();
        if !view.is_voter(newcomer.id) {
            let replaced = self.replaceable_voters(now, view, &members);
            let in_place = replaced.iter().find(|voter| voter.address == newcomer.address);
            let gone = in_place.or(replaced.first()).map(|voter| voter.id);
            match voters.iter_mut().find(|voter| Some(voter.id) == gone) {
                Some(place) => *place = newcomer.clone(),
                None => voters.push(newcomer.clone()),
            }
        }
        members.push(newcomer);
        self.wanted(voters, members)
    }

    fn wanted(&self, voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        let complete = members.iter().map(|member| member.id).filter(|id| self.is_complete(*id));
        let complete = complete.collect();
        TargetView { complete, ..TargetView::new(voters, members) }
    }

    /// Voters that are lost or about to go, and are to be no members.
    fn replaceable_voters(&self, now: u64, view: &View, members: &[Member]) -> Vec<Member> {
        let outside = view.voters.iter().filter(|voter| !members.contains(voter));
        let replaceable =
            outside.filter(|voter| self.is_lost(now, voter.id) || self.is_dispensable(now, voter.id));
        replaceable.cloned().collect()
    }

    fn is_close(&self, learner: NodeId) -> bool {
        self.replica.lag_of(learner).is_some_and(|lag| lag <= ADMISSIBLE_LAG)
    }

    fn is_there(&self, now: u64, learner: NodeId, members: &[Member]) -> bool {
        let stays = self.detector.is_steady(now, learner) && !self.is_dispensable(now, learner);
        stays && self.is_connected(learner, members)
    }

    /// Whether a node and each of `members` say that they hear each other.
    fn is_connected(&self, id: NodeId, members: &[Member]) -> bool {
        let hears =
            |from: NodeId, to: NodeId| self.peers.get(&from).is_some_and(|peer| peer.heard.contains(&to));
        let mut others = members.iter().map(|member| member.id).filter(|other| *other != self.id);
        others.all(|other| hears(other, id) && hears(id, other))
    }
}
