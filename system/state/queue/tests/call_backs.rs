//! Call-backs that ends owe, at one store.

mod wired;

use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId};
use millrudder_queue::{Config, ConnectionId, Input, OrphanCause};
use wired::{message, Stray, Wired};

#[derive(Clone, Debug, PartialEq)]
struct Call {
    connection: ConnectionId,
    id: MessageId,
    token: LeaseToken,
    end: End,
    message: Option<Message>,
}

fn one_store() -> Wired {
    let mut wired = Wired::new(1, 0);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired
}

fn owing(receiver: &str) -> Message {
    Message { callback_url: Some(format!("http://{receiver}/done")), ..message() }
}

/// Call-backs that were granted since the last look.
fn take_calls(wired: &mut Wired) -> Vec<Call> {
    let told = std::mem::take(&mut wired.told);
    let call = |(connection, message)| match message {
        ToDispatcher::CallBack { id, token, end, message } => {
            Some(Call { connection, id, token, end, message: message.map(|message| *message) })
        }
        _ => None,
    };
    told.into_iter().filter_map(call).collect()
}

/// Accepts a message and has it succeed.
fn complete(wired: &mut Wired, message: Message) -> MessageId {
    let id = wired.accept(0, 1, message, true);
    let token = wired.last_accepted().flatten().expect("a lease");
    wired.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    id
}

fn report(wired: &mut Wired, call: &Call, done: bool) {
    let message = FromDispatcher::CalledBack { id: call.id, token: call.token, done, retry_after_ms: 0 };
    wired.say(0, call.connection.0, message);
}

#[test]
fn an_end_owes_its_call_back_once_it_is_kept() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, owing("r"), true);
    let token = wired.last_accepted().flatten().expect("a lease");
    wired.places[0].stalled = true;
    wired.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    assert!(take_calls(&mut wired).is_empty());
    wired.places[0].stalled = false;
    wired.sync(0);
    let calls = take_calls(&mut wired);
    assert_eq!((calls[0].id, &calls[0].end), (id, &End::Completed { signature: "s".to_owned() }));
    assert_eq!(calls[0].message, None, "the dispatcher that accepted it has it still");
}

#[test]
fn a_call_back_that_was_taken_is_over_and_its_body_given_back() {
    let mut wired = one_store();
    let id = complete(&mut wired, owing("r"));
    let call = take_calls(&mut wired).remove(0);
    report(&mut wired, &call, true);
    assert!(wired.is_recorded(id, call.token));
    assert!(wired.state(0, id).unwrap().callback_done);
    wired.advance(2_000);
    assert!(take_calls(&mut wired).is_empty());
}

#[test]
fn a_dead_letter_owes_one_too_and_a_withdrawn_message_none() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, owing("r"), true);
    let token = wired.last_accepted().flatten().expect("a lease");
    wired.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert_eq!(take_calls(&mut wired)[0].end, End::DeadLetter);
    let withdrawn = wired.accept(0, 1, Message { delay_ms: 100, ..owing("r") }, false);
    wired.say(0, 1, FromDispatcher::Withdraw { id: withdrawn });
    wired.advance(500);
    assert!(take_calls(&mut wired).is_empty());
}

#[test]
fn few_are_under_way_to_one_receiver_and_none_waits_for_another() {
    let mut wired = one_store();
    for _ in 0..10 {
        complete(&mut wired, owing("slow"));
    }
    let slow = take_calls(&mut wired);
    assert_eq!(slow.len(), 2);
    complete(&mut wired, owing("quick"));
    assert_eq!(take_calls(&mut wired).len(), 1);
    report(&mut wired, &slow[0], true);
    assert_eq!(take_calls(&mut wired).len(), 2, "one is free, and one more may be under way after a success");
}

#[test]
fn a_receiver_that_fails_is_tried_less_and_less() {
    let mut wired = one_store();
    complete(&mut wired, owing("down"));
    let mut tries = 0;
    for _ in 0..100 {
        for call in take_calls(&mut wired) {
            tries += 1;
            report(&mut wired, &call, false);
        }
        wired.advance(100);
        wired.say(0, 1, FromDispatcher::Ping);
    }
    assert!((4..=8).contains(&tries), "{tries} tries in ten seconds");
    complete(&mut wired, owing("well"));
    assert_eq!(take_calls(&mut wired).len(), 1);
}

#[test]
fn one_that_a_receiver_never_takes_does_not_hold_up_the_others() {
    let mut wired = one_store();
    let bad = complete(&mut wired, owing("r"));
    let mut done = 0;
    for _ in 0..100 {
        complete(&mut wired, owing("r"));
        for call in take_calls(&mut wired) {
            report(&mut wired, &call, call.id != bad);
            done += usize::from(call.id != bad);
        }
        wired.advance(50);
        wired.say(0, 1, FromDispatcher::Ping);
    }
    assert!(done > 90, "{done} of 100 were taken");
}

#[test]
fn it_goes_to_another_dispatcher_if_the_first_is_gone() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    let id = complete(&mut wired, owing("r"));
    let first = take_calls(&mut wired).remove(0);
    assert_eq!(first.connection, ConnectionId(1));
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    let second = take_calls(&mut wired).remove(0);
    assert_eq!((second.connection, second.id), (ConnectionId(2), id));
    let message = second.message.clone().expect("it lacks the message");
    assert!(message.body.is_empty());
    assert_eq!(message.callback_url.as_deref(), Some("http://r/done"));
    report(&mut wired, &first, true);
    assert!(wired.state(0, id).unwrap().callback_done, "whoever reports it, it was taken");
}

#[test]
fn nobody_connected_leaves_it_owed() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, Message { retention_ms: 100, ..owing("r") }, true);
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    wired.advance(5_000);
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    let calls = take_calls(&mut wired);
    assert_eq!((calls[0].id, &calls[0].end), (id, &End::DeadLetter));
}

/// Moves on while the dispatcher shows that it lives.
fn advance_alive(wired: &mut Wired, ms: u64) {
    for _ in 0..ms / 100 {
        wired.advance(100);
        wired.say(0, 1, FromDispatcher::Ping);
    }
}

#[test]
fn what_a_dispatcher_that_lives_forgot_is_called_back_all_the_same() {
    let mut wired = one_store();
    let forgotten: Vec<MessageId> = (0..2).map(|_| complete(&mut wired, owing("r"))).collect();
    assert_eq!(take_calls(&mut wired).len(), 2);
    let behind = complete(&mut wired, owing("r"));
    let lease_ms = Config::default().callback_timeout.as_millis() as u64;
    advance_alive(&mut wired, lease_ms - 1_000);
    assert!(take_calls(&mut wired).is_empty(), "two are under way, as far as is known");
    advance_alive(&mut wired, 2_500);
    let mut called: Vec<MessageId> = Vec::new();
    for _ in 0..3 {
        for call in take_calls(&mut wired) {
            report(&mut wired, &call, true);
            called.push(call.id);
        }
    }
    assert!(forgotten.iter().chain([&behind]).all(|id| called.contains(id)), "{called:?}");
    let stray = |id: &MessageId| Stray { id: *id, cause: OrphanCause::CallbackForgotten };
    assert!(forgotten.iter().all(|id| wired.strays.contains(&stray(id))), "{:?}", wired.strays);
    assert_eq!(wired.strays.len(), 2);
}

#[test]
fn a_forgotten_call_back_that_is_done_after_all_is_over() {
    let mut wired = one_store();
    let id = complete(&mut wired, owing("r"));
    let first = take_calls(&mut wired).remove(0);
    advance_alive(&mut wired, Config::default().callback_timeout.as_millis() as u64 + 1_500);
    assert_eq!(take_calls(&mut wired).len(), 1);
    report(&mut wired, &first, true);
    assert!(wired.state(0, id).unwrap().callback_done);
    advance_alive(&mut wired, 15_000);
    assert!(take_calls(&mut wired).is_empty());
}

/// One store with as many dispatchers of its zone; each message succeeds at dispatcher 1.
fn with_dispatchers(count: u64) -> Wired {
    let mut wired = Wired::new(1, 0);
    for dispatcher in 1..=count {
        wired.hello(0, dispatcher, dispatcher, "zone-0", Vec::new());
    }
    wired
}

fn callers(wired: &mut Wired, receiver: &str, call_backs: usize) -> std::collections::BTreeSet<u64> {
    let mut callers = std::collections::BTreeSet::new();
    for _ in 0..call_backs {
        complete(wired, owing(receiver));
        for call in take_calls(wired) {
            callers.insert(call.connection.0);
            report(wired, &call, true);
        }
    }
    callers
}

#[test]
fn few_dispatchers_speak_with_one_receiver() {
    let mut wired = with_dispatchers(30);
    let callers = callers(&mut wired, "r", 40);
    assert!(callers.len() <= 4, "{callers:?}");
}

#[test]
fn other_receivers_have_other_home_dispatchers() {
    let mut wired = with_dispatchers(30);
    let all: std::collections::BTreeSet<u64> =
        (0..20).flat_map(|number| callers(&mut wired, &format!("r-{number}"), 8)).collect();
    assert!(all.len() > 8, "{all:?}");
}

#[test]
fn in_a_small_fleet_the_one_that_reported_the_end_calls_back() {
    let mut wired = with_dispatchers(3);
    assert_eq!(callers(&mut wired, "r", 10), [1].into());
}

#[test]
fn when_home_dispatchers_leave_others_call_back() {
    let mut wired = with_dispatchers(12);
    let before = callers(&mut wired, "r", 20);
    for gone in before.iter().filter(|gone| **gone != 1) {
        wired.say(0, *gone, FromDispatcher::Leaving);
    }
    let after = callers(&mut wired, "r", 20);
    assert!(!after.is_empty());
    assert!(after.iter().all(|caller| *caller == 1 || !before.contains(caller)), "{after:?}");
}
