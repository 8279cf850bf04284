//! Model checking of view changes with concurrent writes on three nodes: an exhaustive breadth-first search up to a
//! bound on the number of states, and long random runs. `CHAIN_MODEL_STATES` sets the bound.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Epoch, Heartbeat, Input, Machine, Member, NodeId,
    Output, PersistToken, Position, ProcessTimestamp, Record, RequestId, RestoreError, Sequence,
    TimestampEcho, View,
};
use millrudder_clock::Instant;
use millrudder_view::ViewRecord;
use speedy::{Readable, Writable};

/// Bound on the explored states in a default run.
const ORDINARY_STATES: usize = 3_000;
/// Number of random runs.
const RANDOM_RUNS: u64 = 250;
/// Number of actions in each random run.
const ACTIONS_PER_RUN: usize = 120;
/// Long enough after a suspicion for each member to have made its first proposal.
const PROPOSAL_PERIOD: Duration = Duration::from_millis(200);
/// Number of proposal periods without a heartbeat after which a node is replaced.
const PERIODS_UNTIL_REPLACED: usize = 5;
const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

/// The replicated state machine: the list of written values with their sequences.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
struct Values(Vec<Value>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
struct Value {
    sequence: u64,
    value: u64,
}

impl Machine for Values {
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, sequence: Sequence, command: &u64) -> u64 {
        self.0.push(Value { sequence: sequence.0, value: *command });
        sequence.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.write_to_vec().expect("values can be written")
    }

    fn restore(snapshot: &[u8]) -> Result<Values, RestoreError> {
        Values::read_from_buffer(snapshot).map_err(|_| RestoreError::Unreadable)
    }
}

/// A message in flight. Identical messages are deduplicated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    from: NodeId,
    to: NodeId,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Pending {
    token: PersistToken,
    record: Record,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Submit {
        at: NodeId,
    },
    Deliver {
        index: usize,
    },
    Persist {
        at: NodeId,
    },
    /// One node suspects that another has failed.
    Suspect {
        at: NodeId,
        suspected: NodeId,
    },
    /// A node receives heartbeats from all other nodes again.
    Trust {
        at: NodeId,
    },
    /// The process crashes and restarts; records that were not durable are lost.
    Crash {
        at: NodeId,
    },
}

/// Limits on the actions of a run.
#[derive(Clone, Copy, Debug)]
struct Limits {
    submits: u64,
    suspicions: usize,
    crashes: usize,
    /// Whether disk writes complete immediately. The exhaustive search assumes this without loss of coverage: a message
    /// that waits for the disk is equivalent to a delayed one.
    instant_disks: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Instant,
    remaining: Limits,
    nodes: BTreeMap<NodeId, CoreNode<Values>>,
    disks: BTreeMap<NodeId, DurableState>,
    pending: BTreeMap<NodeId, VecDeque<Pending>>,
    in_flight: BTreeSet<InFlight>,
    views: BTreeMap<Epoch, View>,
    committed: BTreeMap<u64, u64>,
}

fn address(id: NodeId) -> String {
    format!("10.0.0.{}:9000", id.0)
}

fn config(id: NodeId) -> CoreConfig {
    CoreConfig::new(address(id))
}

fn bootstrapped_state(id: NodeId) -> DurableState {
    let members = NODES.iter().map(|id| Member { id: *id, address: address(*id) }).collect();
    let view = View::of_members(Epoch::FIRST, members);
    let mut state = DurableState::default();
    state.apply(&Record::Identity { id });
    state.apply(&Record::View(ViewRecord::Decided { view }));
    state.apply(&Record::Appended { entries: Vec::new(), committed: Sequence(0), complete: true });
    state
}

/// A `fmt::Write` sink that hashes the text written to it.
struct Fingerprint(DefaultHasher);

impl Write for Fingerprint {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl World {
    fn new(remaining: Limits) -> World {
        let mut world = World {
            now: Instant::from_millis(1_000),
            remaining,
            nodes: BTreeMap::new(),
            disks: NODES.iter().map(|id| (*id, bootstrapped_state(*id))).collect(),
            pending: NODES.iter().map(|id| (*id, VecDeque::new())).collect(),
            in_flight: BTreeSet::new(),
            views: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        NODES.iter().for_each(|id| world.start(*id));
        world
    }

    /// A world in which the chain of the first view is connected and no message is in flight.
    fn connected(remaining: Limits) -> World {
        let mut world = World::new(remaining);
        while !world.in_flight.is_empty() {
            world.act(Action::Deliver { index: 0 });
            NODES.iter().for_each(|id| world.act(Action::Persist { at: *id }));
        }
        world
    }

    fn start(&mut self, id: NodeId) {
        let node =
            CoreNode::new(config(id), Some(self.disks[&id].clone()), id.0, self.now).expect("it starts");
        self.nodes.insert(id, node);
        self.take_outputs(id);
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = Fingerprint(DefaultHasher::new());
        let World { nodes, disks, pending, in_flight, remaining, .. } = self;
        write!(hasher, "{nodes:?}{disks:?}{pending:?}{in_flight:?}{remaining:?}")
            .expect("hashing never fails");
        hasher.0.finish()
    }

    fn input(&mut self, id: NodeId, input: Input<u64>) {
        let now = self.now;
        self.nodes.get_mut(&id).expect("a node").handle(now, input);
        self.take_outputs(id);
    }

    fn take_outputs(&mut self, id: NodeId) {
        while let Some(output) = self.nodes.get_mut(&id).and_then(CoreNode::next_output) {
            match output {
                Output::Send { to, message } => self.send(id, to, &message),
                Output::Persist { token, record } => {
                    self.pending.entry(id).or_default().push_back(Pending { token, record });
                }
                Output::Committed { sequence, command, .. } => self.check_committed(sequence, command),
                Output::ViewChanged(view) => self.check_view(view),
                _ => {}
            }
        }
        if self.remaining.instant_disks {
            self.persist(id);
        }
    }

    /// Sends only those heartbeats that go to the predecessor: the others only repeat information from other messages.
    fn send(&mut self, from: NodeId, to: NodeId, message: &CoreMessage) {
        let predecessor = self.nodes[&from].view().and_then(|view| view.predecessor(from));
        let repeats = matches!(message, CoreMessage::Heartbeat(_)) && predecessor != Some(to);
        if repeats {
            return;
        }
        let mut message = message.clone();
        if let CoreMessage::Heartbeat(heartbeat) = &mut message {
            // Timestamps would make equal states differ, and no check here depends on them.
            heartbeat.timestamp = ProcessTimestamp::default();
            heartbeat
                .timestamp_echoes
                .iter_mut()
                .for_each(|echo| echo.timestamp = ProcessTimestamp::default());
        }
        self.in_flight.insert(InFlight { from, to, bytes: message.encode() });
    }

    fn check_committed(&mut self, sequence: Sequence, value: u64) {
        let first = *self.committed.entry(sequence.0).or_insert(value);
        assert_eq!(first, value, "two commands were committed at one sequence");
    }

    fn check_view(&mut self, view: View) {
        let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        assert_eq!(*first, view, "two views were decided in one epoch");
    }

    /// Checks that the head of the newest view holds every committed command.
    fn check(&self) {
        let Some(view) = self.views.values().last() else {
            return;
        };
        let head = view.head().expect("a view has a head");
        let node = &self.nodes[&head];
        if node.epoch() != view.epoch {
            return;
        }
        let state = node.durable_state();
        for (sequence, value) in &self.committed {
            let applied =
                node.machine().0.iter().any(|entry| entry.sequence == *sequence && entry.value == *value);
            let entry = state.log().get(Sequence(*sequence));
            let is_in_log =
                entry.is_some_and(|entry| entry.command == value.write_to_vec().expect("a value is written"));
            assert!(applied || is_in_log, "the head {head:?} of {view:?} lacks {sequence}");
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Submit { at } => {
                let value = self.remaining.submits;
                self.remaining.submits -= 1;
                self.input(at, Input::Submit { request_id: RequestId(value.into()), command: value });
            }
            Action::Deliver { index } => {
                let message = self.in_flight.iter().nth(index).cloned().expect("the index is in range");
                self.in_flight.remove(&message);
                let InFlight { from, to, bytes } = message;
                let message = CoreMessage::decode(&bytes).expect("an encoded message can be decoded");
                self.input(to, Input::Message { from, message });
            }
            Action::Persist { at } => self.persist(at),
            Action::Suspect { at, suspected } => self.suspect(at, suspected),
            Action::Trust { at } => {
                self.remaining.suspicions -= 1;
                NODES.iter().filter(|id| **id != at).for_each(|from| self.receive_heartbeat(at, *from));
            }
            Action::Crash { at } => {
                self.remaining.crashes -= 1;
                self.pending.entry(at).or_default().clear();
                self.start(at);
            }
        }
    }

    fn persist(&mut self, at: NodeId) {
        let pending = std::mem::take(self.pending.entry(at).or_default());
        let Some(token) = pending.back().map(|pending| pending.token) else {
            return;
        };
        let disk = self.disks.entry(at).or_default();
        pending.iter().for_each(|pending| disk.apply(&pending.record));
        self.input(at, Input::Persisted { token });
    }

    /// Withholds the heartbeats of one node from another until the latter suspects it and has had time to propose.
    fn suspect(&mut self, at: NodeId, suspected: NodeId) {
        self.remaining.suspicions -= 1;
        self.receive_heartbeat(at, suspected);
        for _ in 0..PERIODS_UNTIL_REPLACED {
            self.now += PROPOSAL_PERIOD;
            let others = NODES.iter().filter(|from| **from != at && **from != suspected);
            others.for_each(|from| self.receive_heartbeat(at, *from));
            self.input(at, Input::Tick);
        }
    }

    fn receive_heartbeat(&mut self, at: NodeId, from: NodeId) {
        let heartbeat = Heartbeat {
            epoch: self.nodes[&at].epoch(),
            address: address(from),
            timestamp: ProcessTimestamp::default(),
            timestamp_echoes: NODES
                .iter()
                .map(|peer| TimestampEcho { peer: *peer, timestamp: ProcessTimestamp::default() })
                .collect(),
            log_end: Position::default(),
            committed: Sequence(0),
            is_caught_up: true,
            is_complete: true,
            confirms_epoch: true,
            is_leaving: false,
            is_disk_lagging: false,
        };
        self.input(at, Input::Message { from, message: CoreMessage::Heartbeat(heartbeat) });
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> =
            (0..self.in_flight.len()).map(|index| Action::Deliver { index }).collect();
        let persists = NODES.iter().filter(|id| !self.pending[*id].is_empty());
        actions.extend(persists.map(|at| Action::Persist { at: *at }));
        if self.remaining.submits > 0 {
            actions.push(Action::Submit { at: NODES[0] });
        }
        if self.remaining.suspicions > 0 {
            let pairs = [(NODES[1], NODES[0]), (NODES[2], NODES[0]), (NODES[0], NODES[2])];
            actions.extend(pairs.map(|(at, suspected)| Action::Suspect { at, suspected }));
        }
        if self.remaining.crashes > 0 {
            actions.push(Action::Crash { at: NODES[1] });
        }
        actions
    }

    /// A random action: mostly deliveries and disk writes, with occasional faults.
    fn random_action(&self, random: &mut fastrand::Rng) -> Option<Action> {
        let at = random.choice(NODES)?;
        let suspected = random.choice(NODES.into_iter().filter(|id| *id != at).collect::<Vec<_>>())?;
        match random.u32(0..60) {
            0 => Some(Action::Crash { at }),
            1 | 2 => Some(Action::Suspect { at, suspected }),
            3 | 4 => Some(Action::Trust { at }),
            5..=9 => Some(Action::Submit { at }),
            10..=25 => Some(Action::Persist { at }),
            _ => {
                let index = random.choice(0..self.in_flight.len())?;
                Some(Action::Deliver { index })
            }
        }
    }
}

#[test]
fn no_interleaving_loses_a_committed_command() {
    let states = std::env::var("CHAIN_MODEL_STATES").ok().and_then(|text| text.parse().ok());
    let bound = states.unwrap_or(ORDINARY_STATES);
    let start = World::connected(Limits { submits: 1, suspicions: 2, crashes: 1, instant_disks: true });
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([(start, 0)]);
    let (mut complete_depth, mut with_commits, mut with_views) = (0, 0, 0);
    while let Some((world, depth)) = queue.pop_front() {
        world.check();
        if seen.len() >= bound {
            break;
        }
        complete_depth = depth;
        with_commits += usize::from(!world.committed.is_empty());
        with_views += usize::from(world.views.len() > 1);
        for action in world.actions() {
            let mut next = world.clone();
            next.act(action);
            if seen.insert(next.fingerprint()) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    let states = seen.len();
    println!(
        "{states} states, complete to depth {complete_depth}; {with_commits} commits, {with_views} new views"
    );
    assert!(complete_depth >= 3);
}

#[test]
fn long_histories_lose_no_committed_command() {
    let (mut commits, mut views) = (0, 0);
    for seed in 0..RANDOM_RUNS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = World::connected(Limits {
            submits: 1_000,
            suspicions: 1_000,
            crashes: 1_000,
            instant_disks: false,
        });
        for _ in 0..ACTIONS_PER_RUN {
            if let Some(action) = world.random_action(&mut random) {
                world.act(action);
                world.check();
            }
        }
        commits += world.committed.len();
        views += world.views.len() - 1;
    }
    println!("{commits} commands and {views} new views in {RANDOM_RUNS} histories");
    assert!(commits > RANDOM_RUNS as usize && views > RANDOM_RUNS as usize / 4);
}
