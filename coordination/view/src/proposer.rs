//! The Paxos proposer of one attempt.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AcceptedView, Ballot, Member, NodeId, View};

/// What a proposer wants the next view to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Who is to vote: the present voters with at most one of them replaced, added or taken out.
    pub voters: Vec<Member>,
    /// Who is to keep the state: the present members that stay in their order, then others.
    pub members: Vec<Member>,
    /// Which of the members are known to hold every command that the present view can commit. What voters say in
    /// their promises counts; this is believed of nodes that do not vote yet.
    pub complete: BTreeSet<NodeId>,
}

impl TargetView {
    /// These voters and members, of whom nothing is known to be complete.
    pub fn new(voters: Vec<Member>, members: Vec<Member>) -> TargetView {
        TargetView { voters, members, complete: BTreeSet::new() }
    }

    /// Whether this is what `view` says already.
    pub fn is(&self, view: &View) -> bool {
        self.members == view.members && self.voters == view.voters
    }
}

/// One attempt to decide the view that follows `base`.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    pub(crate) ballot: Ballot,
    pub(crate) wanted: TargetView,
    promises: BTreeMap<NodeId, PromiseOf>,
    proposal: Option<View>,
    acceptances: BTreeSet<NodeId>,
}

#[derive(Clone, Debug)]
struct PromiseOf {
    accepted: Option<AcceptedView>,
    complete: bool,
}

impl Proposer {
    pub(crate) fn new(ballot: Ballot, wanted: TargetView) -> Proposer {
        Proposer { ballot, wanted, promises: BTreeMap::new(), proposal: None, acceptances: BTreeSet::new() }
    }

    /// Counts a promise. Returns the view to propose once a majority has promised and a first member is found.
    pub(crate) fn promised(
        &mut self,
        base: &View,
        minimum_members: usize,
        from: NodeId,
        accepted: Option<AcceptedView>,
        complete: bool,
    ) -> Option<View> {
        if self.proposal.is_some() {
            return None;
        }
        self.promises.insert(from, PromiseOf { accepted, complete });
        if self.promises.len() < base.majority() {
            return None;
        }
        let view = self.bound_view().or_else(|| self.own_view(base, minimum_members))?;
        self.proposal = Some(view.clone());
        Some(view)
    }

    /// Counts an acceptance. Returns the view once a majority has accepted it.
    pub(crate) fn accepted(&mut self, base: &View, from: NodeId) -> Option<View> {
        let proposal = self.proposal.clone()?;
        self.acceptances.insert(from);
        (self.acceptances.len() >= base.majority()).then_some(proposal)
    }

    /// The view that an earlier ballot may have decided already.
    fn bound_view(&self) -> Option<View> {
        let accepted = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        accepted.max_by_key(|accepted| accepted.ballot).map(|accepted| accepted.view.clone())
    }

    /// The wanted view, once each of its members that votes now has answered, the first has kept the state until now
    /// and holds every committed command, and so do enough others that a loss of disks leaves one of them.
    ///
    /// A majority alone could come from members that are to go, and leave a view whose others have died unnoticed.
    /// Whoever is complete stands before all that are not, so no later member needs to be tried.
    fn own_view(&self, base: &View, minimum_members: usize) -> Option<View> {
        let TargetView { voters, members, .. } = &self.wanted;
        let answered = |member: &Member| !base.is_voter(member.id) || self.promises.contains_key(&member.id);
        let first = members.first().filter(|first| base.contains(first.id))?;
        let complete = members.iter().filter(|member| self.is_complete(base, member.id));
        let enough = complete.count() >= minimum_members;
        let usable = enough && members.iter().all(answered) && self.is_complete(base, first.id);
        usable.then(|| View { epoch: base.epoch.next(), voters: voters.clone(), members: members.clone() })
    }

    fn is_complete(&self, base: &View, id: NodeId) -> bool {
        match self.promises.get(&id) {
            Some(promise) => promise.complete,
            None => !base.is_voter(id) && self.wanted.complete.contains(&id),
        }
    }
}
