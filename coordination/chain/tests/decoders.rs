//! Decoding of corrupted bytes: damaged states, records and messages are rejected or handled without a panic.

mod concat_machine;

use std::collections::VecDeque;
use std::sync::OnceLock;
use std::time::Duration;

use concat_machine::{address, Text};
use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Input, NodeId, Output, Record, RequestId,
};
use millrudder_clock::Instant;
use proptest::prelude::*;
use proptest::sample::Index;
use speedy::{Readable, Writable};

const CASES: u32 = 2_000;
const STEP: Duration = Duration::from_millis(20);
/// Number of steps of the run that collects the corpus.
const STEPS: u64 = 120;
/// Number of commands submitted in that run.
const COMMANDS: u64 = 40;
const NODES: usize = 3;

type Node = CoreNode<Text>;

/// Encoded messages, records and states from a run of real nodes, and the nodes at its end.
struct Corpus {
    nodes: Vec<Node>,
    messages: Vec<Vec<u8>>,
    records: Vec<Vec<u8>>,
    states: Vec<Vec<u8>>,
    now: Instant,
}

fn config(index: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(index));
    // The last node joins later and needs a snapshot.
    config.bootstrap_addresses =
        if index + 1 < NODES { (0..NODES - 1).map(address).collect() } else { Vec::new() };
    config.minimum_members = 1;
    config.retained_entries = 4;
    config.batch_bytes = 128;
    config.checkpoint_bytes = 512;
    config
}

impl Corpus {
    fn new() -> Corpus {
        let node = |index: usize| {
            Node::new(config(index), None, index as u64 + 1, Instant::ORIGIN).expect("it starts")
        };
        let nodes = (0..NODES).map(node).collect();
        Corpus { nodes, messages: Vec::new(), records: Vec::new(), states: Vec::new(), now: Instant::ORIGIN }
    }

    fn run(mut self) -> Corpus {
        let mut in_flight = VecDeque::new();
        for step in 0..STEPS {
            self.now += STEP;
            let present = if step < STEPS / 2 { NODES - 1 } else { NODES };
            for index in 0..present {
                self.introduce(index, present, &mut in_flight);
                self.input(index, Input::Tick, &mut in_flight);
            }
            if step > STEPS / 4 && step - STEPS / 4 <= COMMANDS {
                let (request_id, command) = (RequestId(step.into()), format!("command {step}"));
                self.input(0, Input::Submit { request_id, command }, &mut in_flight);
            }
            while let Some((from, to, message)) = in_flight.pop_front() {
                if let Some(index) = self.nodes[..present].iter().position(|node| node.id() == to) {
                    self.input(index, Input::Message { from, message }, &mut in_flight);
                }
            }
        }
        self
    }

    fn introduce(&mut self, index: usize, present: usize, in_flight: &mut Envelopes) {
        for peer in (0..present).filter(|peer| *peer != index) {
            let id = self.nodes[peer].id();
            self.input(index, Input::PeerSeen { id, address: address(peer) }, in_flight);
        }
    }

    fn input(&mut self, index: usize, input: Input<String>, in_flight: &mut Envelopes) {
        let node = &mut self.nodes[index];
        node.handle(self.now, input);
        while let Some(output) = node.next_output() {
            match output {
                Output::Send { to, message } => {
                    self.messages.push(message.encode());
                    in_flight.push_back((node.id(), to, message));
                }
                Output::Persist { token, record } => {
                    self.records.push(record.write_to_vec().expect("a record is written"));
                    node.handle(self.now, Input::Persisted { token });
                }
                Output::Checkpoint { state, .. } => {
                    self.states.push(state.write_to_vec().expect("a state is written"));
                }
                _ => {}
            }
        }
    }
}

type Envelopes = VecDeque<(NodeId, NodeId, CoreMessage)>;

fn corpus() -> &'static Corpus {
    static CORPUS: OnceLock<Corpus> = OnceLock::new();
    CORPUS.get_or_init(|| {
        let corpus = Corpus::new().run();
        assert!(corpus.nodes.iter().all(Node::is_caught_up), "every node has caught up");
        let messages = corpus.messages.iter().filter_map(|bytes| CoreMessage::decode(bytes).ok());
        assert!(messages.into_iter().any(|message| matches!(message, CoreMessage::InstallSnapshot(_))));
        assert!(!corpus.states.is_empty() && !corpus.records.is_empty());
        corpus
    })
}

/// A modification of encoded bytes.
#[derive(Clone, Debug)]
enum Damage {
    Flip {
        at: Index,
        mask: u8,
    },
    /// Four bytes, which may encode a length or number, are overwritten.
    Number {
        at: Index,
        number: u32,
    },
    Large {
        at: Index,
        number: u64,
    },
    Truncate {
        at: Index,
    },
    Repeat {
        at: Index,
    },
}

fn damage() -> impl Strategy<Value = Damage> {
    let number = prop_oneof![Just(u32::MAX), Just(1 << 31), 0..300_u32, any::<u32>()];
    let large = prop_oneof![Just(u64::MAX), Just(u64::MAX - 1), Just(1 << 63), Just(0), any::<u64>()];
    prop_oneof![
        (any::<Index>(), 1..=u8::MAX).prop_map(|(at, mask)| Damage::Flip { at, mask }),
        (any::<Index>(), number).prop_map(|(at, number)| Damage::Number { at, number }),
        (any::<Index>(), large).prop_map(|(at, number)| Damage::Large { at, number }),
        any::<Index>().prop_map(|at| Damage::Truncate { at }),
        any::<Index>().prop_map(|at| Damage::Repeat { at }),
    ]
}

fn drawn<'a>(which: &Index, from: &'a [Vec<u8>]) -> &'a [u8] {
    &from[which.index(from.len())]
}

fn overwrite(bytes: &mut [u8], at: &Index, with: &[u8]) {
    let at = at.index(bytes.len());
    bytes[at..].iter_mut().zip(with).for_each(|(byte, new)| *byte = *new);
}

fn damaged(original: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = original.to_vec();
    for damage in damages.iter().filter(|_| !original.is_empty()) {
        if bytes.is_empty() {
            return bytes;
        }
        match damage {
            Damage::Flip { at, mask } => {
                let at = at.index(bytes.len());
                bytes[at] ^= mask;
            }
            Damage::Number { at, number } => overwrite(&mut bytes, at, &number.to_le_bytes()),
            Damage::Large { at, number } => overwrite(&mut bytes, at, &number.to_le_bytes()),
            Damage::Truncate { at } => bytes.truncate(at.index(bytes.len())),
            Damage::Repeat { at } => {
                let tail = bytes[at.index(bytes.len())..].to_vec();
                bytes.extend(tail);
            }
        }
    }
    bytes
}

fn damages() -> impl Strategy<Value = Vec<Damage>> {
    proptest::collection::vec(damage(), 1..4)
}

/// Asserts that a decoded value does not encode to more bytes than it was read from.
fn assert_no_larger<T: Writable<speedy::LittleEndian>>(value: &T, bytes: &[u8]) -> Result<(), TestCaseError> {
    let length = value.write_to_vec().expect("it is written").len();
    prop_assert!(length <= bytes.len(), "{length} bytes read from {}", bytes.len());
    Ok(())
}

/// Starts a node from a state and runs it for a few steps.
fn start(state: DurableState) {
    let Ok(mut node) = Node::new(config(0), Some(state), 7, Instant::ORIGIN) else { return };
    for step in 0..8 {
        let now = Instant::from_millis(step * 400);
        node.handle(now, Input::Tick);
        node.handle(now, Input::Read { request_id: RequestId(u128::from(step)) });
        while let Some(output) = node.next_output() {
            if let Output::Persist { token, .. } = output {
                node.handle(now, Input::Persisted { token });
            }
        }
    }
}

/// Delivers a message to a node and runs it for a few steps.
fn deliver(node: &mut Node, now: Instant, from: NodeId, message: CoreMessage) {
    node.handle(now, Input::Message { from, message });
    for step in 1..4 {
        while let Some(output) = node.next_output() {
            if let Output::Persist { token, .. } = output {
                node.handle(now, Input::Persisted { token });
            }
        }
        node.handle(now + step * Duration::from_millis(300), Input::Tick);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_damaged_state_is_rejected_or_started_from(which in any::<Index>(), damages in damages()) {
        let bytes = damaged(drawn(&which, &corpus().states), &damages);
        if let Ok(state) = DurableState::read_from_buffer(&bytes) {
            assert_no_larger(&state, &bytes)?;
            start(state);
        }
    }

    #[test]
    fn a_damaged_record_is_rejected_or_applied(which in any::<Index>(), state in any::<Index>(), damages in damages()) {
        let bytes = damaged(drawn(&which, &corpus().records), &damages);
        if let Ok(record) = Record::read_from_buffer(&bytes) {
            assert_no_larger(&record, &bytes)?;
            let state = drawn(&state, &corpus().states);
            let mut state = DurableState::read_from_buffer(state).expect("it is undamaged");
            state.apply(&record);
            start(state);
        }
    }

    #[test]
    fn a_damaged_message_is_rejected_or_handled(
        which in any::<Index>(), from in 0..NODES, to in 0..NODES, damages in damages(),
    ) {
        let Corpus { nodes, messages, now, .. } = corpus();
        let bytes = damaged(drawn(&which, messages), &damages);
        if let Ok(message) = CoreMessage::decode(&bytes) {
            assert_no_larger(&message, &bytes)?;
            deliver(&mut nodes[to].clone(), *now, nodes[from].id(), message);
        }
    }

    #[test]
    fn random_bytes_are_rejected_or_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(state) = DurableState::read_from_buffer(&bytes) {
            assert_no_larger(&state, &bytes)?;
        }
        if let Ok(record) = Record::read_from_buffer(&bytes) {
            assert_no_larger(&record, &bytes)?;
        }
        if let Ok(message) = CoreMessage::decode(&bytes) {
            assert_no_larger(&message, &bytes)?;
        }
    }
}

/// Overwrites every offset that could hold a length with `u32::MAX`, about four billion.
#[test]
fn false_lengths_reserve_no_memory() {
    let Corpus { messages, records, states, .. } = corpus();
    for bytes in messages.iter().chain(records).chain(states).take(4_000) {
        for at in 0..bytes.len().saturating_sub(3).min(200) {
            let mut bytes = bytes.clone();
            bytes[at..at + 4].copy_from_slice(&u32::MAX.to_le_bytes());
            drop(CoreMessage::decode(&bytes));
            drop(Record::read_from_buffer(&bytes));
            drop(DurableState::read_from_buffer(&bytes));
        }
    }
}
