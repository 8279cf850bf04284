//! Repair and balancing: which replicas move to which store, and when, as stores fail, recover, are added or shut down.

mod rig;

use millrudder_placement::{Input, Registration};
use millrudder_protocol::placement::ChangeReason;
use millrudder_protocol::StoreId;
use rig::Rig;
use std::collections::BTreeSet;

/// The manager's default time within which a replacement must have caught up, in milliseconds.
const CATCH_UP_MS: u64 = 4500;
/// Two stores are balanced if their numbers of replicas differ by less than this.
const IMBALANCE_THRESHOLD: usize = 3;

fn rig_with_placement(stores: u64, tolerated_losses: u32) -> Rig {
    let mut rig = Rig::new(stores, tolerated_losses);
    rig.run(2000);
    rig
}

#[test]
fn a_store_of_another_name_replaces_an_unresponsive_one() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run(1500);
    assert_eq!(rig.learner_count(4), 24);
    rig.report_caught_up(4);
    rig.run(200);
    assert_eq!(rig.replica_count(4), 24);
    assert_eq!(rig.replica_count(1), 0);
    assert!(rig.placement.store(StoreId(1)).is_none());
}

#[test]
fn a_replacement_is_being_filled_well_within_the_catch_up_time() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run(CATCH_UP_MS / 3);
    assert_eq!(rig.learner_count(4), 24);
}

#[test]
fn no_replica_moves_for_a_store_that_restarts_in_time() {
    let mut rig = rig_with_placement(4, 1);
    let before = rig.placement.clone();
    rig.heartbeats.remove(&1);
    rig.run(CATCH_UP_MS * 2);
    rig.register(1, "store-1");
    rig.run(3000);
    assert_eq!(rig.changes_begun, 0);
    for (old, new) in before.shards.iter().zip(&rig.placement.shards) {
        assert_eq!(old.replicas, new.replicas);
    }
}

#[test]
fn a_short_outage_moves_nothing_to_a_spare_store() {
    let mut rig = rig_with_placement(3, 1);
    rig.register(4, "store-4");
    rig.heartbeats.remove(&1);
    rig.run(1200);
    rig.register(1, "store-1");
    rig.run(1000);
    assert_eq!(rig.changes_begun, 0);
}

#[test]
fn a_store_that_comes_back_while_its_successor_is_filled_keeps_its_replicas() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run(1000);
    assert_eq!(rig.learner_count(4), 24);
    rig.register(1, "store-1");
    rig.run(300);
    assert_eq!(rig.learner_count(4), 0);
    assert_eq!(rig.replica_count(1), 24);
}

#[test]
fn a_store_that_is_lost_for_long_is_replaced_by_those_that_hold_shards() {
    let mut rig = rig_with_placement(5, 1);
    rig.heartbeats.remove(&1);
    rig.run_filling(CATCH_UP_MS * 3 + 3000);
    assert_eq!(rig.replica_count(1), 0);
    assert!(rig.placement.shards.iter().all(|shard| shard.replicas.len() == 3));
}

#[test]
fn where_a_learner_fails_another_is_chosen() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run(1000);
    rig.heartbeats.remove(&4);
    rig.register(5, "store-5");
    rig.run(1000);
    assert_eq!(rig.learner_count(4), 0);
    assert_eq!(rig.learner_count(5), 24);
}

#[test]
fn a_report_for_an_abandoned_change_is_ignored() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run(1000);
    let report_for_abandoned = rig.reports_of(4);
    rig.heartbeats.remove(&4);
    rig.run(1000);
    assert_eq!(rig.learner_count(4), 0);
    rig.register(4, "store-4");
    rig.run(2000);
    assert_eq!(rig.learner_count(4), 24);
    rig.handle(Input::LearnerCaughtUp { id: StoreId(4), shards: report_for_abandoned });
    rig.run(1000);
    assert_eq!(rig.replica_count(4), 0);
}

#[test]
fn the_replicas_of_a_store_that_shuts_down_move_to_a_spare_store() {
    let mut rig = rig_with_placement(3, 1);
    rig.register(4, "store-4");
    rig.run(200);
    rig.heartbeats.get_mut(&2).unwrap().is_shutting_down = true;
    rig.run(200);
    assert_eq!(rig.learner_count(4), 24);
    assert_eq!(
        rig.replica_count(2),
        24,
        "a store that shuts down keeps its replicas until its successor has caught up"
    );
    rig.report_caught_up(4);
    assert_eq!(rig.replica_count(2), 0);
}

#[test]
fn the_replicas_of_a_store_that_shuts_down_do_not_move_to_stores_that_hold_shards() {
    let mut rig = rig_with_placement(5, 1);
    rig.heartbeats.get_mut(&2).unwrap().is_shutting_down = true;
    rig.run(1000);
    rig.heartbeats.remove(&2);
    rig.run(2000);
    assert_eq!(rig.changes_begun, 0);
}

#[test]
fn two_replaced_stores_in_a_row_leave_three_live_replicas() {
    let mut rig = rig_with_placement(3, 1);
    for (lost, replacement) in [(1, 4), (2, 5)] {
        rig.heartbeats.remove(&lost);
        rig.run_filling(1000);
        rig.register(replacement, &format!("store-{replacement}"));
        rig.run_filling(CATCH_UP_MS);
        assert_eq!(rig.replica_count(replacement), 24);
    }
    let live: BTreeSet<StoreId> = [3, 4, 5].map(StoreId).into();
    for shard in &rig.placement.shards {
        assert_eq!(shard.replicas.iter().copied().collect::<BTreeSet<_>>(), live);
    }
}

#[test]
fn a_machine_with_a_replaced_disk_is_repaired_without_delay() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(600);
    rig.register(11, "store-1");
    rig.run(100);
    assert_eq!(rig.learner_count(11), 24);
}

#[test]
fn a_lost_store_that_comes_back_after_its_replacement_is_a_spare() {
    let mut rig = rig_with_placement(3, 1);
    rig.heartbeats.remove(&1);
    rig.run(1000);
    rig.register(4, "store-4");
    rig.run_filling(3000);
    let before = rig.placement.clone();
    rig.register(1, "store-1");
    rig.run_filling(3000);
    assert_eq!(rig.placement.shards, before.shards);
}

#[test]
fn an_added_store_gets_a_fair_share_after_a_delay() {
    let mut rig = rig_with_placement(9, 1);
    rig.register(10, "store-10");
    rig.run_filling(CATCH_UP_MS - 500);
    assert_eq!(rig.replica_count(10), 0);
    rig.run_filling(20_000);
    let fewest = (1..=9).map(|id| rig.replica_count(id)).min().unwrap();
    assert!(rig.replica_count(10) + IMBALANCE_THRESHOLD > fewest, "{} of {fewest}", rig.replica_count(10));
    let primaries = rig.placement.shards.iter().filter(|shard| shard.primary == StoreId(10)).count();
    assert!((5..=9).contains(&primaries), "{primaries} primaries");
    let moved = rig.replica_count(10);
    assert_eq!(rig.changes_begun, moved, "no replica moves except to the added store");
    assert!(rig.reasons.iter().all(|reason| *reason == ChangeReason::Balance));
}

#[test]
fn balance_never_reduces_the_number_of_zones() {
    let mut rig = rig_with_placement(3, 1);
    rig.register(4, "store-4");
    rig.run_filling(20_000);
    assert_eq!(
        rig.replica_count(1) + rig.replica_count(4),
        24,
        "stores 1 and 4 share the replicas of their zone"
    );
    assert!(rig.replica_count(1).abs_diff(rig.replica_count(4)) < IMBALANCE_THRESHOLD);
    assert_eq!((rig.replica_count(2), rig.replica_count(3)), (24, 24));
}

#[test]
fn nothing_is_balanced_while_a_store_is_unhealthy() {
    let mut rig = rig_with_placement(9, 1);
    rig.register(10, "store-10");
    rig.run(4000);
    rig.heartbeats.remove(&3);
    rig.run_filling(900);
    assert!(!rig.reasons.contains(&ChangeReason::Balance));
}

#[test]
fn repair_goes_before_balance() {
    let mut rig = rig_with_placement(9, 1);
    rig.register(10, "store-10");
    rig.run(CATCH_UP_MS + 200);
    let moving = |rig: &Rig| rig.placement.shards.iter().filter(|shard| shard.change.is_some()).count();
    assert!(moving(&rig) > 0);
    let shard = rig.placement.shards.iter().find(|shard| shard.change.is_some()).unwrap();
    let change = shard.change.unwrap();
    let lost = *shard.replicas.iter().find(|id| Some(**id) != change.leaves).unwrap();
    rig.heartbeats.remove(&lost.0);
    rig.run(700);
    let is_on_lost_store =
        |shard: &&millrudder_protocol::placement::ShardEntry| shard.replicas.contains(&lost);
    for shard in rig.placement.shards.iter().filter(is_on_lost_store) {
        let balances = shard.change.is_some_and(|change| change.reason == ChangeReason::Balance);
        assert!(!balances || shard.change.unwrap().leaves == Some(lost));
    }
}

#[test]
fn a_store_that_reconnects_while_shutting_down_still_counts_as_shutting_down() {
    let mut rig = rig_with_placement(3, 1);
    rig.register(4, "store-4");
    rig.run(200);
    rig.heartbeats.get_mut(&2).unwrap().is_shutting_down = true;
    rig.run(200);
    let name = "store-2".to_owned();
    let address = rig.placement.store(StoreId(2)).unwrap().address;
    rig.handle(Input::Registered(Registration { id: StoreId(2), name, zone: "b".into(), address }));
    assert_eq!(rig.learner_count(4), 24);
}
