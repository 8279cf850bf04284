//! Model check with `stateright` of a core that loses one machine, gets it back or gets a replacement, and then loses
//! another machine. All orders of events are explored, up to a bound on the number of states.
//!
//! Checked properties:
//!
//! - At most one view is decided per epoch.
//! - The first member of a view was a member of the previous view and holds every committed command.
//! - At least [`MINIMUM_MEMBERS`] members of a view hold every command committed before it, so the loss of one leaves
//!   another.
//! - Only voters of a view are counted in the decision of the next view.
//! - Once the first lost machine is back or replaced, the core can continue after the loss of a second one.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use millrudder_view::{
    Envelope, Epoch, Member, NodeId, Step, TargetView, View, ViewAgreement, ViewMessage, ViewState,
};
use stateright::{Checker, Model, Property};

/// Minimum number of members of a view.
const MINIMUM_MEMBERS: usize = 2;
/// Nodes in this epoch propose no further view.
const LAST_EPOCH: Epoch = Epoch(4);
/// The exploration ends after this many states, counting repeated ones, unless `VOTERS_MODEL_STATES` is set.
const DEFAULT_MAX_STATES: usize = 120_000;
/// Maximum number of attempts to change the view, unless `VOTERS_MODEL_PROPOSALS` is set.
const DEFAULT_PROPOSALS: usize = 2;
/// Maximum number of restarts of the first machine, unless `VOTERS_MODEL_RESTARTS` is set.
const DEFAULT_RESTARTS: usize = 0;
/// A machine that is never lost; it heads the chain at the start.
const FIRST: NodeId = NodeId(1);
/// The machine that is lost second, for good.
const SECOND: NodeId = NodeId(2);
/// The machine that is lost first, before the start.
const THIRD: NodeId = NodeId(3);
/// A machine with an empty disk that may replace a lost one.
const REPLACEMENT: NodeId = NodeId(4);

/// What happens to the machine that is lost first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostMachine {
    /// It returns with its disk.
    Returns,
    /// Its disk is lost, and a machine with an empty disk replaces it as a voter.
    IsReplaced,
}

/// How a core that has lost a machine chooses the voters of the next view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoterRule {
    /// As implemented: a lost voter remains a voter until it is replaced.
    Implemented,
    /// A faulty rule that the check must detect: only the remaining members vote.
    OnlyMembersVote,
}

struct Scenario {
    lost_machine: LostMachine,
    voter_rule: VoterRule,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    from: NodeId,
    to: NodeId,
    /// Debug text of the message. It gives messages, which have no order of their own, a total order.
    text: String,
}

#[derive(Clone, Debug)]
struct State {
    nodes: BTreeMap<NodeId, ViewAgreement>,
    disks: BTreeMap<NodeId, ViewState>,
    in_flight: BTreeMap<InFlight, ViewMessage>,
    down: BTreeSet<NodeId>,
    /// Nodes that hold every committed command.
    complete: BTreeSet<NodeId>,
    decided: BTreeMap<Epoch, View>,
    /// Epoch of the newest view that each node has adopted.
    entered: BTreeMap<NodeId, Epoch>,
    proposals_left: usize,
    restarts_left: usize,
    /// Description of a violated property; no actions are explored after a violation.
    violation: Option<&'static str>,
}

impl State {
    fn canonical_text(&self) -> String {
        let messages: Vec<&InFlight> = self.in_flight.keys().collect();
        let State { nodes, disks, down, complete, decided, proposals_left, restarts_left, violation, .. } =
            self;
        format!(
            "{nodes:?}{disks:?}{messages:?}{down:?}{complete:?}{decided:?}{proposals_left}{restarts_left}{violation:?}"
        )
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let mut hasher = DefaultHasher::new();
        self.canonical_text().hash(&mut hasher);
        state.write_u64(hasher.finish());
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.canonical_text() == other.canonical_text()
    }
}

impl Eq for State {}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Propose(NodeId),
    Deliver(InFlight),
    Restart(NodeId),
    /// The second machine is lost for good, after the third has returned or has been replaced.
    LoseSecond,
    /// The third machine returns with its disk.
    ThirdReturns,
    /// A node copies the state from the first member, as a member of the current view or before it becomes one.
    CatchUp(NodeId),
}

fn usize_from_env(variable: &str, default: usize) -> usize {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn member(id: NodeId) -> Member {
    Member { id, address: format!("10.0.0.{}:9000", id.0) }
}

impl Scenario {
    /// Returns the state in which the core has adopted a second view without the third machine as a member.
    fn initial_state(&self) -> State {
        let all = [FIRST, SECOND, THIRD];
        let first = View::of_members(Epoch::FIRST, all.into_iter().map(member).collect());
        let members = vec![member(FIRST), member(SECOND)];
        let voters =
            if self.voter_rule == VoterRule::Implemented { first.voters.clone() } else { members.clone() };
        let second = View { epoch: first.epoch.next(), voters, members };
        let disks = BTreeMap::from([
            (FIRST, ViewState::from_view(second.clone())),
            (SECOND, ViewState::from_view(second.clone())),
            (THIRD, ViewState::from_view(first.clone())),
            (REPLACEMENT, ViewState::default()),
        ]);
        let node =
            |(id, disk): (&NodeId, &ViewState)| (*id, ViewAgreement::new(*id, disk.clone(), MINIMUM_MEMBERS));
        State {
            nodes: disks.iter().map(node).collect(),
            in_flight: BTreeMap::new(),
            down: BTreeSet::from([THIRD]),
            complete: BTreeSet::from([FIRST, SECOND]),
            entered: BTreeMap::from([(FIRST, second.epoch), (SECOND, second.epoch), (THIRD, first.epoch)]),
            decided: BTreeMap::from([(first.epoch, first), (second.epoch, second)]),
            proposals_left: usize_from_env("VOTERS_MODEL_PROPOSALS", DEFAULT_PROPOSALS),
            restarts_left: usize_from_env("VOTERS_MODEL_RESTARTS", DEFAULT_RESTARTS),
            violation: None,
            disks,
        }
    }

    /// Returns the view that a member proposes: the members that are up, other voters that are up until the minimum is
    /// reached, and the replacement in the place of a lost voter.
    fn target(&self, state: &State, view: &View) -> TargetView {
        let is_up = |member: &&Member| !state.down.contains(&member.id);
        let mut members: Vec<Member> = view.members.iter().filter(is_up).cloned().collect();
        let voters_without_state = view.voters.iter().filter(|voter| !view.is_member(voter.id));
        for voter in voters_without_state.filter(is_up) {
            if members.len() < MINIMUM_MEMBERS {
                members.push(voter.clone());
            }
        }
        let mut voters = view.voters.clone();
        let lost_voter = voters.iter().position(|voter| state.down.contains(&voter.id));
        let needs_replacement = self.lost_machine == LostMachine::IsReplaced && !view.is_voter(REPLACEMENT);
        if let Some(index) = lost_voter.filter(|_| needs_replacement) {
            voters[index] = member(REPLACEMENT);
            members.push(member(REPLACEMENT));
        }
        match self.voter_rule {
            VoterRule::Implemented => {
                TargetView { complete: state.complete.clone(), ..TargetView::new(voters, members) }
            }
            VoterRule::OnlyMembersVote => TargetView::new(members.clone(), members),
        }
    }
}

impl State {
    fn carry_out(&mut self, node: NodeId, step: Step) {
        if let Some(record) = step.record {
            self.disks.entry(node).or_default().apply(&record);
        }
        let (own, others): (Vec<Envelope>, Vec<Envelope>) =
            step.messages.into_iter().partition(|envelope| envelope.to == node);
        for envelope in others.into_iter().filter(|envelope| !self.down.contains(&envelope.to)) {
            let text = format!("{:?}", envelope.message);
            let message = InFlight { from: node, to: envelope.to, text };
            self.in_flight.insert(message, envelope.message);
        }
        let entered = self.nodes[&node].view().filter(|view| self.entered.get(&node) != Some(&view.epoch));
        if let Some(view) = entered.cloned() {
            self.entered.insert(node, view.epoch);
            self.record_view(node, view);
        }
        // A message to the node itself needs no network and only has to wait until the record is durable, which in this
        // model is immediately.
        own.into_iter().for_each(|envelope| self.handle_message(node, node, envelope.message));
    }

    fn handle_message(&mut self, from: NodeId, to: NodeId, message: ViewMessage) {
        let complete = self.complete.contains(&to);
        if let Some(node) = self.nodes.get_mut(&to) {
            let step = node.handle(from, message, complete);
            self.carry_out(to, step);
        }
    }

    fn record_view(&mut self, node: NodeId, view: View) {
        if !view.is_member(node) {
            self.complete.remove(&node);
        }
        match self.decided.get(&view.epoch) {
            Some(first) if *first != view => {
                self.violation = Some("two different views were decided in one epoch")
            }
            Some(_) => {}
            None => self.check_decided(view),
        }
    }

    fn check_decided(&mut self, view: View) {
        let previous = self.decided.get(&Epoch(view.epoch.0 - 1)).cloned().unwrap_or_default();
        let head = view.head().unwrap_or_default();
        if !previous.is_member(head) || !self.complete.contains(&head) {
            self.violation = Some("the head may lack committed commands");
        }
        if view.member_ids().filter(|id| self.complete.contains(id)).count() < MINIMUM_MEMBERS {
            self.violation = Some("too few members hold every committed command");
        }
        let accepted = |id: &NodeId| {
            let disk = format!("{:?}", self.disks[id]);
            let has_decided = self.nodes[id].epoch() >= view.epoch;
            has_decided || disk.contains(&format!("view: {view:?}"))
        };
        if previous.voter_ids().filter(accepted).count() < previous.majority() {
            self.violation = Some("a view was decided without a majority of the voters");
        }
        self.decided.insert(view.epoch, view);
    }

    fn newest_view(&self) -> &View {
        self.decided.values().next_back().expect("the first view is always decided")
    }
}

impl Model for Scenario {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        let is_up = |id: &NodeId| !state.down.contains(id);
        let reachable = state.in_flight.keys().filter(|message| is_up(&message.to));
        actions.extend(reachable.cloned().map(Action::Deliver));
        for (id, node) in state.nodes.iter().filter(|(id, _)| is_up(id)) {
            let can_propose = node.is_member() && !node.is_proposing() && node.epoch() < LAST_EPOCH;
            let changes = node
                .view()
                .is_some_and(|view| node.has_accepted_next_view() || !self.target(state, view).matches(view));
            if can_propose && changes && state.proposals_left > 0 {
                actions.push(Action::Propose(*id));
            }
        }
        if state.restarts_left > 0 {
            actions.push(Action::Restart(FIRST));
        }
        let (returned, replaced) = (is_up(&THIRD), state.newest_view().is_voter(REPLACEMENT));
        let first_loss_is_resolved =
            if self.lost_machine == LostMachine::Returns { returned } else { replaced };
        if first_loss_is_resolved && is_up(&SECOND) {
            actions.push(Action::LoseSecond);
        }
        if !returned {
            actions.push(Action::ThirdReturns);
        }
        let newest = state.newest_view();
        let head_is_in_newest_view =
            newest.head().is_some_and(|head| state.nodes[&head].epoch() == newest.epoch);
        let next = self.target(state, newest);
        let is_in_target = |id: &NodeId| newest.is_member(*id) || next.members.iter().any(|it| it.id == *id);
        let lagging =
            state.nodes.keys().filter(|id| !state.complete.contains(id) && is_up(id) && is_in_target(id));
        let lagging = lagging.filter(|id| head_is_in_newest_view && state.nodes[id].epoch() == newest.epoch);
        actions.extend(lagging.copied().map(Action::CatchUp));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Propose(node) => {
                state.proposals_left -= 1;
                let view = state.nodes[&node].view()?.clone();
                let target = self.target(&state, &view);
                let step = state.nodes.get_mut(&node)?.propose(target);
                state.carry_out(node, step);
            }
            Action::Deliver(envelope) => {
                let message = state.in_flight.remove(&envelope)?;
                state.handle_message(envelope.from, envelope.to, message);
            }
            Action::Restart(node) => {
                state.restarts_left -= 1;
                let disk = state.disks[&node].clone();
                state.nodes.insert(node, ViewAgreement::new(node, disk, MINIMUM_MEMBERS));
            }
            Action::LoseSecond => {
                state.down.insert(SECOND);
            }
            Action::ThirdReturns => {
                state.down.remove(&THIRD);
                // The answer to its first heartbeat carries the newest view.
                let step = state.nodes[&FIRST].handle_query(THIRD, Epoch::FIRST);
                state.carry_out(FIRST, step);
            }
            Action::CatchUp(node) => {
                state.complete.insert(node);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Scenario>> {
        vec![
            Property::always("no property is violated", |_, state: &State| state.violation.is_none()),
            Property::sometimes("the core continues after the second loss", |_, state: &State| {
                let newest = state.newest_view();
                state.down.contains(&SECOND) && !newest.is_member(SECOND) && newest.is_member(FIRST)
            }),
        ]
    }
}

fn check(lost_machine: LostMachine, voter_rule: VoterRule) -> impl Checker<Scenario> {
    let max_states = usize_from_env("VOTERS_MODEL_STATES", DEFAULT_MAX_STATES);
    let started = std::time::Instant::now();
    let checker = Scenario { lost_machine, voter_rule }
        .checker()
        .target_state_count(max_states)
        .threads(2)
        .spawn_bfs()
        .join();
    println!(
        "{lost_machine:?}, {voter_rule:?}: {} states, {} of them distinct, depth {}, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed()
    );
    checker
}

#[test]
fn the_core_survives_a_second_loss_after_the_first_machine_returned() {
    let checker = check(LostMachine::Returns, VoterRule::Implemented);
    checker.assert_no_discovery("no property is violated");
    checker.assert_any_discovery("the core continues after the second loss");
}

#[test]
fn the_core_survives_a_second_loss_after_the_first_machine_was_replaced() {
    let checker = check(LostMachine::IsReplaced, VoterRule::Implemented);
    checker.assert_no_discovery("no property is violated");
    checker.assert_any_discovery("the core continues after the second loss");
}

#[test]
fn the_core_cannot_continue_if_only_the_remaining_members_vote() {
    let checker = check(LostMachine::Returns, VoterRule::OnlyMembersVote);
    checker.assert_no_discovery("no property is violated");
    checker.assert_no_discovery("the core continues after the second loss");
}
