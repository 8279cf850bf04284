//! Waits of a dialer.

use millrudder_transport::tries::Tries;
use std::time::Duration;

/// Time after the first try at which a peer is found that answers from `up` on.
fn found_at(up: Duration) -> Duration {
    let mut tries = Tries::default();
    let mut now = Duration::ZERO;
    while now < up {
        let patience = tries.patience();
        now += patience + tries.ended(false, patience);
    }
    now
}

#[test]
fn a_machine_that_starts_a_little_later_is_found_soon() {
    for millis in 1..=150 {
        let up = Duration::from_millis(millis);
        assert!(found_at(up) <= up + Duration::from_millis(190), "{millis} ms");
    }
}

#[test]
fn a_far_or_slow_peer_gets_more_time_at_later_tries() {
    let mut tries = Tries::default();
    for _ in 0..5 {
        let patience = tries.patience();
        tries.ended(false, patience);
    }
    assert_eq!(tries.patience(), Duration::from_millis(600));
    assert_eq!(tries.ended(false, Duration::ZERO), Duration::from_millis(640));
}

#[test]
fn a_connection_that_lasted_starts_afresh_and_a_short_one_does_not() {
    let mut tries = Tries::default();
    for _ in 0..5 {
        tries.ended(false, Duration::ZERO);
    }
    assert_eq!(tries.ended(true, Duration::from_millis(900)), Duration::from_millis(640));
    assert_eq!(tries.ended(true, Duration::from_millis(1100)), Duration::from_millis(40));
    assert_eq!(tries.patience(), Duration::from_millis(150));
}
