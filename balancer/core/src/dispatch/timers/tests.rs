//! Unit tests of `timers`.

use super::*;

#[test]
fn timers_fall_due_in_order_and_only_when_due() {
    let mut timers = Timers::default();
    timers.set(5.0, Due::ModuleTimer(1));
    timers.set(3.0, Due::ModuleTimer(2));
    timers.set(5.0, Due::ModuleTimer(3));
    assert_eq!(timers.pop_due(2.9), None);
    assert_eq!(timers.pop_due(5.0), Some(Due::ModuleTimer(2)));
    assert_eq!(timers.pop_due(5.0), Some(Due::ModuleTimer(1)));
    assert_eq!(timers.pop_due(5.0), Some(Due::ModuleTimer(3)));
    assert_eq!(timers.pop_due(5.0), None);
}

#[test]
fn a_wait_is_never_rounded_down_to_zero() {
    let mut timers = Timers::default();
    assert!(timers.time_to_next(0.0).as_millis() >= 1, "no timer is set");
    timers.set(100.0, Due::CloseStale);
    for now in [0.0, 99.5, 100.0, 500.0] {
        let wait = timers.time_to_next(now).as_millis();
        assert!((1..=100).contains(&wait), "{wait} ms at {now}");
    }
}
