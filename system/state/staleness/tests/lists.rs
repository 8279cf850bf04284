//! Which list of workers counts, whoever has read it and whenever it comes.

use millrudder_staleness::{CurrentWorkerList, WorkerListVersion};

fn list(fencing: u64, number: u64) -> WorkerListVersion {
    WorkerListVersion { fencing, number }
}

#[test]
fn a_list_read_under_a_lease_that_is_over_does_not_count() {
    let mut current = CurrentWorkerList::default();
    assert!(current.take_own(list(4, 1), Some(4)));
    assert!(!current.take_own(list(4, 2), None), "the lease is lost");
    assert!(!current.take_own(list(4, 2), Some(6)), "it holds another one");
    assert_eq!(current.number(), list(4, 1));
}

#[test]
fn a_list_of_an_earlier_lease_never_replaces_a_later_one() {
    let mut current = CurrentWorkerList::default();
    assert!(current.take_told(list(5, 1)));
    assert!(!current.take_told(list(4, 900)));
    assert!(!current.take_told(list(5, 1)), "it is told twice");
    assert!(current.take_told(list(5, 2)));
}

#[test]
fn a_list_without_a_lease_counts_only_until_there_is_one_with() {
    let mut current = CurrentWorkerList::default();
    assert!(current.take_own(list(WorkerListVersion::WITHOUT_LEASE, 1), None));
    assert!(current.take_told(list(1, 1)));
    assert!(!current.take_own(list(WorkerListVersion::WITHOUT_LEASE, 2), None));
}
