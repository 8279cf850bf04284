//! Bytes that no node has written: states, records and messages with damage are refused, or taken without harm.

mod concat_machine;

use std::collections::VecDeque;
use std::sync::OnceLock;

use concat_machine::{address, Text};
use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Input, NodeId, Output, Record, RequestId,
};
use proptest::prelude::*;
use proptest::sample::Index;
use speedy::{Readable, Writable};

const CASES: u32 = 2_000;
const STEP_MICROS: u64 = 20_000;
/// Steps of the run in which real bytes are gathered, and commands in it.
const STEPS: u64 = 120;
const COMMANDS: u64 = 40;
const PLACES: usize = 3;

type Node = CoreNode<Text>;

/// What real nodes have written, and how they stand afterwards.
struct Gathered {
    nodes: Vec<Node>,
    messages: Vec<Vec<u8>>,
    records: Vec<Vec<u8>>,
    states: Vec<Vec<u8>>,
    now: u64,
}

fn config(place: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(place));
    // The last one comes later, and needs the whole state.
    config.founders = if place + 1 < PLACES { (0..PLACES - 1).map(address).collect() } else { Vec::new() };
    config.minimum_members = 1;
    config.kept_entries = 4;
    config.batch_bytes = 128;
    config.checkpoint_bytes = 512;
    config
}

impl Gathered {
    fn new() -> Gathered {
        let node = |place: usize| Node::new(config(place), None, place as u64 + 1, 0).expect("it starts");
        let nodes = (0..PLACES).map(node).collect();
        Gathered { nodes, messages: Vec::new(), records: Vec::new(), states: Vec::new(), now: 0 }
    }

    fn run(mut self) -> Gathered {
        let mut under_way = VecDeque::new();
        for step in 0..STEPS {
            self.now += STEP_MICROS;
            let present = if step < STEPS / 2 { PLACES - 1 } else { PLACES };
            for place in 0..present {
                self.introduce(place, present, &mut under_way);
                self.input(place, Input::Tick, &mut under_way);
            }
            if step > STEPS / 4 && step - STEPS / 4 <= COMMANDS {
                let (request_id, command) = (RequestId(step.into()), format!("command {step}"));
                self.input(0, Input::Submit { request_id, command }, &mut under_way);
            }
            while let Some((from, to, message)) = under_way.pop_front() {
                if let Some(place) = self.nodes[..present].iter().position(|node| node.id() == to) {
                    self.input(place, Input::Message { from, message }, &mut under_way);
                }
            }
        }
        self
    }

    fn introduce(&mut self, place: usize, present: usize, under_way: &mut Letters) {
        for peer in (0..present).filter(|peer| *peer != place) {
            let id = self.nodes[peer].id();
            self.input(place, Input::PeerSeen { id, address: address(peer) }, under_way);
        }
    }

    fn input(&mut self, place: usize, input: Input<String>, under_way: &mut Letters) {
        let node = &mut self.nodes[place];
        node.handle(self.now, input);
        while let Some(output) = node.next_output() {
            match output {
                Output::Send { to, message } => {
                    self.messages.push(message.encode());
                    under_way.push_back((node.id(), to, message));
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

type Letters = VecDeque<(NodeId, NodeId, CoreMessage)>;

fn gathered() -> &'static Gathered {
    static GATHERED: OnceLock<Gathered> = OnceLock::new();
    GATHERED.get_or_init(|| {
        let gathered = Gathered::new().run();
        assert!(gathered.nodes.iter().all(Node::is_in_step), "the core stands");
        let messages = gathered.messages.iter().filter_map(|bytes| CoreMessage::decode(bytes).ok());
        assert!(messages.into_iter().any(|message| matches!(message, CoreMessage::Install(_))));
        assert!(!gathered.states.is_empty() && !gathered.records.is_empty());
        gathered
    })
}

/// Damage to bytes.
#[derive(Clone, Debug)]
enum Damage {
    Flip {
        at: Index,
        mask: u8,
    },
    /// A length or number becomes another one.
    Number {
        at: Index,
        number: u32,
    },
    Large {
        at: Index,
        number: u64,
    },
    Cut {
        at: Index,
    },
    Doubled {
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
        any::<Index>().prop_map(|at| Damage::Cut { at }),
        any::<Index>().prop_map(|at| Damage::Doubled { at }),
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
            Damage::Cut { at } => bytes.truncate(at.index(bytes.len())),
            Damage::Doubled { at } => {
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

/// A value does not hold more than the bytes that it was read from.
fn assert_no_larger<T: Writable<speedy::LittleEndian>>(value: &T, bytes: &[u8]) -> Result<(), TestCaseError> {
    let length = value.write_to_vec().expect("it is written").len();
    prop_assert!(length <= bytes.len(), "{length} bytes read from {}", bytes.len());
    Ok(())
}

/// A node that is started from a state goes on for a while.
fn start(state: DurableState) {
    let Ok(mut node) = Node::new(config(0), Some(state), 7, 0) else { return };
    for step in 0..8 {
        node.handle(step * 400_000, Input::Tick);
        node.handle(step * 400_000, Input::Read { request_id: RequestId(u128::from(step)) });
        while let Some(output) = node.next_output() {
            if let Output::Persist { token, .. } = output {
                node.handle(step * 400_000, Input::Persisted { token });
            }
        }
    }
}

/// A node gets a message from another one, and goes on for a while.
fn take(node: &mut Node, now: u64, from: NodeId, message: CoreMessage) {
    node.handle(now, Input::Message { from, message });
    for step in 1..4 {
        while let Some(output) = node.next_output() {
            if let Output::Persist { token, .. } = output {
                node.handle(now, Input::Persisted { token });
            }
        }
        node.handle(now + step * 300_000, Input::Tick);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_damaged_state_is_refused_or_started_from(which in any::<Index>(), damages in damages()) {
        let bytes = damaged(drawn(&which, &gathered().states), &damages);
        if let Ok(state) = DurableState::read_from_buffer(&bytes) {
            assert_no_larger(&state, &bytes)?;
            start(state);
        }
    }

    #[test]
    fn a_damaged_record_is_refused_or_folded_in(which in any::<Index>(), state in any::<Index>(), damages in damages()) {
        let bytes = damaged(drawn(&which, &gathered().records), &damages);
        if let Ok(record) = Record::read_from_buffer(&bytes) {
            assert_no_larger(&record, &bytes)?;
            let state = drawn(&state, &gathered().states);
            let mut state = DurableState::read_from_buffer(state).expect("it is whole");
            state.apply(&record);
            start(state);
        }
    }

    #[test]
    fn a_damaged_message_is_refused_or_taken(
        which in any::<Index>(), from in 0..PLACES, to in 0..PLACES, damages in damages(),
    ) {
        let Gathered { nodes, messages, now, .. } = gathered();
        let bytes = damaged(drawn(&which, messages), &damages);
        if let Ok(message) = CoreMessage::decode(&bytes) {
            assert_no_larger(&message, &bytes)?;
            take(&mut nodes[to].clone(), *now, nodes[from].id(), message);
        }
    }

    #[test]
    fn random_bytes_are_refused_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
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

/// Every place that could hold a length says that four billion follow.
#[test]
fn lengths_that_lie_reserve_no_memory() {
    let Gathered { messages, records, states, .. } = gathered();
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
