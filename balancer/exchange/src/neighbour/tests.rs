//! Unit tests of `neighbour`.

use super::*;

#[test]
fn without_another_process_nothing_goes_over_and_this_one_accepts() {
    let neighbour = Neighbour::default();
    assert!(neighbour.accepts() && !neighbour.takes_connections());
    assert!(neighbour.put(Parcel::Drain(true)).is_err());
    neighbour.open();
    neighbour.their_job("a".to_owned());
    neighbour.share(9, 3);
    assert!(neighbour.put(Parcel::Ended("b".to_owned())).is_ok() && neighbour.is_theirs("a"));
    assert!(matches!(neighbour.take(), Some(Parcel::Ended(id)) if id == "b"));
    neighbour.close();
    assert!(!neighbour.is_theirs("a") && neighbour.take().is_none());
    assert_eq!((neighbour.inbound(), neighbour.next_hops()), (0, 0), "all of the budget is ours again");
}

#[test]
fn what_waits_is_bounded() {
    let neighbour = Neighbour::default();
    neighbour.open();
    let put = (0..2 * MOST_PARCELS).filter(|_| neighbour.put(Parcel::Drain(true)).is_ok()).count();
    assert_eq!(put, MOST_PARCELS);
}
