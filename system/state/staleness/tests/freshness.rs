//! How old a copy of the control state is said to be.

use millrudder_staleness::{StalenessChange, StalenessTracker, STALE_AFTER_MS};

#[test]
fn nothing_is_confirmed_at_first() {
    let mut freshness = StalenessTracker::default();
    assert!(!freshness.was_confirmed());
    assert_eq!(freshness.age_ms(5), None);
    assert_eq!(freshness.poll(1_000_000), None);
}

#[test]
fn age_counts_from_the_question_that_was_confirmed() {
    let mut freshness = StalenessTracker::default();
    assert_eq!(freshness.confirmed(1000, 970), None);
    assert!(freshness.was_confirmed());
    assert_eq!(freshness.age_ms(1100), Some(130));
}

#[test]
fn an_older_confirmation_that_comes_late_does_not_count() {
    let mut freshness = StalenessTracker::default();
    freshness.confirmed(1000, 990);
    freshness.confirmed(1001, 501);
    assert_eq!(freshness.age_ms(1001), Some(11));
}

#[test]
fn old_is_reported_once_and_so_is_its_end() {
    let mut freshness = StalenessTracker::default();
    freshness.confirmed(1000, 1000);
    assert_eq!(freshness.poll(1000 + STALE_AFTER_MS - 1), None);
    let old = StalenessChange::Old { age_ms: STALE_AFTER_MS };
    assert_eq!(freshness.poll(1000 + STALE_AFTER_MS), Some(old));
    assert_eq!(freshness.poll(1000 + 2 * STALE_AFTER_MS), None);
    let current = StalenessChange::Current { was_old_for_ms: 9000 };
    assert_eq!(freshness.confirmed(10_000, 9980), Some(current));
    assert_eq!(freshness.confirmed(10_300, 10_280), None);
}

/// The process stood still with the answer in its sockets.
#[test]
fn a_confirmation_that_comes_after_a_freeze_does_not_count() {
    let mut freshness = StalenessTracker::default();
    assert_eq!(freshness.confirmed(21_000, 1000), None);
    assert!(!freshness.was_confirmed());
    freshness.confirmed(21_400, 21_300);
    assert!(freshness.was_confirmed());
}
