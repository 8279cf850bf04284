//! The rate limit of a service: never exceeded in any window of five seconds, and nearly reached under a
//! backlog.

mod harness;

use harness::{message, StoreHarness};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use proptest::prelude::*;

const WINDOW_MS: u64 = 5_000;
/// Capacity of the token bucket as a fraction of a window's permits: two per cent of five seconds' worth, but
/// at least one.
const BURST_FRACTION: f64 = 0.02;

fn store_with_rate_limit(rate: f64) -> StoreHarness {
    let mut harness = StoreHarness::new(1, 0);
    harness.rate(0, "service", rate);
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness.credits(0, 1, "service", 10_000);
    harness
}

/// Advances the clock in steps with a ping after each, so that the dispatcher is not considered unresponsive.
fn advance(harness: &mut StoreHarness, ms: u64) {
    for _ in 0..ms / 100 {
        harness.advance(100);
        harness.send_from_dispatcher(0, 1, FromDispatcher::Ping);
    }
    harness.advance(ms % 100);
}

/// The highest number of starts in any window. `starts` must be in ascending order.
fn max_in_window(starts: &[u64]) -> usize {
    let in_window =
        |(at, first): (usize, &u64)| starts.partition_point(|start| *start < first + WINDOW_MS) - at;
    starts.iter().enumerate().map(in_window).max().unwrap_or(0)
}

fn starts(harness: &StoreHarness) -> Vec<u64> {
    harness.grants.iter().map(|granted| granted.at_ms).collect()
}

#[test]
fn a_backlog_is_granted_at_the_rate_limit() {
    let mut harness = store_with_rate_limit(39.0);
    for _ in 0..900 {
        harness.accept(0, 1, message(), true);
    }
    advance(&mut harness, 20_000);
    let starts = starts(&harness);
    assert!(starts.len() >= 39 * 20 * 95 / 100, "{} starts in 20 s", starts.len());
    assert!(max_in_window(&starts) as f64 <= 39.0 * 5.0 * (1.0 + BURST_FRACTION) + 1.0);
}

#[test]
fn a_new_primary_starts_with_an_empty_token_bucket() {
    let mut harness = store_with_rate_limit(10.0);
    advance(&mut harness, 10_000);
    harness.move_primary(0);
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.last_accepted(), Some(None));
    harness.advance(100);
    assert_eq!(harness.grants.len(), 1);
}

#[test]
fn a_changed_rate_causes_no_burst() {
    let mut harness = store_with_rate_limit(100.0);
    for _ in 0..2_000 {
        harness.accept(0, 1, message(), true);
    }
    advance(&mut harness, 2_000);
    let before = harness.grants.len();
    harness.rate(0, "service", 10.0);
    advance(&mut harness, 5_000);
    let slow = harness.grants.len() - before;
    assert!((48..=52).contains(&slow), "{slow} starts in 5 s at 10 a second");
    harness.rate(0, "service", 0.0);
    assert!(harness.take_grants().len() > 1_000, "a rate of 0 means no limit");
}

#[test]
fn grants_that_wait_for_a_disk_cause_no_burst() {
    let mut harness = store_with_rate_limit(40.0);
    for _ in 0..600 {
        harness.accept(0, 1, message(), true);
    }
    advance(&mut harness, 2_000);
    harness.processes[0].stalled = true;
    advance(&mut harness, 1_500);
    harness.processes[0].stalled = false;
    let before = harness.grants.len();
    harness.sync(0);
    assert!(harness.grants.len() - before <= 6, "only a few grants wait for the disk at the same time");
    advance(&mut harness, 6_000);
    assert!(max_in_window(&starts(&harness)) as f64 <= 40.0 * 5.0 * 1.05 + 5.0);
}

#[test]
fn a_rate_limited_message_waits_behind_earlier_ones() {
    let mut harness = store_with_rate_limit(1.0);
    let first = harness.accept(0, 1, message(), true);
    harness.advance(1_500);
    let second = harness.accept(0, 1, message(), true);
    let third = harness.accept(0, 1, message(), true);
    advance(&mut harness, 3_000);
    let order: Vec<_> = harness.take_grants().iter().map(|granted| granted.id).collect();
    assert_eq!(order, [first, second, third]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_rate_limit(
        rate in 2.0..60.0_f64,
        steps in proptest::collection::vec((0_u64..120, 0_usize..6, 0_u8..4), 50..250),
    ) {
        let mut harness = store_with_rate_limit(rate);
        let mut reported = 0;
        for (wait_ms, arrivals, outcome) in steps {
            advance(&mut harness, wait_ms);
            for _ in 0..arrivals {
                harness.accept(0, 1, Message { max_attempts: 50, ..message() }, outcome > 1);
            }
            while reported < harness.grants.len() {
                let granted = harness.grants[reported].clone();
                reported += 1;
                let outcome = match outcome {
                    0 => AttemptOutcome::Failed,
                    1 => AttemptOutcome::NotRun { retry_after_ms: 5 },
                    _ => AttemptOutcome::Succeeded { signature: String::new() },
                };
                harness.attempted(0, 1, granted.id, granted.token, outcome);
            }
        }
        let max = rate * 5.0 * (1.0 + BURST_FRACTION) + 2.0;
        prop_assert!(max_in_window(&starts(&harness)) as f64 <= max);
    }
}

#[test]
fn a_raised_rate_brings_the_next_permit_forward() {
    let mut harness = store_with_rate_limit(0.05);
    harness.accept(0, 1, message(), true);
    advance(&mut harness, 500);
    assert!(harness.grants.is_empty());
    harness.rate(0, "service", 20.0);
    advance(&mut harness, 300);
    assert_eq!(
        harness.grants.len(),
        1,
        "its permit was twenty seconds away at the former rate, and is a twentieth of a second away now"
    );
    assert!(harness.orphans.is_empty());
}
