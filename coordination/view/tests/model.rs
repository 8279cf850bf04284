//! Model check that at most one view is decided per epoch: explores every order of events to a bounded depth, and plays
//! long random walks.
//!
//! The environment variable `VIEW_MODEL_STATES` overrides the maximum number of explored states.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use millrudder_view::{Epoch, Member, NodeId, Step, TargetView, View, ViewAgreement, ViewMessage, ViewState};

/// Maximum number of explored states, unless `VIEW_MODEL_STATES` is set.
const DEFAULT_MAX_STATES: usize = 12_000;
/// Number of random walks; the seeds count from zero.
const RANDOM_WALKS: u64 = 400;
/// Number of actions of one random walk.
const ACTIONS_PER_WALK: usize = 300;
/// Minimum number of members of a view.
const MINIMUM_MEMBERS: usize = 2;

#[derive(Clone, Debug)]
struct InFlight {
    from: NodeId,
    to: NodeId,
    message: ViewMessage,
}

#[derive(Clone, Debug)]
enum Action {
    Propose { node: NodeId, target: TargetView },
    Deliver { index: usize },
    Restart { node: NodeId },
}

#[derive(Clone, Debug)]
struct ModelState {
    nodes: BTreeMap<NodeId, ViewAgreement>,
    disks: BTreeMap<NodeId, ViewState>,
    in_flight: Vec<InFlight>,
    decided: BTreeMap<Epoch, View>,
    proposals_left: usize,
    restarts_left: usize,
}

fn member(id: u64) -> Member {
    Member { id: NodeId(id), address: format!("10.0.0.{id}:9000") }
}

fn members(ids: &[u64]) -> Vec<Member> {
    ids.iter().copied().map(member).collect()
}

fn target(voters: &[u64], member_ids: &[u64]) -> TargetView {
    TargetView::new(members(voters), members(member_ids))
}

impl ModelState {
    fn new(initial_members: &[u64], proposals_left: usize, restarts_left: usize) -> ModelState {
        let view = View::of_members(Epoch::FIRST, members(initial_members));
        let state = ViewState::from_view(view.clone());
        let disks: BTreeMap<NodeId, ViewState> = view.member_ids().map(|id| (id, state.clone())).collect();
        let started = |id| (id, ViewAgreement::new(id, state.clone(), MINIMUM_MEMBERS));
        let nodes = view.member_ids().map(started).collect();
        let decided = BTreeMap::from([(view.epoch, view)]);
        ModelState { nodes, disks, in_flight: Vec::new(), decided, proposals_left, restarts_left }
    }

    fn fingerprint(&self) -> u64 {
        let mut messages: Vec<String> = self.in_flight.iter().map(|message| format!("{message:?}")).collect();
        messages.sort();
        let mut hasher = DefaultHasher::new();
        messages.hash(&mut hasher);
        format!("{:?}{:?}{}{}", self.nodes, self.disks, self.proposals_left, self.restarts_left)
            .hash(&mut hasher);
        hasher.finish()
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Propose { node, target } => {
                self.proposals_left -= 1;
                let step = self.node(node).propose(target);
                self.carry_out(node, step);
            }
            Action::Deliver { index } => {
                let InFlight { from, to, message } = self.in_flight.remove(index);
                let step = self.node(to).handle(from, message, true);
                self.carry_out(to, step);
            }
            Action::Restart { node } => {
                self.restarts_left -= 1;
                let state = self.disks[&node].clone();
                self.nodes.insert(node, ViewAgreement::new(node, state, MINIMUM_MEMBERS));
            }
        }
    }

    fn node(&mut self, id: NodeId) -> &mut ViewAgreement {
        self.disks.entry(id).or_default();
        self.nodes.entry(id).or_insert_with(|| ViewAgreement::new(id, ViewState::default(), MINIMUM_MEMBERS))
    }

    fn carry_out(&mut self, node: NodeId, step: Step) {
        if let Some(record) = step.record {
            self.disks.entry(node).or_default().apply(&record);
        }
        for envelope in step.messages {
            self.in_flight.push(InFlight { from: node, to: envelope.to, message: envelope.message });
        }
        let Some(view) = self.nodes[&node].view().cloned() else {
            return;
        };
        let first = self.decided.entry(view.epoch).or_insert_with(|| view.clone());
        assert_eq!(*first, view, "two different views were decided in one epoch");
        assert!(view.members.len() >= MINIMUM_MEMBERS);
    }

    fn deliveries(&self) -> impl ExactSizeIterator<Item = Action> {
        (0..self.in_flight.len()).map(|index| Action::Deliver { index })
    }

    /// Two members propose different views, and any of the first three nodes may restart.
    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = self.deliveries().collect();
        if self.proposals_left > 0 {
            actions.push(Action::Propose { node: NodeId(1), target: target(&[1, 2, 3], &[1, 2]) });
            actions.push(Action::Propose { node: NodeId(2), target: target(&[2, 3, 4], &[2, 3, 4]) });
        }
        if self.restarts_left > 0 {
            actions.extend([1, 2, 3].map(|id| Action::Restart { node: NodeId(id) }));
        }
        actions
    }

    /// Draws an action at random: a restart, a delivery, or the proposal of a view with a random selection of the current
    /// members in which a new node may replace a voter or become one more voter.
    fn random_action(&self, random: &mut fastrand::Rng) -> Option<Action> {
        let node = random.choice(self.nodes.keys().copied())?;
        match random.u32(0..40) {
            0 => Some(Action::Restart { node }),
            1 | 2 => {
                let view = self.nodes[&node].view()?;
                let mut voters = view.voters.clone();
                let mut members = view.members.clone();
                members.retain(|member| member.id == node || random.u32(0..4) > 0);
                let newcomer = member(random.u64(10..1_000));
                let index = random.usize(0..6);
                let is_replaced = voters.get(index).filter(|voter| !members.contains(voter)).is_some();
                if is_replaced {
                    voters[index] = newcomer.clone();
                    members.push(newcomer);
                } else if index >= voters.len() && voters.len() < 5 {
                    voters.push(newcomer);
                } else {
                    members.extend(voters.iter().find(|voter| !view.is_member(voter.id)).cloned());
                }
                let target = TargetView::new(voters, members);
                Some(Action::Propose { node, target })
            }
            _ => random.choice(self.deliveries()),
        }
    }
}

#[test]
fn no_order_of_events_decides_two_views() {
    let configured = std::env::var("VIEW_MODEL_STATES").ok().and_then(|text| text.parse().ok());
    let max_states = configured.unwrap_or(DEFAULT_MAX_STATES);
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([(ModelState::new(&[1, 2, 3], 2, 1), 0)]);
    let mut complete_depth = 0;
    while let Some((state, depth)) = queue.pop_front() {
        if seen.len() >= max_states {
            break;
        }
        complete_depth = depth;
        for action in state.actions() {
            let mut next = state.clone();
            next.apply(action);
            if seen.insert(next.fingerprint()) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    println!("{} states, complete to depth {complete_depth}", seen.len());
    assert!(complete_depth >= 6);
}

#[test]
fn random_walks_decide_at_most_one_view_per_epoch() {
    let mut views_decided = 0;
    for seed in 0..RANDOM_WALKS {
        let mut random = fastrand::Rng::with_seed(seed);
        let initial_members: &[u64] = if random.bool() { &[1, 2, 3] } else { &[1, 2, 3, 4, 5] };
        let mut state = ModelState::new(initial_members, usize::MAX, usize::MAX);
        for _ in 0..ACTIONS_PER_WALK {
            if let Some(action) = state.random_action(&mut random) {
                state.apply(action);
            }
        }
        views_decided += state.decided.len() - 1;
    }
    println!("{views_decided} views decided in {RANDOM_WALKS} random walks");
    assert!(
        views_decided > RANDOM_WALKS as usize,
        "too few views were decided for the check to mean anything: {views_decided}"
    );
}
