//! Home dispatchers: which dispatchers get the messages that only one shard's primary grants, because they have
//! an order key or their service has a rate limit.

mod harness;

use harness::{message, with_key, Granted, StoreHarness};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::MessageId;
use millrudder_queue::{Config, ConnectionId};
use std::collections::BTreeSet;

const DISPATCHERS: u64 = 30;

fn store(config: Config) -> StoreHarness {
    let mut harness = StoreHarness::with(1, 0, config);
    for dispatcher in 1..=DISPATCHERS {
        harness.hello(0, dispatcher, dispatcher, "zone-0", Vec::new());
    }
    harness
}

/// Accepts a message from a dispatcher and runs it where it is granted. Returns the connection of the
/// dispatcher that ran it.
fn run(harness: &mut StoreHarness, from: u64, message: Message) -> u64 {
    // A token bucket starts empty; its first permit is available after some time.
    harness.advance(5);
    let id = harness.accept(0, from, message, true);
    let granted = lease_of(harness, from, id);
    let connection = granted.connection.0;
    harness.succeed(0, connection, &granted);
    connection
}

/// The lease of a message that was just accepted, held by its acceptor or by another dispatcher.
fn lease_of(harness: &mut StoreHarness, from: u64, id: MessageId) -> Granted {
    match harness.last_accepted().flatten() {
        Some(token) => {
            Granted { connection: ConnectionId(from), id, token, message: None, at_ms: harness.now_ms }
        }
        None => harness.take_grants().remove(0),
    }
}

fn runners(harness: &mut StoreHarness, messages: impl Iterator<Item = Message>) -> BTreeSet<u64> {
    messages.zip((1..=DISPATCHERS).cycle()).map(|(message, from)| run(harness, from, message)).collect()
}

fn ordered(count: usize) -> impl Iterator<Item = Message> {
    (0..count).map(|number| with_key(&format!("key-{number}")))
}

#[test]
fn ordered_messages_of_a_service_go_to_few_dispatchers() {
    let mut harness = store(Config::default());
    let runners = runners(&mut harness, ordered(60));
    assert!(runners.len() <= 4, "{runners:?}");
}

#[test]
fn unordered_messages_stay_with_their_acceptor() {
    let mut harness = store(Config::default());
    let all = (0..DISPATCHERS).map(|_| message());
    assert_eq!(runners(&mut harness, all).len(), DISPATCHERS as usize);
}

#[test]
fn rate_limited_messages_go_to_few_dispatchers() {
    let mut harness = store(Config::default());
    harness.rate(0, &message().service, 1000.0);
    let all = (0..60).map(|_| message());
    let runners = runners(&mut harness, all);
    assert!(runners.len() <= 4, "{runners:?}");
}

#[test]
fn when_all_dispatchers_are_homes_the_acceptor_keeps_its_messages() {
    let mut harness = store(Config { home_dispatchers_per_service: usize::MAX, ..Config::default() });
    assert_eq!(runners(&mut harness, ordered(DISPATCHERS as usize)).len(), DISPATCHERS as usize);
}

#[test]
fn when_home_dispatchers_are_full_the_acceptor_runs_the_message() {
    let mut harness = store(Config::default());
    let homes = runners(&mut harness, ordered(60));
    for home in &homes {
        harness.credits(0, *home, &message().service, 0);
    }
    let other = (1..=DISPATCHERS).find(|dispatcher| !homes.contains(dispatcher)).unwrap();
    assert_eq!(run(&mut harness, other, with_key("another")), other);
}

#[test]
fn a_home_dispatcher_that_leaves_is_replaced() {
    let mut harness = store(Config::default());
    let homes = runners(&mut harness, ordered(60));
    let gone = *homes.first().unwrap();
    harness.send_from_dispatcher(0, gone, FromDispatcher::ShuttingDown);
    let later = (0..60).map(|number| with_key(&format!("later-{number}")));
    let later = runners(&mut harness, later);
    assert!(!later.contains(&gone));
    assert!(later.difference(&homes).count() <= 1, "{homes:?} {later:?}");
}

/// The second message of a key is granted as soon as the first has ended, and not earlier.
#[test]
fn the_order_of_a_key_is_kept_across_dispatchers() {
    let mut harness = store(Config::default());
    let first = harness.accept(0, 1, with_key("k"), true);
    let granted = lease_of(&mut harness, 1, first);
    let second = harness.accept(0, 2, with_key("k"), true);
    assert!(harness.take_grants().is_empty(), "only one message of a key is in flight at a time");
    harness.succeed(0, granted.connection.0, &granted);
    assert_eq!(harness.take_grants()[0].id, second);
}
