//! The state machine stays within its bounds for arbitrary inputs at arbitrary times.

mod support;

use millrudder_clock::Instant;
use millrudder_membership::{Config, GroupId, Input, Membership, Metadata, Output};
use proptest::collection::vec;
use proptest::prelude::*;
use std::net::SocketAddr;
use support::{address, millis, secs, Network, Simulation};
use xxhash_rust::xxh3::xxh3_64;

/// Length in bytes of the checksum at the end of a datagram.
const CHECKSUM_BYTES: usize = 4;

/// Returns a new process, and datagrams of all kinds that two others sent to such a process in the course of 11 s.
fn sample_datagrams() -> (Membership, Vec<Vec<u8>>) {
    let mut subject = member(0, 1);
    let mut other = member(1, 2);
    let mut third = member(2, 3);
    let mut datagrams = Vec::new();
    let seeds = vec![address(0)];
    other.handle(Instant::ORIGIN, Input::Join { seeds: seeds.clone() }, &mut Vec::new());
    third.handle(Instant::ORIGIN, Input::Join { seeds }, &mut Vec::new());
    for step in 0..200 {
        let now = Instant::from_millis(step * 50);
        let mut outputs = Vec::new();
        // After 3 s the subject gets datagrams but no more ticks, so that the others probe it indirectly.
        if step < 60 {
            subject.handle(now, Input::Tick, &mut outputs);
        }
        let mut from_others = Vec::new();
        other.handle(now, Input::Tick, &mut from_others);
        datagrams.extend(exchange(&mut subject, &mut other, address(1), now, outputs, from_others));
        let mut from_third = Vec::new();
        third.handle(now, Input::Tick, &mut from_third);
        datagrams.extend(exchange(&mut subject, &mut third, address(2), now, Vec::new(), from_third));
    }
    let mut from_leaving = Vec::new();
    other.handle(Instant::from_millis(11_000), Input::Leave, &mut from_leaving);
    datagrams.extend(sent_to(&from_leaving, address(0)));
    (member(0, 1), datagrams)
}

fn exchange(
    subject: &mut Membership,
    other: &mut Membership,
    other_address: SocketAddr,
    now: Instant,
    from_subject: Vec<Output>,
    from_other: Vec<Output>,
) -> Vec<Vec<u8>> {
    let mut received_by_subject = Vec::new();
    let mut to_other = sent_to(&from_subject, other_address);
    let mut to_subject = sent_to(&from_other, address(0));
    while !to_other.is_empty() || !to_subject.is_empty() {
        received_by_subject.extend(to_subject.iter().cloned());
        let answers = deliver(subject, other_address, now, &to_subject);
        let replies = deliver(other, address(0), now, &to_other);
        to_other = sent_to(&answers, other_address);
        to_subject = sent_to(&replies, address(0));
    }
    received_by_subject
}

fn deliver(to: &mut Membership, from: SocketAddr, now: Instant, datagrams: &[Vec<u8>]) -> Vec<Output> {
    let mut outputs = Vec::new();
    for bytes in datagrams {
        to.handle(now, Input::Datagram { from, bytes }, &mut outputs);
    }
    outputs
}

fn sent_to(outputs: &[Output], receiver: SocketAddr) -> Vec<Vec<u8>> {
    let sent = outputs.iter().filter_map(|output| match output {
        Output::Send { to, bytes } if *to == receiver => Some(bytes.clone()),
        _ => None,
    });
    sent.collect()
}

fn member(index: usize, seed: u64) -> Membership {
    let local = support::local_member(index, 1, address(index));
    Membership::new(Config::default(), local, seed, Instant::ORIGIN).expect("valid settings")
}

/// Changes bytes and then corrects the checksum, so that the changed content is decoded.
fn corrupt(datagram: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = datagram.to_vec();
    let covered = bytes.len() - CHECKSUM_BYTES;
    for (position, value) in changes {
        // The first three bytes identify the protocol and stay intact, since nothing else is decoded without them.
        let position = 3 + position % (covered - 3);
        bytes[position] = *value;
    }
    let checksum = xxh3_64(&bytes[..covered]).to_le_bytes();
    bytes[covered..].copy_from_slice(&checksum[..CHECKSUM_BYTES]);
    bytes
}

fn assert_within_bounds(membership: &Membership, now: Instant, outputs: &[Output]) {
    for output in outputs {
        if let Output::Send { bytes, .. } = output {
            assert!(bytes.len() <= Config::default().max_datagram_bytes, "{} bytes", bytes.len());
        }
    }
    if let Some(deadline) = membership.next_deadline() {
        assert!(deadline > now, "the deadline {deadline:?} does not lie after {now:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Garbage(Vec<u8>),
    Corrupted { datagram: prop::sample::Index, changes: Vec<(usize, u8)>, from: usize },
    Intact { datagram: prop::sample::Index, from: usize },
    Tick,
    TickWhenDue,
    Probe,
    Update,
    Leave,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let corrupted = (any::<prop::sample::Index>(), vec((any::<usize>(), any::<u8>()), 1..6), 0..4_usize);
    let step = prop_oneof![
        2 => vec(any::<u8>(), 0..1_600).prop_map(Step::Garbage),
        6 => corrupted.prop_map(|(datagram, changes, from)| Step::Corrupted { datagram, changes, from }),
        6 => (any::<prop::sample::Index>(), 0..4_usize)
            .prop_map(|(datagram, from)| Step::Intact { datagram, from }),
        3 => Just(Step::Tick),
        6 => Just(Step::TickWhenDue),
        1 => Just(Step::Probe),
        1 => Just(Step::Update),
    ];
    let last = prop_oneof![Just(Step::Leave), Just(Step::Tick)];
    let pause = prop_oneof![8 => 0..300_u64, 1 => 0..20_000_u64];
    (vec((pause.clone(), step), 1..60), (pause, last)).prop_map(|(mut steps, last)| {
        steps.push(last);
        steps
    })
}

fn carry_out(
    membership: &mut Membership,
    datagrams: &[Vec<u8>],
    now: &mut Instant,
    step: Step,
) -> Vec<Output> {
    let mut outputs = Vec::new();
    match step {
        Step::Garbage(bytes) => {
            membership.handle(*now, Input::Datagram { from: address(1), bytes: &bytes }, &mut outputs);
        }
        Step::Corrupted { datagram, changes, from } => {
            let original: &Vec<u8> = datagram.get(datagrams);
            let bytes = corrupt(original, &changes);
            membership.handle(*now, Input::Datagram { from: address(from), bytes: &bytes }, &mut outputs);
        }
        Step::Intact { datagram, from } => {
            let bytes: &Vec<u8> = datagram.get(datagrams);
            membership.handle(*now, Input::Datagram { from: address(from), bytes }, &mut outputs);
        }
        Step::Tick => membership.handle(*now, Input::Tick, &mut outputs),
        Step::TickWhenDue => {
            *now = membership.next_deadline().unwrap_or(*now).max(*now);
            membership.handle(*now, Input::Tick, &mut outputs);
        }
        Step::Probe => {
            let id = membership.members().last().expect("the local member").id.clone();
            membership.handle(*now, Input::Probe(id), &mut outputs);
        }
        Step::Update => {
            let metadata = Metadata::new(vec![3; 256]).expect("a permitted length");
            membership.handle(*now, Input::UpdateMetadata(metadata), &mut outputs);
        }
        Step::Leave => membership.handle(*now, Input::Leave, &mut outputs),
    }
    outputs
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn any_inputs_at_any_times_are_handled_within_bounds(steps in steps()) {
        let (mut membership, datagrams) = sample_datagrams();
        let mut now = Instant::ORIGIN;
        for (pause, step) in steps {
            now += millis(pause);
            let outputs = carry_out(&mut membership, &datagrams, &mut now, step);
            assert_within_bounds(&membership, now, &outputs);
        }
    }
}

#[test]
fn the_sample_holds_all_kinds_of_datagrams() {
    let (_, datagrams) = sample_datagrams();
    assert!(datagrams.len() > 30, "{} datagrams", datagrams.len());
    let lengths: std::collections::BTreeSet<usize> = datagrams.iter().map(Vec::len).collect();
    assert!(lengths.len() > 8, "{lengths:?}");
}

#[test]
fn corrupted_or_truncated_datagrams_change_nothing() {
    let (_, datagrams) = sample_datagrams();
    for datagram in &datagrams {
        let mut membership = member(0, 1);
        let initial_digest = membership.digest();
        for length in 0..datagram.len() {
            let bytes = &datagram[..length];
            membership.handle(Instant::ORIGIN, Input::Datagram { from: address(1), bytes }, &mut Vec::new());
        }
        for position in 0..datagram.len() {
            let mut bytes = datagram.clone();
            bytes[position] ^= 0x10;
            let input = Input::Datagram { from: address(1), bytes: &bytes };
            membership.handle(Instant::ORIGIN, input, &mut Vec::new());
        }
        assert_eq!(membership.digest(), initial_digest);
        assert_eq!(membership.last_contact(), None);
    }
}

#[test]
fn datagrams_of_another_group_are_ignored() {
    let mut simulation = Simulation::new(Network::default(), Config::default(), 4);
    simulation.start(0, 1, address(0));
    simulation.config.group = GroupId(9);
    simulation.start(1, 1, address(1));
    simulation.join(1);
    simulation.run_for(secs(5));
    assert_eq!(simulation.nodes[0].membership.members().count(), 1);
    assert_eq!(simulation.nodes[1].membership.members().count(), 1);
}

#[test]
fn the_table_is_bounded() {
    let mut simulation =
        Simulation::new(Network::default(), Config { max_members: 5, ..Config::default() }, 4);
    simulation.start_group(12);
    simulation.run_for(secs(10));
    for node in &simulation.nodes {
        assert!(node.membership.members().count() <= 5);
    }
}

#[test]
fn equal_seeds_and_inputs_give_equal_outputs() {
    let run = || {
        let network = Network { loss: 0.05, ..Network::default() };
        let mut simulation = Simulation::new(network, Config::default(), 21);
        simulation.start_group(9);
        simulation.run_for(secs(10));
        simulation.crash(4);
        simulation.run_for(secs(10));
        let sent: Vec<u64> = simulation.nodes.iter().map(|node| node.bytes_sent).collect();
        (sent, format!("{:?}", simulation.observed))
    };
    assert_eq!(run(), run());
}

#[test]
fn a_clock_that_goes_back_is_ignored() {
    let mut simulation = Simulation::converged(5, Network::default(), 2);
    let now = simulation.now;
    simulation.now = now - secs(3);
    simulation.input(1, Input::Tick);
    simulation.now = now;
    simulation.run_for(secs(10));
    assert_eq!(simulation.down_events(), 0);
    simulation.assert_agreed();
}
