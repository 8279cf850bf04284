use super::whole_seconds;
use std::time::Duration;

#[test]
fn retry_after_is_rounded_up_and_never_zero() {
    let rounded = [0, 300, 1_000, 1_001, 2_500].map(|ms| whole_seconds(Duration::from_millis(ms)));
    assert_eq!(rounded, [1, 1, 1, 2, 3]);
}
