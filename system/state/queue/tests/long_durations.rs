//! Messages whose durations are beyond 32 bits of milliseconds.

mod harness;

use harness::{message, StoreHarness};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::MessageId;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
const RETENTION_MS: u64 = 60 * DAY_MS;
const STORES: usize = 3;

fn accept(harness: &mut StoreHarness, message: Message) -> MessageId {
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness.accept(0, 1, message, false)
}

/// All processes end, and start again this much later.
fn restart_all_after(harness: &mut StoreHarness, ms: u64) {
    for index in 0..STORES {
        harness.kill(index);
    }
    harness.now_ms += ms;
    for index in 0..STORES {
        harness.start(index);
    }
    harness.advance(2_000);
}

// Guards against a retention that is cut off to 32 bits of milliseconds, 49.7 days, in the store or on its disk (review/5).
#[test]
fn a_message_ends_at_its_retention_and_not_49_days_after_its_acceptance() {
    let mut harness = StoreHarness::new(STORES, 1);
    let id = accept(&mut harness, Message { retention_ms: RETENTION_MS, ..message() });
    harness.take_grants();
    restart_all_after(&mut harness, 50 * DAY_MS);
    assert_eq!(harness.state(0, id).unwrap().end, None, "50 of 60 days have passed");
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.advance(2_000);
    assert_eq!(harness.take_grants().len(), 1, "it can still run");

    restart_all_after(&mut harness, 10 * DAY_MS);
    assert_eq!(harness.state(0, id).unwrap().end, Some(End::DeadLetter));
}

// Guards against a retention that is cut off once a message has ended and its body is freed: a replica that missed the end
// could run it again.
#[test]
fn the_end_of_a_message_keeps_its_whole_retention() {
    let mut harness = StoreHarness::new(STORES, 1);
    accept(&mut harness, Message { retention_ms: RETENTION_MS, ..message() });
    let granted = harness.take_grants().remove(0);
    harness.succeed(0, 1, &granted);
    let state = harness.state(0, granted.id).unwrap();
    assert!(matches!(state.end, Some(End::Completed { .. })));
    let kept = state.message.unwrap();
    assert_eq!((kept.body.len(), kept.retention_ms), (0, RETENTION_MS));
}

// Guards against a delay beyond 49.7 days that ends early.
#[test]
fn a_delay_of_60_days_is_waited_for() {
    let mut harness = StoreHarness::new(STORES, 1);
    let delayed = Message { delay_ms: RETENTION_MS, retention_ms: 2 * RETENTION_MS, ..message() };
    accept(&mut harness, delayed);
    restart_all_after(&mut harness, 50 * DAY_MS);
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.advance(2_000);
    assert!(harness.take_grants().is_empty(), "ten days are left");
    restart_all_after(&mut harness, 10 * DAY_MS);
    harness.hello(0, 3, 3, "zone-0", Vec::new());
    harness.advance(2_000);
    assert_eq!(harness.take_grants().len(), 1);
}

// Guards against sums of a clock's reading and the longest durations that a message can carry.
#[test]
fn the_longest_durations_overflow_nothing() {
    let mut harness = StoreHarness::new(STORES, 1);
    let longest = Message { target_start_ms: u64::MAX, retention_ms: u64::MAX, ..message() };
    accept(&mut harness, longest.clone());
    accept(&mut harness, Message { delay_ms: u64::MAX, ..longest });
    restart_all_after(&mut harness, 3_650 * DAY_MS);
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.advance(2_000);
    assert_eq!(harness.take_grants().len(), 2, "the first one, before the restart and after it");
}
