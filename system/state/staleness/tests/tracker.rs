//! Age of a process's copy of the control state, and reports that it has become stale or fresh.

use millrudder_clock::Instant;
use millrudder_staleness::{StalenessChange, StalenessTracker, STALE_AFTER};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn nothing_is_confirmed_at_first() {
    let mut tracker = StalenessTracker::default();
    assert!(!tracker.was_confirmed());
    assert_eq!(tracker.age(at(5)), None);
    assert_eq!(tracker.poll(at(1_000_000)), None);
}

#[test]
fn age_counts_from_the_sending_of_the_confirmed_check() {
    let mut tracker = StalenessTracker::default();
    assert_eq!(tracker.handle_confirmation(at(1000), at(970)), None);
    assert!(tracker.was_confirmed());
    assert_eq!(tracker.age(at(1100)), Some(Duration::from_millis(130)));
}

#[test]
fn an_older_confirmation_that_arrives_late_does_not_reset_the_age() {
    let mut tracker = StalenessTracker::default();
    tracker.handle_confirmation(at(1000), at(990));
    tracker.handle_confirmation(at(1001), at(501));
    assert_eq!(tracker.age(at(1001)), Some(Duration::from_millis(11)));
}

#[test]
fn staleness_is_reported_once_and_so_is_its_end() {
    let mut tracker = StalenessTracker::default();
    tracker.handle_confirmation(at(1000), at(1000));
    assert_eq!(tracker.poll(at(1000) + STALE_AFTER - MILLISECOND), None);
    let stale = StalenessChange::Stale { age: STALE_AFTER };
    assert_eq!(tracker.poll(at(1000) + STALE_AFTER), Some(stale));
    assert_eq!(tracker.poll(at(1000) + 2 * STALE_AFTER), None);
    let fresh = StalenessChange::Fresh { stale_for: Duration::from_millis(9000) };
    assert_eq!(tracker.handle_confirmation(at(10_000), at(9980)), Some(fresh));
    assert_eq!(tracker.handle_confirmation(at(10_300), at(10_280)), None);
}

/// The process was paused while the confirmation was in its socket buffer.
#[test]
fn a_confirmation_read_after_a_pause_does_not_count() {
    let mut tracker = StalenessTracker::default();
    assert_eq!(tracker.handle_confirmation(at(21_000), at(1000)), None);
    assert!(!tracker.was_confirmed());
    tracker.handle_confirmation(at(21_400), at(21_300));
    assert!(tracker.was_confirmed());
}
