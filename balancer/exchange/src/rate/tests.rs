//! Unit tests of `rate`.

use super::*;

#[test]
fn one_line_per_second_is_allowed() {
    let limiter = Limiter::default();
    assert!(limiter.allows(5000.0));
    assert!(!limiter.allows(5999.0));
    assert!(limiter.allows(6000.0));
}
