//! Which worker list is current when lists of several readers arrive in any order.

use millrudder_staleness::{CurrentWorkerList, WorkerListVersion};

fn list(fencing: u64, number: u64) -> WorkerListVersion {
    WorkerListVersion { fencing, number }
}

#[test]
fn a_list_read_under_an_ended_lease_is_rejected() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_own(list(4, 1), Some(4)));
    assert!(!current.adopt_own(list(4, 2), None), "this machine has lost the lease");
    assert!(!current.adopt_own(list(4, 2), Some(6)), "this machine holds a later lease");
    assert_eq!(current.version(), list(4, 1));
}

#[test]
fn a_list_of_an_earlier_lease_never_replaces_a_later_one() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_received(list(5, 1)));
    assert!(!current.adopt_received(list(4, 900)));
    assert!(!current.adopt_received(list(5, 1)), "a list that is received twice is adopted once");
    assert!(current.adopt_received(list(5, 2)));
}

#[test]
fn a_list_without_a_lease_is_in_force_only_until_one_with_a_lease_arrives() {
    let mut current = CurrentWorkerList::default();
    assert!(current.adopt_own(list(WorkerListVersion::WITHOUT_LEASE, 1), None));
    assert!(current.adopt_received(list(1, 1)));
    assert!(!current.adopt_own(list(WorkerListVersion::WITHOUT_LEASE, 2), None));
}
