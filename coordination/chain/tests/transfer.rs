//! The transfer of a large state to a node that is far behind: parts, losses, damage, changes of view, restarts.

mod concat_machine;

use std::collections::BTreeMap;

use concat_machine::{address, Text};
use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Input, InstallSnapshotChunk, NodeId, Output, RequestId,
    Sequence, SnapshotChunk, SnapshotId, MAX_SNAPSHOT_BYTES,
};

/// Time goes on in steps of this many microseconds; a message takes one step.
const STEP_MICROS: u64 = 5_000;
const SECOND: u64 = 1_000_000;
const PART_BYTES: usize = 64;
/// The learner's state is replaced beyond this many commands.
const KEPT_ENTRIES: usize = 4;
/// Commands before the learner comes, and the length of each in bytes.
const COMMANDS: u128 = 60;
const COMMAND_BYTES: usize = 100;
/// Parts that may be under way at once.
const PARTS_IN_FLIGHT: usize = 4;

/// A node with its disk, on which everything is durable at once.
struct Host {
    node: CoreNode<Text>,
    disk: DurableState,
}

/// A message under way.
struct Letter {
    from: NodeId,
    to: NodeId,
    message: CoreMessage,
}

type Interference = Box<dyn FnMut(&mut Letter) -> bool>;

/// A core, and what happens to its messages.
struct Cluster {
    now: u64,
    hosts: BTreeMap<usize, Host>,
    letters: Vec<Letter>,
    /// Returns whether a letter arrives; may change it.
    interference: Interference,
    /// Parts that have been sent, in order.
    parts: Vec<SnapshotChunk>,
}

fn config(place: usize, founders: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(place));
    config.founders = (1..=founders).map(address).collect();
    config.minimum_members = 1;
    config.batch_bytes = PART_BYTES;
    config.kept_entries = KEPT_ENTRIES;
    config
}

impl Cluster {
    /// A core of `size` that has committed many commands.
    fn with_state(size: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            hosts: BTreeMap::new(),
            letters: Vec::new(),
            interference: Box::new(|_| true),
            parts: Vec::new(),
        };
        (1..=size).for_each(|place| cluster.start(place, config(place, size), None));
        cluster.run(SECOND);
        (1..=COMMANDS).for_each(|number| cluster.submit(number));
        cluster.run(SECOND);
        assert_eq!(cluster.node(1).committed(), Sequence(COMMANDS as u64));
        cluster
    }

    fn start(&mut self, place: usize, config: CoreConfig, disk: Option<DurableState>) {
        let seed = self.now + place as u64;
        let node = CoreNode::new(config, disk.clone(), seed, self.now).expect("the node starts");
        self.hosts.insert(place, Host { node, disk: disk.unwrap_or_default() });
        self.take_outputs(place);
    }

    /// A node without state that wants to be a member.
    fn start_learner(&mut self, place: usize) {
        let mut config = config(place, 0);
        config.founders = Vec::new();
        self.start(place, config, None);
    }

    fn node(&self, place: usize) -> &CoreNode<Text> {
        &self.hosts[&place].node
    }

    fn submit(&mut self, number: u128) {
        self.submit_at(1, number);
    }

    fn submit_at(&mut self, place: usize, number: u128) {
        let command = format!("{number:>COMMAND_BYTES$}");
        self.input(place, Input::Submit { request_id: RequestId(number), command });
    }

    fn input(&mut self, place: usize, input: Input<String>) {
        if let Some(host) = self.hosts.get_mut(&place) {
            host.node.handle(self.now, input);
            self.take_outputs(place);
        }
    }

    fn take_outputs(&mut self, place: usize) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&place) else { return };
        while let Some(output) = host.node.next_output() {
            match output {
                Output::Send { to, message } => {
                    if let CoreMessage::Install(install) = &message {
                        self.parts.push(install.part.clone());
                    }
                    self.letters.push(Letter { from: host.node.id(), to, message });
                }
                Output::Persist { token, record } => {
                    host.disk.apply(&record);
                    host.node.handle(now, Input::Persisted { token });
                }
                _ => {}
            }
        }
    }

    /// Machines find each other.
    fn introduce(&mut self) {
        let known: Vec<(usize, NodeId)> =
            self.hosts.iter().map(|(place, host)| (*place, host.node.id())).collect();
        for (place, _) in &known {
            for (peer, id) in known.iter().filter(|(peer, _)| peer != place) {
                self.input(*place, Input::PeerSeen { id: *id, address: address(*peer) });
            }
        }
    }

    fn step(&mut self) {
        self.introduce();
        for mut letter in std::mem::take(&mut self.letters) {
            if (self.interference)(&mut letter) {
                self.deliver(letter);
            }
        }
        self.now += STEP_MICROS;
        let places: Vec<usize> = self.hosts.keys().copied().collect();
        places.into_iter().for_each(|place| self.input(place, Input::Tick));
    }

    fn deliver(&mut self, letter: Letter) {
        let Letter { from, to, message } = letter;
        let target = self.hosts.iter().find(|(_, host)| host.node.id() == to);
        if let Some(place) = target.map(|(place, _)| *place) {
            self.input(place, Input::Message { from, message });
        }
    }

    fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.step();
        }
    }

    /// Goes on until this many parts have been sent.
    fn run_until_parts(&mut self, parts: usize) {
        let end = self.now + 10 * SECOND;
        while self.parts.len() < parts && self.now < end {
            self.step();
        }
        assert!(self.parts.len() >= parts, "parts are sent");
    }

    fn assert_brought_up(&self, place: usize) {
        assert_eq!(self.node(place).committed(), self.node(1).committed());
        assert_eq!(self.node(place).machine(), self.node(1).machine());
    }
}

fn is_part(letter: &Letter) -> bool {
    matches!(letter.message, CoreMessage::Install(_))
}

fn is_answer_to_part(letter: &Letter) -> bool {
    matches!(letter.message, CoreMessage::InstallReceived { .. })
}

/// Parts of a state that is sent once.
fn parts_of_one_transfer() -> usize {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run(2 * SECOND);
    cluster.assert_brought_up(2);
    cluster.parts.len()
}

#[test]
fn a_state_comes_in_small_parts_each_of_them_once() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run(2 * SECOND);
    cluster.assert_brought_up(2);
    let id = cluster.parts[0].id;
    let mut next = 0;
    for part in &cluster.parts {
        assert_eq!((part.id, part.offset), (id, next), "one part after the other");
        assert!(part.bytes.len() <= PART_BYTES);
        next += part.bytes.len() as u64;
    }
    assert_eq!(next, id.length);
}

#[test]
fn no_more_than_some_parts_are_under_way() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_parts(20);
    cluster.interference = Box::new(|letter| !is_answer_to_part(letter));
    let before = cluster.parts.len();
    (0..10).for_each(|_| cluster.step());
    assert!(cluster.parts.len() - before <= PARTS_IN_FLIGHT + 1, "{}", cluster.parts.len() - before);
}

#[test]
fn a_transfer_goes_on_where_it_stood_when_answers_were_lost() {
    let whole = parts_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_parts(whole / 2);
    cluster.interference = Box::new(|letter| !is_answer_to_part(letter));
    cluster.run(SECOND);
    cluster.interference = Box::new(|_| true);
    cluster.run(2 * SECOND);
    cluster.assert_brought_up(2);
    // One window is lost, and one part goes out in each pause of 200 ms.
    assert!(
        cluster.parts.len() <= whole + 2 * PARTS_IN_FLIGHT + 6,
        "{} parts for {whole}",
        cluster.parts.len()
    );
}

#[test]
fn parts_that_come_in_another_order_are_put_in_order() {
    let whole = parts_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    let end = cluster.now + 4 * SECOND;
    while cluster.now < end {
        cluster.letters.reverse();
        cluster.step();
    }
    cluster.assert_brought_up(2);
    assert_eq!(cluster.parts.len(), whole, "no part twice");
}

#[test]
fn a_damaged_part_is_not_installed() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    let mut number = 0;
    cluster.interference = Box::new(move |letter| {
        if let CoreMessage::Install(install) = &mut letter.message {
            number += 1;
            if number == 10 {
                install.part.bytes[0] ^= 1;
            }
        }
        true
    });
    cluster.run(4 * SECOND);
    cluster.assert_brought_up(2);
}

#[test]
fn a_transfer_goes_on_in_the_next_view() {
    let whole = parts_of_one_transfer();
    let mut cluster = Cluster::with_state(3);
    let tail = cluster.node(1).view().and_then(|view| view.tail()).expect("a view");
    let lost = (2..=3).find(|place| cluster.node(*place).id() != tail).expect("one in the middle");
    cluster.start_learner(4);
    // The transfer is held up from its middle until the next view is in force.
    let middle = cluster.parts.len() + whole / 2;
    cluster.run_until_parts(middle);
    cluster.interference = Box::new(|letter| !is_part(letter));
    cluster.hosts.remove(&lost);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.node(1).view().map(|view| view.members.len()), Some(2));
    let before = cluster.parts.len();
    cluster.interference = Box::new(|_| true);
    cluster.run(2 * SECOND);
    cluster.assert_brought_up(4);
    let after = cluster.parts.len() - before;
    assert!(after <= whole / 2 + 2 * PARTS_IN_FLIGHT, "{after} parts of {whole} in the next view");
}

#[test]
fn a_receiver_that_restarts_gets_the_state_from_its_start() {
    let whole = parts_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_parts(whole / 2);
    let disk = cluster.hosts.remove(&2).map(|host| host.disk);
    let mut config = config(2, 0);
    config.founders = Vec::new();
    cluster.start(2, config, disk);
    cluster.run(3 * SECOND);
    cluster.assert_brought_up(2);
}

#[test]
fn writes_during_a_transfer_need_no_second_one() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    for number in COMMANDS + 1..COMMANDS + 25 {
        cluster.run_until_parts(cluster.parts.len() + 1);
        cluster.submit(number);
    }
    cluster.run(2 * SECOND);
    cluster.assert_brought_up(2);
    let id = cluster.parts[0].id;
    assert!(cluster.parts.iter().all(|part| part.id == id), "one snapshot is enough");
}

#[test]
fn a_request_that_comes_again_to_a_node_that_was_brought_up_does_not_run_again() {
    let mut cluster = Cluster::with_state(2);
    // The one that was brought up becomes the head once those before it are gone.
    for (newcomer, lost) in [(3, 1), (4, 2)] {
        cluster.start_learner(newcomer);
        cluster.run(2 * SECOND);
        cluster.hosts.remove(&lost);
        cluster.run(3 * SECOND);
    }
    let node = cluster.node(3);
    assert_eq!(node.view().and_then(|view| view.head()), Some(node.id()));
    let before = node.machine().clone();
    for number in [COMMANDS, COMMANDS / 2] {
        cluster.submit_at(3, number);
    }
    cluster.run(SECOND);
    assert_eq!(cluster.node(3).machine(), &before);
    cluster.submit_at(3, COMMANDS + 1);
    cluster.run(SECOND);
    assert_ne!(cluster.node(3).machine(), &before);
}

/// A part that no honest sender sends, from the node that feeds the learner.
fn forged(cluster: &mut Cluster, change: impl FnOnce(&mut SnapshotId, &mut SnapshotChunk)) -> Letter {
    cluster.run_until_parts(5);
    let honest = cluster.parts[4].clone();
    let (mut id, mut part) = (honest.id, honest);
    change(&mut id, &mut part);
    part.id = id;
    let epoch = cluster.node(1).epoch();
    let complete_at = Sequence::default();
    let install = InstallSnapshotChunk { epoch, part, complete_at, sealed: false, differs_at: None };
    let message = CoreMessage::Install(install);
    Letter { from: cluster.node(1).id(), to: cluster.node(2).id(), message }
}

#[test]
fn a_part_that_lies_about_lengths_does_no_harm() {
    let lies: [fn(&mut SnapshotId, &mut SnapshotChunk); 5] = [
        |id, _| id.length = u64::MAX,
        |id, _| id.length = MAX_SNAPSHOT_BYTES + 1,
        |_, part| part.offset = u64::MAX,
        |_, part| part.bytes = vec![7; 1 << 20],
        |id, part| {
            id.length = 0;
            part.bytes.clear();
        },
    ];
    for lie in lies {
        let mut cluster = Cluster::with_state(1);
        cluster.start_learner(2);
        let letter = forged(&mut cluster, lie);
        cluster.deliver(letter);
        cluster.run(4 * SECOND);
        cluster.assert_brought_up(2);
    }
}
