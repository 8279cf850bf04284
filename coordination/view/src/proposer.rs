//! The Paxos proposer of one attempt.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AcceptedView, Ballot, Member, NodeId, View};

/// What a proposer wants the next view to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Who is to vote: the present voters with at most one of them replaced, added or removed.
    pub voters: Vec<Member>,
    /// Who is to hold the state: the present members that stay in their order, then others.
    pub members: Vec<Member>,
    /// Which of the members are known to hold every command that the present view can commit. What voters say in
    /// their promises counts; this is believed of nodes that do not vote yet.
    pub complete: BTreeSet<NodeId>,
}

impl TargetView {
    /// These voters and members, none of which is known to be complete.
    pub fn new(voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        TargetView { voters, members, complete: BTreeSet::new() }
    }

    /// Whether `view` has these voters and members already.
    pub fn matches(&self, view: &View) -> bool {
        self.members == view.members && self.voters == view.voters
    }
}

/// A voter's promise to answer no lower ballot.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    /// The view that the voter has accepted before, if any.
    pub(crate) accepted: Option<AcceptedView>,
    /// Whether the voter holds every committed command.
    pub(crate) complete: bool,
}

/// One attempt to decide the view that follows the present one, which every method is given as `base`.
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

    /// The ballot of the attempt.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Counts a promise. Returns the view to propose once a majority has promised and a first member is found.
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

    /// The request of the present phase: the view to accept, or none while promises are collected.
    pub(crate) fn proposal(&self) -> Option<&View> {
        self.proposal.as_ref()
    }

    /// Whether a voter has answered the request of the present phase.
    pub(crate) fn has_answered(&self, voter: NodeId) -> bool {
        match self.proposal {
            None => self.promises.contains_key(&voter),
            Some(_) => self.acceptances.contains(&voter),
        }
    }

    /// The view accepted at the highest earlier ballot, which may have been decided and must be proposed again.
    fn accepted_view(&self) -> Option<View> {
        let accepted = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        accepted.max_by_key(|accepted| accepted.ballot).map(|accepted| accepted.view.clone())
    }

    /// The target view, once each of its members that votes now has answered, the first has held the state until now
    /// and holds every committed command, and so do enough others that a loss of disks leaves one of them.
    ///
    /// A majority alone could come from members that are to be removed, and leave a view whose others have failed
    /// unnoticed. Complete members stand before all others, so no later member needs to be tried as the first.
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
