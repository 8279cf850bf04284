//! Unit tests of `clock`.

use super::*;

// Guards against a time-out that the configuration accepts and that ends at once: spans above the range of `Duration`
// became zero, so that with a `connect_timeout` of 1e300 no worker could be reached.
#[test]
fn the_longest_span_is_no_shorter_than_shorter_ones_and_fits_the_timers() {
    let spans = [0.0, 1.0, 1e9, 1e15, 1e22, 1e300, f64::MAX, f64::INFINITY].map(span);
    assert!(spans.is_sorted(), "{spans:?}");
    for span in spans {
        // The `may` runtime counts nanoseconds in 64 bits, and keeps what is above modulo 2^64.
        assert!(span.as_nanos() < u128::from(u64::MAX / 2), "{span:?}");
        assert!(Instant::now().checked_add(span).is_some(), "{span:?}");
    }
    assert_eq!([-1.0, f64::NEG_INFINITY, f64::NAN].map(span), [Duration::ZERO; 3]);
}
