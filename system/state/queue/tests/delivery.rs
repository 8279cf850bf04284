//! From an accepted message to its end, at one store: leases, delays, order keys, credits, retries, retention.

mod wired;

use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher, NotAccepted, QueryAnswer, ToDispatcher};
use millrudder_protocol::{LeaseToken, RequestNumber};
use millrudder_queue::{Config, ConnectionId, Input};
use wired::{message, with_key, Granted, Wired};

/// One store that a dispatcher of its zone is connected to.
fn one_store() -> Wired {
    let mut wired = Wired::new(1, 0);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired
}

fn accepted_token(wired: &Wired) -> LeaseToken {
    wired.last_accepted().expect("accepted").expect("with a lease")
}

#[test]
fn an_accepted_message_is_leased_to_who_asks_for_it() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    assert!(wired.grants.is_empty());
    wired.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    assert!(wired.is_recorded(id, token));
    assert_eq!(wired.state(0, id).unwrap().end, Some(End::Completed { signature: "s".to_owned() }));
}

#[test]
fn without_a_lease_it_is_granted_to_its_acceptor_without_the_body() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    let id = wired.accept(0, 2, message(), false);
    assert_eq!(wired.last_accepted(), Some(None));
    let granted = wired.take_grants();
    assert_eq!((granted[0].connection, granted[0].id), (ConnectionId(2), id));
    assert_eq!(granted[0].message, None);
    wired.say(0, 2, FromDispatcher::NeedBody { id, token: granted[0].token });
    assert_eq!(wired.take_grants()[0].message, Some(message()));
}

#[test]
fn nothing_is_acknowledged_before_it_is_synced() {
    let mut wired = one_store();
    wired.places[0].stalled = true;
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 0);
    wired.places[0].stalled = false;
    wired.sync(0);
    assert_eq!(wired.acceptances(), 1);
}

/// Names are drawn: two messages may get the same one.
#[test]
fn another_message_under_a_name_that_is_taken_is_not_acknowledged() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let before = wired.acceptances();
    let other = Message { request_id: "another".to_owned(), body: b"other".to_vec(), ..message() };
    wired.accept_as(0, 1, id, other, true);
    assert_eq!(wired.acceptances(), before);
    let refused = |(_, told): &(ConnectionId, ToDispatcher)| matches!(told, ToDispatcher::NotAccepted { .. });
    assert!(wired.told.iter().any(refused), "so the dispatcher tries another name");
    assert_eq!(wired.state(0, id).unwrap().message.unwrap().request_id, message().request_id);
}

#[test]
fn the_same_accept_again_is_acknowledged_and_runs_once() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    wired.accept_as(0, 1, id, message(), true);
    assert_eq!(wired.acceptances(), 2);
    assert!(wired.grants.is_empty());
}

#[test]
fn a_delayed_message_is_granted_when_it_is_due() {
    let mut wired = one_store();
    wired.accept(0, 1, Message { delay_ms: 500, ..message() }, true);
    assert_eq!(wired.last_accepted(), Some(None));
    wired.advance(499);
    assert!(wired.grants.is_empty());
    wired.advance(1);
    assert_eq!(wired.take_grants().len(), 1);
}

#[test]
fn one_message_of_a_key_is_out_at_a_time() {
    let mut wired = one_store();
    let first = wired.accept(0, 1, with_key("k"), true);
    let token = accepted_token(&wired);
    let second = wired.accept(0, 1, with_key("k"), true);
    let other = wired.accept(0, 1, with_key("other"), true);
    assert!(wired.last_accepted().unwrap().is_some(), "{other} is of another key");
    assert!(wired.grants.is_empty());
    wired.places[0].stalled = true;
    wired.attempted(0, 1, first, token, AttemptOutcome::Refused);
    assert!(wired.grants.is_empty(), "the end is not kept yet");
    wired.places[0].stalled = false;
    wired.sync(0);
    assert_eq!(wired.take_grants()[0].id, second);
}

#[test]
fn silence_grants_the_same_message_of_a_key_again() {
    let mut wired = one_store();
    let first = wired.accept(0, 1, with_key("k"), true);
    let token = accepted_token(&wired);
    wired.accept(0, 1, with_key("k"), true);
    wired.attempted(0, 1, first, token, AttemptOutcome::Unknown { retry_after_ms: 100 });
    assert!(wired.is_recorded(first, token));
    wired.advance(99);
    assert!(wired.grants.is_empty());
    wired.advance(1);
    let granted = wired.take_grants();
    assert_eq!((granted.len(), granted[0].id), (1, first));
    assert!(granted[0].token > token);
}

#[test]
fn a_poisoned_message_holds_its_key_for_its_attempts_only() {
    let mut wired = one_store();
    let poisoned = wired.accept(0, 1, with_key("k"), true);
    let mut token = accepted_token(&wired);
    let next = wired.accept(0, 1, with_key("k"), false);
    for attempt in 1..=3 {
        wired.attempted(0, 1, poisoned, token, AttemptOutcome::Failed);
        assert_eq!(wired.state(0, poisoned).unwrap().failed_attempts, attempt);
        wired.advance(2_000);
        let granted = wired.take_grants();
        assert_eq!(granted.len(), 1);
        assert_eq!(granted[0].id, if attempt < 3 { poisoned } else { next });
        token = granted[0].token;
    }
    assert_eq!(wired.state(0, poisoned).unwrap().end, Some(End::DeadLetter));
}

#[test]
fn a_repeated_report_of_a_failure_counts_once() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.attempted(0, 1, id, token, AttemptOutcome::Failed);
    wired.attempted(0, 1, id, token, AttemptOutcome::Failed);
    assert_eq!(wired.state(0, id).unwrap().failed_attempts, 1);
}

#[test]
fn back_off_leaves_room_for_a_start_in_time() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, Message { max_attempts: 9, ..message() }, true);
    let token = accepted_token(&wired);
    wired.advance(200);
    wired.attempted(0, 1, id, token, AttemptOutcome::Failed);
    wired.advance(599);
    let granted = wired.take_grants();
    assert_eq!(granted.len(), 1, "the next attempt starts within the aim of 800 ms");
    assert!(granted[0].at_ms > 1_200, "and not at once");
}

#[test]
fn what_was_given_back_goes_to_another_dispatcher() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "elsewhere", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.attempted(0, 1, id, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
    wired.advance(50);
    let granted = wired.take_grants();
    assert_eq!(granted[0].connection, ConnectionId(2));
    assert_eq!(granted[0].message, Some(message()), "it did not accept it and lacks the body");
}

#[test]
fn a_dispatcher_gets_no_more_than_its_credit() {
    let mut wired = one_store();
    wired.credits(0, 1, "service", 2);
    let ids: Vec<_> = (0..5).map(|_| wired.accept(0, 1, message(), false)).collect();
    let granted = wired.take_grants();
    assert_eq!(granted.iter().map(|granted| granted.id).collect::<Vec<_>>(), ids[..2]);
    wired.succeed(0, 1, &granted[0]);
    assert_eq!(wired.take_grants()[0].id, ids[2]);
    wired.credits(0, 1, "service", 4);
    assert_eq!(wired.take_grants().len(), 2);
}

#[test]
fn a_dispatcher_of_the_stores_zone_comes_first_then_the_one_with_most_room() {
    let mut wired = Wired::new(1, 0);
    wired.hello(0, 1, 1, "elsewhere", Vec::new());
    wired.accept(0, 1, Message { delay_ms: 50, ..message() }, false);
    wired.accept(0, 1, Message { delay_ms: 50, ..message() }, false);
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    wired.hello(0, 2, 2, "elsewhere", Vec::new());
    wired.hello(0, 3, 3, "zone-0", Vec::new());
    wired.credits(0, 3, "service", 1);
    wired.advance(60);
    let connections: Vec<u64> = wired.take_grants().iter().map(|granted| granted.connection.0).collect();
    assert_eq!(connections, [3, 2]);
}

#[test]
fn priority_goes_first_and_those_that_can_start_in_time_before_the_late() {
    let mut wired = one_store();
    wired.credits(0, 1, "service", 0);
    let late = wired.accept(0, 1, message(), false);
    wired.advance(1_000);
    let timely = wired.accept(0, 1, message(), false);
    let low = wired.accept(0, 1, Message { priority: 5, ..message() }, false);
    let urgent_late = wired.accept(0, 1, Message { target_start_ms: 0, ..message() }, false);
    wired.advance(1);
    wired.credits(0, 1, "service", 9);
    let order: Vec<_> = wired.take_grants().iter().map(|granted| granted.id).collect();
    assert_eq!(order, [timely, late, urgent_late, low]);
}

#[test]
fn retention_ends_a_message_wherever_it_is() {
    let mut wired = one_store();
    let brief = |delay_ms| Message { retention_ms: 1_000, delay_ms, ..with_key("k") };
    let out = wired.accept(0, 1, brief(0), true);
    let token = accepted_token(&wired);
    let queued = wired.accept(0, 1, brief(0), true);
    wired.advance(999);
    assert_eq!(wired.state(0, out).unwrap().end, None);
    wired.advance(2);
    for id in [out, queued] {
        assert_eq!(wired.state(0, id).unwrap().end, Some(End::DeadLetter));
    }
    assert!(wired.told.iter().any(|(_, message)| *message == ToDispatcher::Revoke { id: out, token }));
}

#[test]
fn a_late_success_counts_whoever_ran_it() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    let old = accepted_token(&wired);
    wired.attempted(0, 1, id, old, AttemptOutcome::Unknown { retry_after_ms: 0 });
    wired.advance(20);
    let again = wired.take_grants().remove(0);
    let success = AttemptOutcome::Succeeded { signature: "first".to_owned() };
    wired.attempted(0, 1, id, old, success);
    assert!(wired.is_recorded(id, old));
    let revoke = ToDispatcher::Revoke { id, token: again.token };
    assert!(wired.told.iter().any(|(_, message)| *message == revoke));
    wired.attempted(0, again.connection.0, id, again.token, AttemptOutcome::Failed);
    assert!(wired.is_recorded(id, again.token));
    let state = wired.state(0, id).unwrap();
    assert_eq!(
        (state.failed_attempts, state.end),
        (0, Some(End::Completed { signature: "first".to_owned() }))
    );
}

#[test]
fn a_dispatcher_that_reconnects_keeps_what_it_lists() {
    let mut wired = one_store();
    let kept = wired.accept(0, 1, message(), true);
    let kept_token = accepted_token(&wired);
    let lost = wired.accept(0, 1, message(), true);
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    let held = vec![millrudder_protocol::store::ActiveLease { id: kept, token: kept_token }];
    wired.hello(0, 2, 1, "zone-0", held);
    assert_eq!(wired.take_grants()[0].id, lost, "what it does not list it never got");
    for _ in 0..5 {
        wired.advance(1_000);
        wired.say(0, 2, FromDispatcher::Ping);
    }
    wired.attempted(0, 2, kept, kept_token, AttemptOutcome::Refused);
    assert_eq!(wired.state(0, kept).unwrap().end, Some(End::DeadLetter));
}

#[test]
fn what_a_dispatcher_held_that_is_gone_is_granted_again_after_a_wait() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    wired.advance(1_499);
    assert!(wired.grants.is_empty());
    wired.say(0, 2, FromDispatcher::Ping);
    wired.advance(1);
    let granted = wired.take_grants();
    assert_eq!((granted[0].id, granted[0].connection), (id, ConnectionId(2)));
}

#[test]
fn a_silent_dispatcher_is_taken_for_gone() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    for _ in 0..50 {
        wired.advance(100);
        wired.say(0, 2, FromDispatcher::Ping);
    }
    assert_eq!(wired.closed, [ConnectionId(1)]);
    assert_eq!(wired.take_grants()[0].id, id);
}

#[test]
fn a_leaving_dispatcher_keeps_its_leases_and_gets_no_more() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.say(0, 1, FromDispatcher::Leaving);
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.last_accepted(), Some(None));
    wired.advance(2_000);
    assert!(wired.grants.is_empty());
    wired.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert!(wired.is_recorded(id, token));
}

#[test]
fn withdrawn_messages_never_run() {
    let mut wired = one_store();
    let delayed = wired.accept(0, 1, Message { delay_ms: 100, ..message() }, true);
    wired.say(0, 1, FromDispatcher::Withdraw { id: delayed });
    let unseen = wired.name();
    wired.say(0, 1, FromDispatcher::Withdraw { id: unseen });
    for id in [delayed, unseen] {
        assert!(wired.told.iter().any(|(_, message)| *message == ToDispatcher::Withdrawn { id }));
    }
    wired.accept_as(0, 1, unseen, message(), true);
    assert_eq!(wired.acceptances(), 1, "only the first was accepted");
    wired.advance(1_000);
    assert!(wired.grants.is_empty());
}

#[test]
fn what_another_dispatcher_may_have_run_is_not_withdrawn() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    wired.credits(0, 1, "service", 0);
    let id = wired.accept(0, 1, message(), false);
    assert_eq!(wired.take_grants()[0].connection, ConnectionId(2));
    wired.say(0, 1, FromDispatcher::Withdraw { id });
    wired.say(0, 1, FromDispatcher::Withdraw { id });
    assert!(!wired.told.iter().any(|(_, message)| matches!(message, ToDispatcher::Withdrawn { .. })));
}

#[test]
fn a_withdrawn_message_that_is_out_elsewhere_does_not_run_again() {
    let mut wired = one_store();
    wired.hello(0, 2, 2, "zone-0", Vec::new());
    wired.credits(0, 1, "service", 0);
    let id = wired.accept(0, 1, message(), false);
    let granted = wired.take_grants().remove(0);
    wired.say(0, 1, FromDispatcher::Withdraw { id });
    let revoke = ToDispatcher::Revoke { id, token: granted.token };
    assert!(wired.told.iter().any(|(_, message)| *message == revoke));
    wired.attempted(0, 2, id, granted.token, AttemptOutcome::Unknown { retry_after_ms: 0 });
    wired.advance(1_000);
    assert!(wired.take_grants().is_empty());
}

#[test]
fn a_full_store_refuses_before_it_writes() {
    let config = Config { max_live_messages: 2, ..Config::default() };
    let mut wired = Wired::with(1, 0, config);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    let first = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.accept(0, 1, message(), true);
    let written = wired.places[0].records.len();
    let refused = wired.accept(0, 1, message(), true);
    assert_eq!(wired.places[0].records.len(), written);
    assert_eq!(wired.state(0, refused), None);
    let is_full = |message: &ToDispatcher| {
        matches!(
            message,
            ToDispatcher::NotAccepted { reason: NotAccepted::Full { retry_after_ms: 1_000 }, .. }
        )
    };
    assert!(wired.told.iter().any(|(_, message)| is_full(message)));
    wired.attempted(0, 1, first, token, AttemptOutcome::Refused);
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 3, "an end makes room");
}

#[test]
fn bytes_are_bounded_too() {
    let config = Config { memory_bytes: 10_000, ..Config::default() };
    let mut wired = Wired::with(1, 0, config);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    for _ in 0..20 {
        wired.accept(0, 1, Message { body: vec![0; 2_000], ..message() }, true);
    }
    assert_eq!(wired.acceptances(), 3);
}

fn ask(wired: &mut Wired, id: millrudder_protocol::MessageId, body: bool) -> QueryAnswer {
    wired.say(0, 1, FromDispatcher::Query { request: RequestNumber(9), id, body });
    let answer = |message: &ToDispatcher| match message {
        ToDispatcher::State { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    wired.told.iter().rev().find_map(|(_, message)| answer(message)).expect("an answer")
}

#[test]
fn state_and_bytes_are_told_until_they_are_forgotten() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    assert_eq!(ask(&mut wired, id, false), QueryAnswer::Queued);
    assert_eq!(ask(&mut wired, id, true), QueryAnswer::Body { body: b"body".to_vec() });
    wired.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert_eq!(ask(&mut wired, id, false), QueryAnswer::Ended { end: End::DeadLetter });
    assert_eq!(ask(&mut wired, id, true), QueryAnswer::Body { body: b"body".to_vec() });
    for _ in 0..120 {
        wired.advance(1_000);
        wired.say(0, 1, FromDispatcher::Ping);
    }
    assert_eq!(ask(&mut wired, id, false), QueryAnswer::Ended { end: End::DeadLetter });
    assert!(wired.released.is_empty());
    wired.advance(17_000);
    assert!(wired.released.contains(&id));
    assert_eq!(wired.state(0, id), None);
}

#[test]
fn a_failed_disk_promises_nothing_more() {
    let mut wired = one_store();
    wired.input(0, Input::DiskFailed);
    wired.accept(0, 1, message(), true);
    let is_refused = |message: &ToDispatcher| {
        matches!(message, ToDispatcher::NotAccepted { reason: NotAccepted::NotPrimary { .. }, .. })
    };
    assert!(wired.told.iter().any(|(_, message)| is_refused(message)));
    let health = wired.places[0].node.as_ref().unwrap().health(wired.now());
    assert_eq!((health.serving, health.oldest_unsynced_ms), (0, u32::MAX));
}

/// The dispatcher that holds the message is gone; another one is granted it. Gives that grant.
fn granted_elsewhere(wired: &mut Wired, from: u64, to: u64) -> Granted {
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(from) });
    wired.hello(0, to, to, "zone-0", Vec::new());
    wired.advance(2_500);
    wired.take_grants().pop().expect("granted again")
}

#[test]
fn failures_under_leases_that_are_over_count_each_once() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let mut token = accepted_token(&wired);
    for dispatcher in 1..4 {
        let next = granted_elsewhere(&mut wired, dispatcher, dispatcher + 1);
        // What the former one read reaches the store after all, twice, on a new connection.
        let again = 100 + dispatcher;
        wired.hello(0, again, dispatcher, "zone-0", Vec::new());
        wired.attempted(0, again, id, token, AttemptOutcome::Failed);
        wired.attempted(0, again, id, token, AttemptOutcome::Failed);
        assert!(wired.is_recorded(id, token));
        assert_eq!(u64::from(wired.state(0, id).unwrap().failed_attempts), dispatcher);
        wired.say(0, again, FromDispatcher::Leaving);
        token = next.token;
    }
    assert_eq!(wired.state(0, id).unwrap().end, Some(End::DeadLetter));
    let revoked = ToDispatcher::Revoke { id, token };
    assert!(wired.told.iter().any(|(_, message)| *message == revoked), "the last one is not to start it");
}

#[test]
fn a_refusal_under_a_lease_that_is_over_ends_the_message() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    let next = granted_elsewhere(&mut wired, 1, 2);
    wired.hello(0, 101, 1, "zone-0", Vec::new());
    wired.attempted(0, 101, id, token, AttemptOutcome::Refused);
    assert_eq!(wired.state(0, id).unwrap().end, Some(End::DeadLetter));
    wired.attempted(0, 2, id, next.token, AttemptOutcome::NotRun { retry_after_ms: 0 });
    wired.advance(5_000);
    assert!(wired.take_grants().is_empty());
}

#[test]
fn a_refusal_takes_nothing_from_a_success() {
    let mut wired = one_store();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    let next = granted_elsewhere(&mut wired, 1, 2);
    wired.succeed(0, 2, &next);
    wired.hello(0, 101, 1, "zone-0", Vec::new());
    wired.attempted(0, 101, id, token, AttemptOutcome::Refused);
    assert!(wired.is_recorded(id, token));
    assert!(matches!(wired.state(0, id).unwrap().end, Some(End::Completed { .. })));
}

#[test]
fn runs_whose_end_nobody_knows_come_less_and_less_often() {
    let mut wired = one_store();
    wired.accept(0, 1, Message { retention_ms: 90_000, ..message() }, false);
    let mut granted = wired.take_grants().remove(0);
    let mut runs = 1;
    let mut waits = Vec::new();
    while runs < 9 {
        let unknown = AttemptOutcome::Unknown { retry_after_ms: 0 };
        wired.attempted(0, 1, granted.id, granted.token, unknown);
        let ended_ms = wired.now_ms;
        while wired.grants.is_empty() {
            wired.say(0, 1, FromDispatcher::Ping);
            wired.advance(10);
        }
        granted = wired.take_grants().remove(0);
        waits.push(granted.at_ms - ended_ms);
        runs += 1;
    }
    let longest_ms = Config::default().max_backoff.as_millis() as u64;
    assert!(waits[..2].iter().all(|wait| *wait <= 20), "a lost answer or two cost nothing: {waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert!(waits[7] >= longest_ms && waits[7] <= longest_ms + 20, "{waits:?}");
}
