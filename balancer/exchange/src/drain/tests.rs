//! Unit tests of `drain`.

use super::*;

#[test]
fn a_repeat_does_not_begin_anew() {
    let drain = Drain::default();
    drain.begin(1_000.0);
    drain.begin(1_250.0);
    assert!(drain.is_on() && !drain.is_noticed(1_299.0) && drain.is_noticed(1_300.0));
    drain.end();
    assert!(!drain.is_on() && !drain.is_noticed(9_000.0));
}
