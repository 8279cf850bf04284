//! Retirement of stores: replicas move to other stores, and a retired store receives none again.

mod rig;

use millrudder_placement::Input;
use millrudder_protocol::StoreId;
use rig::Rig;
use std::collections::BTreeSet;

fn retire(rig: &mut Rig, name: &str) {
    rig.handle(Input::Retiring(BTreeSet::from([name.to_owned()])));
}

fn with_spare() -> Rig {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.register(4, "store-4");
    rig.run(200);
    rig
}

#[test]
fn a_retiring_store_counts_and_stays_primary_until_its_successor_is_filled() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run(1000);
    assert_eq!(rig.learner_count(4), 24);
    assert_eq!(rig.replica_count(1), 24);
    assert_eq!(rig.primaries().get(&StoreId(1)), Some(&8));
    rig.report_caught_up(4);
    assert_eq!((rig.replica_count(1), rig.replica_count(4)), (0, 24));
    assert!(rig.placement.store(StoreId(1)).is_none());
    assert_eq!(rig.primaries().get(&StoreId(4)), Some(&8));
}

#[test]
fn a_retired_store_never_gets_shards_again() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run_filling(1000);
    rig.heartbeats.remove(&2);
    rig.run_filling(60_000);
    assert_eq!(rig.replica_count(1), 0);
    assert_eq!(rig.learner_count(1), 0);
}

#[test]
fn a_retiring_machine_with_a_replaced_disk_is_replaced_by_another() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run(200);
    rig.heartbeats.remove(&1);
    rig.run(700);
    rig.register(11, "store-1");
    rig.run_filling(2000);
    assert_eq!((rig.replica_count(1), rig.replica_count(11), rig.replica_count(4)), (0, 0, 24));
}

#[test]
fn a_new_lease_holder_continues_to_retire() {
    let mut rig = with_spare();
    rig.handle(Input::ControllerLease { is_held: false });
    retire(&mut rig, "store-1");
    rig.run(1000);
    assert_eq!(rig.learner_count(4), 0);
    rig.handle(Input::ControllerLease { is_held: true });
    rig.run_filling(1000);
    assert_eq!(rig.replica_count(1), 0);
}

#[test]
fn without_another_store_a_retiring_one_keeps_its_replicas() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    retire(&mut rig, "store-1");
    rig.run(10_000);
    assert_eq!(rig.replica_count(1), 24);
}

#[test]
fn a_retiring_learner_is_replaced() {
    let mut rig = with_spare();
    rig.register(5, "store-5");
    rig.heartbeats.remove(&1);
    rig.run(2000);
    let learner = [4, 5].into_iter().find(|id| rig.learner_count(*id) > 0).unwrap();
    retire(&mut rig, &format!("store-{learner}"));
    rig.run(200);
    assert_eq!(rig.learner_count(learner), 0);
    assert_eq!(rig.learner_count(9 - learner), 24);
}
