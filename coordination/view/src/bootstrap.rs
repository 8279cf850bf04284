//! Bootstrap of a cluster: agreement on the members of its first view.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millrudder_clock::Instant;

use crate::agreement::{Envelope, Step, ViewAgreement};
use crate::first_view::FirstViewAttempt;
use crate::{AcceptedView, Ballot, Epoch, Member, NodeId, View, ViewMessage};

/// How long all founders may take to agree to one list before a majority of them decides.
const UNANIMITY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an attempt to decide by majority is repeated at a higher ballot.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of each founder's attempts behind those of the one before it in the order of addresses, so that they seldom
/// disturb each other.
const ATTEMPT_STAGGER: Duration = Duration::from_millis(300);

/// Forms the first view among the founders, the nodes that are configured with the bootstrap addresses.
///
/// The first view is decided by Paxos (Lamport, 2001), of which a majority of the founders are the acceptors, so that it
/// forms although a minority of them is lost before it has done anything.
///
/// - At the lowest ballot there is no proposer: each founder that knows all of them accepts the list of all founders, and
///   says so to every listed node. The list is decided once *all* listed nodes have accepted it. A node that is no founder
///   accepts any such list that contains it; a founder that lost its disk comes back as such a node.
/// - If that takes too long, or not all founders are known, a founder proposes at a higher ballot. A majority decides, and
///   a view that one of them accepted before is proposed again.
///
/// A node accepts one list only at the lowest ballot, and none there once it has promised a higher one. So every majority
/// contains a founder that tells of a list that all nodes may have accepted.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    local: Member,
    /// Addresses of the known founders, in ascending order. Empty at a node that is no founder.
    founder_addresses: Vec<String>,
    /// Number of founders, known or not.
    founder_count: usize,
    /// Maximum number of nodes that become voters of the first view.
    max_voters: usize,
    ids_by_address: BTreeMap<String, NodeId>,
    /// Nodes that have agreed to the list that this node agreed to.
    agreed_by: BTreeSet<NodeId>,
    attempt: Option<FirstViewAttempt>,
    /// When this founder makes its next attempt; `None` before the first poll.
    next_attempt_at: Option<Instant>,
    highest_round: u64,
}

impl Bootstrap {
    /// Creates the bootstrap of the node `local`.
    ///
    /// `bootstrap_addresses` are the addresses of the founders that are known. A node whose address is not among them is no
    /// founder. `founder_count` is the number of all founders, which must be the same at each of them. At most `max_voters`
    /// nodes form the first view; the number must be the same at all nodes.
    pub fn new(
        local: Member,
        mut bootstrap_addresses: Vec<String>,
        founder_count: usize,
        max_voters: usize,
    ) -> Bootstrap {
        if !bootstrap_addresses.contains(&local.address) {
            bootstrap_addresses.clear();
        }
        bootstrap_addresses.sort();
        Bootstrap {
            founder_count: founder_count.max(bootstrap_addresses.len()),
            founder_addresses: bootstrap_addresses,
            max_voters,
            ids_by_address: BTreeMap::from([(local.address.clone(), local.id)]),
            local,
            agreed_by: BTreeSet::new(),
            attempt: None,
            next_attempt_at: None,
            highest_round: 0,
        }
    }

    /// Records that the node `id` was reached at `address`.
    pub fn add_peer(&mut self, id: NodeId, address: &str) {
        self.ids_by_address.insert(address.to_owned(), id);
    }

    /// Adds the address of a founder that was not known when this node started.
    pub fn add_founder(&mut self, address: String) {
        let is_missing = self.is_founder() && !self.knows_all_founders();
        if let Some(index) = self.founder_addresses.binary_search(&address).err().filter(|_| is_missing) {
            self.founder_addresses.insert(index, address);
        }
    }

    /// Proposes the first view, or repeats this node's agreement or requests. The embedder calls this at every heartbeat
    /// interval while no view is known.
    pub fn poll(&mut self, now: Instant, agreement: &mut ViewAgreement) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return Step::default();
        }
        let mut step = self.poll_unanimity(agreement);
        if step.record.is_some() {
            return step;
        }
        let attempt = self.poll_attempt(now, agreement);
        step.record = attempt.record;
        step.messages.extend(attempt.messages);
        step
    }

    /// Handles the agreement of the node `from` to the list `members`.
    pub fn handle(&mut self, agreement: &mut ViewAgreement, from: NodeId, members: Vec<Member>) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return agreement.handle_query(from, Epoch::NONE);
        }
        let Some(agreed) = agreement.state().bootstrap_members().map(<[Member]>::to_vec) else {
            return self.agree_to_peer_list(agreement, from, members);
        };
        if agreed != members {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.adopt_if_all_agree(agreement, agreed)
    }

    /// Handles a founder's request or answer in the decision of the first view. The embedder passes all messages of the
    /// agreement here while no view is known, but for [`ViewMessage::BootstrapAgreed`].
    pub fn handle_vote(&mut self, agreement: &mut ViewAgreement, from: NodeId, message: ViewMessage) -> Step {
        let is_first = |instance: Epoch| instance == Epoch::FIRST;
        match message {
            ViewMessage::Prepare { instance, ballot } if is_first(instance) && self.is_founder() => {
                self.highest_round = self.highest_round.max(ballot.round);
                agreement.promise_first_view(from, ballot, self.agreed_view(agreement))
            }
            ViewMessage::Accept { instance, ballot, view } if is_first(instance) && self.is_founder() => {
                self.highest_round = self.highest_round.max(ballot.round);
                agreement.accept_first_view(from, ballot, view)
            }
            ViewMessage::Promise { instance, ballot, accepted, .. } if is_first(instance) => {
                self.handle_promise(agreement, from, ballot, accepted)
            }
            ViewMessage::Accepted { instance, ballot } if is_first(instance) => {
                self.handle_accepted(agreement, from, ballot)
            }
            ViewMessage::Refused { instance, ballot, promised } if is_first(instance) => {
                self.handle_refused(ballot, promised);
                Step::default()
            }
            other => agreement.handle(from, other, false),
        }
    }

    fn is_founder(&self) -> bool {
        !self.founder_addresses.is_empty()
    }

    fn majority(&self) -> usize {
        self.founder_count / 2 + 1
    }

    fn knows_all_founders(&self) -> bool {
        self.founder_addresses.len() == self.founder_count
    }

    fn poll_unanimity(&self, agreement: &mut ViewAgreement) -> Step {
        if let Some(members) = agreement.state().bootstrap_members() {
            return Step { record: None, messages: self.agreement_messages(members) };
        }
        self.own_proposal().map_or_else(Step::default, |members| self.agree(agreement, members))
    }

    /// Agrees to the list of a peer if it equals the list that this node would propose or, at a node without bootstrap
    /// addresses, if it contains this node.
    fn agree_to_peer_list(
        &mut self,
        agreement: &mut ViewAgreement,
        from: NodeId,
        members: Vec<Member>,
    ) -> Step {
        let is_acceptable = match self.is_founder() {
            false => members.contains(&self.local),
            true => self.own_proposal().is_some_and(|list| list == members),
        };
        if !is_acceptable {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.agree(agreement, members)
    }

    /// Agrees to a list, unless this node has promised a ballot, all of which are higher than that of agreements.
    fn agree(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        if agreement.promised_ballot() != Ballot::default() {
            return Step::default();
        }
        let mut step = agreement.record_bootstrap_agreement(members.clone());
        step.messages = self.agreement_messages(&members);
        step
    }

    /// Adopts the first view once every listed node has agreed. This node's own agreement arrives as a message from itself.
    fn adopt_if_all_agree(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        if !members.iter().all(|member| self.agreed_by.contains(&member.id)) {
            return Step::default();
        }
        let listed: Vec<NodeId> = members.iter().map(|member| member.id).collect();
        let view = self.view_of(members);
        self.adopt_and_announce(agreement, view, listed)
    }

    fn adopt_and_announce(
        &self,
        agreement: &mut ViewAgreement,
        view: View,
        mut recipients: Vec<NodeId>,
    ) -> Step {
        recipients.retain(|id| *id != self.local.id);
        let decided = ViewMessage::Decided { view: view.clone() };
        let mut step = agreement.adopt(view);
        step.messages = recipients.into_iter().map(|to| Envelope { to, message: decided.clone() }).collect();
        step
    }

    /// Returns the list that this node proposes, in the order of addresses. Returns `None` until the node at every
    /// bootstrap address is known, and at a node that is no founder.
    fn own_proposal(&self) -> Option<Vec<Member>> {
        if !self.is_founder() || !self.knows_all_founders() {
            return None;
        }
        let founders = self.known_founders();
        (founders.len() == self.founder_count).then_some(founders)
    }

    /// Founders whose identity is known, in the order of addresses.
    fn known_founders(&self) -> Vec<Member> {
        let member = |address: &String| {
            let id = *self.ids_by_address.get(address)?;
            Some(Member { id, address: address.clone() })
        };
        self.founder_addresses.iter().filter_map(member).collect()
    }

    fn view_of(&self, members: Vec<Member>) -> View {
        View::of_members(Epoch::FIRST, evenly_spaced(members, self.max_voters))
    }

    /// The view of the list that this node has agreed to, which counts as accepted at the lowest ballot.
    fn agreed_view(&self, agreement: &ViewAgreement) -> Option<AcceptedView> {
        let members = agreement.state().bootstrap_members()?.to_vec();
        Some(AcceptedView { ballot: Ballot::default(), view: self.view_of(members) })
    }

    fn agreement_messages(&self, members: &[Member]) -> Vec<Envelope> {
        let message = ViewMessage::BootstrapAgreed { members: members.to_vec() };
        members.iter().map(|member| Envelope { to: member.id, message: message.clone() }).collect()
    }

    /// Starts an attempt when one is due, or repeats the requests of the current one.
    fn poll_attempt(&mut self, now: Instant, agreement: &mut ViewAgreement) -> Step {
        if !self.is_founder() || self.founder_count < 2 {
            return Step::default();
        }
        let rank = self.founder_addresses.iter().take_while(|address| **address < self.local.address).count();
        let stagger = ATTEMPT_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = if self.knows_all_founders() { UNANIMITY_TIMEOUT } else { Duration::ZERO };
        let due = *self.next_attempt_at.get_or_insert(now + wait + stagger);
        if now < due {
            return self.retransmit();
        }
        self.next_attempt_at = Some(now + ATTEMPT_TIMEOUT + stagger);
        self.start_attempt(agreement)
    }

    /// Starts an attempt at a ballot that this founder has promised on its own disk before it asks others for the same, so
    /// that it never uses a ballot twice.
    fn start_attempt(&mut self, agreement: &mut ViewAgreement) -> Step {
        let round = self.highest_round.max(agreement.promised_ballot().round).saturating_add(1);
        self.highest_round = round;
        let ballot = Ballot { round, node: self.local.id };
        let accepted = agreement.accepted_first_view().or_else(|| self.agreed_view(agreement));
        let Some(record) = agreement.promise_own(ballot) else {
            return Step::default();
        };
        self.attempt = Some(FirstViewAttempt::new(ballot, accepted));
        Step { record: Some(record), messages: self.retransmit().messages }
    }

    fn retransmit(&self) -> Step {
        let Some(attempt) = &self.attempt else {
            return Step::default();
        };
        let (instance, ballot) = (Epoch::FIRST, attempt.ballot());
        let request = match attempt.proposal() {
            None => ViewMessage::Prepare { instance, ballot },
            Some(view) => ViewMessage::Accept { instance, ballot, view: view.clone() },
        };
        let founders = self.known_founders().into_iter().map(|founder| founder.id);
        let unanswered = founders.filter(|id| !attempt.has_answered(*id) && *id != self.local.id);
        let messages = unanswered.map(|to| Envelope { to, message: request.clone() }).collect();
        Step { record: None, messages }
    }

    fn handle_promise(
        &mut self,
        agreement: &mut ViewAgreement,
        from: NodeId,
        ballot: Ballot,
        accepted: Option<AcceptedView>,
    ) -> Step {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot() == ballot) else {
            return Step::default();
        };
        if attempt.proposal().is_some() {
            return Step::default();
        }
        attempt.add_promise(from, accepted);
        let accepted_view = attempt.accepted_view();
        if attempt.promise_count() < self.majority() {
            return Step::default();
        }
        let Some(view) = accepted_view.or_else(|| self.view_of_known(agreement.minimum_members())) else {
            return Step::default();
        };
        let Some(record) = agreement.accept_own(ballot, &view) else {
            return Step::default();
        };
        if let Some(attempt) = &mut self.attempt {
            attempt.begin_acceptance(view);
        }
        Step { record: Some(record), messages: self.retransmit().messages }
    }

    /// The view of the founders that are known and, if they are fewer than `minimum`, of as many other known nodes.
    ///
    /// Founders that do not answer are in it: the next view replaces them, and a view of the others alone could lose none
    /// of its voters until a node is added.
    fn view_of_known(&self, minimum: usize) -> Option<View> {
        let mut members = self.known_founders();
        let missing = minimum.saturating_sub(members.len());
        let is_other = |address: &String| !self.founder_addresses.contains(address);
        let others = self.ids_by_address.iter().filter(|(address, _)| is_other(address));
        members
            .extend(others.take(missing).map(|(address, id)| Member { id: *id, address: address.clone() }));
        (members.len() >= minimum).then(|| self.view_of(members))
    }

    fn handle_accepted(&mut self, agreement: &mut ViewAgreement, from: NodeId, ballot: Ballot) -> Step {
        let majority = self.majority();
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.ballot() == ballot) else {
            return Step::default();
        };
        let Some(view) = attempt.proposal().cloned() else {
            return Step::default();
        };
        if attempt.add_acceptance(from) < majority {
            return Step::default();
        }
        self.attempt = None;
        let mut recipients: Vec<NodeId> =
            self.known_founders().into_iter().map(|founder| founder.id).chain(view.member_ids()).collect();
        recipients.sort_unstable();
        recipients.dedup();
        self.adopt_and_announce(agreement, view, recipients)
    }

    fn handle_refused(&mut self, ballot: Ballot, promised: Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        if self.attempt.as_ref().is_some_and(|attempt| attempt.ballot() == ballot) {
            self.attempt = None;
        }
    }
}

/// Selects at most `count` members at even distances in the list, because members with neighbouring addresses often share
/// a failure domain.
fn evenly_spaced(members: Vec<Member>, count: usize) -> Vec<Member> {
    let total = members.len();
    let chosen = count.clamp(1, total.max(1)).min(total);
    (0..chosen).map(|index| members[index * total / chosen].clone()).collect()
}
