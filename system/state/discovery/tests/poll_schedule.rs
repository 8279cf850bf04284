//! How often the list is read.

use millrudder_discovery::PollSchedule;
use std::time::Duration;

const SCHEDULE: PollSchedule = PollSchedule {
    calls_per_second: 40.0,
    maximum_lag: Duration::from_millis(800),
    drain: Duration::from_secs(3),
    economy: 0.0,
};

#[test]
fn the_interval_lies_between_lag_and_drain_by_economy() {
    let interval = |economy| PollSchedule { economy, ..SCHEDULE }.read_interval(1);
    assert_eq!(interval(0.0), Duration::from_millis(800));
    assert_eq!(interval(0.5), Duration::from_millis(900));
    assert_eq!(interval(1.0), Duration::from_secs(1));
    assert_eq!(interval(7.0), Duration::from_secs(1));
    assert_eq!(interval(f64::NAN), Duration::from_millis(800));
}

#[test]
fn drain_limits_the_interval_even_if_the_list_lags_more() {
    let lagging = PollSchedule { maximum_lag: Duration::from_secs(30), ..SCHEDULE };
    assert_eq!(lagging.read_interval(1), Duration::from_secs(1));
}

#[test]
fn half_of_the_rate_limit_is_used() {
    assert_eq!(SCHEDULE.call_interval(), Duration::from_millis(50));
    assert_eq!(SCHEDULE.read_interval(100), Duration::from_secs(5));
}

#[test]
fn invalid_settings_give_a_low_rate() {
    for calls_per_second in [0.0, -1.0, f64::NAN] {
        let schedule = PollSchedule { calls_per_second, ..SCHEDULE };
        assert_eq!(schedule.call_interval(), Duration::from_secs(10));
    }
    let rushed = PollSchedule { drain: Duration::ZERO, maximum_lag: Duration::ZERO, ..SCHEDULE };
    assert_eq!(rushed.read_interval(1), Duration::from_millis(50));
}
