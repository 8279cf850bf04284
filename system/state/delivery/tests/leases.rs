//! Leases: each is sent once at the most, and its end is told until it is recorded.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::store::{ActiveLease, AttemptOutcome};
use millrudder_protocol::{LeaseToken, ShardId, StoreId};

fn held(fixture: &Fixture) -> Vec<ActiveLease> {
    fixture.delivery.active_leases(|_| true)
}

#[test]
fn an_end_is_told_until_it_is_recorded() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    let first = fixture.reported();
    let again = reported(&fixture.pass(5000));
    assert!(again.len() >= 3 && again.iter().all(|report| *report == first[0]), "{again:?}");
    assert!(!fixture.delivery.is_idle());
    fixture.recorded(1, 1);
    assert!(reported(&fixture.pass(10_000)).is_empty());
    assert!(fixture.delivery.is_idle());
}

#[test]
fn ends_go_to_the_present_primary() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.reported()[0].store, STORE);
    fixture.input(Input::Primary { shard: id(1).shard, store: OTHER_STORE });
    assert_eq!(fixture.reported()[0].store, OTHER_STORE, "at once");
    fixture.input(Input::Primary { shard: id(1).shard, store: OTHER_STORE });
    assert!(fixture.reported().is_empty(), "nothing changed");
    let sent = fixture.send(4, 1, "/a");
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.reported()[0].store, OTHER_STORE, "the same shard");
    assert!(reported(&fixture.pass(1000)).iter().all(|report| report.store == OTHER_STORE));
}

#[test]
fn a_store_that_connects_again_is_told_at_once() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    fixture.input(Input::Connected { store: OTHER_STORE });
    assert!(fixture.reported().is_empty());
    fixture.input(Input::Connected { store: STORE });
    assert_eq!(fixture.outcome(), succeeded());
}

#[test]
fn leases_are_held_until_their_end_is_recorded() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 5, "/a");
    let lease = ActiveLease { id: id(1), token: LeaseToken(5) };
    assert_eq!(held(&fixture), [lease]);
    assert!(fixture.delivery.active_leases(|shard| shard == ShardId(9)).is_empty());
    fixture.end(sent.attempt, success());
    assert_eq!(held(&fixture), [lease]);
    fixture.recorded(1, 5);
    assert!(held(&fixture).is_empty());
}

#[test]
fn a_grant_that_comes_twice_is_sent_once() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.deliver(1, 1, "/a");
    assert!(fixture.out.is_empty());
    fixture.end(sent.attempt, success());
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.recorded(1, 1);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none(), "also once it is recorded");
}

#[test]
fn a_message_that_is_out_goes_on_under_a_later_lease() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.deliver(1, 2, "/a");
    assert!(fixture.out.is_empty());
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.reported()[0].token, LeaseToken(2));
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none(), "an earlier lease is void");
}

#[test]
fn a_success_that_is_not_recorded_answers_a_later_lease() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_none());
    assert_eq!((fixture.outcome(), fixture.reported()[0].token), (succeeded(), LeaseToken(2)));
}

#[test]
fn a_failure_that_is_not_recorded_does_not() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, AttemptResult::Answer(answer(500)));
    // It may have been counted: told under the later lease it would count twice.
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_some());
}

#[test]
fn records_of_two_leases_may_come_in_any_order() {
    let mut fixture = Fixture::new(2);
    for token in [1, 2] {
        let sent = fixture.send(1, token, "/a");
        fixture.end(sent.attempt, AttemptResult::NotConnected);
    }
    fixture.recorded(1, 2);
    fixture.recorded(1, 1);
    fixture.deliver(1, 2, "/a");
    assert!(fixture.out.is_empty(), "the later lease has ended as well");
}

#[test]
fn what_lies_unread_during_a_halt_is_given_back() {
    let mut fixture = Fixture::new(1);
    let out: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    fixture.now += 1500;
    fixture.end(out[0].attempt, success());
    assert!(fixture.sent().is_none(), "what waited is not sent");
    let ends = fixture.reported();
    assert_eq!(ends.len(), 2);
    assert!(ends.iter().any(|end| end.id == id(8) && matches!(end.outcome, AttemptOutcome::NotRun { .. })));
    fixture.deliver(9, 1, "/a");
    assert_eq!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms: 100 });
    fixture.pass(100);
    assert!(fixture.send(10, 1, "/a").worker.instance_id.is_some());
}

/// The barriers that the last input had sent, by store.
fn barriers(fixture: &mut Fixture) -> Vec<(StoreId, BarrierNumber)> {
    let sent = fixture.out.drain(..).filter_map(|output| match output {
        Output::Barrier { store, number } => Some((store, number)),
        _ => None,
    });
    sent.collect()
}

#[test]
fn after_a_standstill_nothing_is_sent_before_the_store_has_answered() {
    let mut fixture = Fixture::new(1);
    fixture.input(Input::Connected { store: STORE });
    fixture.input(Input::ClockStalled);
    let sent = barriers(&mut fixture);
    assert_eq!(sent.len(), 1);
    // However long it takes to read what lay there: by the clock of the process next to no time has passed.
    fixture.pass(10_000);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    assert_eq!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms: 100 });
    fixture.input(Input::BarrierReached { store: STORE, number: sent[0].1 });
    assert!(fixture.send(2, 1, "/a").worker.instance_id.is_some());
}

#[test]
fn an_answer_to_an_earlier_barrier_or_of_another_store_ends_no_doubt() {
    let mut fixture = Fixture::new(1);
    fixture.input(Input::Connected { store: STORE });
    fixture.input(Input::ClockStalled);
    let first = barriers(&mut fixture)[0].1;
    fixture.input(Input::ClockStalled);
    let second = barriers(&mut fixture)[0].1;
    fixture.input(Input::BarrierReached { store: STORE, number: first });
    fixture.input(Input::BarrierReached { store: StoreId(STORE.0 + 1), number: second });
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    // A new connection has a barrier of its own, as the one before was lost with its connection.
    fixture.out.clear();
    fixture.input(Input::Connected { store: STORE });
    let third = barriers(&mut fixture)[0].1;
    fixture.input(Input::BarrierReached { store: STORE, number: third });
    assert!(fixture.send(2, 1, "/a").worker.instance_id.is_some());
}

#[test]
fn what_waits_for_a_worker_is_given_back_after_a_standstill_and_what_is_out_goes_on() {
    let mut fixture = Fixture::new(1);
    let out: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    fixture.input(Input::ClockStalled);
    let ends = fixture.reported();
    assert_eq!(ends.len(), 1);
    assert_eq!((ends[0].id, &ends[0].outcome), (id(8), &AttemptOutcome::NotRun { retry_after_ms: 100 }));
    fixture.end(out[0].attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
}

#[test]
fn a_revoked_lease_that_waits_is_never_sent() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    fixture.input(Input::Revoke { store: STORE, id: id(1), token: LeaseToken(1) });
    assert!(fixture.out.is_empty() && held(&fixture).is_empty());
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_none());
    assert!(fixture.delivery.is_idle());
}

#[test]
fn a_revoked_lease_that_is_out_still_tells_its_end() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.input(Input::Revoke { store: STORE, id: id(1), token: LeaseToken(1) });
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
}

#[test]
fn revoking_an_earlier_lease_leaves_the_later_one() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    fixture.deliver(1, 2, "/a");
    fixture.input(Input::Revoke { store: STORE, id: id(1), token: LeaseToken(1) });
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_some());
}

#[test]
fn an_attempt_of_which_the_shell_tells_no_end_is_given_up() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    let out = fixture.pass(u64::from(sent.answer_timeout_ms) + 1000);
    assert!(out.contains(&Output::CancelAttempt { attempt: sent.attempt }));
    assert!(matches!(reported(&out)[0].outcome, AttemptOutcome::Unknown { .. }));
}

#[test]
fn a_success_after_that_still_counts() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(u64::from(sent.answer_timeout_ms) + 1000);
    fixture.recorded(1, 1);
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_none(), "not run again by us before it is recorded");
}

#[test]
fn a_success_after_that_stops_the_next_lease_before_it_is_sent() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(u64::from(sent.answer_timeout_ms) + 1000);
    fixture.recorded(1, 1);
    fixture.workers(Vec::new());
    fixture.deliver(1, 2, "/a");
    fixture.end(sent.attempt, success());
    assert_eq!((fixture.outcome(), fixture.reported()[0].token), (succeeded(), LeaseToken(2)));
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_none());
}

#[test]
fn a_late_end_of_another_kind_tells_nothing() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(u64::from(sent.answer_timeout_ms) + 1000);
    fixture.end(sent.attempt, AttemptResult::Reset);
    assert!(fixture.reported().is_empty());
}

#[test]
fn on_leaving_what_waits_is_given_back_and_what_is_out_goes_on() {
    let mut fixture = Fixture::new(1);
    let sent: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    fixture.input(Input::ShuttingDown);
    let back = fixture.reported();
    assert_eq!(back.len(), 1);
    assert_eq!((back[0].id, &back[0].outcome), (id(8), &AttemptOutcome::NotRun { retry_after_ms: 0 }));
    assert!(fixture.delivery.credits().iter().all(|credit| credit.limit == 0));
    fixture.deliver(9, 1, "/a");
    assert_eq!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms: 0 });
    for (unique, sent) in sent.iter().enumerate() {
        fixture.end(sent.attempt, success());
        fixture.recorded(unique as u64, 1);
    }
    assert!(!fixture.delivery.is_idle());
    fixture.recorded(8, 1);
    fixture.recorded(9, 1);
    assert!(fixture.delivery.is_idle());
}
