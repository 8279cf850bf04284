//! A service's common ceiling: never above it in any five seconds, and hardly below it under a backlog.

mod wired;

use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use proptest::prelude::*;
use wired::{message, Wired};

const WINDOW_MS: u64 = 5_000;
/// Permits that may be saved up: two per cent of five seconds' worth, one at least.
const SAVED: f64 = 0.02;

fn rated_store(rate: f64) -> Wired {
    let mut wired = Wired::new(1, 0);
    wired.rate(0, "service", rate);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired.credits(0, 1, "service", 10_000);
    wired
}

/// Moves on in steps, so that the dispatcher is not taken for gone.
fn advance(wired: &mut Wired, ms: u64) {
    for _ in 0..ms / 100 {
        wired.advance(100);
        wired.say(0, 1, FromDispatcher::Ping);
    }
    wired.advance(ms % 100);
}

/// `starts` rise.
fn most_in_window(starts: &[u64]) -> usize {
    let in_window =
        |(at, first): (usize, &u64)| starts.partition_point(|start| *start < first + WINDOW_MS) - at;
    starts.iter().enumerate().map(in_window).max().unwrap_or(0)
}

fn starts(wired: &Wired) -> Vec<u64> {
    wired.grants.iter().map(|granted| granted.at_ms).collect()
}

#[test]
fn a_backlog_goes_at_the_ceiling() {
    let mut wired = rated_store(39.0);
    for _ in 0..900 {
        wired.accept(0, 1, message(), true);
    }
    advance(&mut wired, 20_000);
    let starts = starts(&wired);
    assert!(starts.len() >= 39 * 20 * 95 / 100, "{} starts in 20 s", starts.len());
    assert!(most_in_window(&starts) as f64 <= 39.0 * 5.0 * (1.0 + SAVED) + 1.0);
}

#[test]
fn a_new_primary_has_nothing_saved_up() {
    let mut wired = rated_store(10.0);
    advance(&mut wired, 10_000);
    wired.move_primary(0);
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.last_accepted(), Some(None));
    wired.advance(100);
    assert_eq!(wired.grants.len(), 1);
}

#[test]
fn another_rate_makes_no_jump() {
    let mut wired = rated_store(100.0);
    for _ in 0..2_000 {
        wired.accept(0, 1, message(), true);
    }
    advance(&mut wired, 2_000);
    let before = wired.grants.len();
    wired.rate(0, "service", 10.0);
    advance(&mut wired, 5_000);
    let slow = wired.grants.len() - before;
    assert!((48..=52).contains(&slow), "{slow} starts in 5 s at 10 a second");
    wired.rate(0, "service", 0.0);
    assert!(wired.take_grants().len() > 1_000, "0 is no ceiling");
}

#[test]
fn grants_that_wait_for_a_disk_do_not_come_in_a_bunch() {
    let mut wired = rated_store(40.0);
    for _ in 0..600 {
        wired.accept(0, 1, message(), true);
    }
    advance(&mut wired, 2_000);
    wired.places[0].stalled = true;
    advance(&mut wired, 1_500);
    wired.places[0].stalled = false;
    let before = wired.grants.len();
    wired.sync(0);
    assert!(wired.grants.len() - before <= 6, "few wait for the disk at a time");
    advance(&mut wired, 6_000);
    assert!(most_in_window(&starts(&wired)) as f64 <= 40.0 * 5.0 * 1.05 + 5.0);
}

#[test]
fn a_message_beyond_the_ceiling_waits_behind_those_before_it() {
    let mut wired = rated_store(1.0);
    let first = wired.accept(0, 1, message(), true);
    wired.advance(1_500);
    let second = wired.accept(0, 1, message(), true);
    let third = wired.accept(0, 1, message(), true);
    advance(&mut wired, 3_000);
    let order: Vec<_> = wired.take_grants().iter().map(|granted| granted.id).collect();
    assert_eq!(order, [first, second, third]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_five_seconds_have_more_than_the_ceiling(
        rate in 2.0..60.0_f64,
        steps in proptest::collection::vec((0_u64..120, 0_usize..6, 0_u8..4), 50..250),
    ) {
        let mut wired = rated_store(rate);
        let mut reported = 0;
        for (wait_ms, arrivals, outcome) in steps {
            advance(&mut wired, wait_ms);
            for _ in 0..arrivals {
                wired.accept(0, 1, Message { max_attempts: 50, ..message() }, outcome > 1);
            }
            while reported < wired.grants.len() {
                let granted = wired.grants[reported].clone();
                reported += 1;
                let outcome = match outcome {
                    0 => AttemptOutcome::Failed,
                    1 => AttemptOutcome::NotRun { retry_after_ms: 5 },
                    _ => AttemptOutcome::Succeeded { signature: String::new() },
                };
                wired.attempted(0, 1, granted.id, granted.token, outcome);
            }
        }
        let most = rate * 5.0 * (1.0 + SAVED) + 2.0;
        prop_assert!(most_in_window(&starts(&wired)) as f64 <= most);
    }
}

#[test]
fn a_rate_that_rises_does_not_leave_the_next_message_to_the_old_ones_time() {
    let mut wired = rated_store(0.05);
    wired.accept(0, 1, message(), true);
    advance(&mut wired, 500);
    assert!(wired.grants.is_empty());
    wired.rate(0, "service", 20.0);
    advance(&mut wired, 300);
    assert_eq!(wired.grants.len(), 1, "its permit was twenty seconds away, and is a twentieth now");
    assert!(wired.strays.is_empty());
}
