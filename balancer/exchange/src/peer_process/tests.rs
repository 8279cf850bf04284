//! Unit tests of `peer_process`.

use super::*;

#[test]
fn without_another_process_nothing_goes_over_and_this_one_accepts() {
    let peer = PeerProcess::default();
    assert!(peer.accepts() && !peer.takes_connections());
    assert!(peer.put(Transfer::Drain(true)).is_err());
    peer.open();
    peer.their_job("a".to_owned());
    peer.share(9, 3);
    assert!(peer.put(Transfer::Ended("b".to_owned())).is_ok() && peer.is_theirs("a"));
    assert!(matches!(peer.take(), Some(Transfer::Ended(id)) if id == "b"));
    peer.close();
    assert!(!peer.is_theirs("a") && peer.take().is_none());
    assert_eq!((peer.inbound(), peer.worker_connections()), (0, 0), "all of the budget is ours again");
}

#[test]
fn what_waits_is_bounded() {
    let peer = PeerProcess::default();
    peer.open();
    let put = (0..2 * MAX_TRANSFERS).filter(|_| peer.put(Transfer::Drain(true)).is_ok()).count();
    assert_eq!(put, MAX_TRANSFERS);
}
