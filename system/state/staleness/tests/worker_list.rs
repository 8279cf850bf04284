//! The list of workers in force, whoever has read it and whenever it arrives.

use millrudder_staleness::{CurrentWorkerList, WorkerListVersion};

fn list(fencing: u64, number: u64) -> WorkerListVersion {
    WorkerListVersion { fencing, number }
}

#[test]
fn a_list_read_under_an_ended_lease_is_rejected() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_own(list(4, 1), Some(4)));
    assert!(!current.adopt_own(list(4, 2), None), "the lease is lost");
    assert!(!current.adopt_own(list(4, 2), Some(6)), "it holds another one");
    assert_eq!(current.version(), list(4, 1));
}

#[test]
fn a_list_of_an_earlier_lease_never_replaces_a_later_one() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_received(list(5, 1)));
    assert!(!current.adopt_received(list(4, 900)));
    assert!(!current.adopt_received(list(5, 1)), "received twice");
    assert!(current.adopt_received(list(5, 2)));
}

#[test]
fn a_list_without_a_lease_is_in_force_only_until_one_with_a_lease_arrives() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_own(list(WorkerListVersion::WITHOUT_LEASE, 1), None));
    assert!(current.adopt_received(list(1, 1)));
    assert!(!current.adopt_own(list(WorkerListVersion::WITHOUT_LEASE, 2), None));
}
