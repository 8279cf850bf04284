//! Transfer of a large snapshot to a node that is far behind: chunks, losses, corruption, view changes, restarts.

mod concat_machine;

use std::collections::BTreeMap;
use std::time::Duration;

use concat_machine::{address, Text};
use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Input, InstallSnapshotChunk, NodeId, Output, RequestId,
    Sequence, SnapshotChunk, SnapshotId, MAX_SNAPSHOT_BYTES,
};
use millrudder_clock::Instant;

/// Step of the simulated time; a message takes one step to arrive.
const STEP: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
const CHUNK_BYTES: usize = 64;
/// A learner that is more than this many commands behind needs a snapshot.
const RETAINED_ENTRIES: usize = 4;
/// Number of commands committed before the learner starts.
const COMMANDS: u128 = 60;
/// Length of each command in bytes.
const COMMAND_BYTES: usize = 100;
/// Chunks that may be in flight at once.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;

/// A node with its disk, on which everything is durable at once.
struct Host {
    node: CoreNode<Text>,
    disk: DurableState,
}

/// A message in flight.
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: CoreMessage,
}

type MessageFilter = Box<dyn FnMut(&mut Envelope) -> bool>;

/// A core, whose messages pass through a filter.
struct Cluster {
    now: Instant,
    hosts: BTreeMap<usize, Host>,
    in_flight: Vec<Envelope>,
    /// Returns whether a message is delivered; may modify it.
    message_filter: MessageFilter,
    /// Chunks that have been sent, in order.
    chunks: Vec<SnapshotChunk>,
}

fn config(index: usize, size: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(index));
    config.bootstrap_addresses = (1..=size).map(address).collect();
    config.minimum_members = 1;
    config.batch_bytes = CHUNK_BYTES;
    config.retained_entries = RETAINED_ENTRIES;
    config
}

impl Cluster {
    /// A core of `size` nodes that has committed [`COMMANDS`] commands.
    fn with_state(size: usize) -> Cluster {
        let mut cluster = Cluster {
            now: Instant::ORIGIN,
            hosts: BTreeMap::new(),
            in_flight: Vec::new(),
            message_filter: Box::new(|_| true),
            chunks: Vec::new(),
        };
        (1..=size).for_each(|index| cluster.start(index, config(index, size), None));
        cluster.run(SECOND);
        (1..=COMMANDS).for_each(|number| cluster.submit(number));
        cluster.run(SECOND);
        assert_eq!(cluster.node(1).committed(), Sequence(COMMANDS as u64));
        cluster
    }

    fn start(&mut self, index: usize, config: CoreConfig, disk: Option<DurableState>) {
        let seed = self.now.as_micros() + index as u64;
        let node = CoreNode::new(config, disk.clone(), seed, self.now).expect("the node starts");
        self.hosts.insert(index, Host { node, disk: disk.unwrap_or_default() });
        self.take_outputs(index);
    }

    /// Starts a node without state, which follows as a learner until it is admitted.
    fn start_learner(&mut self, index: usize) {
        let mut config = config(index, 0);
        config.bootstrap_addresses = Vec::new();
        self.start(index, config, None);
    }

    fn node(&self, index: usize) -> &CoreNode<Text> {
        &self.hosts[&index].node
    }

    fn submit(&mut self, number: u128) {
        self.submit_at(1, number);
    }

    fn submit_at(&mut self, index: usize, number: u128) {
        let command = format!("{number:>COMMAND_BYTES$}");
        self.input(index, Input::Submit { request_id: RequestId(number), command });
    }

    fn input(&mut self, index: usize, input: Input<String>) {
        if let Some(host) = self.hosts.get_mut(&index) {
            host.node.handle(self.now, input);
            self.take_outputs(index);
        }
    }

    fn take_outputs(&mut self, index: usize) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&index) else { return };
        while let Some(output) = host.node.next_output() {
            match output {
                Output::Send { to, message } => {
                    if let CoreMessage::InstallSnapshot(install) = &message {
                        self.chunks.push(install.chunk.clone());
                    }
                    self.in_flight.push(Envelope { from: host.node.id(), to, message });
                }
                Output::Persist { token, record } => {
                    host.disk.apply(&record);
                    host.node.handle(now, Input::Persisted { token });
                }
                _ => {}
            }
        }
    }

    /// Reports every node to all others.
    fn report_peers(&mut self) {
        let known: Vec<(usize, NodeId)> =
            self.hosts.iter().map(|(index, host)| (*index, host.node.id())).collect();
        for (index, _) in &known {
            for (peer, id) in known.iter().filter(|(peer, _)| peer != index) {
                self.input(*index, Input::PeerSeen { id: *id, address: address(*peer) });
            }
        }
    }

    fn step(&mut self) {
        self.report_peers();
        for mut envelope in std::mem::take(&mut self.in_flight) {
            if (self.message_filter)(&mut envelope) {
                self.deliver(envelope);
            }
        }
        self.now += STEP;
        let indices: Vec<usize> = self.hosts.keys().copied().collect();
        indices.into_iter().for_each(|index| self.input(index, Input::Tick));
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let target = self.hosts.iter().find(|(_, host)| host.node.id() == to);
        if let Some(index) = target.map(|(index, _)| *index) {
            self.input(index, Input::Message { from, message });
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `chunks` chunks have been sent.
    fn run_until_chunks(&mut self, chunks: usize) {
        let end = self.now + 10 * SECOND;
        while self.chunks.len() < chunks && self.now < end {
            self.step();
        }
        assert!(self.chunks.len() >= chunks, "chunks are sent");
    }

    fn assert_caught_up(&self, index: usize) {
        assert_eq!(self.node(index).committed(), self.node(1).committed());
        assert_eq!(self.node(index).machine(), self.node(1).machine());
    }
}

fn is_chunk(envelope: &Envelope) -> bool {
    matches!(envelope.message, CoreMessage::InstallSnapshot(_))
}

fn is_answer_to_chunk(envelope: &Envelope) -> bool {
    matches!(envelope.message, CoreMessage::SnapshotReceived { .. })
}

/// Number of chunks in an undisturbed transfer.
fn chunks_of_one_transfer() -> usize {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run(2 * SECOND);
    cluster.assert_caught_up(2);
    cluster.chunks.len()
}

#[test]
fn a_snapshot_is_sent_in_small_chunks_each_once() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run(2 * SECOND);
    cluster.assert_caught_up(2);
    let id = cluster.chunks[0].id;
    let mut next = 0;
    for chunk in &cluster.chunks {
        assert_eq!((chunk.id, chunk.offset), (id, next), "one chunk after the other");
        assert!(chunk.bytes.len() <= CHUNK_BYTES);
        next += chunk.bytes.len() as u64;
    }
    assert_eq!(next, id.length);
}

#[test]
fn the_number_of_chunks_in_flight_is_bounded() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_chunks(20);
    cluster.message_filter = Box::new(|envelope| !is_answer_to_chunk(envelope));
    let before = cluster.chunks.len();
    (0..10).for_each(|_| cluster.step());
    assert!(cluster.chunks.len() - before <= MAX_CHUNKS_IN_FLIGHT + 1, "{}", cluster.chunks.len() - before);
}

#[test]
fn a_transfer_resumes_after_lost_answers() {
    let expected = chunks_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_chunks(expected / 2);
    cluster.message_filter = Box::new(|envelope| !is_answer_to_chunk(envelope));
    cluster.run(SECOND);
    cluster.message_filter = Box::new(|_| true);
    cluster.run(2 * SECOND);
    cluster.assert_caught_up(2);
    // The answers to one window are lost, and then one chunk is resent per retry time-out of 200 ms.
    assert!(
        cluster.chunks.len() <= expected + 2 * MAX_CHUNKS_IN_FLIGHT + 6,
        "{} chunks for {expected}",
        cluster.chunks.len()
    );
}

#[test]
fn reordered_chunks_are_put_in_order() {
    let expected = chunks_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    let end = cluster.now + 4 * SECOND;
    while cluster.now < end {
        cluster.in_flight.reverse();
        cluster.step();
    }
    cluster.assert_caught_up(2);
    assert_eq!(cluster.chunks.len(), expected, "no chunk twice");
}

#[test]
fn a_corrupted_chunk_is_not_installed() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    let mut number = 0;
    cluster.message_filter = Box::new(move |envelope| {
        if let CoreMessage::InstallSnapshot(install) = &mut envelope.message {
            number += 1;
            if number == 10 {
                install.chunk.bytes[0] ^= 1;
            }
        }
        true
    });
    cluster.run(4 * SECOND);
    cluster.assert_caught_up(2);
}

#[test]
fn a_transfer_resumes_in_the_next_view() {
    let expected = chunks_of_one_transfer();
    let mut cluster = Cluster::with_state(3);
    let tail = cluster.node(1).view().and_then(|view| view.tail()).expect("a view");
    let lost = (2..=3).find(|index| cluster.node(*index).id() != tail).expect("one in the middle");
    cluster.start_learner(4);
    // Half-way through the transfer, chunks are dropped until the next view is active.
    let middle = cluster.chunks.len() + expected / 2;
    cluster.run_until_chunks(middle);
    cluster.message_filter = Box::new(|envelope| !is_chunk(envelope));
    cluster.hosts.remove(&lost);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.node(1).view().map(|view| view.members.len()), Some(2));
    let before = cluster.chunks.len();
    cluster.message_filter = Box::new(|_| true);
    cluster.run(2 * SECOND);
    cluster.assert_caught_up(4);
    let after = cluster.chunks.len() - before;
    assert!(
        after <= expected / 2 + 2 * MAX_CHUNKS_IN_FLIGHT,
        "{after} chunks of {expected} in the next view"
    );
}

#[test]
fn a_restarted_receiver_gets_the_snapshot_from_its_start() {
    let expected = chunks_of_one_transfer();
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    cluster.run_until_chunks(expected / 2);
    let disk = cluster.hosts.remove(&2).map(|host| host.disk);
    let mut config = config(2, 0);
    config.bootstrap_addresses = Vec::new();
    cluster.start(2, config, disk);
    cluster.run(3 * SECOND);
    cluster.assert_caught_up(2);
}

#[test]
fn writes_during_a_transfer_need_no_second_snapshot() {
    let mut cluster = Cluster::with_state(1);
    cluster.start_learner(2);
    for number in COMMANDS + 1..COMMANDS + 25 {
        cluster.run_until_chunks(cluster.chunks.len() + 1);
        cluster.submit(number);
    }
    cluster.run(2 * SECOND);
    cluster.assert_caught_up(2);
    let id = cluster.chunks[0].id;
    assert!(cluster.chunks.iter().all(|chunk| chunk.id == id), "one snapshot is enough");
}

#[test]
fn a_repeated_request_does_not_run_again_after_a_transfer() {
    let mut cluster = Cluster::with_state(2);
    // A node that caught up by a snapshot becomes the head once its predecessors are removed.
    for (learner, lost) in [(3, 1), (4, 2)] {
        cluster.start_learner(learner);
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

/// A forged chunk that appears to come from the learner's sender.
fn forged_chunk(cluster: &mut Cluster, change: impl FnOnce(&mut SnapshotId, &mut SnapshotChunk)) -> Envelope {
    cluster.run_until_chunks(5);
    let genuine = cluster.chunks[4].clone();
    let (mut id, mut chunk) = (genuine.id, genuine);
    change(&mut id, &mut chunk);
    chunk.id = id;
    let epoch = cluster.node(1).epoch();
    let complete_at = Sequence::default();
    let install = InstallSnapshotChunk { epoch, chunk, complete_at, sealed: false, conflict_at: None };
    let message = CoreMessage::InstallSnapshot(install);
    Envelope { from: cluster.node(1).id(), to: cluster.node(2).id(), message }
}

#[test]
fn a_chunk_with_false_lengths_does_no_harm() {
    let forgeries: [fn(&mut SnapshotId, &mut SnapshotChunk); 5] = [
        |id, _| id.length = u64::MAX,
        |id, _| id.length = MAX_SNAPSHOT_BYTES + 1,
        |_, chunk| chunk.offset = u64::MAX,
        |_, chunk| chunk.bytes = vec![7; 1 << 20],
        |id, chunk| {
            id.length = 0;
            chunk.bytes.clear();
        },
    ];
    for forgery in forgeries {
        let mut cluster = Cluster::with_state(1);
        cluster.start_learner(2);
        let envelope = forged_chunk(&mut cluster, forgery);
        cluster.deliver(envelope);
        cluster.run(4 * SECOND);
        cluster.assert_caught_up(2);
    }
}
