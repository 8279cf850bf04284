//! Stores that are to be emptied.

mod rig;

use millrudder_placement::Input;
use millrudder_protocol::StoreId;
use rig::Rig;
use std::collections::BTreeSet;

fn retire(rig: &mut Rig, name: &str) {
    rig.give(Input::Retiring(BTreeSet::from([name.to_owned()])));
}

fn with_spare() -> Rig {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.register(4, "store-4");
    rig.run(200);
    rig
}

#[test]
fn a_retiring_store_counts_and_leads_until_its_successor_is_filled() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run(1000);
    assert_eq!(rig.learning(4), 24);
    assert_eq!(rig.held(1), 24);
    assert_eq!(rig.primaries().get(&StoreId(1)), Some(&8));
    rig.report_filled(4);
    assert_eq!((rig.held(1), rig.held(4)), (0, 24));
    assert!(rig.placement.store(StoreId(1)).is_none());
    assert_eq!(rig.primaries().get(&StoreId(4)), Some(&8));
}

#[test]
fn a_retired_store_never_gets_shards_again() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run_filling(1000);
    rig.beating.remove(&2);
    rig.run_filling(60_000);
    assert_eq!(rig.held(1), 0);
    assert_eq!(rig.learning(1), 0);
}

#[test]
fn a_retiring_machine_with_an_emptied_disk_is_replaced_by_another() {
    let mut rig = with_spare();
    retire(&mut rig, "store-1");
    rig.run(200);
    rig.beating.remove(&1);
    rig.run(700);
    rig.register(11, "store-1");
    rig.run_filling(2000);
    assert_eq!((rig.held(1), rig.held(11), rig.held(4)), (0, 0, 24));
}

#[test]
fn a_new_lease_holder_goes_on_with_it() {
    let mut rig = with_spare();
    rig.give(Input::Leading(false));
    retire(&mut rig, "store-1");
    rig.run(1000);
    assert_eq!(rig.learning(4), 0);
    rig.give(Input::Leading(true));
    rig.run_filling(1000);
    assert_eq!(rig.held(1), 0);
}

#[test]
fn without_another_store_a_retiring_one_keeps_its_places() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    retire(&mut rig, "store-1");
    rig.run(10_000);
    assert_eq!(rig.held(1), 24);
}

#[test]
fn a_learner_that_is_to_be_emptied_itself_is_replaced() {
    let mut rig = with_spare();
    rig.register(5, "store-5");
    rig.beating.remove(&1);
    rig.run(2000);
    let learner = [4, 5].into_iter().find(|id| rig.learning(*id) > 0).unwrap();
    retire(&mut rig, &format!("store-{learner}"));
    rig.run(200);
    assert_eq!(rig.learning(learner), 0);
    assert_eq!(rig.learning(9 - learner), 24);
}
