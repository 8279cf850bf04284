//! The way of a message from its acceptance to its end at a single store: leases, delays, order keys, credits,
//! retries, retention.

mod harness;

use harness::{accepted_token, message, one_store, with_key, Granted, StoreHarness};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{
    AcceptRejection, AttemptOutcome, FromDispatcher, QueryAnswer, ToDispatcher,
};
use millrudder_protocol::RequestNumber;
use millrudder_queue::{Config, ConnectionId, Input};

/// With one connected dispatcher, a message is leased to the dispatcher that sends it for acceptance.
#[test]
fn an_accepted_message_is_leased_to_the_dispatcher_that_asks() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    assert!(harness.grants.is_empty());
    harness.attempted(0, 1, id, token, AttemptOutcome::Succeeded { signature: "s".to_owned() });
    assert!(harness.is_recorded(id, token));
    assert_eq!(harness.state(0, id).unwrap().end, Some(End::Completed { signature: "s".to_owned() }));
}

#[test]
fn without_a_lease_it_is_granted_to_its_acceptor_without_the_body() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    let id = harness.accept(0, 2, message(), false);
    assert_eq!(harness.last_accepted(), Some(None));
    let granted = harness.take_grants();
    assert_eq!((granted[0].connection, granted[0].id), (ConnectionId(2), id));
    assert_eq!(granted[0].message, None);
    harness.send_from_dispatcher(0, 2, FromDispatcher::NeedBody { id, token: granted[0].token });
    assert_eq!(harness.take_grants()[0].message, Some(message()));
}

#[test]
fn an_accept_is_not_acknowledged_before_the_sync() {
    let mut harness = one_store();
    harness.processes[0].stalled = true;
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 0);
    harness.processes[0].stalled = false;
    harness.sync(0);
    assert_eq!(harness.acceptances(), 1);
}

/// Identifiers are random, so two clients' messages may get the same one.
#[test]
fn a_different_message_under_a_used_id_is_rejected() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let before = harness.acceptances();
    let other = Message { request_id: "another".to_owned(), body: b"other".to_vec(), ..message() };
    harness.accept_as(0, 1, id, other, true);
    assert_eq!(harness.acceptances(), before);
    let refused = |(_, sent_to_dispatchers): &(ConnectionId, ToDispatcher)| {
        matches!(sent_to_dispatchers, ToDispatcher::Rejected { .. })
    };
    assert!(
        harness.sent_to_dispatchers.iter().any(refused),
        "the dispatcher must be told to try another identifier"
    );
    assert_eq!(harness.state(0, id).unwrap().message.unwrap().request_id, message().request_id);
}

#[test]
fn a_repeated_accept_is_idempotent() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    harness.accept_as(0, 1, id, message(), true);
    assert_eq!(harness.acceptances(), 2);
    assert!(harness.grants.is_empty());
}

#[test]
fn a_delayed_message_is_granted_when_it_is_due() {
    let mut harness = one_store();
    harness.accept(0, 1, Message { delay_ms: 500, ..message() }, true);
    assert_eq!(harness.last_accepted(), Some(None));
    harness.advance(499);
    assert!(harness.grants.is_empty());
    harness.advance(1);
    assert_eq!(harness.take_grants().len(), 1);
}

#[test]
fn one_message_of_a_key_is_in_flight_at_a_time() {
    let mut harness = one_store();
    let first = harness.accept(0, 1, with_key("k"), true);
    let token = accepted_token(&harness);
    let second = harness.accept(0, 1, with_key("k"), true);
    let other = harness.accept(0, 1, with_key("other"), true);
    assert!(harness.last_accepted().unwrap().is_some(), "{other} has another key and is granted at once");
    assert!(harness.grants.is_empty());
    harness.processes[0].stalled = true;
    harness.attempted(0, 1, first, token, AttemptOutcome::Refused);
    assert!(harness.grants.is_empty(), "the end is not durable yet");
    harness.processes[0].stalled = false;
    harness.sync(0);
    assert_eq!(harness.take_grants()[0].id, second);
}

#[test]
fn after_an_unknown_outcome_the_same_message_of_a_key_is_retried() {
    let mut harness = one_store();
    let first = harness.accept(0, 1, with_key("k"), true);
    let token = accepted_token(&harness);
    harness.accept(0, 1, with_key("k"), true);
    harness.attempted(0, 1, first, token, AttemptOutcome::Unknown { retry_after_ms: 100 });
    assert!(harness.is_recorded(first, token));
    harness.advance(99);
    assert!(harness.grants.is_empty());
    harness.advance(1);
    let granted = harness.take_grants();
    assert_eq!((granted.len(), granted[0].id), (1, first));
    assert!(granted[0].token > token);
}

#[test]
fn a_poison_message_blocks_its_key_for_its_attempts_only() {
    let mut harness = one_store();
    let poisoned = harness.accept(0, 1, with_key("k"), true);
    let mut token = accepted_token(&harness);
    let next = harness.accept(0, 1, with_key("k"), false);
    for attempt in 1..=3 {
        harness.attempted(0, 1, poisoned, token, AttemptOutcome::Failed);
        assert_eq!(harness.state(0, poisoned).unwrap().failed_attempts, attempt);
        harness.advance(2_000);
        let granted = harness.take_grants();
        assert_eq!(granted.len(), 1);
        assert_eq!(granted[0].id, if attempt < 3 { poisoned } else { next });
        token = granted[0].token;
    }
    assert_eq!(harness.state(0, poisoned).unwrap().end, Some(End::DeadLetter));
}

#[test]
fn a_repeated_report_of_a_failure_counts_once() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.attempted(0, 1, id, token, AttemptOutcome::Failed);
    harness.attempted(0, 1, id, token, AttemptOutcome::Failed);
    assert_eq!(harness.state(0, id).unwrap().failed_attempts, 1);
}

#[test]
fn backoff_leaves_time_for_a_start_within_the_target() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, Message { max_attempts: 9, ..message() }, true);
    let token = accepted_token(&harness);
    harness.advance(200);
    harness.attempted(0, 1, id, token, AttemptOutcome::Failed);
    harness.advance(599);
    let granted = harness.take_grants();
    assert_eq!(granted.len(), 1, "the next attempt starts within the target of 800 ms");
    assert!(granted[0].at_ms > 1_200, "the next attempt does not start at once");
}

#[test]
fn a_returned_message_goes_to_another_dispatcher() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "elsewhere", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.attempted(0, 1, id, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
    harness.advance(50);
    let granted = harness.take_grants();
    assert_eq!(granted[0].connection, ConnectionId(2));
    assert_eq!(
        granted[0].message,
        Some(message()),
        "a dispatcher that did not accept the message gets its body"
    );
}

#[test]
fn a_dispatcher_is_granted_at_most_its_credit() {
    let mut harness = one_store();
    harness.credits(0, 1, "service", 2);
    let ids: Vec<_> = (0..5).map(|_| harness.accept(0, 1, message(), false)).collect();
    let granted = harness.take_grants();
    assert_eq!(granted.iter().map(|granted| granted.id).collect::<Vec<_>>(), ids[..2]);
    harness.succeed(0, 1, &granted[0]);
    assert_eq!(harness.take_grants()[0].id, ids[2]);
    harness.credits(0, 1, "service", 4);
    assert_eq!(harness.take_grants().len(), 2);
}

#[test]
fn dispatchers_are_preferred_by_zone_then_by_free_credit() {
    let mut harness = StoreHarness::new(1, 0);
    harness.hello(0, 1, 1, "elsewhere", Vec::new());
    harness.accept(0, 1, Message { delay_ms: 50, ..message() }, false);
    harness.accept(0, 1, Message { delay_ms: 50, ..message() }, false);
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    harness.hello(0, 2, 2, "elsewhere", Vec::new());
    harness.hello(0, 3, 3, "zone-0", Vec::new());
    harness.credits(0, 3, "service", 1);
    harness.advance(60);
    let connections: Vec<u64> = harness.take_grants().iter().map(|granted| granted.connection.0).collect();
    assert_eq!(connections, [3, 2]);
}

#[test]
fn ready_messages_are_ordered_by_priority_then_timeliness() {
    let mut harness = one_store();
    harness.credits(0, 1, "service", 0);
    let late = harness.accept(0, 1, message(), false);
    harness.advance(1_000);
    let timely = harness.accept(0, 1, message(), false);
    let low = harness.accept(0, 1, Message { priority: 5, ..message() }, false);
    let urgent_late = harness.accept(0, 1, Message { target_start_ms: 0, ..message() }, false);
    harness.advance(1);
    harness.credits(0, 1, "service", 9);
    let order: Vec<_> = harness.take_grants().iter().map(|granted| granted.id).collect();
    assert_eq!(order, [timely, late, urgent_late, low]);
}

#[test]
fn retention_ends_a_message_at_any_stage() {
    let mut harness = one_store();
    let brief = |delay_ms| Message { retention_ms: 1_000, delay_ms, ..with_key("k") };
    let out = harness.accept(0, 1, brief(0), true);
    let token = accepted_token(&harness);
    let queued = harness.accept(0, 1, brief(0), true);
    harness.advance(999);
    assert_eq!(harness.state(0, out).unwrap().end, None);
    harness.advance(2);
    for id in [out, queued] {
        assert_eq!(harness.state(0, id).unwrap().end, Some(End::DeadLetter));
    }
    assert!(harness
        .sent_to_dispatchers
        .iter()
        .any(|(_, message)| *message == ToDispatcher::Revoke { id: out, token }));
}

#[test]
fn a_late_success_counts_under_any_lease() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    let old = accepted_token(&harness);
    harness.attempted(0, 1, id, old, AttemptOutcome::Unknown { retry_after_ms: 0 });
    harness.advance(20);
    let again = harness.take_grants().remove(0);
    let success = AttemptOutcome::Succeeded { signature: "first".to_owned() };
    harness.attempted(0, 1, id, old, success);
    assert!(harness.is_recorded(id, old));
    let revoke = ToDispatcher::Revoke { id, token: again.token };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| *message == revoke));
    harness.attempted(0, again.connection.0, id, again.token, AttemptOutcome::Failed);
    assert!(harness.is_recorded(id, again.token));
    let state = harness.state(0, id).unwrap();
    assert_eq!(
        (state.failed_attempts, state.end),
        (0, Some(End::Completed { signature: "first".to_owned() }))
    );
}

#[test]
fn a_reconnected_dispatcher_keeps_the_leases_it_announces() {
    let mut harness = one_store();
    let announced_id = harness.accept(0, 1, message(), true);
    let announced_token = accepted_token(&harness);
    let lost = harness.accept(0, 1, message(), true);
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    let announced =
        vec![millrudder_protocol::store::ActiveLease { id: announced_id, token: announced_token }];
    harness.hello(0, 2, 1, "zone-0", announced);
    assert_eq!(
        harness.take_grants()[0].id,
        lost,
        "a lease that the dispatcher does not announce was never received"
    );
    for _ in 0..5 {
        harness.advance(1_000);
        harness.send_from_dispatcher(0, 2, FromDispatcher::Ping);
    }
    harness.attempted(0, 2, announced_id, announced_token, AttemptOutcome::Refused);
    assert_eq!(harness.state(0, announced_id).unwrap().end, Some(End::DeadLetter));
}

#[test]
fn leases_of_a_lost_dispatcher_are_granted_again_after_the_reconnect_timeout() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    harness.advance(1_499);
    assert!(harness.grants.is_empty());
    harness.send_from_dispatcher(0, 2, FromDispatcher::Ping);
    harness.advance(1);
    let granted = harness.take_grants();
    assert_eq!((granted[0].id, granted[0].connection), (id, ConnectionId(2)));
}

#[test]
fn an_unresponsive_dispatcher_is_disconnected() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    for _ in 0..50 {
        harness.advance(100);
        harness.send_from_dispatcher(0, 2, FromDispatcher::Ping);
    }
    assert_eq!(harness.closed, [ConnectionId(1)]);
    assert_eq!(harness.take_grants()[0].id, id);
}

#[test]
fn a_leaving_dispatcher_keeps_its_leases_and_gets_no_more() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.send_from_dispatcher(0, 1, FromDispatcher::ShuttingDown);
    // For what it asks a lease for, see `a_dispatcher_that_shuts_down_is_granted_what_it_sends`.
    harness.accept(0, 1, message(), false);
    assert_eq!(harness.last_accepted(), Some(None));
    harness.advance(2_000);
    assert!(harness.grants.is_empty());
    harness.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert!(harness.is_recorded(id, token));
}

#[test]
fn withdrawn_messages_never_run() {
    let mut harness = one_store();
    let delayed = harness.accept(0, 1, Message { delay_ms: 100, ..message() }, true);
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id: delayed });
    let unseen = harness.next_message_id();
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id: unseen });
    for id in [delayed, unseen] {
        assert!(harness
            .sent_to_dispatchers
            .iter()
            .any(|(_, message)| *message == ToDispatcher::Withdrawn { id }));
    }
    harness.accept_as(0, 1, unseen, message(), true);
    assert_eq!(harness.acceptances(), 1, "only the first message was accepted");
    harness.advance(1_000);
    assert!(harness.grants.is_empty());
}

#[test]
fn a_message_that_another_dispatcher_may_have_run_is_not_withdrawn() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.credits(0, 1, "service", 0);
    let id = harness.accept(0, 1, message(), false);
    assert_eq!(harness.take_grants()[0].connection, ConnectionId(2));
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id });
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id });
    assert!(!harness
        .sent_to_dispatchers
        .iter()
        .any(|(_, message)| matches!(message, ToDispatcher::Withdrawn { .. })));
}

#[test]
fn a_withdrawn_message_in_flight_elsewhere_does_not_run_again() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.credits(0, 1, "service", 0);
    let id = harness.accept(0, 1, message(), false);
    let granted = harness.take_grants().remove(0);
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id });
    let revoke = ToDispatcher::Revoke { id, token: granted.token };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| *message == revoke));
    harness.attempted(0, 2, id, granted.token, AttemptOutcome::Unknown { retry_after_ms: 0 });
    harness.advance(1_000);
    assert!(harness.take_grants().is_empty());
}

#[test]
fn a_full_store_rejects_before_it_writes() {
    let config = Config { max_live_messages: 2, ..Config::default() };
    let mut harness = StoreHarness::with(1, 0, config);
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    let first = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.accept(0, 1, message(), true);
    let written = harness.processes[0].records.len();
    let refused = harness.accept(0, 1, message(), true);
    assert_eq!(harness.processes[0].records.len(), written);
    assert_eq!(harness.state(0, refused), None);
    let is_full = |message: &ToDispatcher| {
        matches!(
            message,
            ToDispatcher::Rejected { reason: AcceptRejection::Full { retry_after_ms: 1_000 }, .. }
        )
    };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| is_full(message)));
    harness.attempted(0, 1, first, token, AttemptOutcome::Refused);
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 3, "the end of a message makes room for another");
}

#[test]
fn memory_is_bounded() {
    let config = Config { memory_bytes: 10_000, ..Config::default() };
    let mut harness = StoreHarness::with(1, 0, config);
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    for _ in 0..20 {
        harness.accept(0, 1, Message { body: vec![0; 2_000], ..message() }, true);
    }
    assert_eq!(harness.acceptances(), 3);
}

fn ask(harness: &mut StoreHarness, id: millrudder_protocol::MessageId, body: bool) -> QueryAnswer {
    harness.send_from_dispatcher(
        0,
        1,
        FromDispatcher::Query { request: RequestNumber(9), id, with_body: body },
    );
    let answer = |message: &ToDispatcher| match message {
        ToDispatcher::State { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    harness.sent_to_dispatchers.iter().rev().find_map(|(_, message)| answer(message)).expect("an answer")
}

#[test]
fn state_and_body_can_be_queried_until_they_expire() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    assert_eq!(ask(&mut harness, id, false), QueryAnswer::Queued);
    assert_eq!(ask(&mut harness, id, true), QueryAnswer::Body { body: b"body".to_vec() });
    harness.attempted(0, 1, id, token, AttemptOutcome::Refused);
    assert_eq!(ask(&mut harness, id, false), QueryAnswer::Ended { end: End::DeadLetter });
    assert_eq!(ask(&mut harness, id, true), QueryAnswer::Body { body: b"body".to_vec() });
    for _ in 0..120 {
        harness.advance(1_000);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
    assert_eq!(ask(&mut harness, id, false), QueryAnswer::Ended { end: End::DeadLetter });
    assert!(harness.released.is_empty());
    harness.advance(17_000);
    assert!(harness.released.contains(&id));
    assert_eq!(harness.state(0, id), None);
}

#[test]
fn after_a_disk_failure_nothing_is_acknowledged() {
    let mut harness = one_store();
    harness.input(0, Input::DiskFailed);
    harness.accept(0, 1, message(), true);
    let is_refused = |message: &ToDispatcher| {
        matches!(message, ToDispatcher::Rejected { reason: AcceptRejection::NotPrimary { .. }, .. })
    };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| is_refused(message)));
    let health = harness.processes[0].node.as_ref().unwrap().health(harness.now());
    assert_eq!((health.primary_shards, health.oldest_unsynced_ms), (0, u32::MAX));
}

/// Disconnects the dispatcher that holds the lease, so that the message is granted to another one. Returns that
/// grant.
fn granted_elsewhere(harness: &mut StoreHarness, from: u64, to: u64) -> Granted {
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(from) });
    harness.hello(0, to, to, "zone-0", Vec::new());
    harness.advance(2_500);
    harness.take_grants().pop().expect("granted again")
}

#[test]
fn failures_under_expired_leases_count_once_each() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let mut token = accepted_token(&harness);
    for dispatcher in 1..4 {
        let next = granted_elsewhere(&mut harness, dispatcher, dispatcher + 1);
        // The report of the former holder arrives after all, twice, on a new connection.
        let again = 100 + dispatcher;
        harness.hello(0, again, dispatcher, "zone-0", Vec::new());
        harness.attempted(0, again, id, token, AttemptOutcome::Failed);
        harness.attempted(0, again, id, token, AttemptOutcome::Failed);
        assert!(harness.is_recorded(id, token));
        assert_eq!(u64::from(harness.state(0, id).unwrap().failed_attempts), dispatcher);
        harness.send_from_dispatcher(0, again, FromDispatcher::ShuttingDown);
        token = next.token;
    }
    assert_eq!(harness.state(0, id).unwrap().end, Some(End::DeadLetter));
    let revoked = ToDispatcher::Revoke { id, token };
    assert!(
        harness.sent_to_dispatchers.iter().any(|(_, message)| *message == revoked),
        "the lease of the last dispatcher is revoked"
    );
}

#[test]
fn a_refusal_under_an_expired_lease_ends_the_message() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    let next = granted_elsewhere(&mut harness, 1, 2);
    harness.hello(0, 101, 1, "zone-0", Vec::new());
    harness.attempted(0, 101, id, token, AttemptOutcome::Refused);
    assert_eq!(harness.state(0, id).unwrap().end, Some(End::DeadLetter));
    harness.attempted(0, 2, id, next.token, AttemptOutcome::NotRun { retry_after_ms: 0 });
    harness.advance(5_000);
    assert!(harness.take_grants().is_empty());
}

#[test]
fn a_refusal_does_not_undo_a_success() {
    let mut harness = one_store();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    let next = granted_elsewhere(&mut harness, 1, 2);
    harness.succeed(0, 2, &next);
    harness.hello(0, 101, 1, "zone-0", Vec::new());
    harness.attempted(0, 101, id, token, AttemptOutcome::Refused);
    assert!(harness.is_recorded(id, token));
    assert!(matches!(harness.state(0, id).unwrap().end, Some(End::Completed { .. })));
}

#[test]
fn runs_with_unknown_outcomes_back_off() {
    let mut harness = one_store();
    harness.accept(0, 1, Message { retention_ms: 90_000, ..message() }, false);
    let mut granted = harness.take_grants().remove(0);
    let mut runs = 1;
    let mut waits = Vec::new();
    while runs < 9 {
        let unknown = AttemptOutcome::Unknown { retry_after_ms: 0 };
        harness.attempted(0, 1, granted.id, granted.token, unknown);
        let ended_ms = harness.now_ms;
        while harness.grants.is_empty() {
            harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
            harness.advance(10);
        }
        granted = harness.take_grants().remove(0);
        waits.push(granted.at_ms - ended_ms);
        runs += 1;
    }
    let longest_ms = Config::default().max_backoff.as_millis() as u64;
    assert!(
        waits[..2].iter().all(|wait| *wait <= 20),
        "the first two unknown outcomes cause no back-off: {waits:?}"
    );
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert!(waits[7] >= longest_ms && waits[7] <= longest_ms + 20, "{waits:?}");
}

// Guards against a message of a dispatcher that shuts down being granted to another one while the first may still send it to
// another store, since this one is slow: it ran from both (review/2).
#[test]
fn a_dispatcher_that_shuts_down_is_granted_what_it_sends() {
    let mut harness = one_store();
    harness.hello(0, 2, 2, "zone-0", Vec::new());
    harness.send_from_dispatcher(0, 1, FromDispatcher::ShuttingDown);
    let withdrawn = harness.accept(0, 1, message(), true);
    harness.advance(100);
    assert!(harness.take_grants().is_empty(), "no other dispatcher runs it");
    harness.send_from_dispatcher(0, 1, FromDispatcher::Withdraw { id: withdrawn });
    assert!(harness
        .sent_to_dispatchers
        .iter()
        .any(|(_, message)| *message == ToDispatcher::Withdrawn { id: withdrawn }));

    let returned = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.attempted(0, 1, returned, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
    harness.advance(100);
    let granted = harness.take_grants();
    assert_eq!(granted.len(), 1);
    assert_eq!((granted[0].id, granted[0].connection), (returned, ConnectionId(2)));
}
