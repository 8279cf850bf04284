//! Paxos proposer: one attempt to decide the next view.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AcceptedView, Ballot, Member, NodeId, View};

/// The next view that a proposer aims for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Voters of the next view: the current voters with at most one of them replaced, added or removed.
    pub voters: Vec<Member>,
    /// Members of the next view: the current members that stay, in their order, followed by new ones.
    pub members: Vec<Member>,
    /// Members known to hold every command that the current view can commit. This is used only for nodes that do not vote
    /// yet; voters report it in their promises.
    pub complete: BTreeSet<NodeId>,
}

impl TargetView {
    /// Creates a target none of whose members is known to be complete.
    pub fn new(voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        TargetView { voters, members, complete: BTreeSet::new() }
    }

    /// Returns whether `view` already has these voters and members.
    pub fn matches(&self, view: &View) -> bool {
        self.members == view.members && self.voters == view.voters
    }
}

/// A voter's promise to accept nothing at a lower ballot.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    /// View that the voter accepted last in this instance, if any.
    pub(crate) accepted: Option<AcceptedView>,
    /// Whether the voter holds every committed command.
    pub(crate) complete: bool,
}

/// One attempt to decide the view that follows the current one. Methods take the current view as `base`.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    ballot: Ballot,
    target: TargetView,
    promises: BTreeMap<NodeId, Promise>,
    proposal: Option<View>,
    acceptances: BTreeSet<NodeId>,
}

impl Proposer {
    pub(crate) fn new(ballot: Ballot, target: TargetView) -> Proposer {
        Proposer { ballot, target, promises: BTreeMap::new(), proposal: None, acceptances: BTreeSet::new() }
    }

    /// Returns the ballot of the attempt.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Counts a promise. Returns the view to propose once a majority has promised, and either an earlier accepted view must
    /// be proposed again or the target view is usable.
    pub(crate) fn handle_promise(
        &mut self,
        base: &View,
        minimum_members: usize,
        from: NodeId,
        promise: Promise,
    ) -> Option<View> {
        if self.proposal.is_some() {
            return None;
        }
        self.promises.insert(from, promise);
        if self.promises.len() < base.majority() {
            return None;
        }
        let view = self.accepted_view().or_else(|| self.target_view(base, minimum_members))?;
        self.proposal = Some(view.clone());
        Some(view)
    }

    /// Counts an acceptance. Returns the view once a majority has accepted it.
    pub(crate) fn handle_acceptance(&mut self, base: &View, from: NodeId) -> Option<View> {
        let proposal = self.proposal.clone()?;
        self.acceptances.insert(from);
        (self.acceptances.len() >= base.majority()).then_some(proposal)
    }

    /// Returns the proposed view in phase 2, or `None` in phase 1, while promises are collected.
    pub(crate) fn proposal(&self) -> Option<&View> {
        self.proposal.as_ref()
    }

    /// Returns whether a voter has answered the request of the current phase.
    pub(crate) fn has_answered(&self, voter: NodeId) -> bool {
        match self.proposal {
            None => self.promises.contains_key(&voter),
            Some(_) => self.acceptances.contains(&voter),
        }
    }

    /// Returns the view that the voters accepted at the highest earlier ballot. It may be decided already, so it must be
    /// proposed again.
    fn accepted_view(&self) -> Option<View> {
        let accepted = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        accepted.max_by_key(|accepted| accepted.ballot).map(|accepted| accepted.view.clone())
    }

    /// Returns the target view if it is usable. Each of its members that votes in the current view must have promised. Its
    /// first member must be a member of the current view and hold every committed command. At least `minimum_members`
    /// members must hold every committed command, so that one of them remains if disks are lost.
    ///
    /// A majority of promises alone is not enough: it could come from members that are about to be removed, while the
    /// remaining members have failed unnoticed. Complete members precede all others in a target, so no member after the
    /// first needs to be considered as the first.
    fn target_view(&self, base: &View, minimum_members: usize) -> Option<View> {
        let TargetView { voters, members, .. } = &self.target;
        let has_answered =
            |member: &Member| !base.is_voter(member.id) || self.promises.contains_key(&member.id);
        let first = members.first().filter(|first| base.is_member(first.id))?;
        let complete_members = members.iter().filter(|member| self.is_complete(base, member.id));
        let has_enough_complete = complete_members.count() >= minimum_members;
        let is_usable =
            has_enough_complete && members.iter().all(has_answered) && self.is_complete(base, first.id);
        is_usable.then(|| View { epoch: base.epoch.next(), voters: voters.clone(), members: members.clone() })
    }

    fn is_complete(&self, base: &View, id: NodeId) -> bool {
        match self.promises.get(&id) {
            Some(promise) => promise.complete,
            None => !base.is_voter(id) && self.target.complete.contains(&id),
        }
    }
}
