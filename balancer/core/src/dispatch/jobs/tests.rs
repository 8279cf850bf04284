//! Unit tests of `jobs`.

use super::*;
use millrudder_exchange::{Answer, Failure, ForwardedRequest, Front};

fn entry() -> JobEntry {
    let forwarded = ForwardedRequest {
        method: "POST".to_owned(),
        target: "/api".to_owned(),
        body: Vec::new(),
        idempotency_key: None,
        content_type: None,
    };
    let job = Job {
        front: Front::Http,
        trace_id: "t1".to_owned(),
        class: "c".to_owned(),
        slots: 1.0,
        memory: 0.0,
        deadline: 5000.0,
        forwarded,
    };
    JobEntry::new(Arc::new(job), Reply::new(|| {}), &Limits { max_attempts: 5, ..Limits::default() })
}

fn jobs() -> Jobs {
    let mut jobs = Jobs::default();
    jobs.insert(1, entry());
    jobs.get_mut(1).unwrap().add_attempt(7, 0.0, 5000.0, AttemptState::Sent);
    jobs
}

const FIRST: AttemptId = AttemptId { ticket: 1, number: 0 };

#[test]
fn an_attempt_has_one_outcome() {
    // Call-backs are repeated and may cross with cancels. A second outcome would count twice against the
    // worker.
    let mut jobs = jobs();
    assert_eq!(jobs.attempt_at("t1", 7), Some(FIRST));
    assert!(jobs.end_attempt(FIRST, Outcome::Ok).is_some());
    assert!(jobs.end_attempt(FIRST, Outcome::Ok).is_none());
    assert!(jobs.get_mut(1).unwrap().give_up(0, true, None).is_none());
    assert_eq!(jobs.attempt_at("t1", 7), None);
}

#[test]
fn a_second_attempt_waits_for_the_cancel_at_the_same_worker() {
    // A worker may hold only one attempt of a job at a time, also while the DELETE for an earlier one is
    // under way.
    let mut jobs = jobs();
    jobs.accept(FIRST);
    let entry = jobs.get_mut(1).unwrap();
    assert_eq!(entry.state_at(7), Some(AttemptState::Accepted));
    assert!(entry.give_up(0, true, None).is_some_and(|s| s.was_sent));
    assert_eq!(entry.state_at(7), Some(AttemptState::Cancelling));
    entry.add_attempt(7, 1.0, 5000.0, AttemptState::AwaitingCancel);
    let second = AttemptId { ticket: 1, number: 1 };
    assert_eq!(jobs.attempt_at("t1", 7), None, "the waiting attempt has not been sent");
    assert_eq!(jobs.cancelled(FIRST), Some((second, 7)));
    assert_eq!(jobs.attempt_at("t1", 7), Some(second));
    assert_eq!(jobs.cancelled(FIRST), None, "only once");
}

#[test]
fn without_parallel_attempts_an_outcome_waits_for_the_cancel() {
    // The job was sent again while the DELETE could not reach a disconnected worker: two copies ran, which
    // the site does not allow.
    let mut jobs = jobs();
    jobs.accept(FIRST);
    let entry = jobs.get_mut(1).unwrap();
    assert!(entry.give_up(0, true, Some(Outcome::Canceled)).is_some_and(|s| s.was_sent));
    assert!(entry.give_up(0, true, Some(Outcome::Canceled)).is_none(), "the cancel is sent once");
    assert_eq!(jobs.deferred_outcome(FIRST), Some(Outcome::Canceled));
    assert_eq!(jobs.attempt_at("t1", 7), Some(FIRST), "its result still counts");
    // When the job itself ends, its attempts end without waiting for the cancel, because nothing is sent
    // after that.
    let entry = jobs.get_mut(1).unwrap();
    assert!(entry.give_up(0, true, None).is_some_and(|s| !s.was_sent), "the cancel is not sent again");
    assert_eq!((jobs.deferred_outcome(FIRST), jobs.attempt_at("t1", 7)), (None, None));
}

#[test]
fn a_silent_worker_is_not_sent_the_same_job_again() {
    // The worker's 202 was lost, so it held the job and got a second attempt of it. Found by
    // `random_order_tests`, seed 22.
    let mut jobs = jobs();
    assert!(jobs.end_attempt(FIRST, Outcome::TimedOut).is_some());
    let entry = jobs.get_mut(1).unwrap();
    assert_eq!((entry.state_at(7), entry.live_attempts().len()), (Some(AttemptState::Unresolved), 0));
    assert_eq!(jobs.attempt_at("t1", 7), None, "its outcome is recorded");
}

#[test]
fn an_attempt_given_up_without_a_cancel_ends_at_once() {
    let mut jobs = jobs();
    jobs.accept(FIRST);
    let entry = jobs.get_mut(1).unwrap();
    assert!(entry.give_up(0, false, None).is_some_and(|s| s.was_sent));
    assert_eq!((entry.state_at(7), entry.live_attempts().len()), (None, 0));
    assert_eq!(jobs.attempt_at("t1", 7), None);
}

#[test]
fn a_job_stays_until_answered_and_all_attempts_end() {
    let mut jobs = jobs();
    jobs.get_mut(1).unwrap().reply.take().unwrap().give(Answer::Failed(Failure::Late));
    jobs.forget_if_finished(1);
    assert_eq!(jobs.find("t1"), Some(1), "an attempt is outstanding");
    assert_eq!(jobs.unanswered(), 0);
    jobs.end_attempt(FIRST, Outcome::Ok);
    jobs.forget_if_finished(1);
    assert_eq!(jobs.find("t1"), None);
}

#[test]
fn a_start_is_reported_once() {
    let mut jobs = jobs();
    assert!(jobs.record_start(FIRST));
    assert!(!jobs.record_start(FIRST));
}
