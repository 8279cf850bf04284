//! Initial placement, store failures and recoveries, replaced disks, and changes of the lease holder.

mod rig;

use millrudder_placement::{Input, PlacementManager};
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::StoreId;
use rig::{Rig, STEP_MS};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn three_stores_share_the_shards_evenly() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    assert_eq!(rig.primaries().into_values().collect::<Vec<_>>(), vec![8, 8, 8]);
    assert!(rig.placement.shards.iter().all(|shard| shard.replicas.len() == 3));
    assert_eq!(rig.commits, 1);
}

#[test]
fn replicas_lie_in_different_zones() {
    let mut rig = Rig::new(9, 1);
    rig.run(2000);
    for shard in &rig.placement.shards {
        let zones: std::collections::BTreeSet<&str> =
            shard.replicas.iter().map(|id| rig.placement.store(*id).unwrap().zone.as_str()).collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn two_stores_get_an_initial_placement_only_after_a_wait() {
    let mut rig = Rig::new(2, 1);
    rig.run(4000);
    assert_eq!(rig.commits, 0);
    rig.run(2000);
    assert_eq!(rig.placement.stores.len(), 2);
}

#[test]
fn one_store_is_never_enough_to_tolerate_a_loss() {
    let mut rig = Rig::new(1, 1);
    rig.run(20_000);
    assert_eq!(rig.commits, 0);
}

#[test]
fn an_unresponsive_store_loses_its_primaries_and_gets_them_back() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.heartbeats.remove(&1);
    rig.run(700);
    assert_eq!(rig.primaries(), BTreeMap::from([(StoreId(2), 12), (StoreId(3), 12)]));
    assert!(!rig.placement.store(StoreId(1)).unwrap().alive);
    rig.register(1, "store-1");
    rig.run(1000);
    assert_eq!(rig.primaries().get(&StoreId(1)), None);
    rig.run(1500);
    assert_eq!(rig.primaries().into_values().collect::<Vec<_>>(), vec![8, 8, 8]);
}

#[test]
fn a_store_with_a_stalled_disk_loses_its_primaries() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.heartbeats.insert(2, StoreHealth { oldest_unsynced_ms: 900, ..StoreHealth::default() });
    rig.run(200);
    assert_eq!(rig.primaries().get(&StoreId(2)), None);
}

#[test]
fn a_store_that_shuts_down_hands_over_its_primaries_at_once() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.heartbeats.insert(2, StoreHealth { is_shutting_down: true, ..StoreHealth::default() });
    rig.run(STEP_MS);
    assert_eq!(rig.primaries().get(&StoreId(2)), None);
}

#[test]
fn without_a_fault_nothing_is_proposed() {
    let mut rig = Rig::new(3, 1);
    rig.run(60_000);
    assert_eq!(rig.commits, 1);
}

#[test]
fn without_the_lease_nothing_is_proposed() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.handle(Input::ControllerLease { is_held: false });
    rig.heartbeats.remove(&1);
    rig.run(5000);
    assert_eq!(rig.commits, 1);
}

#[test]
fn a_new_lease_holder_waits_for_heartbeats_before_it_considers_a_store_lost() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    let mut successor = PlacementManager::new(1);
    successor.handle(rig.now, Input::Committed(rig.placement.clone()));
    assert_eq!(successor.handle(rig.now, Input::ControllerLease { is_held: true }), None);
    assert_eq!(successor.handle(rig.now + Duration::from_millis(500), Input::Tick), None);
}

#[test]
fn a_replaced_disk_is_filled_before_it_counts() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(11, "store-1");
    rig.run(1000);
    let learners = rig.placement.shards.iter().filter(|shard| shard.learner() == Some(StoreId(11)));
    assert_eq!(learners.count(), 24);
    assert!(rig.placement.shards.iter().all(|shard| !shard.replicas.contains(&StoreId(11))));
    rig.report_caught_up(11);
    rig.run(3000);
    assert!(rig.placement.shards.iter().all(|shard| shard.replicas.contains(&StoreId(11))));
    assert!(rig.placement.store(StoreId(1)).is_none());
    assert_eq!(rig.primaries().into_values().collect::<Vec<_>>(), vec![8, 8, 8]);
}

#[test]
fn a_primary_changes_only_with_its_term() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    let before = rig.placement.clone();
    rig.heartbeats.remove(&3);
    rig.run(1000);
    for (old, new) in before.shards.iter().zip(&rig.placement.shards) {
        assert_eq!(old.primary == new.primary, old.term == new.term);
    }
}

#[test]
fn a_new_lease_holder_that_already_tracked_the_stores_acts_immediately() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.handle(Input::ControllerLease { is_held: false });
    rig.heartbeats.remove(&1);
    rig.run(800);
    assert_eq!(rig.commits, 1);
    rig.handle(Input::ControllerLease { is_held: true });
    assert_eq!(rig.primaries().get(&StoreId(1)), None);
}

#[test]
fn a_new_lease_holder_that_gets_heartbeats_from_few_stores_waits_for_more() {
    let mut rig = Rig::new(3, 1);
    rig.run(2000);
    rig.handle(Input::ControllerLease { is_held: false });
    rig.heartbeats.remove(&1);
    rig.heartbeats.remove(&2);
    rig.run(800);
    rig.handle(Input::ControllerLease { is_held: true });
    assert_eq!(rig.commits, 1);
}
