//! Which dispatchers get the messages of a service that only one shard's primary grants.

mod wired;

use millrudder_protocol::message::Message;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::MessageId;
use millrudder_queue::{Config, ConnectionId};
use std::collections::BTreeSet;
use wired::{message, with_key, Granted, Wired};

const DISPATCHERS: u64 = 30;

fn store(config: Config) -> Wired {
    let mut wired = Wired::with(1, 0, config);
    for dispatcher in 1..=DISPATCHERS {
        wired.hello(0, dispatcher, dispatcher, "zone-0", Vec::new());
    }
    wired
}

/// Accepts a message from a dispatcher, and runs it wherever it was granted; gives the connection.
fn run(wired: &mut Wired, from: u64, message: Message) -> u64 {
    // A ceiling's first permit comes with time.
    wired.advance(5);
    let id = wired.accept(0, from, message, true);
    let granted = lease_of(wired, from, id);
    let connection = granted.connection.0;
    wired.succeed(0, connection, &granted);
    connection
}

/// The lease of a message that was just accepted: its acceptor's, or another's.
fn lease_of(wired: &mut Wired, from: u64, id: MessageId) -> Granted {
    match wired.last_accepted().flatten() {
        Some(token) => {
            Granted { connection: ConnectionId(from), id, token, message: None, at_ms: wired.now_ms }
        }
        None => wired.take_grants().remove(0),
    }
}

fn runners(wired: &mut Wired, messages: impl Iterator<Item = Message>) -> BTreeSet<u64> {
    messages.zip((1..=DISPATCHERS).cycle()).map(|(message, from)| run(wired, from, message)).collect()
}

fn ordered(count: usize) -> impl Iterator<Item = Message> {
    (0..count).map(|number| with_key(&format!("key-{number}")))
}

#[test]
fn ordered_messages_of_a_service_go_to_few_dispatchers() {
    let mut wired = store(Config::default());
    let runners = runners(&mut wired, ordered(60));
    assert!(runners.len() <= 4, "{runners:?}");
}

#[test]
fn messages_without_order_stay_with_who_accepts_them() {
    let mut wired = store(Config::default());
    let all = (0..DISPATCHERS).map(|_| message());
    assert_eq!(runners(&mut wired, all).len(), DISPATCHERS as usize);
}

#[test]
fn messages_under_a_ceiling_go_to_few_dispatchers_too() {
    let mut wired = store(Config::default());
    wired.rate(0, &message().service, 1000.0);
    let all = (0..60).map(|_| message());
    let runners = runners(&mut wired, all);
    assert!(runners.len() <= 4, "{runners:?}");
}

#[test]
fn where_all_are_homes_the_acceptor_keeps_its_own() {
    let mut wired = store(Config { home_dispatchers_per_service: usize::MAX, ..Config::default() });
    assert_eq!(runners(&mut wired, ordered(DISPATCHERS as usize)).len(), DISPATCHERS as usize);
}

#[test]
fn when_the_homes_are_full_the_acceptor_runs_it() {
    let mut wired = store(Config::default());
    let homes = runners(&mut wired, ordered(60));
    for home in &homes {
        wired.credits(0, *home, &message().service, 0);
    }
    let other = (1..=DISPATCHERS).find(|dispatcher| !homes.contains(dispatcher)).unwrap();
    assert_eq!(run(&mut wired, other, with_key("another")), other);
}

#[test]
fn a_home_that_leaves_is_replaced() {
    let mut wired = store(Config::default());
    let homes = runners(&mut wired, ordered(60));
    let gone = *homes.first().unwrap();
    wired.say(0, gone, FromDispatcher::Leaving);
    let later = (0..60).map(|number| with_key(&format!("later-{number}")));
    let later = runners(&mut wired, later);
    assert!(!later.contains(&gone));
    assert!(later.difference(&homes).count() <= 1, "{homes:?} {later:?}");
}

/// The next message of a key is granted to a home at once, and runs after the one before.
#[test]
fn the_order_of_a_key_is_kept_across_dispatchers() {
    let mut wired = store(Config::default());
    let first = wired.accept(0, 1, with_key("k"), true);
    let granted = lease_of(&mut wired, 1, first);
    let second = wired.accept(0, 2, with_key("k"), true);
    assert!(wired.take_grants().is_empty(), "one of a key is out at a time");
    wired.succeed(0, granted.connection.0, &granted);
    assert_eq!(wired.take_grants()[0].id, second);
}
