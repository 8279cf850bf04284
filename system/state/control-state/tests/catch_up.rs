//! A member that catches up, or restarts, after many changes: it replies as the others do, and the cost does not grow with
//! their number.

use millrudder_chain::{CoreConfig, CoreMessage, CoreNode, DurableState, Input, Output, RequestId};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, ControlState};
use millrudder_protocol::control::ConfigurationText;
use speedy::{Readable, Writable};
use std::collections::VecDeque;

type Node = CoreNode<ControlState>;

const STEP_MICROS: u64 = 5_000;
const JOIN_WITHIN_MICROS: u64 = 2_000_000;
const BODY_BYTES: usize = 2_000;
/// A message holds 64 KiB of entries or of a snapshot, and little beside it.
const MAX_MESSAGE_BYTES: usize = (64 << 10) + 128;

fn json(version: u64) -> Vec<u8> {
    let mut json = format!("{{\"version\":{version},").into_bytes();
    json.resize(BODY_BYTES, b'r');
    json
}

/// A node whose disk holds everything at once.
struct Host {
    node: Node,
    sent: VecDeque<CoreMessage>,
}

impl Host {
    fn start(number: u64, is_founder: bool, state: Option<DurableState>) -> Host {
        let address = format!("10.0.0.{number}:9000");
        let mut config = CoreConfig::new(address.clone());
        config.minimum_members = 1;
        config.bootstrap_addresses = if is_founder { vec![address] } else { Vec::new() };
        let node = Node::new(config, state, number, Instant::ORIGIN).expect("the node starts");
        Host { node, sent: VecDeque::new() }
    }

    fn input(&mut self, now: u64, input: Input<Command>) {
        let now = Instant::from_micros(now);
        self.node.handle(now, input);
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { message, .. } => self.sent.push_back(message),
                Output::Persist { token, .. } => self.node.handle(now, Input::Persisted { token }),
                _ => {}
            }
        }
    }

    /// A core of one that has accepted configurations with the versions up to `versions`.
    fn after(versions: u64) -> Host {
        let mut host = Host::start(1, true, None);
        host.input(100_000, Input::Tick);
        for version in 1..=versions {
            let configuration = ConfigurationText { version, json: json(version) };
            let command = Command::PutConfiguration { expected_version: version - 1, configuration };
            host.input(200_000, Input::Submit { request_id: RequestId(version.into()), command });
        }
        assert_eq!(host.node.machine().configuration().version, versions);
        host.sent.clear();
        host
    }
}

/// Lengths of the messages with which `learner` catches up.
fn catch_up(member: &mut Host, learner: &mut Host) -> Vec<usize> {
    let (from, to) = (member.node.id(), learner.node.id());
    let mut now = 300_000;
    let mut lengths = Vec::new();
    learner.input(now, Input::PeerSeen { id: from, address: "10.0.0.1:9000".to_owned() });
    while learner.node.committed() < member.node.committed() && now < JOIN_WITHIN_MICROS {
        while let Some(message) = learner.sent.pop_front() {
            member.input(now, Input::Message { from: to, message });
        }
        while let Some(message) = member.sent.pop_front() {
            lengths.push(message.encode().len());
            learner.input(now, Input::Message { from, message });
        }
        now += STEP_MICROS;
        member.input(now, Input::Tick);
        learner.input(now, Input::Tick);
    }
    assert_eq!(learner.node.committed(), member.node.committed());
    lengths
}

#[test]
fn a_member_that_catches_up_knows_accepted_configurations() {
    let mut member = Host::after(1_500);
    let mut learner = Host::start(2, false, None);
    catch_up(&mut member, &mut learner);
    assert_eq!(learner.node.machine(), member.node.machine());
    for version in [1, 700, 1_500] {
        assert!(learner.node.machine().has_accepted(&json(version)), "version {version}");
    }
    assert!(!learner.node.machine().has_accepted(&json(1_501)));
}

#[test]
fn a_member_that_restarts_knows_accepted_configurations() {
    let member = Host::after(1_500);
    let bytes = member.node.durable_state().write_to_vec().expect("it is written");
    let state = DurableState::read_from_buffer(&bytes).expect("it is read");
    let again = Host::start(1, false, Some(state));
    assert_eq!(again.node.machine(), member.node.machine());
    assert!(again.node.machine().has_accepted(&json(1)));
}

#[test]
fn neither_catch_up_nor_checkpoint_grows_with_the_number_of_changes() {
    let cost = |versions: u64| {
        let mut member = Host::after(versions);
        let mut learner = Host::start(2, false, None);
        let lengths = catch_up(&mut member, &mut learner);
        assert!(lengths.iter().all(|length| *length <= MAX_MESSAGE_BYTES), "{lengths:?}");
        let checkpoint = member.node.durable_state().write_to_vec().expect("it is written").len();
        (lengths.iter().sum::<usize>(), checkpoint)
    };
    let (many, checkpoint_of_many) = cost(6_000);
    let (more, checkpoint_of_more) = cost(9_000);
    assert!(checkpoint_of_more <= checkpoint_of_many + 64, "{checkpoint_of_many} and {checkpoint_of_more}");
    // Heartbeats and the end of the log differ a little.
    assert!(more <= many + 4 * BODY_BYTES, "{many} and {more}");
}
