//! Detection of a stalled monotonic clock by comparison with the time of day.

use millrudder_clock::Instant;
use millrudder_staleness::ClockStallDetector;
use std::time::Duration;

/// A detector that takes clock readings in milliseconds.
struct Detector(ClockStallDetector);

impl Detector {
    fn new(steady_ms: u64, time_of_day_ms: u64) -> Detector {
        let time_of_day = Duration::from_millis(time_of_day_ms);
        Detector(ClockStallDetector::new(Instant::from_millis(steady_ms), time_of_day))
    }

    fn detect_stall(&mut self, steady_ms: u64, time_of_day_ms: u64) -> bool {
        let time_of_day = Duration::from_millis(time_of_day_ms);
        self.0.detect_stall(Instant::from_millis(steady_ms), time_of_day)
    }
}

#[test]
fn clocks_that_advance_equally_are_not_a_stall() {
    let mut detector = Detector::new(5, 1_000_000);
    for passed in [0, 1, 40, 90_000] {
        assert!(!detector.detect_stall(5 + passed, 1_000_000 + passed));
    }
}

#[test]
fn a_stall_of_the_steady_clock_is_detected_once() {
    let mut detector = Detector::new(0, 1_000_000);
    assert!(!detector.detect_stall(100, 1_000_100));
    assert!(detector.detect_stall(101, 1_020_101));
    assert!(!detector.detect_stall(102, 1_020_102));
}

#[test]
fn a_pause_in_which_both_clocks_advance_is_not_a_stall() {
    let mut detector = Detector::new(0, 1_000_000);
    assert!(!detector.detect_stall(20_000, 1_020_000));
}

#[test]
fn small_corrections_and_backward_steps_are_not_a_stall_and_do_not_hide_a_later_one() {
    let mut detector = Detector::new(0, 1_000_000);
    assert!(!detector.detect_stall(10, 1_000_900));
    assert!(!detector.detect_stall(20, 400_000));
    assert!(!detector.detect_stall(30, 400_010));
    assert!(detector.detect_stall(40, 405_000));
}
