//! Time-outs and backoff of a dialer's attempts to connect.

use millrudder_transport::connect_backoff::ConnectBackoff;
use std::time::Duration;

/// Time after the first attempt at which a peer is reached that answers from `up` on.
fn reached_at(up: Duration) -> Duration {
    let mut backoff = ConnectBackoff::default();
    let mut now = Duration::ZERO;
    while now < up {
        let timeout = backoff.timeout();
        now += timeout + backoff.attempt_ended(false, timeout);
    }
    now
}

#[test]
fn a_machine_that_starts_a_little_later_is_reached_soon() {
    for millis in 1..=150 {
        let up = Duration::from_millis(millis);
        assert!(reached_at(up) <= up + Duration::from_millis(190), "{millis} ms");
    }
}

#[test]
fn later_attempts_give_a_far_or_slow_peer_more_time() {
    let mut backoff = ConnectBackoff::default();
    for _ in 0..5 {
        let timeout = backoff.timeout();
        backoff.attempt_ended(false, timeout);
    }
    assert_eq!(backoff.timeout(), Duration::from_millis(600));
    assert_eq!(backoff.attempt_ended(false, Duration::ZERO), Duration::from_millis(640));
}

#[test]
fn a_stable_connection_resets_the_backoff_and_a_short_one_does_not() {
    let mut backoff = ConnectBackoff::default();
    for _ in 0..5 {
        backoff.attempt_ended(false, Duration::ZERO);
    }
    assert_eq!(backoff.attempt_ended(true, Duration::from_millis(900)), Duration::from_millis(640));
    assert_eq!(backoff.attempt_ended(true, Duration::from_millis(1100)), Duration::from_millis(40));
    assert_eq!(backoff.timeout(), Duration::from_millis(150));
}
