//! Unit tests of `drain`.

use super::*;

#[test]
fn a_repeated_begin_does_not_move_the_start_of_the_drain() {
    let drain = Drain::default();
    drain.begin(1_000.0);
    drain.begin(1_250.0);
    assert!(drain.is_on() && !drain.clients_notified(1_299.0) && drain.clients_notified(1_300.0));
    drain.end();
    assert!(!drain.is_on() && !drain.clients_notified(9_000.0));
}
