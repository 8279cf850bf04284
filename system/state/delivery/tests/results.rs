//! Outcome that is reported for a message after each result of an attempt.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::store::AttemptOutcome;

fn outcome_of(result: AttemptResult) -> AttemptOutcome {
    let mut fixture = Fixture::new(3);
    let sent = fixture.send(1, 1, "/a");
    fixture.now += 50;
    fixture.end(sent.attempt, result);
    fixture.outcome()
}

fn is_not_run(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::NotRun { retry_after_ms } if retry_after_ms > 0)
}

fn is_unknown(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Unknown { retry_after_ms } if retry_after_ms > 0)
}

fn plain(status: u16) -> AttemptResult {
    AttemptResult::Answer(answer(status))
}

#[test]
fn a_complete_success_with_its_signature_ends_the_message() {
    assert_eq!(outcome_of(success()), succeeded());
}

#[test]
fn a_success_that_is_truncated_or_without_signature_is_unknown() {
    let truncated = Answer { complete: false, signature: Some("s".into()), ..answer(200) };
    assert!(is_unknown(outcome_of(AttemptResult::Answer(truncated))));
    assert!(is_unknown(outcome_of(plain(200))));
}

#[test]
fn failures_and_refusals_count_only_when_complete() {
    assert_eq!(outcome_of(plain(500)), AttemptOutcome::Failed);
    assert_eq!(outcome_of(plain(422)), AttemptOutcome::Refused);
    for status in [500, 422] {
        let truncated = Answer { complete: false, ..answer(status) };
        assert!(is_unknown(outcome_of(AttemptResult::Answer(truncated))), "{status}");
    }
}

#[test]
fn a_message_that_a_worker_did_not_execute_was_not_run() {
    for status in [503, 429, 409, 400, 500] {
        assert!(is_not_run(outcome_of(not_executed(status))), "{status}");
    }
    assert!(is_not_run(outcome_of(plain(421))), "421 needs no X-Not-Executed");
}

#[test]
fn other_statuses_are_unknown() {
    for status in [400, 404, 409, 429, 502, 503, 504, 302] {
        assert!(is_unknown(outcome_of(plain(status))), "{status}");
    }
}

#[test]
fn only_a_request_that_was_never_sent_certainly_did_not_run() {
    assert!(is_not_run(outcome_of(AttemptResult::NotConnected)));
    assert!(is_not_run(outcome_of(AttemptResult::ResetBeforeSent)));
    assert!(is_not_run(outcome_of(AttemptResult::TimedOut { connected: false })));
    assert!(is_unknown(outcome_of(AttemptResult::TimedOut { connected: true })));
    assert!(is_unknown(outcome_of(AttemptResult::Reset)));
    assert!(is_unknown(outcome_of(AttemptResult::InvalidResponse)));
}

#[test]
fn the_worker_gets_the_route_s_time_out_and_its_answer_is_awaited_a_little_longer() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    assert_eq!((sent.timeout_ms, sent.answer_timeout_ms), (TIMEOUT_MS, TIMEOUT_MS + ANSWER_SLACK_MS));
}

#[test]
fn a_refused_message_is_not_the_worker_s_fault() {
    let mut fixture = Fixture::new(2);
    for unique in 0..40 {
        let sent = fixture.send(unique, 1, "/a");
        fixture.now += 20;
        fixture.end(sent.attempt, plain(422));
    }
    let errors =
        fixture.delivery.learned_state(LISTED).unwrap().workers.iter().map(|w| w.errors).sum::<f64>();
    assert_eq!(errors, 0.0);
}

#[test]
fn a_message_that_fails_again_is_not_the_worker_s_fault() {
    let mut fixture = Fixture::new(1);
    for unique in 0..20 {
        fixture.deliver_again(unique, 1, "/a", 1, 0);
        let sent = fixture.sent().unwrap();
        fixture.now += 20;
        fixture.end(sent.attempt, plain(500));
        assert_eq!(fixture.outcome(), AttemptOutcome::Failed);
    }
    assert_eq!(fixture.delivery.learned_state(LISTED).unwrap().workers[0].errors, 0.0);
}

#[test]
fn only_successes_count_as_completions() {
    let mut fixture = Fixture::new(1);
    let others =
        [plain(422), plain(500), not_executed(503), AttemptResult::Reset, AttemptResult::InvalidResponse];
    for (unique, result) in others.into_iter().enumerate() {
        let sent = fixture.send(unique as u64, 1, "/a");
        fixture.now += 50;
        fixture.end(sent.attempt, result);
        fixture.pass(3000);
    }
    assert_eq!(fixture.delivery.learned_state(LISTED).unwrap().workers[0].speed, (0.0, 0.0));
    let sent = fixture.send(99, 1, "/a");
    fixture.now += 50;
    fixture.end(sent.attempt, success());
    assert!(fixture.delivery.learned_state(LISTED).unwrap().workers[0].speed.1 > 0.0);
}

#[test]
fn messages_that_no_worker_can_run_back_off_increasingly() {
    let mut fixture = Fixture::new(1);
    let mut delays_ms = Vec::new();
    for round in 0..8 {
        fixture.deliver(1, round, "/a");
        let sent = fixture.sent().or_else(|| {
            fixture.pass(1000);
            fixture.sent()
        });
        fixture.end(sent.unwrap().attempt, AttemptResult::NotConnected);
        let AttemptOutcome::NotRun { retry_after_ms } = fixture.outcome() else { panic!() };
        delays_ms.push(retry_after_ms);
        fixture.recorded(1, round);
        fixture.pass(u64::from(retry_after_ms));
    }
    assert!(delays_ms[0] <= 40, "another worker may take it at once: {delays_ms:?}");
    assert!(delays_ms[7] >= 4 * delays_ms[0] && delays_ms[7] <= 3000, "{delays_ms:?}");
}

// Guards against a time-out above 49.7 days that wraps or overflows in the sum with the slack or with the clock.
#[test]
fn the_longest_timeout_is_passed_on_whole() {
    let mut fixture = Fixture::new(1);
    let timeout_ms = 10 * 365 * 24 * 60 * 60 * 1_000;
    fixture.routes(vec![Route { prefix: "/a", service: LISTED, timeout_ms }]);
    let sent = fixture.send(1, 1, "/a");
    assert_eq!((sent.timeout_ms, sent.answer_timeout_ms), (timeout_ms, timeout_ms + ANSWER_SLACK_MS));
    fixture.pass(60_000);
    assert!(fixture.reported().is_empty(), "nearly all of its time is left");
}
