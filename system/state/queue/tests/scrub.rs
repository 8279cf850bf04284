//! Replicas are compared in the background, and what one lacks is written to it anew.

mod wired;

use millrudder_clock::Instant;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, BetweenStores, FromDispatcher};
use millrudder_protocol::{Epoch, MessageId, StoreId};
use millrudder_queue::{Config, Input, StoreNode};
use std::time::Duration;
use wired::{message, store_id, zone, Wired, SHARD};

fn three_stores(scrub_messages: usize) -> Wired {
    let config = Config { scrub_interval: Duration::from_secs(1), scrub_messages, ..Config::default() };
    let mut wired = Wired::with(3, 1, config);
    wired.hello(0, 1, 7, "zone-0", Vec::new());
    wired
}

fn advance(wired: &mut Wired, seconds: u64) {
    for _ in 0..seconds {
        wired.advance(1_000);
        wired.say(0, 1, FromDispatcher::Ping);
    }
}

/// The store's process starts anew with a disk that has lost some records without a word.
fn start_with_loss(wired: &mut Wired, index: usize, lost: impl Fn(usize) -> bool) {
    wired.places[index].node = None;
    let mut position = 0;
    wired.places[index].records.retain(|_| {
        position += 1;
        !lost(position)
    });
    for other in 0..3 {
        wired.input(other, Input::StoreClosed { store: store_id(index) });
    }
    wired.start(index);
}

fn holders(wired: &Wired, id: MessageId) -> usize {
    (0..3).filter(|store| wired.state(*store, id).is_some()).count()
}

#[test]
fn messages_that_a_replica_lost_are_written_again() {
    let mut wired = three_stores(1_000);
    let ids: Vec<MessageId> = (0..40).map(|_| wired.accept(0, 1, message(), true)).collect();
    start_with_loss(&mut wired, 1, |position| position % 3 == 0);
    assert!(ids.iter().any(|id| holders(&wired, *id) < 2));
    advance(&mut wired, 2);
    for id in &ids {
        assert!(holders(&wired, *id) >= 2, "{id} is on too few disks");
    }
}

#[test]
fn an_end_that_a_replica_lost_is_written_again() {
    let mut wired = three_stores(1_000);
    let id = wired.accept(0, 1, Message { retention_ms: 600_000, ..message() }, true);
    let token = wired.last_accepted().flatten().expect("a lease");
    wired.attempted(0, 1, id, token, AttemptOutcome::Refused);
    let count = wired.places[1].records.len();
    start_with_loss(&mut wired, 1, |position| position == count);
    assert_eq!(wired.state(1, id).unwrap().end, None);
    advance(&mut wired, 2);
    let ended =
        (0..3).filter_map(|store| wired.state(store, id)).filter(|state| state.end == Some(End::DeadLetter));
    assert_eq!(ended.count(), 2);
}

#[test]
fn few_messages_are_compared_at_a_time_and_all_in_the_end() {
    let mut wired = three_stores(5);
    let ids: Vec<MessageId> = (0..40).map(|_| wired.accept(0, 1, message(), true)).collect();
    start_with_loss(&mut wired, 1, |position| position > 2);
    advance(&mut wired, 2);
    assert!(ids.iter().any(|id| holders(&wired, *id) < 2));
    advance(&mut wired, 10);
    assert!(ids.iter().all(|id| holders(&wired, *id) >= 2));
}

#[test]
fn replicas_that_agree_are_sent_nothing() {
    let mut wired = three_stores(1_000);
    for _ in 0..20 {
        wired.accept(0, 1, message(), true);
    }
    let before = wired.writes;
    advance(&mut wired, 10);
    assert_eq!(wired.writes, before);
}

#[test]
fn a_comparison_from_an_old_primary_is_not_answered() {
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
