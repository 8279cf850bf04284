//! How often the list is read.

use millrudder_discovery::Pace;
use std::time::Duration;

const PACE: Pace = Pace {
    calls_per_second: 40.0,
    maximum_lag: Duration::from_millis(800),
    drain: Duration::from_secs(3),
    economy: 0.0,
};

#[test]
fn economy_lies_between_lag_and_drain() {
    let interval = |economy| Pace { economy, ..PACE }.interval(1);
    assert_eq!(interval(0.0), Duration::from_millis(800));
    assert_eq!(interval(0.5), Duration::from_millis(900));
    assert_eq!(interval(1.0), Duration::from_secs(1));
    assert_eq!(interval(7.0), Duration::from_secs(1));
    assert_eq!(interval(f64::NAN), Duration::from_millis(800));
}

#[test]
fn drain_bounds_the_interval_even_if_the_list_lags_more() {
    let lagging = Pace { maximum_lag: Duration::from_secs(30), ..PACE };
    assert_eq!(lagging.interval(1), Duration::from_secs(1));
}

#[test]
fn half_of_the_common_rate_is_used() {
    assert_eq!(PACE.call_gap(), Duration::from_millis(50));
    assert_eq!(PACE.interval(100), Duration::from_secs(5));
}

#[test]
fn senseless_figures_end_in_a_slow_pace() {
    for calls_per_second in [0.0, -1.0, f64::NAN] {
        let pace = Pace { calls_per_second, ..PACE };
        assert_eq!(pace.call_gap(), Duration::from_secs(10));
    }
    let rushed = Pace { drain: Duration::ZERO, maximum_lag: Duration::ZERO, ..PACE };
    assert_eq!(rushed.interval(1), Duration::from_millis(50));
}
