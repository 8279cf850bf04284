//! How old a copy of the control state is said to be.

use millrudder_contact::{Freshness, FreshnessChange, OLD_AFTER_MS};

#[test]
fn nothing_is_confirmed_at_first() {
    let mut freshness = Freshness::default();
    assert!(!freshness.was_confirmed());
    assert_eq!(freshness.age_ms(5), None);
    assert_eq!(freshness.poll(1_000_000), None);
}

#[test]
fn age_counts_from_the_confirmation_at_the_core() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.confirmed(1000, 30), None);
    assert!(freshness.was_confirmed());
    assert_eq!(freshness.age_ms(1100), Some(130));
}

#[test]
fn an_older_confirmation_that_comes_late_does_not_count() {
    let mut freshness = Freshness::default();
    freshness.confirmed(1000, 10);
    freshness.confirmed(1001, 500);
    assert_eq!(freshness.age_ms(1001), Some(11));
}

#[test]
fn old_is_reported_once_and_so_is_its_end() {
    let mut freshness = Freshness::default();
    freshness.confirmed(1000, 0);
    assert_eq!(freshness.poll(1000 + OLD_AFTER_MS - 1), None);
    let old = FreshnessChange::Old { age_ms: OLD_AFTER_MS };
    assert_eq!(freshness.poll(1000 + OLD_AFTER_MS), Some(old));
    assert_eq!(freshness.poll(1000 + 2 * OLD_AFTER_MS), None);
    let current = FreshnessChange::Current { was_old_for_ms: 9000 };
    assert_eq!(freshness.confirmed(10_000, 20), Some(current));
    assert_eq!(freshness.confirmed(10_300, 20), None);
}
