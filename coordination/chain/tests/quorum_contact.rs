//! Contact with a majority is proven by answers to what this node sent, and expires by itself.

use std::collections::BTreeMap;

use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, Input, Machine, NodeId, Output, RequestId, RestoreError, Sequence,
};

const STEP_MICROS: u64 = 10_000;
const SECOND: u64 = 1_000_000;
/// Within this time a founded core of three has heard from each other (microseconds).
const SETTLED: u64 = 2 * SECOND;

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
struct Letter {
    from: usize,
    to: usize,
    sender: NodeId,
    message: CoreMessage,
}

/// Cores on a network on which each link can be cut in one direction.
struct Cluster {
    now: u64,
    nodes: Vec<CoreNode<Count>>,
    cut: Vec<(usize, usize)>,
    frozen: Vec<usize>,
    letters: Vec<Letter>,
    /// Letters on cut links, kept to come late.
    held: Vec<Letter>,
    told: BTreeMap<usize, Vec<bool>>,
}

fn address(place: usize) -> String {
    format!("10.0.0.{place}:9000")
}

impl Cluster {
    fn founded(size: usize) -> Cluster {
        let node = |place| {
            let mut config = CoreConfig::new(address(place));
            config.founders = (0..size).map(address).collect();
            config.minimum_members = size / 2 + 1;
            config.voters = 3;
            CoreNode::new(config, None, place as u64 + 1, 0).expect("the node starts")
        };
        let mut cluster = Cluster {
            now: 0,
            nodes: (0..size).map(node).collect(),
            cut: Vec::new(),
            frozen: Vec::new(),
            letters: Vec::new(),
            held: Vec::new(),
            told: BTreeMap::new(),
        };
        cluster.run(SETTLED);
        cluster
    }

    fn input(&mut self, place: usize, input: Input<u64>) {
        self.nodes[place].handle(self.now, input);
        while let Some(output) = self.nodes[place].next_output() {
            match output {
                Output::Persist { token, .. } => {
                    self.nodes[place].handle(self.now, Input::Persisted { token });
                }
                Output::Send { to, message } => self.send(place, to, message),
                Output::QuorumContactGained => self.told.entry(place).or_default().push(true),
                Output::QuorumContactLost => self.told.entry(place).or_default().push(false),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: CoreMessage) {
        let sender = self.nodes[from].id();
        let Some(to) = self.nodes.iter().position(|node| node.id() == to) else {
            return;
        };
        let letter = Letter { from, to, sender, message };
        match self.cut.contains(&(from, to)) {
            true => self.held.push(letter),
            false => self.letters.push(letter),
        }
    }

    fn deliver(&mut self) {
        while !self.letters.is_empty() {
            for letter in std::mem::take(&mut self.letters) {
                if !self.frozen.contains(&letter.to) {
                    self.input(letter.to, Input::Message { from: letter.sender, message: letter.message });
                }
            }
        }
    }

    fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.now += STEP_MICROS;
            for place in
                (0..self.nodes.len()).filter(|place| !self.frozen.contains(place)).collect::<Vec<_>>()
            {
                for peer in (0..self.nodes.len()).filter(|peer| *peer != place) {
                    if !self.cut.contains(&(peer, place)) {
                        let id = self.nodes[peer].id();
                        self.input(place, Input::PeerSeen { id, address: address(peer) });
                    }
                }
                self.input(place, Input::Tick);
            }
            self.deliver();
        }
    }

    fn isolate(&mut self, place: usize) {
        for other in 0..self.nodes.len() {
            self.cut.extend([(place, other), (other, place)]);
        }
    }

    fn has_contact(&self, place: usize) -> bool {
        self.nodes[place].has_majority_contact(self.now)
    }
}

#[test]
fn members_that_hear_each_other_have_contact_and_say_so_once() {
    let cluster = Cluster::founded(3);
    for place in 0..3 {
        assert!(cluster.has_contact(place));
        assert_eq!(cluster.told[&place], vec![true]);
    }
}

#[test]
fn a_core_of_one_is_its_own_majority() {
    assert!(Cluster::founded(1).has_contact(0));
}

#[test]
fn a_member_that_is_cut_off_loses_contact_before_it_can_be_replaced() {
    for place in 0..3 {
        let mut cluster = Cluster::founded(3);
        cluster.isolate(place);
        let epoch = cluster.nodes[(place + 1) % 3].epoch();
        while cluster.nodes[(place + 1) % 3].epoch() == epoch {
            cluster.run(STEP_MICROS);
        }
        assert!(!cluster.has_contact(place), "machine {place} at {}", cluster.now);
        assert_eq!(cluster.told[&place], vec![true, false]);
    }
}

#[test]
fn those_that_stay_keep_contact_while_one_is_replaced() {
    for place in 0..3 {
        let mut cluster = Cluster::founded(3);
        cluster.isolate(place);
        cluster.run(3 * SECOND);
        for stays in (0..3).filter(|stays| *stays != place) {
            assert_eq!(cluster.told[&stays], vec![true], "machine {stays} without {place}");
            assert!(cluster.has_contact(stays));
        }
    }
}

#[test]
fn a_cut_in_either_direction_ends_contact() {
    for outward in [false, true] {
        let mut cluster = Cluster::founded(3);
        let links = [1, 2].map(|other| if outward { (0, other) } else { (other, 0) });
        cluster.cut.extend(links);
        cluster.run(SECOND);
        assert!(!cluster.has_contact(0));
    }
}

#[test]
fn answers_that_come_late_prove_nothing_of_the_present() {
    let mut cluster = Cluster::founded(3);
    cluster.cut.extend([(1, 0), (2, 0)]);
    cluster.run(SECOND / 5);
    cluster.isolate(0);
    cluster.run(SECOND);
    assert!(!cluster.has_contact(0));
    // All that the others sent meanwhile comes at once; it answers questions of a second ago.
    cluster.cut.clear();
    let late = std::mem::take(&mut cluster.held);
    let heartbeats = late.into_iter().filter(|letter| matches!(letter.message, CoreMessage::Heartbeat(_)));
    for letter in heartbeats.filter(|letter| letter.to == 0).collect::<Vec<_>>() {
        assert_ne!(letter.from, 0);
        cluster.input(0, Input::Message { from: letter.sender, message: letter.message });
    }
    assert!(!cluster.has_contact(0));
}

#[test]
fn a_process_that_stood_still_finds_its_contact_expired_before_anything_else() {
    let mut cluster = Cluster::founded(3);
    cluster.frozen = vec![0];
    cluster.run(SECOND);
    cluster.frozen.clear();
    assert!(!cluster.has_contact(0));
    cluster.nodes[0].handle(cluster.now, Input::Read { request_id: RequestId(1) });
    assert!(matches!(cluster.nodes[0].next_output(), Some(Output::QuorumContactLost)));
}

#[test]
fn contact_comes_back_with_the_connection() {
    let mut cluster = Cluster::founded(3);
    cluster.isolate(1);
    cluster.run(5 * SECOND);
    assert!(!cluster.has_contact(1));
    cluster.cut.clear();
    cluster.run(SECOND);
    assert!(cluster.has_contact(1));
    assert_eq!(cluster.told[&1], vec![true, false, true]);
}

#[test]
fn a_node_learns_of_its_loss_by_its_own_deadline() {
    let mut cluster = Cluster::founded(3);
    cluster.isolate(0);
    while cluster.has_contact(0) {
        let due = cluster.nodes[0].next_deadline();
        assert!(due > cluster.now, "a deadline that has passed");
        cluster.now = due;
        cluster.input(0, Input::Tick);
    }
    assert_eq!(cluster.told[&0], vec![true, false]);
}

#[test]
fn a_clock_that_stood_still_proves_nothing_until_something_comes_back_anew() {
    let mut cluster = Cluster::founded(3);
    // Answers to what was sent before lie unread.
    cluster.frozen = vec![0];
    cluster.run(SECOND / 10);
    cluster.frozen.clear();
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
