//! Leases: the message of each is sent at most once, and its end is reported until it is recorded.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::store::{ActiveLease, AttemptOutcome};
use millrudder_protocol::{LeaseToken, ShardId, StoreId};

fn active_leases(fixture: &Fixture) -> Vec<ActiveLease> {
    fixture.delivery.active_leases(|_| true)
}

#[test]
fn an_end_is_reported_until_it_is_recorded() {
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
fn ends_are_reported_to_the_current_primary() {
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
fn reports_are_repeated_at_once_on_a_new_connection() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    fixture.input(Input::Connected { store: OTHER_STORE });
    assert!(fixture.reported().is_empty());
    fixture.input(Input::Connected { store: STORE });
    assert_eq!(fixture.outcome(), succeeded());
}

#[test]
fn leases_stay_active_until_their_end_is_recorded() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 5, "/a");
    let lease = ActiveLease { id: id(1), token: LeaseToken(5) };
    assert_eq!(active_leases(&fixture), [lease]);
    assert!(fixture.delivery.active_leases(|shard| shard == ShardId(9)).is_empty());
    fixture.end(sent.attempt, success());
    assert_eq!(active_leases(&fixture), [lease]);
    fixture.recorded(1, 5);
    assert!(active_leases(&fixture).is_empty());
}

#[test]
fn a_grant_that_arrives_twice_is_sent_once() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.deliver(1, 1, "/a");
    assert!(fixture.out.is_empty());
    fixture.end(sent.attempt, success());
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.recorded(1, 1);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none(), "not even after it is recorded");
}

#[test]
fn an_attempt_in_flight_goes_on_under_a_later_lease() {
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
fn an_unrecorded_success_answers_a_later_lease() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, success());
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_none());
    assert_eq!((fixture.outcome(), fixture.reported()[0].token), (succeeded(), LeaseToken(2)));
}

#[test]
fn an_unrecorded_failure_does_not_answer_a_later_lease() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    fixture.end(sent.attempt, AttemptResult::Answer(answer(500)));
    // The failure may have been counted already; reported under the later lease as well, it would count twice.
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_some());
}

#[test]
fn two_leases_may_be_confirmed_as_recorded_in_any_order() {
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
fn grants_that_lay_unread_during_a_process_stall_are_given_back() {
    let mut fixture = Fixture::new(1);
    let out: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    fixture.now += 1500;
    fixture.end(out[0].attempt, success());
    assert!(fixture.sent().is_none(), "the waiting message is not sent");
    let ends = fixture.reported();
    assert_eq!(ends.len(), 2);
    assert!(ends.iter().any(|end| end.id == id(8) && matches!(end.outcome, AttemptOutcome::NotRun { .. })));
    fixture.deliver(9, 1, "/a");
    assert_eq!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms: 100 });
    fixture.pass(100);
    assert!(fixture.send(10, 1, "/a").worker.instance_id.is_some());
}

/// Takes the barriers out of the outputs of the last input.
fn barriers(fixture: &mut Fixture) -> Vec<(StoreId, BarrierNumber)> {
    let sent = fixture.out.drain(..).filter_map(|output| match output {
        Output::Barrier { store, number } => Some((store, number)),
        _ => None,
    });
    sent.collect()
}

#[test]
fn after_a_clock_stall_nothing_is_sent_before_the_store_answers_the_barrier() {
    let mut fixture = Fixture::new(1);
    fixture.input(Input::Connected { store: STORE });
    fixture.input(Input::ClockStalled);
    let sent = barriers(&mut fixture);
    assert_eq!(sent.len(), 1);
    // The barrier counts, not the time: the store's grants from before the stall may take long to be read, while almost
    // no time has passed on the clock of the process.
    fixture.pass(10_000);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    assert_eq!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms: 100 });
    fixture.input(Input::BarrierReached { store: STORE, number: sent[0].1 });
    assert!(fixture.send(2, 1, "/a").worker.instance_id.is_some());
}

#[test]
fn answers_to_an_earlier_barrier_or_of_another_store_do_not_count() {
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
    // The barrier was lost with the previous connection, so the new connection gets another one.
    fixture.out.clear();
    fixture.input(Input::Connected { store: STORE });
    let third = barriers(&mut fixture)[0].1;
    fixture.input(Input::BarrierReached { store: STORE, number: third });
    assert!(fixture.send(2, 1, "/a").worker.instance_id.is_some());
}

#[test]
fn after_a_clock_stall_waiting_messages_are_given_back_and_attempts_in_flight_go_on() {
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
fn a_waiting_message_whose_lease_is_revoked_is_never_sent() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    fixture.input(Input::Revoke { store: STORE, id: id(1), token: LeaseToken(1) });
    assert!(fixture.out.is_empty() && active_leases(&fixture).is_empty());
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_none());
    assert!(fixture.delivery.is_idle());
}

#[test]
fn an_attempt_whose_lease_is_revoked_still_reports_its_end() {
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
fn an_attempt_without_a_result_is_given_up() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    let out = fixture.pass(sent.answer_timeout_ms + 1000);
    assert!(out.contains(&Output::CancelAttempt { attempt: sent.attempt }));
    assert!(matches!(reported(&out)[0].outcome, AttemptOutcome::Unknown { .. }));
}

#[test]
fn a_success_after_an_attempt_was_given_up_counts() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(sent.answer_timeout_ms + 1000);
    fixture.recorded(1, 1);
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
    fixture.deliver(1, 2, "/a");
    assert!(fixture.sent().is_none(), "not sent again before the success is recorded");
}

#[test]
fn a_success_after_an_attempt_was_given_up_answers_the_next_lease_before_it_is_sent() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(sent.answer_timeout_ms + 1000);
    fixture.recorded(1, 1);
    fixture.workers(Vec::new());
    fixture.deliver(1, 2, "/a");
    fixture.end(sent.attempt, success());
    assert_eq!((fixture.outcome(), fixture.reported()[0].token), (succeeded(), LeaseToken(2)));
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_none());
}

#[test]
fn a_late_result_other_than_success_is_ignored() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.pass(sent.answer_timeout_ms + 1000);
    fixture.end(sent.attempt, AttemptResult::Reset);
    assert!(fixture.reported().is_empty());
}

#[test]
fn on_shutdown_waiting_messages_are_given_back_and_attempts_in_flight_go_on() {
    let mut fixture = Fixture::new(1);
    let sent: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    fixture.input(Input::ShuttingDown);
    let given_back = fixture.reported();
    assert_eq!(given_back.len(), 1);
    assert_eq!(
        (given_back[0].id, &given_back[0].outcome),
        (id(8), &AttemptOutcome::NotRun { retry_after_ms: 0 })
    );
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
