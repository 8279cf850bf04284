//! One attempt of a founder to have the first view decided by a majority of the founders (single-decree Paxos).

use std::collections::{BTreeMap, BTreeSet};

use crate::{AcceptedView, Ballot, NodeId, View};

/// An attempt at one ballot. The founder that makes it has promised the ballot itself.
#[derive(Clone, Debug)]
pub(crate) struct FirstViewAttempt {
    ballot: Ballot,
    /// For each founder that has promised, the view that it had accepted.
    promises: BTreeMap<NodeId, Option<AcceptedView>>,
    proposal: Option<View>,
    acceptances: BTreeSet<NodeId>,
}

impl FirstViewAttempt {
    /// Starts an attempt of the founder `ballot.node`, which has accepted `accepted` so far.
    pub(crate) fn new(ballot: Ballot, accepted: Option<AcceptedView>) -> FirstViewAttempt {
        let promises = BTreeMap::from([(ballot.node, accepted)]);
        FirstViewAttempt { ballot, promises, proposal: None, acceptances: BTreeSet::new() }
    }

    /// Returns the ballot of the attempt.
    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Counts a promise.
    pub(crate) fn add_promise(&mut self, from: NodeId, accepted: Option<AcceptedView>) {
        self.promises.insert(from, accepted);
    }

    /// Returns the number of founders that have promised.
    pub(crate) fn promise_count(&self) -> usize {
        self.promises.len()
    }

    /// Returns the view that was accepted at the highest ballot. It may be decided already, so it must be proposed again.
    pub(crate) fn accepted_view(&self) -> Option<View> {
        let accepted = self.promises.values().flatten();
        accepted.max_by_key(|accepted| accepted.ballot).map(|accepted| accepted.view.clone())
    }

    /// Begins phase 2 with this view, which the founder itself has accepted.
    pub(crate) fn begin_acceptance(&mut self, view: View) {
        self.acceptances = BTreeSet::from([self.ballot.node]);
        self.proposal = Some(view);
    }

    /// Returns the proposed view in phase 2, or `None` in phase 1, while promises are collected.
    pub(crate) fn proposal(&self) -> Option<&View> {
        self.proposal.as_ref()
    }

    /// Counts an acceptance, and returns how many there are.
    pub(crate) fn add_acceptance(&mut self, from: NodeId) -> usize {
        self.acceptances.insert(from);
        self.acceptances.len()
    }

    /// Returns whether a founder has answered the request of the current phase.
    pub(crate) fn has_answered(&self, founder: NodeId) -> bool {
        match self.proposal {
            None => self.promises.contains_key(&founder),
            Some(_) => self.acceptances.contains(&founder),
        }
    }
}
