//! Polling of the list.

mod support;

use millrudder_clock::Instant;
use millrudder_discovery::{
    AbandonReason, Call, CallFailure, CallId, CallResult, Instance, ListReader, ListSnapshot, Page,
    PageToken, PollSchedule, ReaderInput, ReaderOutput, WorkerList,
};
use proptest::prelude::*;
use std::time::Duration;
use support::worker;

const SCHEDULE: PollSchedule = PollSchedule {
    calls_per_second: 40.0,
    maximum_lag: Duration::from_millis(800),
    drain: Duration::from_secs(3),
    economy: 1.0,
};

/// Minimum interval between two calls by that schedule.
const GAP: Duration = Duration::from_millis(50);

/// Interval between two reads by that schedule.
const INTERVAL: Duration = Duration::from_secs(1);

const START: Instant = Instant::from_millis(100_000);

fn reader() -> ListReader {
    ListReader::new(SCHEDULE, 1, START)
}

fn page(numbers: &[u16], next: Option<&str>) -> Page {
    Page { instances: numbers.iter().copied().map(worker).collect(), next_token: next.map(PageToken::from) }
}

/// Lets the reader come to its deadline.
fn advance(reader: &mut ListReader) -> (Instant, Option<ReaderOutput>) {
    let now = reader.next_deadline();
    (now, reader.handle(now, ReaderInput::Tick))
}

/// Lets the reader come to its deadline, at which it makes a call.
fn called(reader: &mut ListReader) -> (Instant, Call) {
    match advance(reader) {
        (now, Some(ReaderOutput::Fetch(call))) => (now, call),
        other => panic!("a call is due, not {other:?}"),
    }
}

fn answer(reader: &mut ListReader, now: Instant, call: CallId, page: Page) -> Option<ReaderOutput> {
    reader.handle(now, ReaderInput::CallEnded(CallResult { call, result: Ok(page) }))
}

fn fail(reader: &mut ListReader, now: Instant, call: CallId, failure: CallFailure) -> Option<ReaderOutput> {
    reader.handle(now, ReaderInput::CallEnded(CallResult { call, result: Err(failure) }))
}

#[test]
fn a_list_of_one_page_is_complete() {
    let mut reader = reader();
    let (now, call) = called(&mut reader);
    assert_eq!((now, &call.page_token), (START, &None));
    let list: WorkerList = [worker(1), worker(2)].into_iter().collect();
    let expected = ReaderOutput::Complete(ListSnapshot { list, started_at: START });
    let answered = START + Duration::from_millis(3);
    assert_eq!(answer(&mut reader, answered, call.id, page(&[2, 1], None)), Some(expected));
    assert_eq!(called(&mut reader).0, START + INTERVAL, "reads begin at the interval, however long one took");
}

#[test]
fn pages_are_read_within_the_rate_limit() {
    let mut reader = reader();
    let (now, first) = called(&mut reader);
    assert_eq!(answer(&mut reader, now, first.id, page(&[1], Some("p-1"))), None);
    let (now, second) = called(&mut reader);
    assert_eq!((now, second.page_token), (START + GAP, Some(PageToken::from("p-1"))));
    let late = now + 3 * GAP;
    let third = answer(&mut reader, late, second.id, page(&[2], Some("p-2")));
    let Some(ReaderOutput::Fetch(third)) = third else { panic!("the gap has passed: {third:?}") };
    let Some(ReaderOutput::Complete(snapshot)) = answer(&mut reader, late, third.id, page(&[3], None)) else {
        panic!("it was the last page")
    };
    assert_eq!((snapshot.list.len(), snapshot.started_at), (3, START));
}

#[test]
fn early_ticks_are_ignored() {
    let mut reader = reader();
    assert_eq!(reader.handle(START - GAP, ReaderInput::Tick), None);
    let (now, call) = called(&mut reader);
    assert_eq!(reader.handle(now, ReaderInput::Tick), None);
    answer(&mut reader, now, call.id, page(&[], None)).unwrap();
    assert_eq!(reader.handle(now, ReaderInput::Tick), None);
}

#[test]
fn a_failed_page_abandons_the_read() {
    let mut reader = reader();
    let (now, first) = called(&mut reader);
    answer(&mut reader, now, first.id, page(&[1], Some("p-1")));
    let (now, second) = called(&mut reader);
    let reason = AbandonReason::Failed(CallFailure::Unavailable);
    let output = fail(&mut reader, now, second.id, CallFailure::Unavailable);
    assert_eq!(output, Some(ReaderOutput::Abandoned(reason)));
    let (now, again) = called(&mut reader);
    assert_eq!(again.page_token, None, "the next read begins with the first page");
    let Some(ReaderOutput::Complete(snapshot)) = answer(&mut reader, now, again.id, page(&[2], None)) else {
        panic!("it was the last page")
    };
    assert!(snapshot.list.iter().eq([&worker(2)]), "nothing of the previous read is left");
    assert_eq!(snapshot.started_at, now);
}

#[test]
fn a_timeout_abandons_the_read_and_late_answers_are_ignored() {
    let mut reader = reader();
    let (_, unanswered) = called(&mut reader);
    let (now, output) = advance(&mut reader);
    assert_eq!(now, START + Duration::from_secs(1));
    assert_eq!(output, Some(ReaderOutput::Abandoned(AbandonReason::TimedOut)));
    assert_eq!(answer(&mut reader, now, unanswered.id, page(&[1], None)), None);
    let (now, again) = called(&mut reader);
    assert_eq!(answer(&mut reader, now, unanswered.id, page(&[1], None)), None);
    assert_eq!(fail(&mut reader, now, unanswered.id, CallFailure::InvalidPage), None);
    assert!(matches!(answer(&mut reader, now, again.id, page(&[2], None)), Some(ReaderOutput::Complete(_))));
    assert_eq!(answer(&mut reader, now, again.id, page(&[3], None)), None, "an answer counts once");
}

/// Backoffs after `count` consecutive failures.
fn backoffs(reader: &mut ListReader, count: usize) -> Vec<Duration> {
    let wait = |_| {
        let (now, call) = called(reader);
        fail(reader, now, call.id, CallFailure::Unavailable);
        reader.next_deadline() - now
    };
    (0..count).map(wait).collect()
}

#[test]
fn the_backoff_grows_up_to_a_maximum() {
    let waits = backoffs(&mut reader(), 8);
    for (backoff, maximum) in waits.into_iter().zip([100, 200, 400, 800, 1600, 1600, 1600, 1600]) {
        let maximum = Duration::from_millis(maximum);
        assert!((maximum / 2..=maximum).contains(&backoff), "{backoff:?} of {maximum:?}");
    }
}

#[test]
fn success_resets_the_backoff() {
    let mut reader = reader();
    backoffs(&mut reader, 6);
    let (now, call) = called(&mut reader);
    answer(&mut reader, now, call.id, page(&[], None)).unwrap();
    assert!(backoffs(&mut reader, 1)[0] <= Duration::from_millis(100));
}

#[test]
fn jitter_comes_from_the_seed() {
    let waits = |seed| backoffs(&mut ListReader::new(SCHEDULE, seed, START), 5);
    assert_eq!(waits(3), waits(3));
    assert_ne!(waits(3), waits(4));
}

#[test]
fn the_platform_may_ask_for_a_longer_backoff_up_to_a_maximum() {
    for (asked, least) in [(2, 2), (600, 5)] {
        let mut reader = reader();
        let (now, call) = called(&mut reader);
        let retry_after = Some(Duration::from_secs(asked));
        fail(&mut reader, now, call.id, CallFailure::RateLimited { retry_after }).unwrap();
        assert_eq!(reader.next_deadline(), now + Duration::from_secs(least));
    }
}

#[test]
fn a_cycle_of_page_tokens_abandons_the_read() {
    let mut reader = reader();
    for _ in 0..999 {
        let (now, call) = called(&mut reader);
        assert_eq!(answer(&mut reader, now, call.id, page(&[1], Some("p-1"))), None);
    }
    let (now, call) = called(&mut reader);
    let output = answer(&mut reader, now, call.id, page(&[1], Some("p-1")));
    assert_eq!(output, Some(ReaderOutput::Abandoned(AbandonReason::TooLong)));
}

#[test]
fn the_last_entry_of_a_worker_wins() {
    let mut reader = reader();
    let (now, call) = called(&mut reader);
    answer(&mut reader, now, call.id, page(&[1, 2], Some("p-1")));
    let (now, call) = called(&mut reader);
    let later = Instance { capacity: 9, ..worker(1) };
    let last = Page { instances: vec![later.clone()], next_token: None };
    let Some(ReaderOutput::Complete(snapshot)) = answer(&mut reader, now, call.id, last) else {
        panic!("it was the last page")
    };
    assert_eq!(snapshot.list.len(), 2);
    assert_eq!(snapshot.list.get(&later.id), Some(&later));
}

#[test]
fn a_process_that_was_paused_reads_once_and_not_for_each_missed_interval() {
    let mut reader = reader();
    let (now, call) = called(&mut reader);
    answer(&mut reader, now, call.id, page(&[], None)).unwrap();
    let resumed = now + Duration::from_secs(60);
    let Some(ReaderOutput::Fetch(call)) = reader.handle(resumed, ReaderInput::Tick) else {
        panic!("it is due")
    };
    answer(&mut reader, resumed, call.id, page(&[], None)).unwrap();
    assert_eq!(reader.next_deadline(), resumed + INTERVAL);
}

#[test]
fn a_new_schedule_applies_from_the_next_read_on() {
    let mut reader = reader();
    let (now, call) = called(&mut reader);
    reader.set_schedule(PollSchedule { drain: Duration::from_secs(6), ..SCHEDULE });
    answer(&mut reader, now, call.id, page(&[], None)).unwrap();
    assert_eq!(reader.next_deadline(), now + Duration::from_secs(2));
}

/// The platform's behaviour for one call.
#[derive(Clone, Debug)]
enum Behaviour {
    Answer { delay_ms: u64, more: bool },
    Fail { delay_ms: u64 },
    NoAnswer,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        4 => (0..300u64, any::<bool>()).prop_map(|(delay_ms, more)| Behaviour::Answer { delay_ms, more }),
        1 => (0..300u64).prop_map(|delay_ms| Behaviour::Fail { delay_ms }),
        1 => Just(Behaviour::NoAnswer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_rate_limit_holds_whatever_the_platform_does(
        behaviours in proptest::collection::vec(behaviour(), 1..60),
        seed in any::<u64>(),
    ) {
        let mut reader = ListReader::new(SCHEDULE, seed, START);
        let mut calls = Vec::new();
        let mut output = advance(&mut reader);
        for behaviour in behaviours {
            let (now, call) = loop {
                match output {
                    (now, Some(ReaderOutput::Fetch(call))) => break (now, call),
                    _ => output = advance(&mut reader),
                }
            };
            calls.push(now);
            output = match behaviour {
                Behaviour::Answer { delay_ms, more } => {
                    let now = now + Duration::from_millis(delay_ms);
                    let page = page(&[1], more.then_some("p"));
                    (now, answer(&mut reader, now, call.id, page))
                }
                Behaviour::Fail { delay_ms } => {
                    let now = now + Duration::from_millis(delay_ms);
                    (now, fail(&mut reader, now, call.id, CallFailure::Unavailable))
                }
                Behaviour::NoAnswer => advance(&mut reader),
            };
        }
        for pair in calls.windows(2) {
            prop_assert!(pair[1] - pair[0] >= GAP, "calls at {pair:?}");
        }
    }
}
