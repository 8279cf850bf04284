//! Unit tests of `timers`.

use super::*;

#[test]
fn timers_fall_due_in_order_and_only_when_due() {
    let mut timers = Timers::default();
    timers.arm(5.0, Due::Module(1));
    timers.arm(3.0, Due::Module(2));
    timers.arm(5.0, Due::Module(3));
    assert_eq!(timers.due(2.9), None);
    assert_eq!(timers.due(5.0), Some(Due::Module(2)));
    assert_eq!(timers.due(5.0), Some(Due::Module(1)));
    assert_eq!(timers.due(5.0), Some(Due::Module(3)));
    assert_eq!(timers.due(5.0), None);
}

#[test]
fn a_wait_is_never_taken_for_one_without_end() {
    let mut timers = Timers::default();
    assert!(timers.wait(0.0).as_millis() >= 1, "nothing is armed");
    timers.arm(100.0, Due::Tidy);
    for now in [0.0, 99.5, 100.0, 500.0] {
        let wait = timers.wait(now).as_millis();
        assert!((1..=100).contains(&wait), "{wait} ms at {now}");
    }
}
