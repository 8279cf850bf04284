//! Agreement on the next view at one node: its acceptor, its proposer and the newest view it knows to be decided.

use speedy::{Readable, Writable};

use crate::acceptor::Acceptor;
use crate::proposer::{Promise, Proposer, TargetView};
use crate::{AcceptedView, Ballot, Epoch, Member, NodeId, View, ViewMessage, ViewRecord};

/// A message and its recipient. The recipient may be the sending node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Node to send the message to.
    pub to: NodeId,
    /// Message to send.
    pub message: ViewMessage,
}

/// Actions for the embedder after an input. `messages` must not be sent before `record` is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Step {
    /// Record to make durable first, if the input changed the durable state.
    pub record: Option<ViewRecord>,
    /// Messages to send afterwards.
    pub messages: Vec<Envelope>,
}

/// Durable state of the agreement; it is rebuilt by applying the [`ViewRecord`]s in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ViewState {
    bootstrap_members: Option<Vec<Member>>,
    view: Option<View>,
    acceptor: Acceptor,
}

impl ViewState {
    /// Creates the state of a node that knows `view` and has promised and accepted nothing in the instance that follows it.
    pub fn from_view(view: View) -> ViewState {
        ViewState { view: Some(view), ..ViewState::default() }
    }

    /// Returns the newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Returns the members of the first view that this node has agreed to.
    pub fn bootstrap_members(&self) -> Option<&[Member]> {
        self.bootstrap_members.as_deref()
    }

    /// Returns the epoch of the newest decided view, or [`Epoch::NONE`].
    pub fn epoch(&self) -> Epoch {
        self.view.as_ref().map_or(Epoch::NONE, |view| view.epoch)
    }

    /// Applies one durable record to the state. Promises and acceptances of instances other than the current one are ignored.
    pub fn apply(&mut self, record: &ViewRecord) {
        match record {
            ViewRecord::BootstrapAgreed { members } => self.bootstrap_members = Some(members.clone()),
            ViewRecord::Promised { instance, ballot } => {
                if *instance == self.epoch().next() {
                    self.acceptor.promise(*ballot);
                }
            }
            ViewRecord::Accepted { instance, accepted } => {
                if *instance == self.epoch().next() {
                    self.acceptor.accept(accepted.ballot, accepted.view.clone());
                }
            }
            ViewRecord::Decided { view } => self.decide(view),
        }
    }

    fn decide(&mut self, view: &View) {
        if view.epoch > self.epoch() {
            self.view = Some(view.clone());
            self.acceptor = Acceptor::default();
        }
    }
}

/// State machine of the agreement on views at one node.
#[derive(Clone, Debug)]
pub struct ViewAgreement {
    local_id: NodeId,
    minimum_members: usize,
    state: ViewState,
    proposer: Option<Proposer>,
    highest_round: u64,
}

impl ViewAgreement {
    /// Resumes from the durable `state`. This node never proposes a view with fewer than `minimum_members` members.
    pub fn new(local_id: NodeId, state: ViewState, minimum_members: usize) -> ViewAgreement {
        let highest_round = state.acceptor.promised.round;
        ViewAgreement { local_id, minimum_members, state, proposer: None, highest_round }
    }

    /// Returns the durable state.
    pub fn state(&self) -> &ViewState {
        &self.state
    }

    /// Returns the newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.state.view()
    }

    /// Returns the epoch of the newest decided view, or [`Epoch::NONE`].
    pub fn epoch(&self) -> Epoch {
        self.state.epoch()
    }

    /// Returns whether this node votes in the newest decided view.
    pub fn is_voter(&self) -> bool {
        self.view().is_some_and(|view| view.is_voter(self.local_id))
    }

    /// Returns whether this node is a member of the newest decided view.
    pub fn is_member(&self) -> bool {
        self.view().is_some_and(|view| view.is_member(self.local_id))
    }

    /// Returns whether this node has accepted a proposal for the next view.
    ///
    /// That view may already be decided, so such a node must not confirm that its own view is current.
    pub fn has_accepted_next_view(&self) -> bool {
        self.state.acceptor.accepted.is_some()
    }

    /// Returns whether this node has an unfinished attempt to decide the next view.
    pub fn is_proposing(&self) -> bool {
        self.proposer.is_some()
    }

    /// Starts a new attempt, at a higher ballot, to replace the current view by `target`.
    ///
    /// Does nothing if this node does not vote, if `target` has too few members, or if it changes more than one voter.
    pub fn propose(&mut self, target: TargetView) -> Step {
        if !self.can_propose(&target) {
            return Step::default();
        }
        self.highest_round = self.highest_round.saturating_add(1);
        let ballot = Ballot { round: self.highest_round, node: self.local_id };
        self.proposer = Some(Proposer::new(ballot, target));
        let prepare = ViewMessage::Prepare { instance: self.epoch().next(), ballot };
        Step { record: None, messages: self.to_voters(&prepare) }
    }

    /// Resends the request of the current phase to each voter that has not answered it, since the request or the answer
    /// may have been lost. A repeated request gets the same answer as the first one, so resending is harmless.
    pub fn retransmit(&self) -> Step {
        let Some(proposer) = &self.proposer else {
            return Step::default();
        };
        let (instance, ballot) = (self.epoch().next(), proposer.ballot());
        let request = match proposer.proposal() {
            None => ViewMessage::Prepare { instance, ballot },
            Some(view) => ViewMessage::Accept { instance, ballot, view: view.clone() },
        };
        let mut messages = self.to_voters(&request);
        messages.retain(|envelope| !proposer.has_answered(envelope.to));
        Step { record: None, messages }
    }

    fn can_propose(&self, target: &TargetView) -> bool {
        let changes_one_voter = |view: &View| view.voters_change_by_one(&target.voters);
        let changes_at_most_one = self.view().is_some_and(changes_one_voter);
        self.is_voter() && changes_at_most_one && target.members.len() >= self.minimum_members
    }

    /// Abandons this node's attempt, if there is one.
    pub fn abandon(&mut self) {
        self.proposer = None;
    }

    /// Adopts a decided view if it is well-formed and newer than the one known here.
    pub fn adopt(&mut self, view: View) -> Step {
        if view.epoch <= self.epoch() || !view.is_well_formed() {
            return Step::default();
        }
        self.state.decide(&view);
        self.proposer = None;
        Step { record: Some(ViewRecord::Decided { view }), messages: Vec::new() }
    }

    /// Returns the minimum number of members of a view that this node proposes.
    pub(crate) fn minimum_members(&self) -> usize {
        self.minimum_members
    }

    /// Returns the highest ballot that this node has promised in the instance that follows its view.
    pub(crate) fn promised_ballot(&self) -> Ballot {
        self.state.acceptor.promised
    }

    /// Returns the first view that this founder has accepted, before any view is known.
    pub(crate) fn accepted_first_view(&self) -> Option<AcceptedView> {
        self.state.acceptor.accepted.clone()
    }

    /// Promises this founder's own ballot in the instance of the first view. Returns `None` if it has promised a higher one.
    pub(crate) fn promise_own(&mut self, ballot: Ballot) -> Option<ViewRecord> {
        let is_promised = self.state.acceptor.promise(ballot);
        is_promised.then_some(ViewRecord::Promised { instance: Epoch::FIRST, ballot })
    }

    /// Accepts the first view that this founder proposes. Returns `None` if it has promised a higher ballot.
    pub(crate) fn accept_own(&mut self, ballot: Ballot, view: &View) -> Option<ViewRecord> {
        let accepted = AcceptedView { ballot, view: view.clone() };
        let is_accepted = self.state.acceptor.accept(ballot, view.clone());
        is_accepted.then_some(ViewRecord::Accepted { instance: Epoch::FIRST, accepted })
    }

    /// Answers another founder's request for a promise in the instance of the first view. `agreed` is what this node has
    /// agreed to, if anything.
    pub(crate) fn promise_first_view(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        agreed: Option<AcceptedView>,
    ) -> Step {
        if !self.state.acceptor.promise(ballot) {
            return self.refuse(from, Epoch::FIRST, ballot);
        }
        let accepted = self.state.acceptor.accepted.clone().or(agreed);
        let promise = ViewMessage::Promise { instance: Epoch::FIRST, ballot, accepted, complete: false };
        let record = ViewRecord::Promised { instance: Epoch::FIRST, ballot };
        Step { record: Some(record), messages: message_to(from, promise) }
    }

    /// Answers another founder's request to accept a first view.
    pub(crate) fn accept_first_view(&mut self, from: NodeId, ballot: Ballot, view: View) -> Step {
        if view.epoch != Epoch::FIRST || !view.is_well_formed() {
            return Step::default();
        }
        let Some(record) = self.accept_own(ballot, &view) else {
            return self.refuse(from, Epoch::FIRST, ballot);
        };
        let accepted = ViewMessage::Accepted { instance: Epoch::FIRST, ballot };
        Step { record: Some(record), messages: message_to(from, accepted) }
    }

    /// Records that this node agrees to the members of the first view.
    pub(crate) fn record_bootstrap_agreement(&mut self, members: Vec<Member>) -> Step {
        self.state.bootstrap_members = Some(members.clone());
        Step { record: Some(ViewRecord::BootstrapAgreed { members }), messages: Vec::new() }
    }

    /// Handles a message. `complete` states whether this node holds every committed command.
    ///
    /// While no view is known, messages must be passed to [`Bootstrap::handle`](crate::Bootstrap::handle) and
    /// [`Bootstrap::handle_vote`](crate::Bootstrap::handle_vote) instead.
    pub fn handle(&mut self, from: NodeId, message: ViewMessage, complete: bool) -> Step {
        match message {
            ViewMessage::Prepare { instance, ballot } => {
                self.handle_prepare(from, instance, ballot, complete)
            }
            ViewMessage::Promise { instance, ballot, accepted, complete } => {
                self.handle_promise(from, instance, ballot, Promise { accepted, complete })
            }
            ViewMessage::Refused { instance, ballot, promised } => {
                self.handle_refused(instance, ballot, promised)
            }
            ViewMessage::Accept { instance, ballot, view } => {
                self.handle_accept(from, instance, ballot, view)
            }
            ViewMessage::Accepted { instance, ballot } => self.handle_accepted(from, instance, ballot),
            ViewMessage::Decided { view } => self.adopt(view),
            ViewMessage::Query { known } => self.handle_query(from, known),
            ViewMessage::BootstrapAgreed { .. } => self.handle_query(from, Epoch::NONE),
        }
    }

    /// Sends the newest decided view to a peer whose newest view has the epoch `known`, if that is older.
    pub fn handle_query(&self, from: NodeId, known: Epoch) -> Step {
        let newer = self.view().filter(|view| view.epoch > known);
        let messages =
            newer.map(|view| Envelope { to: from, message: ViewMessage::Decided { view: view.clone() } });
        Step { record: None, messages: messages.into_iter().collect() }
    }

    fn handle_prepare(&mut self, from: NodeId, instance: Epoch, ballot: Ballot, complete: bool) -> Step {
        if let Some(step) = self.answer_for_other_instance(from, instance) {
            return step;
        }
        self.highest_round = self.highest_round.max(ballot.round);
        if !self.state.acceptor.promise(ballot) {
            return self.refuse(from, instance, ballot);
        }
        let accepted = self.state.acceptor.accepted.clone();
        let promise = ViewMessage::Promise { instance, ballot, accepted, complete };
        Step { record: Some(ViewRecord::Promised { instance, ballot }), messages: message_to(from, promise) }
    }

    fn handle_accept(&mut self, from: NodeId, instance: Epoch, ballot: Ballot, view: View) -> Step {
        if let Some(step) = self.answer_for_other_instance(from, instance) {
            return step;
        }
        if view.epoch != instance || !view.is_well_formed() {
            return Step::default();
        }
        self.highest_round = self.highest_round.max(ballot.round);
        if !self.state.acceptor.accept(ballot, view.clone()) {
            return self.refuse(from, instance, ballot);
        }
        let record = ViewRecord::Accepted { instance, accepted: AcceptedView { ballot, view } };
        Step { record: Some(record), messages: message_to(from, ViewMessage::Accepted { instance, ballot }) }
    }

    fn handle_promise(&mut self, from: NodeId, instance: Epoch, ballot: Ballot, promise: Promise) -> Step {
        let Some(base) = self.base_view(instance, from) else {
            return Step::default();
        };
        let minimum_members = self.minimum_members;
        let Some(proposer) = self.proposer.as_mut().filter(|proposer| proposer.ballot() == ballot) else {
            return Step::default();
        };
        let Some(view) = proposer.handle_promise(&base, minimum_members, from, promise) else {
            return Step::default();
        };
        let accept = ViewMessage::Accept { instance, ballot, view };
        Step { record: None, messages: self.to_voters(&accept) }
    }

    fn handle_accepted(&mut self, from: NodeId, instance: Epoch, ballot: Ballot) -> Step {
        let Some(base) = self.base_view(instance, from) else {
            return Step::default();
        };
        let Some(proposer) = self.proposer.as_mut().filter(|proposer| proposer.ballot() == ballot) else {
            return Step::default();
        };
        let Some(view) = proposer.handle_acceptance(&base, from) else {
            return Step::default();
        };
        self.adopt_and_announce(&base, view)
    }

    fn handle_refused(&mut self, instance: Epoch, ballot: Ballot, promised: Ballot) -> Step {
        let is_current_attempt = self.proposer.as_ref().is_some_and(|proposer| proposer.ballot() == ballot);
        if is_current_attempt && instance == self.epoch().next() {
            self.highest_round = self.highest_round.max(promised.round);
            self.proposer = None;
        }
        Step::default()
    }

    /// Adopts a decided view and sends it to the voters of the previous and the new view.
    fn adopt_and_announce(&mut self, base: &View, view: View) -> Step {
        let decided = ViewMessage::Decided { view: view.clone() };
        let mut peers: Vec<NodeId> =
            base.voter_ids().chain(view.voter_ids()).filter(|id| *id != self.local_id).collect();
        peers.sort();
        peers.dedup();
        let mut step = self.adopt(view);
        step.messages = peers.into_iter().map(|to| Envelope { to, message: decided.clone() }).collect();
        step
    }

    /// Returns the current view if `instance` decides the view after it and `from` votes in it.
    fn base_view(&self, instance: Epoch, from: NodeId) -> Option<View> {
        let view = self.view()?;
        (instance == view.epoch.next() && view.is_voter(from)).then(|| view.clone())
    }

    /// Returns the answer to a request for an instance in which this node does not vote: the decided view if the instance
    /// is over, a query if it is ahead of this node, and nothing if this node is no voter. Returns `None` for the instance
    /// in which this node votes.
    fn answer_for_other_instance(&self, from: NodeId, instance: Epoch) -> Option<Step> {
        if instance <= self.epoch() {
            return Some(self.handle_query(from, Epoch(instance.0.saturating_sub(1))));
        }
        if instance > self.epoch().next() {
            let query = ViewMessage::Query { known: self.epoch() };
            return Some(Step { record: None, messages: message_to(from, query) });
        }
        (!self.is_voter()).then(Step::default)
    }

    fn refuse(&self, from: NodeId, instance: Epoch, ballot: Ballot) -> Step {
        let promised = self.state.acceptor.promised;
        Step { record: None, messages: message_to(from, ViewMessage::Refused { instance, ballot, promised }) }
    }

    fn to_voters(&self, message: &ViewMessage) -> Vec<Envelope> {
        let voters = self.view().into_iter().flat_map(View::voter_ids);
        voters.map(|to| Envelope { to, message: message.clone() }).collect()
    }
}

fn message_to(to: NodeId, message: ViewMessage) -> Vec<Envelope> {
    vec![Envelope { to, message }]
}
