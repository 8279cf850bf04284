//! Unit tests of `drain`.

use super::*;

#[test]
fn a_repeat_does_not_begin_anew() {
    let drain = Drain::default();
    drain.begin(1_000.0);
    drain.begin(1_250.0);
    assert!(drain.is_on() && !drain.clients_notified(1_299.0) && drain.clients_notified(1_300.0));
    drain.end();
    assert!(!drain.is_on() && !drain.clients_notified(9_000.0));
}
