//! Quorum contact is proven by echoes of this node's timestamps, and expires without further messages.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, Input, Machine, NodeId, Output, RequestId, RestoreError, Sequence,
};
use millrudder_clock::Instant;

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// Time within which a core of three bootstraps and its nodes receive each other's heartbeats.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
struct Count(u64);

impl Machine for Count {
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, _sequence: Sequence, command: &u64) -> u64 {
        self.0 += command;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(snapshot: &[u8]) -> Result<Count, RestoreError> {
        snapshot
            .try_into()
            .map(|bytes| Count(u64::from_le_bytes(bytes)))
            .map_err(|_| RestoreError::Unreadable)
    }
}

#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    sender: NodeId,
    message: CoreMessage,
}

/// Nodes on a network on which each link can be interrupted in one direction.
struct Cluster {
    now: Instant,
    nodes: Vec<CoreNode<Count>>,
    partitioned: Vec<(usize, usize)>,
    paused: Vec<usize>,
    in_flight: Vec<Envelope>,
    /// Messages held back on interrupted links, for late delivery.
    delayed: Vec<Envelope>,
    contact_changes: BTreeMap<usize, Vec<bool>>,
}

fn address(index: usize) -> String {
    format!("10.0.0.{index}:9000")
}

impl Cluster {
    fn bootstrapped(size: usize) -> Cluster {
        let node = |index| {
            let mut config = CoreConfig::new(address(index));
            config.bootstrap_addresses = (0..size).map(address).collect();
            config.minimum_members = size / 2 + 1;
            config.voters = 3;
            CoreNode::new(config, None, index as u64 + 1, Instant::ORIGIN).expect("the node starts")
        };
        let mut cluster = Cluster {
            now: Instant::ORIGIN,
            nodes: (0..size).map(node).collect(),
            partitioned: Vec::new(),
            paused: Vec::new(),
            in_flight: Vec::new(),
            delayed: Vec::new(),
            contact_changes: BTreeMap::new(),
        };
        cluster.run(BOOTSTRAP_TIME);
        cluster
    }

    fn input(&mut self, index: usize, input: Input<u64>) {
        self.nodes[index].handle(self.now, input);
        while let Some(output) = self.nodes[index].next_output() {
            match output {
                Output::Persist { token, .. } => {
                    self.nodes[index].handle(self.now, Input::Persisted { token });
                }
                Output::Send { to, message } => self.send(index, to, message),
                Output::QuorumContactGained => self.contact_changes.entry(index).or_default().push(true),
                Output::QuorumContactLost => self.contact_changes.entry(index).or_default().push(false),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: CoreMessage) {
        let sender = self.nodes[from].id();
        let Some(to) = self.nodes.iter().position(|node| node.id() == to) else {
            return;
        };
        let envelope = Envelope { from, to, sender, message };
        match self.partitioned.contains(&(from, to)) {
            true => self.delayed.push(envelope),
            false => self.in_flight.push(envelope),
        }
    }

    fn deliver(&mut self) {
        while !self.in_flight.is_empty() {
            for envelope in std::mem::take(&mut self.in_flight) {
                if !self.paused.contains(&envelope.to) {
                    self.input(
                        envelope.to,
                        Input::Message { from: envelope.sender, message: envelope.message },
                    );
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for index in
                (0..self.nodes.len()).filter(|index| !self.paused.contains(index)).collect::<Vec<_>>()
            {
                for peer in (0..self.nodes.len()).filter(|peer| *peer != index) {
                    if !self.partitioned.contains(&(peer, index)) {
                        let id = self.nodes[peer].id();
                        self.input(index, Input::PeerSeen { id, address: address(peer) });
                    }
                }
                self.input(index, Input::Tick);
            }
            self.deliver();
        }
    }

    fn isolate(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.partitioned.extend([(index, other), (other, index)]);
        }
    }

    fn has_contact(&self, index: usize) -> bool {
        self.nodes[index].has_quorum_contact(self.now)
    }
}

#[test]
fn connected_members_gain_contact_once() {
    let cluster = Cluster::bootstrapped(3);
    for index in 0..3 {
        assert!(cluster.has_contact(index));
        assert_eq!(cluster.contact_changes[&index], vec![true]);
    }
}

#[test]
fn a_core_of_one_is_its_own_majority() {
    assert!(Cluster::bootstrapped(1).has_contact(0));
}

#[test]
fn a_partitioned_member_loses_contact_before_it_can_be_replaced() {
    for index in 0..3 {
        let mut cluster = Cluster::bootstrapped(3);
        cluster.isolate(index);
        let epoch = cluster.nodes[(index + 1) % 3].epoch();
        while cluster.nodes[(index + 1) % 3].epoch() == epoch {
            cluster.run(STEP);
        }
        assert!(!cluster.has_contact(index), "machine {index} at {:?}", cluster.now);
        assert_eq!(cluster.contact_changes[&index], vec![true, false]);
    }
}

#[test]
fn the_remaining_members_keep_contact_while_one_is_replaced() {
    for index in 0..3 {
        let mut cluster = Cluster::bootstrapped(3);
        cluster.isolate(index);
        cluster.run(3 * SECOND);
        for stays in (0..3).filter(|stays| *stays != index) {
            assert_eq!(cluster.contact_changes[&stays], vec![true], "machine {stays} without {index}");
            assert!(cluster.has_contact(stays));
        }
    }
}

#[test]
fn a_partition_in_either_direction_ends_contact() {
    for outward in [false, true] {
        let mut cluster = Cluster::bootstrapped(3);
        let links = [1, 2].map(|other| if outward { (0, other) } else { (other, 0) });
        cluster.partitioned.extend(links);
        cluster.run(SECOND);
        assert!(!cluster.has_contact(0));
    }
}

#[test]
fn delayed_answers_prove_nothing_of_the_present() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.partitioned.extend([(1, 0), (2, 0)]);
    cluster.run(SECOND / 5);
    cluster.isolate(0);
    cluster.run(SECOND);
    assert!(!cluster.has_contact(0));
    // Delivers all delayed heartbeats at once; the timestamps that they echo are a second old.
    cluster.partitioned.clear();
    let late = std::mem::take(&mut cluster.delayed);
    let heartbeats =
        late.into_iter().filter(|envelope| matches!(envelope.message, CoreMessage::Heartbeat(_)));
    for envelope in heartbeats.filter(|envelope| envelope.to == 0).collect::<Vec<_>>() {
        assert_ne!(envelope.from, 0);
        cluster.input(0, Input::Message { from: envelope.sender, message: envelope.message });
    }
    assert!(!cluster.has_contact(0));
}

#[test]
fn a_paused_process_finds_its_contact_expired_first() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.paused = vec![0];
    cluster.run(SECOND);
    cluster.paused.clear();
    assert!(!cluster.has_contact(0));
    cluster.nodes[0].handle(cluster.now, Input::Read { request_id: RequestId(1) });
    assert!(matches!(cluster.nodes[0].next_output(), Some(Output::QuorumContactLost)));
}

#[test]
fn contact_is_regained_with_the_connection() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.isolate(1);
    cluster.run(5 * SECOND);
    assert!(!cluster.has_contact(1));
    cluster.partitioned.clear();
    cluster.run(SECOND);
    assert!(cluster.has_contact(1));
    assert_eq!(cluster.contact_changes[&1], vec![true, false, true]);
}

#[test]
fn a_node_learns_of_its_loss_by_its_own_deadline() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.isolate(0);
    while cluster.has_contact(0) {
        let due = cluster.nodes[0].next_deadline();
        assert!(due > cluster.now, "a deadline that has passed");
        cluster.now = due;
        cluster.input(0, Input::Tick);
    }
    assert_eq!(cluster.contact_changes[&0], vec![true, false]);
}

#[test]
fn after_a_clock_stall_contact_must_be_proven_anew() {
    let mut cluster = Cluster::bootstrapped(3);
    // Heartbeats that echo earlier timestamps are waiting unread.
    cluster.paused = vec![0];
    cluster.run(SECOND / 10);
    cluster.paused.clear();
    assert!(cluster.has_contact(0), "by its clock too little time has passed");
    let now = cluster.now;
    cluster.nodes[0].handle(now, Input::ClockStalled);
    assert!(!cluster.has_contact(0));
    assert!(cluster.nodes[0].state_age(now).is_none());
    let lost = std::iter::from_fn(|| cluster.nodes[0].next_output());
    assert!(lost.into_iter().any(|output| matches!(output, Output::QuorumContactLost)));
    cluster.run(SECOND);
    assert!(cluster.has_contact(0));
}
