//! Unit tests of `intake`.

use super::*;

fn class(name: &str, default_timeout: f64) -> Class {
    Class { name: name.to_owned(), keyed: false, default_timeout, accepted_until: f64::INFINITY }
}

#[test]
fn a_dropped_class_is_accepted_for_a_while_and_repeated_reloads_do_not_pile_up_classes() {
    let classes = Classes::new(vec![class("a", 1.0), class("b", 1.0)]);
    classes.replace(vec![class("b", 2.0), class("c", 1.0)], 1_000.0);
    let known = classes.now();
    assert_eq!(
        find_class(&known, "b", 1_000.0).map(|c| c.default_timeout),
        Some(2.0),
        "the new settings apply at once"
    );
    assert!(find_class(&known, "c", 1_000.0).is_some());
    assert!(find_class(&known, "a", 999.0 + DROPPED_CLASS_GRACE_MS).is_some());
    assert!(find_class(&known, "a", 1_000.0 + DROPPED_CLASS_GRACE_MS).is_none());
    for i in 0..100 {
        classes.replace(vec![class(&format!("r{i}"), 1.0)], 10_000.0 + 100.0 * f64::from(i));
    }
    assert!(classes.now().len() <= 22, "{}", classes.now().len());
    // A dropped class that returns in newer settings is accepted without an end.
    classes.replace(vec![class("r98", 1.0)], 20_000.0);
    assert!(find_class(&classes.now(), "r98", 1e9).is_some());
}

// Guards against a client whose job's slots leave the decision module with infinite estimates: one request with
// `slots=1e308` made the mean work of all later jobs infinite, and every worker's index the same.
#[test]
fn slots_that_no_machine_can_have_are_invalid() {
    for slots in [0.0, 0.5, 1.0, 4096.0, MAX_SLOTS] {
        assert!(is_slots(slots), "{slots}");
    }
    for slots in [-1.0, MAX_SLOTS * 1.001, 1e300, f64::MAX, f64::INFINITY, f64::NAN] {
        assert!(!is_slots(slots), "{slots}");
    }
}
