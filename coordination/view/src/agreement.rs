//! Agreement on the next view: the acceptor, the proposer and the newest decided view of one node.

use speedy::{Readable, Writable};

use crate::acceptor::Acceptor;
use crate::proposer::{Promise, Proposer, TargetView};
use crate::{AcceptedView, Ballot, Epoch, Member, NodeId, View, ViewMessage, ViewRecord};

/// A message with its recipient, which may be the sending node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The recipient.
    pub to: NodeId,
    /// The message.
    pub message: ViewMessage,
}

/// What the embedder has to do after an input: `messages` must not leave before `record` is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Step {
    /// To be made durable first.
    pub record: Option<ViewRecord>,
    /// To be sent afterwards.
    pub messages: Vec<Envelope>,
}

/// Durable state of the agreement, rebuilt from the [`ViewRecord`]s.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ViewState {
    bootstrap_members: Option<Vec<Member>>,
    view: Option<View>,
    acceptor: Acceptor,
}

impl ViewState {
    /// The state of a node that knows `view` and has promised and accepted nothing since.
    pub fn from_view(view: View) -> ViewState {
        ViewState { view: Some(view), ..ViewState::default() }
    }

    /// The newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The members of the first view to which this node has agreed.
    pub fn bootstrap_members(&self) -> Option<&[Member]> {
        self.bootstrap_members.as_deref()
    }

    /// Epoch of the newest decided view.
    pub fn epoch(&self) -> Epoch {
        self.view.as_ref().map_or(Epoch::NONE, |view| view.epoch)
    }

    /// Folds one record into the state.
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

/// Agreement on views at one node.
#[derive(Clone, Debug)]
pub struct ViewAgreement {
    local_id: NodeId,
    minimum_members: usize,
    state: ViewState,
    proposer: Option<Proposer>,
    highest_round: u64,
}

impl ViewAgreement {
    /// Continues from durable `state`. No view with fewer than `minimum_members` is ever proposed.
    pub fn new(local_id: NodeId, state: ViewState, minimum_members: usize) -> ViewAgreement {
        let highest_round = state.acceptor.promised.round;
        ViewAgreement { local_id, minimum_members, state, proposer: None, highest_round }
    }

    /// The durable state.
    pub fn state(&self) -> &ViewState {
        &self.state
    }

    /// The newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.state.view()
    }

    /// Epoch of the newest decided view.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch()
    }

    /// Whether this node votes in the newest decided view.
    pub fn is_voter(&self) -> bool {
        self.view().is_some_and(|view| view.is_voter(self.local_id))
    }

    /// Whether this node is a member of the newest decided view.
    pub fn is_member(&self) -> bool {
        self.view().is_some_and(|view| view.is_member(self.local_id))
    }

    /// Whether this node has accepted a next view, so that the present one may be over already.
    ///
    /// Such a node must not confirm that its view is current.
    pub fn has_accepted_next_view(&self) -> bool {
        self.state.acceptor.accepted.is_some()
    }

    /// Whether an attempt of this node is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposer.is_some()
    }

    /// Starts a new attempt to replace the present view by `target`.
    ///
    /// Does nothing at a node that does not vote, or where `target` has too few members or changes too many voters.
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

    /// Sends the request of the present phase again to each voter that has not answered it: its request or its answer may
    /// be lost. Voters answer a request that comes twice as they did the first time.
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

    /// Ends this node's attempt, if there is one.
    pub fn abandon(&mut self) {
        self.proposer = None;
    }

    /// Adopts a view that was decided elsewhere, if it is newer and well formed.
    pub fn adopt(&mut self, view: View) -> Step {
        if view.epoch <= self.epoch() || !view.is_well_formed() {
            return Step::default();
        }
        self.state.decide(&view);
        self.proposer = None;
        Step { record: Some(ViewRecord::Decided { view }), messages: Vec::new() }
    }

    /// Records the agreement to the members of the first view.
    pub(crate) fn record_bootstrap_agreement(&mut self, members: Vec<Member>) -> Step {
        self.state.bootstrap_members = Some(members.clone());
        Step { record: Some(ViewRecord::BootstrapAgreed { members }), messages: Vec::new() }
    }

    /// Handles a message. `complete` tells whether this node holds every committed command.
    ///
    /// Agreement to a bootstrap is handled by [`Bootstrap::handle`](crate::Bootstrap::handle) while no view is known.
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

    /// Sends the newest view to a peer that knows only `known`.
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

    /// Adopts a decided view and sends it to the voters of both views.
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

    /// The present view, if `instance` follows it and `from` votes in it.
    fn base_view(&self, instance: Epoch, from: NodeId) -> Option<View> {
        let view = self.view()?;
        (instance == view.epoch.next() && view.is_voter(from)).then(|| view.clone())
    }

    /// The answer to a request for another instance than the one in which this node votes.
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
