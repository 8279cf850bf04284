//! One core node or a few, on a network that loses nothing.

use std::collections::{BTreeMap, BTreeSet};

use millrudder_chain::{
    ConfigError, CoreConfig, CoreMessage, CoreNode, DurableState, Epoch, Fencing, Input, Machine, NodeId,
    Output, Record, RequestId, RestoreError, Role, Sequence, StartError, View,
};
use millrudder_lease::{LeaseAnswer, LeaseRequest, Refusal};
use millrudder_view::{Ballot, ViewMessage};

/// Time goes on in steps of this many microseconds.
const STEP_MICROS: u64 = 20_000;
const SECOND: u64 = 1_000_000;

/// Joins all texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Text(String);

impl Machine for Text {
    type Command = String;
    type Reply = u64;

    fn apply(&mut self, _sequence: Sequence, command: &String) -> u64 {
        self.0.push_str(command);
        self.0.len() as u64
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone().into_bytes()
    }

    fn restore(snapshot: &[u8]) -> Result<Text, RestoreError> {
        String::from_utf8(snapshot.to_vec()).map(Text).map_err(|_| RestoreError::Unreadable)
    }
}

/// A node with its disk, on which everything is durable at once.
struct Host {
    node: CoreNode<Text>,
    disk: DurableState,
    checkpoint: Option<DurableState>,
    replies: Vec<(RequestId, u64)>,
    ready: Vec<RequestId>,
    committed: Vec<String>,
    replaced: usize,
}

#[derive(Default)]
struct Cluster {
    now: u64,
    hosts: BTreeMap<String, Host>,
    in_flight: Vec<(NodeId, NodeId, CoreMessage)>,
    installs: usize,
    /// No commands reach these machines.
    unfed: BTreeSet<NodeId>,
}

fn address(place: usize) -> String {
    format!("10.0.0.{place}:9000")
}

fn config(place: usize, founders: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(place));
    config.founders = (1..=founders).map(address).collect();
    config.minimum_members = founders.div_ceil(2).max(1);
    config
}

impl Cluster {
    /// A founded core.
    fn founded(size: usize) -> Cluster {
        let mut cluster = Cluster::default();
        for place in 1..=size {
            cluster.start(config(place, size), None);
        }
        cluster.run(SECOND);
        assert!(cluster.hosts.values().all(|host| host.node.is_member()));
        cluster
    }

    fn start(&mut self, config: CoreConfig, disk: Option<DurableState>) {
        let seed = self.now + self.hosts.len() as u64 + 1;
        let name = config.address.clone();
        let node = CoreNode::new(config, disk.clone(), seed, self.now).expect("the node starts");
        let host = Host {
            node,
            disk: disk.unwrap_or_default(),
            checkpoint: None,
            replies: Vec::new(),
            ready: Vec::new(),
            committed: Vec::new(),
            replaced: 0,
        };
        self.hosts.insert(name.clone(), host);
        self.take_outputs(&name);
    }

    fn host(&self, place: usize) -> &Host {
        &self.hosts[&address(place)]
    }

    fn input(&mut self, name: &str, input: Input<String>) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(name) {
            host.node.handle(now, input);
            self.take_outputs(name);
        }
    }

    fn take_outputs(&mut self, name: &str) {
        while let Some(output) = self.hosts.get_mut(name).and_then(|host| host.node.next_output()) {
            let host = self.hosts.get_mut(name).expect("the host is there");
            match output {
                Output::Send { to, message } => {
                    self.installs += usize::from(matches!(message, CoreMessage::Install { .. }));
                    self.in_flight.push((host.node.id(), to, message));
                }
                Output::Persist { token, record } => {
                    host.disk.apply(&record);
                    host.node.handle(self.now, Input::Persisted { token });
                }
                Output::Checkpoint { state, .. } => host.checkpoint = Some(*state),
                Output::Committed { command, .. } => host.committed.push(command),
                Output::Replaced { .. } => host.replaced += 1,
                Output::Reply { request_id, reply } => host.replies.push((request_id, reply)),
                Output::ReadReady { request_id } => host.ready.push(request_id),
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..100 {
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let name =
                    self.hosts.iter().find(|(_, host)| host.node.id() == to).map(|(name, _)| name.clone());
                let fed = !(matches!(message, CoreMessage::Append(_)) && self.unfed.contains(&to));
                if let Some(name) = name.filter(|_| fed) {
                    self.input(&name, Input::Message { from, message });
                }
            }
        }
    }

    fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.now += STEP_MICROS;
            let known: Vec<(NodeId, String)> =
                self.hosts.iter().map(|(name, host)| (host.node.id(), name.clone())).collect();
            for name in self.hosts.keys().cloned().collect::<Vec<_>>() {
                for (id, address) in &known {
                    self.input(&name, Input::PeerSeen { id: *id, address: address.clone() });
                }
                self.input(&name, Input::Tick);
            }
            self.deliver();
        }
    }

    fn submit(&mut self, place: usize, request: u128, text: &str) {
        let command = text.to_owned();
        self.input(&address(place), Input::Submit { request_id: RequestId(request), command });
        self.deliver();
    }
}

#[test]
fn a_core_of_one_serves_alone() {
    let mut cluster = Cluster::founded(1);
    cluster.submit(1, 1, "a");
    cluster.input(&address(1), Input::Read { request_id: RequestId(2) });
    assert_eq!(cluster.host(1).replies, vec![(RequestId(1), 1)]);
    assert_eq!(cluster.host(1).ready, vec![RequestId(2)]);
}

#[test]
fn a_command_submitted_at_any_member_is_applied_at_all() {
    let mut cluster = Cluster::founded(3);
    for place in 1..=3 {
        cluster.submit(place, place as u128, &place.to_string());
    }
    for place in 1..=3 {
        assert_eq!(cluster.host(place).node.machine().0, "123");
        assert_eq!(cluster.host(place).committed, vec!["1", "2", "3"]);
        assert_eq!(cluster.host(place).replies, vec![(RequestId(place as u128), place as u64)]);
    }
}

#[test]
fn a_request_that_comes_again_gets_the_first_reply_and_does_not_run_again() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 7, "a");
    cluster.submit(2, 8, "b");
    cluster.submit(3, 7, "a");
    cluster.run(SECOND);
    assert_eq!(cluster.host(3).replies, vec![(RequestId(7), 1)]);
    assert!((1..=3).all(|place| cluster.host(place).node.machine().0 == "ab"));
}

#[test]
fn a_command_waits_for_the_core_to_be_founded() {
    let mut cluster = Cluster::default();
    cluster.start(config(1, 3), None);
    cluster.submit(1, 1, "early");
    cluster.start(config(2, 3), None);
    cluster.start(config(3, 3), None);
    cluster.run(SECOND);
    assert_eq!(cluster.host(1).replies, vec![(RequestId(1), 5)]);
}

#[test]
fn an_abandoned_request_is_not_answered() {
    let mut cluster = Cluster::founded(3);
    cluster.hosts.remove(&address(2));
    cluster.submit(1, 1, "a");
    cluster.input(&address(1), Input::Abandon { request_id: RequestId(1) });
    cluster.run(3 * SECOND);
    assert!(cluster.host(1).replies.is_empty());
}

#[test]
fn a_node_far_behind_gets_the_state_instead_of_commands() {
    let mut cluster = Cluster::founded(3);
    let host = cluster.hosts.remove(&address(3)).expect("the third host");
    cluster.run(2 * SECOND);
    for request in 0..1_400 {
        cluster.submit(1, request, "x");
    }
    cluster.run(SECOND);
    cluster.start(config(3, 3), Some(host.disk));
    cluster.run(3 * SECOND);
    assert_eq!(cluster.host(3).node.machine().0.len(), 1_400);
    assert!(cluster.installs > 0 && cluster.host(3).replaced > 0);
    assert_eq!(cluster.host(3).node.view().map(|view| view.members.len()), Some(3));
}

#[test]
fn a_spare_follows_a_full_core_and_takes_the_place_of_a_lost_member() {
    let mut cluster = Cluster::default();
    for place in 1..=4 {
        let mut config = config(place, 3);
        config.voters = 3;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    cluster.submit(4, 1, "a");
    cluster.input(&address(4), Input::Read { request_id: RequestId(2) });
    cluster.run(SECOND);
    let spare = cluster.host(4);
    assert!(!spare.node.is_member());
    assert_eq!(spare.node.machine().0, "a");
    assert_eq!(spare.ready, vec![RequestId(2)]);
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    assert!(cluster.host(4).node.is_member() && cluster.host(4).node.is_in_step());
}

#[test]
fn a_machine_at_another_address_takes_over_the_vote_of_a_lost_one() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    let lost = cluster.hosts.remove(&address(3)).expect("the third host");
    let lost_id = lost.node.id();
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    let new_id = cluster.host(4).node.id();
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert!(view.is_voter(new_id) && !view.is_voter(lost_id));
    assert_eq!(view.voters.len(), 3);
    // The lost disk comes back: it does not vote, and the core goes on with one of its earlier machines only.
    cluster.start(config(3, 3), Some(lost.disk));
    cluster.run(SECOND);
    assert!(!cluster.host(3).node.is_voter());
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    cluster.submit(4, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(4).node.machine().0, "ab");
}

#[test]
fn a_lost_machine_keeps_its_vote_while_nobody_takes_it_over() {
    let mut cluster = Cluster::founded(3);
    let host = cluster.hosts.remove(&address(3)).expect("the third host");
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!(view.members.len(), 2);
    assert!(view.is_voter(host.node.id()) && view.voters.len() == 3);
    // It comes back, and before it is admitted another goes.
    cluster.start(config(3, 3), Some(host.disk));
    cluster.run(SECOND / 2);
    assert!(!cluster.host(3).node.is_member());
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    cluster.submit(3, 1, "a");
    cluster.run(SECOND);
    assert_eq!(cluster.host(1).node.machine().0, "a");
    assert_eq!(cluster.host(3).node.machine().0, "a");
}

#[test]
fn an_excluded_machine_stays_until_another_holds_the_state_and_its_vote() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    let excluded = cluster.host(2).node.id();
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    for place in 1..=2 {
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
    }
    cluster.run(2 * SECOND);
    let is_needed =
        |cluster: &Cluster, place: usize| !cluster.host(place).node.can_do_without(cluster.now, excluded);
    assert!(cluster.host(2).node.is_member() && is_needed(&cluster, 1));
    // One more machine takes the place of the lost one first, the next that of the excluded one.
    for place in 4..=5 {
        let mut newcomer = config(place, 3);
        newcomer.founders.clear();
        cluster.start(newcomer, None);
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
        cluster.run(4 * SECOND);
    }
    assert!(!cluster.host(2).node.is_voter() && !cluster.host(2).node.is_member());
    assert!(!is_needed(&cluster, 1));
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 3));
    cluster.hosts.remove(&address(2));
    cluster.submit(5, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(5).node.machine().0, "ab");
}

#[test]
fn an_excluded_voter_that_nobody_replaces_keeps_its_vote() {
    let mut cluster = Cluster::founded(3);
    let excluded = cluster.host(2).node.id();
    for place in 1..=3 {
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 2));
    assert!(!cluster.host(1).node.can_do_without(cluster.now, excluded));
}

/// The machine goes as soon as it may, and another one's disk with it.
#[test]
fn any_other_machine_may_be_lost_as_soon_as_an_excluded_one_may_go() {
    for lost in [1, 3, 4] {
        let mut cluster = Cluster::founded(3);
        cluster.submit(1, 1, "a");
        let mut newcomer = config(4, 3);
        newcomer.founders.clear();
        cluster.start(newcomer, None);
        cluster.run(4 * SECOND);
        let excluded = cluster.host(2).node.id();
        for place in 1..=4 {
            cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
        }
        let asked = if lost == 1 { 3 } else { 1 };
        let patience = cluster.now + 5 * SECOND;
        while !cluster.host(asked).node.can_do_without(cluster.now, excluded) {
            assert!(cluster.now < patience, "the excluded machine is never dispensable");
            cluster.run(SECOND / 100);
        }
        cluster.hosts.remove(&address(2));
        cluster.hosts.remove(&address(lost));
        cluster.run(3 * SECOND);
        cluster.submit(asked, 2, "b");
        cluster.run(SECOND);
        assert_eq!(cluster.host(asked).node.machine().0, "ab", "without machine {lost}");
    }
}

#[test]
fn of_more_founders_than_voters_the_others_follow() {
    let mut cluster = Cluster::default();
    for place in 1..=7 {
        let mut config = config(place, 7);
        config.minimum_members = 2;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 3));
    cluster.submit(7, 1, "a");
    cluster.run(SECOND);
    assert!((1..=7).all(|place| cluster.host(place).node.machine().0 == "a"));
}

#[test]
fn a_leaving_member_may_go_once_others_have_done_without_it() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    cluster.input(&address(2), Input::Leave);
    cluster.deliver();
    assert!(!cluster.host(2).node.may_go(cluster.now));
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.may_go(cluster.now));
    assert!(!cluster.host(2).node.is_member());
}

#[test]
fn a_leaving_member_stays_while_too_few_others_hold_the_state() {
    let mut cluster = Cluster::founded(3);
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    cluster.input(&address(2), Input::Leave);
    cluster.run(3 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.may_go(cluster.now));
    cluster.submit(1, 1, "a");
    assert_eq!(cluster.host(1).node.machine().0, "a");
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    assert!(cluster.host(2).node.may_go(cluster.now));
    cluster.hosts.remove(&address(2));
    cluster.submit(4, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(4).node.machine().0, "ab");
}

#[test]
fn a_leaving_member_stays_until_its_successor_has_caught_up() {
    let mut cluster = Cluster::founded(3);
    cluster.hosts.remove(&address(3));
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.unfed.insert(new_id);
    cluster.run(4 * SECOND);
    assert!(cluster.host(4).node.is_member() && !cluster.host(4).node.is_in_step());
    cluster.input(&address(2), Input::Leave);
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.may_go(cluster.now));
    cluster.unfed.clear();
    cluster.run(2 * SECOND);
    assert!(!cluster.host(2).node.is_member() && cluster.host(2).node.may_go(cluster.now));
}

/// What a machine sends in answer to one message.
fn answers(cluster: &mut Cluster, place: usize, message: CoreMessage) -> Vec<CoreMessage> {
    let from = NodeId(1 << 40);
    let id = cluster.host(place).node.id();
    cluster.in_flight.clear();
    cluster.input(&address(place), Input::Message { from, message });
    let sent = std::mem::take(&mut cluster.in_flight);
    sent.into_iter()
        .filter(|(sender, to, _)| *sender == id && *to == from)
        .map(|(.., message)| message)
        .collect()
}

fn lease_request(epoch: Epoch, fencing: Fencing) -> CoreMessage {
    let request = LeaseRequest { role: Role("any".to_owned()), round: 1, fencing, held: false };
    CoreMessage::LeaseRequest { epoch, request }
}

#[test]
fn a_voter_that_has_accepted_a_next_view_vouches_for_nothing() {
    let mut cluster = Cluster::founded(3);
    let view = cluster.host(2).node.view().expect("a view").clone();
    let epoch = view.epoch;
    let confirm = CoreMessage::ConfirmEpoch { epoch, round: 7 };
    let confirmed = CoreMessage::EpochConfirmed { epoch, round: 7 };
    assert_eq!(answers(&mut cluster, 2, confirm.clone()), vec![confirmed]);
    let next = View { epoch: epoch.next(), ..view };
    let ballot = Ballot { round: 9, node: NodeId(1 << 40) };
    let accept = ViewMessage::Accept { instance: epoch.next(), ballot, view: next };
    let accepted = ViewMessage::Accepted { instance: epoch.next(), ballot };
    let accepted = vec![CoreMessage::View(accepted)];
    assert_eq!(answers(&mut cluster, 2, CoreMessage::View(accept)), accepted);
    assert_eq!(answers(&mut cluster, 2, confirm), Vec::new());
    let request = lease_request(epoch, Fencing::floor(epoch.0).next());
    assert_eq!(answers(&mut cluster, 2, request), Vec::new());
    cluster.now += SECOND / 10;
    cluster.input(&address(2), Input::Tick);
    let vouches = |message: &CoreMessage| matches!(message, CoreMessage::Heartbeat(beat) if beat.vouches);
    let id = cluster.host(2).node.id();
    assert!(!cluster.in_flight.iter().any(|(from, _, message)| *from == id && vouches(message)));
}

#[test]
fn grants_are_withheld_only_where_the_voters_have_changed() {
    let refused = |answers: &[CoreMessage]| {
        let refused = |message: &CoreMessage| {
            let CoreMessage::LeaseAnswer { answer, .. } = message else {
                return false;
            };
            matches!(answer, LeaseAnswer::Refused { refusal: Refusal::Withheld, .. })
        };
        assert_eq!(answers.len(), 1);
        refused(&answers[0])
    };
    let mut cluster = Cluster::founded(3);
    let ask = |cluster: &mut Cluster| {
        let epoch = cluster.host(1).node.epoch();
        answers(cluster, 1, lease_request(epoch, Fencing::floor(epoch.0 + 1)))
    };
    // A loss changes members only.
    cluster.hosts.remove(&address(3));
    while cluster.host(1).node.epoch() == Epoch::FOUNDING {
        cluster.run(STEP_MICROS);
    }
    assert!(!refused(&ask(&mut cluster)));
    // Another takes over the vote.
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.run(SECOND);
    while !cluster.host(1).node.view().is_some_and(|view| view.is_voter(new_id)) {
        cluster.run(STEP_MICROS);
    }
    assert!(refused(&ask(&mut cluster)));
    cluster.run(SECOND);
    assert!(!refused(&ask(&mut cluster)));
}

#[test]
fn all_that_leave_together_wait_for_nobody() {
    let mut cluster = Cluster::founded(3);
    (1..=3).for_each(|place| cluster.input(&address(place), Input::Leave));
    cluster.deliver();
    assert!((1..=3).all(|place| cluster.host(place).node.may_go(cluster.now)));
}

#[test]
fn a_node_a_little_behind_gets_the_commands_it_lacks() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    let host = cluster.hosts.remove(&address(3)).expect("the third host");
    cluster.run(2 * SECOND);
    cluster.submit(1, 2, "b");
    cluster.start(config(3, 3), Some(host.disk));
    cluster.run(3 * SECOND);
    assert_eq!(cluster.host(3).node.machine().0, "ab");
    assert_eq!(cluster.installs, 0);
}

#[test]
fn large_commands_are_sent_and_do_not_pile_up() {
    let mut cluster = Cluster::founded(3);
    let large = "y".repeat(300_000);
    for request in 0..12 {
        cluster.submit(2, request, &large);
    }
    cluster.run(SECOND);
    assert!((1..=3).all(|place| cluster.host(place).node.machine().0.len() == 12 * large.len()));
}

#[test]
fn a_checkpoint_replaces_the_records_before_it() {
    let mut cluster = Cluster::founded(3);
    let large = "z".repeat(400_000);
    for request in 0..4 {
        cluster.submit(1, request, &large);
    }
    cluster.run(SECOND);
    let host = cluster.host(1);
    let checkpoint = host.checkpoint.clone().expect("a checkpoint was asked for");
    let machine = |state: DurableState| {
        let node: CoreNode<Text> = CoreNode::new(config(1, 3), Some(state), 9, 0).expect("the node starts");
        node.machine().clone()
    };
    let from_records = machine(host.disk.clone());
    let from_checkpoint = machine(checkpoint);
    assert!(!from_checkpoint.0.is_empty());
    assert!(from_records.0.starts_with(&from_checkpoint.0));
}

#[test]
fn a_new_identity_is_recorded_first() {
    let mut node: CoreNode<Text> = CoreNode::new(config(1, 3), None, 5, 0).expect("the node starts");
    let first = node.next_output();
    let id = node.id();
    assert!(
        matches!(first, Some(Output::Persist { record: Record::Identity { id: recorded }, .. }) if recorded == id)
    );
}

#[test]
fn nothing_is_sent_before_the_identity_is_durable() {
    let mut node: CoreNode<Text> = CoreNode::new(config(1, 3), None, 5, 0).expect("the node starts");
    node.handle(0, Input::PeerSeen { id: NodeId(99), address: address(2) });
    node.handle(SECOND, Input::Tick);
    while let Some(output) = node.next_output() {
        assert!(!matches!(output, Output::Send { .. }));
    }
}

#[test]
fn a_state_that_cannot_be_restored_and_a_senseless_configuration_are_refused() {
    let mut bad = config(1, 3);
    bad.minimum_members = 9;
    let refused: Result<CoreNode<Text>, _> = CoreNode::new(bad, None, 1, 0);
    let sizes = ConfigError::SizesOfView { minimum: 9, voters: 3 };
    assert_eq!(refused.err(), Some(StartError::Config(sizes)));
    let mut few = config(1, 1);
    few.minimum_members = 2;
    let refused: Result<CoreNode<Text>, _> = CoreNode::new(few, None, 1, 0);
    let founders = ConfigError::TooFewFounders { founders: 1, minimum: 2 };
    assert_eq!(refused.err(), Some(StartError::Config(founders)));
}
