//! A steady clock that stood still is seen by the time of day.

use millrudder_staleness::ClockStallDetector;

#[test]
fn clocks_that_run_together_show_nothing() {
    let mut watch = ClockStallDetector::new(5, 1_000_000);
    for passed in [0, 1, 40, 90_000] {
        assert!(!watch.has_stood_still(5 + passed, 1_000_000 + passed));
    }
}

#[test]
fn a_steady_clock_that_stood_still_is_told_once() {
    let mut watch = ClockStallDetector::new(0, 1_000_000);
    assert!(!watch.has_stood_still(100, 1_000_100));
    assert!(watch.has_stood_still(101, 1_020_101));
    assert!(!watch.has_stood_still(102, 1_020_102));
}

#[test]
fn a_halt_in_which_both_clocks_go_on_is_none() {
    let mut watch = ClockStallDetector::new(0, 1_000_000);
    assert!(!watch.has_stood_still(20_000, 1_020_000));
}

#[test]
fn small_corrections_and_steps_back_are_none_and_hide_none_that_follows() {
    let mut watch = ClockStallDetector::new(0, 1_000_000);
    assert!(!watch.has_stood_still(10, 1_000_900));
    assert!(!watch.has_stood_still(20, 400_000));
    assert!(!watch.has_stood_still(30, 400_010));
    assert!(watch.has_stood_still(40, 405_000));
}
