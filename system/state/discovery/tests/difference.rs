//! The difference between two lists.

mod support;

use millrudder_discovery::{difference, Instance, InstanceState, WorkerChange, WorkerList};
use proptest::prelude::*;
use speedy::{Readable, Writable};
use std::time::Duration;
use support::worker;

fn list(workers: &[Instance]) -> WorkerList {
    workers.iter().cloned().collect()
}

fn draining(worker: Instance) -> Instance {
    Instance { state: InstanceState::Draining, ..worker }
}

fn changes(old: &[Instance], new: &[Instance]) -> Vec<WorkerChange> {
    difference(&list(old), &list(new))
}

#[test]
fn equal_lists_have_no_difference() {
    assert_eq!(changes(&[worker(1), worker(2)], &[worker(2), worker(1)]), []);
}

#[test]
fn a_worker_is_added_drains_and_is_gone() {
    let ready = [worker(1)];
    assert_eq!(changes(&[], &ready), [WorkerChange::Added(worker(1))]);
    let draining_list = [draining(worker(1))];
    assert_eq!(changes(&ready, &draining_list), [WorkerChange::Draining(worker(1).id)]);
    assert_eq!(changes(&draining_list, &draining_list), []);
    assert_eq!(changes(&draining_list, &[]), [WorkerChange::Gone(worker(1).id)]);
    assert_eq!(changes(&ready, &[]), [WorkerChange::Gone(worker(1).id)]);
    assert_eq!(changes(&[], &draining_list), [WorkerChange::Added(draining(worker(1)))]);
}

#[test]
fn a_worker_with_the_address_of_another_replaces_it() {
    let successor = Instance { address: worker(1).address, ..worker(2) };
    let expected = [WorkerChange::Gone(worker(1).id), WorkerChange::Added(successor.clone())];
    assert_eq!(changes(&[worker(1)], &[successor]), expected);
}

#[test]
fn other_fields_are_changes() {
    let before = worker(1);
    let changed = [
        Instance { address: worker(9).address, ..before.clone() },
        Instance { service: "nest".into(), ..before.clone() },
        Instance { zone: "south".into(), ..before.clone() },
        Instance { version: "v2".into(), ..before.clone() },
        Instance { capacity: 7, ..before.clone() },
    ];
    for after in changed {
        let expected = [WorkerChange::Changed(after.clone())];
        assert_eq!(changes(std::slice::from_ref(&before), &[after]), expected);
    }
    assert_eq!(changes(&[draining(worker(1))], &[worker(1)]), [WorkerChange::Changed(worker(1))]);
}

#[test]
fn the_remaining_warm_up_is_no_change() {
    let warm_up = |seconds| Instance { warm_up_left: Duration::from_secs(seconds), ..worker(1) };
    assert_eq!(changes(&[warm_up(5)], &[warm_up(4)]), []);
}

#[test]
fn draining_and_another_change_are_both_listed() {
    let after = draining(Instance { capacity: 1, ..worker(1) });
    let expected = [WorkerChange::Draining(worker(1).id), WorkerChange::Changed(after.clone())];
    assert_eq!(changes(&[worker(1)], &[after]), expected);
}

#[test]
fn changes_that_end_deliveries_come_first() {
    let old = [worker(1), worker(2), worker(3)];
    let new = [draining(worker(1)), Instance { capacity: 9, ..worker(2) }, worker(0)];
    let kinds: Vec<_> = changes(&old, &new).iter().map(std::mem::discriminant).collect();
    let expected = [
        WorkerChange::Gone(worker(3).id),
        WorkerChange::Draining(worker(1).id),
        WorkerChange::Changed(worker(2)),
        WorkerChange::Added(worker(0)),
    ];
    assert_eq!(kinds, expected.iter().map(std::mem::discriminant).collect::<Vec<_>>());
}

#[test]
fn changes_of_unknown_workers_have_no_effect() {
    let mut workers = list(&[worker(1)]);
    workers.apply(&WorkerChange::Draining(worker(2).id));
    workers.apply(&WorkerChange::Gone(worker(3).id));
    assert_eq!(workers, list(&[worker(1)]));
}

fn any_list() -> impl Strategy<Value = WorkerList> {
    let instance = (0..8u16, 0..4u16, 1..4u32, any::<bool>()).prop_map(|(id, address, capacity, ready)| {
        let state = if ready { InstanceState::Ready } else { InstanceState::Draining };
        Instance { address: worker(address).address, capacity, state, ..worker(id) }
    });
    proptest::collection::vec(instance, 0..8).prop_map(WorkerList::from_iter)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn changes_turn_one_list_into_the_other(old in any_list(), new in any_list()) {
        let mut workers = old.clone();
        for change in difference(&old, &new) {
            let bytes = change.write_to_vec().unwrap();
            workers.apply(&WorkerChange::read_from_buffer(&bytes).unwrap());
        }
        prop_assert_eq!(&workers, &new);
        prop_assert_eq!(difference(&workers, &new), []);
    }

    #[test]
    fn lists_decode_to_the_same(list in any_list()) {
        let bytes = list.write_to_vec().unwrap();
        prop_assert_eq!(WorkerList::read_from_buffer(&bytes).unwrap(), list);
    }
}
