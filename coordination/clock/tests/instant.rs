//! Readings of a steady clock and the spans between them.

use millrudder_clock::Instant;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_reading_made_from_a_number_gives_it_back() {
    assert_eq!(Instant::from_millis(7).as_millis(), 7);
    assert_eq!(Instant::from_micros(7_300).as_micros(), 7_300);
    assert_eq!(Instant::from_micros(7_999).as_millis(), 7);
    assert_eq!(Instant::from_millis(u64::MAX).as_millis(), u64::MAX);
    assert_eq!(Instant::from_duration(SECOND).as_duration(), SECOND);
}

#[test]
fn a_span_from_a_later_reading_to_an_earlier_one_is_zero() {
    let (earlier, later) = (Instant::from_millis(1), Instant::from_millis(5));
    assert_eq!(later - earlier, Duration::from_millis(4));
    assert_eq!(earlier - later, Duration::ZERO);
}

#[test]
fn arithmetic_saturates_at_both_ends() {
    let end = Instant::from_duration(Duration::MAX);
    assert_eq!(end + SECOND, end);
    assert_eq!(end.as_millis(), u64::MAX);
    assert_eq!(Instant::ORIGIN - SECOND, Instant::ORIGIN);
    assert_eq!(Instant::ORIGIN.checked_sub(SECOND), None);
    let mut now = Instant::ORIGIN;
    now += SECOND;
    assert_eq!(now.checked_sub(SECOND), Some(Instant::ORIGIN));
}
