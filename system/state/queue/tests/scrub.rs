//! Scrubbing: replicas are compared in the background, and what a replica lacks is written to it again.

mod harness;

use harness::{message, store_id, zone, StoreHarness, SHARD};
use millrudder_clock::Instant;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, BetweenStores, FromDispatcher};
use millrudder_protocol::{Epoch, MessageId, StoreId};
use millrudder_queue::{Config, Input, StoreNode};
use std::time::Duration;

fn three_stores(scrub_messages: usize) -> StoreHarness {
    let config = Config { scrub_interval: Duration::from_secs(1), scrub_messages, ..Config::default() };
    let mut harness = StoreHarness::with(3, 1, config);
    harness.hello(0, 1, 7, "zone-0", Vec::new());
    harness
}

fn advance(harness: &mut StoreHarness, seconds: u64) {
    for _ in 0..seconds {
        harness.advance(1_000);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
}

/// Restarts a store with a disk that has silently lost some records.
fn start_with_loss(harness: &mut StoreHarness, index: usize, lost: impl Fn(usize) -> bool) {
    harness.processes[index].node = None;
    let mut position = 0;
    harness.processes[index].records.retain(|_| {
        position += 1;
        !lost(position)
    });
    for other in 0..3 {
        harness.input(other, Input::StoreClosed { store: store_id(index) });
    }
    harness.start(index);
}

fn holders(harness: &StoreHarness, id: MessageId) -> usize {
    (0..3).filter(|store| harness.state(*store, id).is_some()).count()
}

#[test]
fn scrub_repairs_messages_that_a_replica_lost() {
    let mut harness = three_stores(1_000);
    let ids: Vec<MessageId> = (0..40).map(|_| harness.accept(0, 1, message(), true)).collect();
    start_with_loss(&mut harness, 1, |position| position % 3 == 0);
    assert!(ids.iter().any(|id| holders(&harness, *id) < 2));
    advance(&mut harness, 2);
    for id in &ids {
        assert!(holders(&harness, *id) >= 2, "{id} is on too few disks");
    }
}

#[test]
fn scrub_repairs_an_end_that_a_replica_lost() {
    let mut harness = three_stores(1_000);
    let id = harness.accept(0, 1, Message { retention_ms: 600_000, ..message() }, true);
    let token = harness.last_accepted().flatten().expect("a lease");
    harness.attempted(0, 1, id, token, AttemptOutcome::Refused);
    let count = harness.processes[1].records.len();
    start_with_loss(&mut harness, 1, |position| position == count);
    assert_eq!(harness.state(1, id).unwrap().end, None);
    advance(&mut harness, 2);
    let ended = (0..3)
        .filter_map(|store| harness.state(store, id))
        .filter(|state| state.end == Some(End::DeadLetter));
    assert_eq!(ended.count(), 2);
}

#[test]
fn scrub_proceeds_in_bounded_steps_over_all_messages() {
    let mut harness = three_stores(5);
    let ids: Vec<MessageId> = (0..40).map(|_| harness.accept(0, 1, message(), true)).collect();
    start_with_loss(&mut harness, 1, |position| position > 2);
    advance(&mut harness, 2);
    assert!(ids.iter().any(|id| holders(&harness, *id) < 2));
    advance(&mut harness, 10);
    assert!(ids.iter().all(|id| holders(&harness, *id) >= 2));
}

#[test]
fn scrub_sends_nothing_to_replicas_that_agree() {
    let mut harness = three_stores(1_000);
    for _ in 0..20 {
        harness.accept(0, 1, message(), true);
    }
    let before = harness.sent_writes;
    advance(&mut harness, 10);
    assert_eq!(harness.sent_writes, before);
}

#[test]
fn a_scrub_of_a_fenced_primary_is_ignored() {
    let mut node =
        StoreNode::new(Config::default(), store_id(1), zone(1), Instant::ORIGIN, std::iter::empty());
    let mut out = Vec::new();
    let promise = BetweenStores::Prepare { shard: SHARD, term: Epoch(5) };
    node.handle(Instant::ORIGIN, Input::Store { from: StoreId(1), message: promise }, &mut out);
    out.clear();
    let entries = vec![millrudder_protocol::store::ScrubEntry { unique: 1, digest: 1 }];
    let scrub = BetweenStores::Scrub { shard: SHARD, term: Epoch(4), entries };
    node.handle(Instant::from_millis(1), Input::Store { from: StoreId(2), message: scrub }, &mut out);
    assert!(out.is_empty());
}
