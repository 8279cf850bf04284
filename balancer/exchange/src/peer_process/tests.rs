//! Unit tests of `peer_process`.

use super::*;

#[test]
fn without_another_process_nothing_is_transferred_and_connections_are_accepted() {
    let peer = PeerProcess::default();
    assert!(peer.accepts() && !peer.takes_connections());
    assert!(peer.put(Transfer::Drain(true)).is_err());
    peer.open();
    peer.add_peer_job("a".to_owned());
    peer.set_peer_connections(9, 3);
    assert!(peer.put(Transfer::JobEnded("b".to_owned())).is_ok() && peer.is_peer_job("a"));
    assert!(matches!(peer.take(), Some(Transfer::JobEnded(id)) if id == "b"));
    peer.close();
    assert!(!peer.is_peer_job("a") && peer.take().is_none());
    assert_eq!(
        (peer.inbound(), peer.worker_connections()),
        (0, 0),
        "the whole budget belongs to this process again"
    );
}

#[test]
fn the_transfer_queue_is_bounded() {
    let peer = PeerProcess::default();
    peer.open();
    let queued = (0..2 * MAX_TRANSFERS).filter(|_| peer.put(Transfer::Drain(true)).is_ok()).count();
    assert_eq!(queued, MAX_TRANSFERS);
}
