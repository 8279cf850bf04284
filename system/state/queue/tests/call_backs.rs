//! Call-backs that follow the end of a message, at a single store.

mod harness;

use harness::{message, one_store, Orphan, StoreHarness};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId};
use millrudder_queue::{Config, ConnectionId, Input, OrphanCause};

#[derive(Clone, Debug, PartialEq)]
struct Call {
    connection: ConnectionId,
    id: MessageId,
    token: LeaseToken,
    end: End,
    message: Option<Message>,
}

fn with_callback(receiver: &str) -> Message {
    Message { callback_url: Some(format!("http://{receiver}/done")), ..message() }
}

/// Returns the call-backs that were granted since the last call.
fn take_calls(harness: &mut StoreHarness) -> Vec<Call> {
    let sent_to_dispatchers = std::mem::take(&mut harness.sent_to_dispatchers);
    let call = |(connection, message)| match message {
        ToDispatcher::CallBack { id, token, end, message } => {
            Some(Call { connection, id, token, end, message: message.map(|message| *message) })
        }
        _ => None,
    };
    sent_to_dispatchers.into_iter().filter_map(call).collect()
}

/// Accepts a message and reports that it succeeded.
fn complete(harness: &mut StoreHarness, message: Message) -> MessageId {
    let id = harness.accept(0, 1, message, true);
    let token = harness.last_accepted().flatten().expect("a lease");
    harness.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    id
}

fn report(harness: &mut StoreHarness, call: &Call, done: bool) {
    let message = FromDispatcher::CalledBack { id: call.id, token: call.token, done, retry_after_ms: 0 };
    harness.send_from_dispatcher(0, call.connection.0, message);
}

#[test]
fn an_end_has_its_call_back_made_once_it_is_durable() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, with_callback("r"), true);
    let token = harness.last_accepted().flatten().expect("a lease");
    harness.processes[0].stalled = true;
    harness.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    assert!(take_calls(&mut harness).is_empty());
    harness.processes[0].stalled = false;
    harness.sync(0);
    let calls = take_calls(&mut harness);
    assert_eq!((calls[0].id, &calls[0].end), (id, &End::Completed { signature: "s".to_owned() }));
    assert_eq!(calls[0].message, None, "the dispatcher that accepted the message still has it");
}

#[test]
fn a_successful_call_back_is_complete_and_its_body_is_freed() {
    let mut harness = one_store();
    let body_bytes = |harness: &StoreHarness, id| {
        harness.state(0, id).unwrap().message.map_or(0, |message| message.body.len())
    };
    let waiting = harness.accept(0, 1, Message { delay_ms: 60_000, ..with_callback("r") }, false);
    assert!(body_bytes(&harness, waiting) > 0);
    let id = complete(&mut harness, with_callback("r"));
    let call = take_calls(&mut harness).remove(0);
    report(&mut harness, &call, true);
    assert!(harness.is_recorded(id, call.token));
    assert!(harness.state(0, id).unwrap().callback_done);
    assert_eq!(body_bytes(&harness, id), 0);
    harness.advance(2_000);
    assert!(take_calls(&mut harness).is_empty());
}

#[test]
fn a_dead_letter_is_called_back_and_a_withdrawn_message_is_not() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, with_callback("r"), true);
    let token = harness.last_accepted().flatten().expect("a lease");
    harness.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert_eq!(take_calls(&mut harness)[0].end, End::DeadLetter);
    let withdrawn = harness.accept(0, 1, Message { delay_ms: 100, ..with_callback("r") }, false);
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id: withdrawn });
    harness.advance(500);
    assert!(take_calls(&mut harness).is_empty());
}

#[test]
fn call_backs_in_flight_are_limited_per_receiver_and_receivers_are_independent() {
    let mut harness = one_store();
    for _ in 0..10 {
        complete(&mut harness, with_callback("slow"));
    }
    let slow = take_calls(&mut harness);
    assert_eq!(slow.len(), 2);
    complete(&mut harness, with_callback("quick"));
    assert_eq!(take_calls(&mut harness).len(), 1);
    report(&mut harness, &slow[0], true);
    assert_eq!(
        take_calls(&mut harness).len(),
        2,
        "one call-back has ended, and the limit rises by one after a success"
    );
}

#[test]
fn a_failing_receiver_backs_off_exponentially() {
    let mut harness = one_store();
    complete(&mut harness, with_callback("down"));
    let mut attempts = 0;
    for _ in 0..100 {
        for call in take_calls(&mut harness) {
            attempts += 1;
            report(&mut harness, &call, false);
        }
        harness.advance(100);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
    assert!((4..=8).contains(&attempts), "{attempts} attempts in ten seconds");
    complete(&mut harness, with_callback("well"));
    assert_eq!(take_calls(&mut harness).len(), 1);
}

#[test]
fn a_call_back_that_always_fails_does_not_block_others_to_its_receiver() {
    let mut harness = one_store();
    let bad = complete(&mut harness, with_callback("r"));
    let mut done = 0;
    for _ in 0..100 {
        complete(&mut harness, with_callback("r"));
        for call in take_calls(&mut harness) {
            report(&mut harness, &call, call.id != bad);
            done += usize::from(call.id != bad);
        }
        harness.advance(50);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
    assert!(done > 90, "only {done} of 100 call-backs succeeded");
}

#[test]
fn a_call_back_moves_to_another_dispatcher_after_a_disconnect() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    let id = complete(&mut harness, with_callback("r"));
    let first = take_calls(&mut harness).remove(0);
    assert_eq!(first.connection, ConnectionId(1));
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    let second = take_calls(&mut harness).remove(0);
    assert_eq!((second.connection, second.id), (ConnectionId(2), id));
    let message = second.message.clone().expect("a dispatcher that lacks the message gets it");
    assert!(message.body.is_empty());
    assert_eq!(message.callback_url.as_deref(), Some("http://r/done"));
    report(&mut harness, &first, true);
    assert!(harness.state(0, id).unwrap().callback_done, "a success counts whichever dispatcher reports it");
}

#[test]
fn a_call_back_stays_pending_without_a_connected_dispatcher() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, Message { retention_ms: 100, ..with_callback("r") }, true);
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    harness.advance(5_000);
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    let calls = take_calls(&mut harness);
    assert_eq!((calls[0].id, &calls[0].end), (id, &End::DeadLetter));
}

/// Advances the clock while the dispatcher keeps sending pings.
fn advance_alive(harness: &mut StoreHarness, ms: u64) {
    for _ in 0..ms / 100 {
        harness.advance(100);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
}

#[test]
fn a_call_back_that_a_live_dispatcher_lost_is_granted_again() {
    let mut harness = one_store();
    let lost_call_backs: Vec<MessageId> =
        (0..2).map(|_| complete(&mut harness, with_callback("r"))).collect();
    assert_eq!(take_calls(&mut harness).len(), 2);
    let queued = complete(&mut harness, with_callback("r"));
    let lease_ms = Config::default().callback_timeout.as_millis() as u64;
    advance_alive(&mut harness, lease_ms - 1_000);
    assert!(take_calls(&mut harness).is_empty(), "as far as the store knows, two call-backs are in flight");
    advance_alive(&mut harness, 2_500);
    let mut called: Vec<MessageId> = Vec::new();
    for _ in 0..3 {
        for call in take_calls(&mut harness) {
            report(&mut harness, &call, true);
            called.push(call.id);
        }
    }
    assert!(lost_call_backs.iter().chain([&queued]).all(|id| called.contains(id)), "{called:?}");
    let orphan = |id: &MessageId| Orphan { id: *id, cause: OrphanCause::CallbackForgotten };
    assert!(lost_call_backs.iter().all(|id| harness.orphans.contains(&orphan(id))), "{:?}", harness.orphans);
    assert_eq!(harness.orphans.len(), 2);
}

#[test]
fn a_late_report_completes_a_call_back_that_timed_out() {
    let mut harness = one_store();
    let id = complete(&mut harness, with_callback("r"));
    let first = take_calls(&mut harness).remove(0);
    advance_alive(&mut harness, Config::default().callback_timeout.as_millis() as u64 + 1_500);
    assert_eq!(take_calls(&mut harness).len(), 1);
    report(&mut harness, &first, true);
    assert!(harness.state(0, id).unwrap().callback_done);
    advance_alive(&mut harness, 15_000);
    assert!(take_calls(&mut harness).is_empty());
}

/// A store with `count` dispatchers in its zone. Each message is sent by dispatcher 1 and succeeds there.
fn with_dispatchers(count: u64) -> StoreHarness {
    let mut harness = StoreHarness::new(1, 0);
    for dispatcher in 1..=count {
        harness.hello(0, dispatcher, dispatcher, "zone-0", Vec::new());
    }
    harness
}

fn callers(harness: &mut StoreHarness, receiver: &str, call_backs: usize) -> std::collections::BTreeSet<u64> {
    let mut callers = std::collections::BTreeSet::new();
    for _ in 0..call_backs {
        complete(harness, with_callback(receiver));
        for call in take_calls(harness) {
            callers.insert(call.connection.0);
            report(harness, &call, true);
        }
    }
    callers
}

#[test]
fn a_receiver_has_few_home_dispatchers() {
    let mut harness = with_dispatchers(30);
    let callers = callers(&mut harness, "r", 40);
    assert!(callers.len() <= 4, "{callers:?}");
}

#[test]
fn receivers_are_spread_over_home_dispatchers() {
    let mut harness = with_dispatchers(30);
    let all: std::collections::BTreeSet<u64> =
        (0..20).flat_map(|number| callers(&mut harness, &format!("r-{number}"), 8)).collect();
    assert!(all.len() > 8, "{all:?}");
}

#[test]
fn in_a_small_fleet_the_reporter_of_the_end_makes_the_call_back() {
    let mut harness = with_dispatchers(3);
    assert_eq!(callers(&mut harness, "r", 10), [1].into());
}

#[test]
fn other_dispatchers_replace_home_dispatchers_that_left() {
    let mut harness = with_dispatchers(12);
    let before = callers(&mut harness, "r", 20);
    for gone in before.iter().filter(|gone| **gone != 1) {
        harness.send_from_dispatcher(0, *gone, FromDispatcher::ShuttingDown);
    }
    let after = callers(&mut harness, "r", 20);
    assert!(!after.is_empty());
    assert!(after.iter().all(|caller| *caller == 1 || !before.contains(caller)), "{after:?}");
}
