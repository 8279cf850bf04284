//! Room at workers: limits on attempts in flight, waiting messages, messages given back, credits, unavailable services.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::control::WorkerEntry;
use millrudder_protocol::store::AttemptOutcome;
use std::collections::{BTreeMap, VecDeque};

fn fill(fixture: &mut Fixture, count: u64) -> Vec<Sent> {
    (0..count).map(|unique| fixture.send(unique, 1, "/a")).collect()
}

#[test]
fn a_worker_gets_no_more_than_twice_its_capacity() {
    let mut fixture = Fixture::new(3);
    let sent = fill(&mut fixture, 24);
    let mut attempts_by_worker = BTreeMap::new();
    sent.iter().for_each(|sent| *attempts_by_worker.entry(sent.worker.address).or_insert(0) += 1);
    assert!(attempts_by_worker.values().all(|count| *count == 8), "{attempts_by_worker:?}");
    fixture.deliver(24, 1, "/a");
    assert!(fixture.sent().is_none());
}

#[test]
fn connections_are_shared_by_the_dispatchers() {
    let mut fixture = Fixture::new(1);
    fixture.input(Input::Dispatchers { count: 25 });
    // Nine tenths of the worker's 110 connections are shared by 25 dispatchers.
    let sent = fill(&mut fixture, 3);
    assert_eq!(sent[0].worker.max_connections, 3);
    fixture.deliver(3, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.input(Input::Dispatchers { count: 2100 });
    assert!(fixture.sent().is_none());
    for sent in &sent[..2] {
        fixture.end(sent.attempt, success());
    }
    assert_eq!(fixture.sent().expect("at least two connections to each worker").worker.max_connections, 2);
}

#[test]
fn a_waiting_message_is_sent_when_a_worker_has_room() {
    let mut fixture = Fixture::new(1);
    let sent = fill(&mut fixture, 8);
    fixture.deliver(8, 1, "/a");
    fixture.deliver(9, 1, "/a");
    fixture.now += 150;
    fixture.end(sent[3].attempt, success());
    assert_eq!(fixture.all_sent().len(), 1);
}

#[test]
fn a_message_without_room_is_given_back_after_its_maximum_wait() {
    for (path, in_flight, max_wait_ms) in [("/a", 8, 230), ("/p", 41, 130)] {
        let mut fixture = Fixture::new(1);
        (0..in_flight).for_each(|unique| drop(fixture.send(unique, 1, path)));
        fixture.deliver(100, 1, path);
        assert!(fixture.out.is_empty(), "not given back at once");
        let out = fixture.pass(max_wait_ms);
        let given_back = reported(&out).into_iter().filter(|report| report.id == id(100)).collect::<Vec<_>>();
        assert_eq!(given_back.len(), 1, "{path}");
        assert!(
            matches!(given_back[0].outcome, AttemptOutcome::NotRun { retry_after_ms } if retry_after_ms > 0)
        );
    }
}

#[test]
fn credits_are_one_without_workers_and_follow_their_capacity() {
    let mut fixture = Fixture::new(0);
    assert_eq!((fixture.credit(LISTED), fixture.credit(STATIC)), (1, 16));
    fixture.workers(vec![worker(1)]);
    assert_eq!(fixture.credit(LISTED), 8, "twice the capacity of one worker");
    fixture.workers((1..=9).map(worker).collect());
    fixture.pass(100);
    assert_eq!(fixture.credit(LISTED), 16, "a change that is not urgent is announced after 100 ms");
}

/// For `ms`, keeps as many messages granted as the credit allows; each attempt ends with `result` after 20 ms.
fn use_credit(fixture: &mut Fixture, ms: u64, result: &AttemptResult) {
    let end = fixture.now + ms;
    let mut out: VecDeque<(u64, AttemptId)> = VecDeque::new();
    let mut unique = 1000 * fixture.now;
    while fixture.now < end {
        let leases = fixture.delivery.active_leases(|_| true).len();
        for _ in leases..fixture.credit(LISTED) as usize {
            unique += 1;
            fixture.deliver(unique, 1, "/a");
            out.extend(fixture.all_sent().iter().map(|sent| (fixture.now + 20, sent.attempt)));
        }
        out.extend(sent(&fixture.pass(10)).iter().map(|sent| (fixture.now + 20, sent.attempt)));
        record_all_reports(fixture);
        while out.front().is_some_and(|(at, _)| *at <= fixture.now) {
            let Some((_, attempt)) = out.pop_front() else { return };
            fixture.end(attempt, result.clone());
            out.extend(fixture.all_sent().iter().map(|sent| (fixture.now + 20, sent.attempt)));
            record_all_reports(fixture);
        }
    }
    for (_, attempt) in out {
        fixture.end(attempt, result.clone());
        record_all_reports(fixture);
    }
}

fn record_all_reports(fixture: &mut Fixture) {
    for report in fixture.reported() {
        fixture.recorded(report.id.unique, report.token.0);
    }
}

#[test]
fn credits_grow_with_successes_and_shrink_when_workers_are_full() {
    let mut fixture = Fixture::new(36);
    use_credit(&mut fixture, 1000, &success());
    // The last changes may not have been announced, since each was less than a fifth.
    assert!((52..=64).contains(&fixture.credit(LISTED)), "{}", fixture.credit(LISTED));
    use_credit(&mut fixture, 4000, &not_executed(503));
    assert_eq!(fixture.credit(LISTED), 1, "probes");
    use_credit(&mut fixture, 3000, &success());
    assert!(fixture.credit(LISTED) >= 32, "{}", fixture.credit(LISTED));
}

/// For `ms`, ends every attempt at the static endpoint with `result`; returns the number of attempts.
fn fail_for(fixture: &mut Fixture, ms: u64, result: &AttemptResult) -> usize {
    let (end, mut attempts) = (fixture.now + ms, 0);
    // Tokens must be later than those of an earlier call.
    let mut token = 100 * fixture.now;
    let mut messages: BTreeMap<u64, u64> = (1..=20).map(|unique| (unique, 0)).collect();
    while fixture.now < end {
        let mut sends = Vec::new();
        let due: Vec<u64> =
            messages.iter().filter(|(_, at)| **at <= fixture.now).map(|(unique, _)| *unique).collect();
        let free = fixture.credit(STATIC) as usize;
        let leases = fixture.delivery.active_leases(|_| true).len();
        for unique in due.into_iter().take(free.saturating_sub(leases)) {
            token += 1;
            fixture.deliver(unique, token, "/p");
            sends.extend(fixture.all_sent());
            messages.insert(unique, u64::MAX);
            record_reports(fixture, &mut messages);
        }
        sends.extend(sent(&fixture.pass(10)));
        record_reports(fixture, &mut messages);
        for sent in sends {
            attempts += 1;
            fixture.end(sent.attempt, result.clone());
            record_reports(fixture, &mut messages);
            assert!(fixture.sent().is_none(), "one attempt at a time while all fail");
        }
    }
    attempts
}

/// Confirms all reports as recorded, and notes when each message may be granted again.
fn record_reports(fixture: &mut Fixture, messages: &mut BTreeMap<u64, u64>) {
    let now = fixture.now;
    for report in fixture.reported() {
        let retry_after_ms = match report.outcome {
            AttemptOutcome::NotRun { retry_after_ms } | AttemptOutcome::Unknown { retry_after_ms } => {
                retry_after_ms
            }
            other => panic!("{other:?}"),
        };
        messages.insert(report.id.unique, now + u64::from(retry_after_ms));
        fixture.recorded(report.id.unique, report.token.0);
    }
}

#[test]
fn an_unavailable_endpoint_is_probed_rarely_and_used_at_once_when_it_recovers() {
    for result in
        [AttemptResult::NotConnected, AttemptResult::Reset, AttemptResult::TimedOut { connected: true }]
    {
        let mut fixture = Fixture::new(1);
        let first = fail_for(&mut fixture, 1000, &result);
        assert_eq!(fixture.credit(STATIC), 1, "after {first} attempts");
        let later = fail_for(&mut fixture, 8000, &result);
        assert!((4..=24).contains(&later), "{later} probes in 8 s");
        // By then a message that waited here has been sent as a probe; otherwise a new one is.
        let mut probes = sent(&fixture.pass(1500));
        if probes.is_empty() {
            fixture.deliver(99, 1, "/p");
            probes = fixture.all_sent();
            probes.extend(sent(&fixture.pass(1100)));
        }
        fixture.end(probes[0].attempt, success());
        assert!(fixture.credit(STATIC) >= 2, "{}", fixture.credit(STATIC));
    }
}

#[test]
fn an_unavailable_service_does_not_delay_others() {
    let mut fixture = Fixture::new(2);
    fail_for(&mut fixture, 2000, &AttemptResult::NotConnected);
    (50..60).for_each(|unique| fixture.deliver(unique, 1, "/p"));
    for unique in 60..70 {
        let sent = fixture.send(unique, 1, "/a");
        fixture.now += 5;
        fixture.end(sent.attempt, success());
    }
}

#[test]
fn failure_answers_do_not_make_a_service_unavailable() {
    let mut fixture = Fixture::new(1);
    for unique in 0..40 {
        let sent = fixture.send(unique, 1, "/p");
        fixture.now += 20;
        fixture.end(sent.attempt, AttemptResult::Answer(answer(500)));
    }
    assert!(fixture.credit(STATIC) > 1);
}

#[test]
fn a_full_worker_is_avoided_while_others_have_room() {
    let mut fixture = Fixture::new(2);
    let sent = fill(&mut fixture, 6);
    let full = sent[0].worker.address;
    fixture.now += 50;
    for sent in &sent {
        let result = if sent.worker.address == full { not_executed(503) } else { success() };
        fixture.end(sent.attempt, result);
    }
    assert_ne!(fixture.send(10, 1, "/a").worker.address, full);
}

#[test]
fn the_nearest_zone_is_used_while_it_has_room() {
    let mut fixture = Fixture::new(0);
    let far = WorkerEntry { zone: "there".into(), ..worker(2) };
    fixture.workers(vec![far, worker(1)]);
    for unique in 0..20 {
        let sent = fixture.send(unique, 1, "/a");
        assert_eq!(sent.worker.address, worker(1).address);
        fixture.now += 50;
        fixture.end(sent.attempt, success());
    }
}

// Guards against a listed capacity of 2^31 or more, whose multiple wraps: to 0, and the worker got no message at all.
#[test]
fn a_worker_of_the_largest_capacity_gets_messages() {
    for capacity in [1 << 31, u32::MAX] {
        let mut fixture = Fixture::new(0);
        fixture.workers(vec![WorkerEntry { capacity, ..worker(1) }, WorkerEntry { capacity, ..worker(2) }]);
        fixture.send(1, 1, "/a");
    }
}
