//! Layout of replicas over zones and regions, at the initial placement, in repair, for new stores and when a primary is
//! lost.

mod rig;

use millrudder_placement::{FailureDomain, Layout};
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::StoreId;
use millrudder_topology::Topology;
use proptest::prelude::*;
use rig::Rig;
use std::collections::BTreeSet;

/// Three regions of two zones each.
const ZONES: [&str; 6] = ["n-1", "n-2", "s-1", "s-2", "w-1", "w-2"];

fn topology() -> Topology {
    Topology::new(ZONES.iter().map(|zone| (*zone, &zone[..1])))
}

fn layout(failure_domain: FailureDomain) -> Layout {
    Layout::new(topology(), failure_domain)
}

/// Creates a cluster with one store in each of the given zones, in this order.
fn rig_in_zones(failure_domain: FailureDomain, tolerated_losses: u32, zones: &[&'static str]) -> Rig {
    let mut rig = Rig::with_layout(tolerated_losses, layout(failure_domain));
    for (index, zone) in zones.iter().enumerate() {
        rig.register_in(index as u64 + 1, zone);
    }
    rig.run(2000);
    rig
}

fn zones_of<'a>(placement: &'a Placement, shard: &ShardEntry) -> Vec<&'a str> {
    shard.replicas.iter().map(|id| placement.store(*id).unwrap().zone.as_str()).collect()
}

fn region(zone: &str) -> &str {
    &zone[..1]
}

/// Number of replicas in the region of the shard's first replica.
fn replicas_in_first_region(placement: &Placement, shard: &ShardEntry) -> usize {
    let zones = zones_of(placement, shard);
    zones.iter().filter(|zone| region(zone) == region(zones[0])).count()
}

fn two_in_each_zone() -> Vec<&'static str> {
    ZONES.iter().chain(&ZONES).copied().collect()
}

#[test]
fn where_only_machines_may_fail_replicas_stay_in_one_region() {
    let rig = rig_in_zones(FailureDomain::Machine, 2, &two_in_each_zone());
    for shard in &rig.placement.shards {
        assert_eq!(shard.replicas.len(), 5);
        assert_eq!(replicas_in_first_region(&rig.placement, shard), 4);
    }
    let counts: Vec<usize> = (1..=12).map(|id| rig.replica_count(id)).collect();
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(most - least <= 2, "{counts:?}");
}

#[test]
fn within_a_region_replicas_lie_in_different_zones_first() {
    let rig = rig_in_zones(FailureDomain::Machine, 1, &["n-1", "n-1", "n-2", "n-1"]);
    for shard in &rig.placement.shards {
        assert!(zones_of(&rig.placement, shard).contains(&"n-2"));
    }
}

#[test]
fn a_region_with_too_few_stores_has_the_rest_in_one_other() {
    let rig = rig_in_zones(FailureDomain::Machine, 1, &["n-1", "s-1", "s-2", "s-1", "w-1", "w-2", "w-1"]);
    for shard in rig.placement.shards.iter().filter(|shard| shard.replicas[0] == StoreId(1)) {
        let others: BTreeSet<&str> =
            zones_of(&rig.placement, shard)[1..].iter().map(|zone| region(zone)).collect();
        assert_eq!(others.len(), 1);
    }
}

#[test]
fn where_zones_may_fail_different_zones_come_before_one_region() {
    let rig = rig_in_zones(FailureDomain::Zone, 1, &two_in_each_zone());
    for shard in &rig.placement.shards {
        let zones = zones_of(&rig.placement, shard);
        assert_eq!(zones.iter().collect::<BTreeSet<_>>().len(), 3);
        assert_eq!(replicas_in_first_region(&rig.placement, shard), 2);
    }
}

#[test]
fn where_regions_may_fail_replicas_lie_in_different_regions() {
    let rig = rig_in_zones(FailureDomain::Region, 1, &two_in_each_zone());
    for shard in &rig.placement.shards {
        let zones = zones_of(&rig.placement, shard);
        assert_eq!(zones.iter().map(|zone| region(zone)).collect::<BTreeSet<_>>().len(), 3);
    }
}

#[test]
fn tolerated_losses_decide_the_failure_domain() {
    assert_eq!(FailureDomain::for_losses(0, 0), FailureDomain::Machine);
    assert_eq!(FailureDomain::for_losses(1, 0), FailureDomain::Zone);
    assert_eq!(FailureDomain::for_losses(1, 1), FailureDomain::Region);
}

#[test]
fn a_lost_store_is_replaced_in_its_region_while_there_is_one() {
    let zones = ["n-1", "n-2", "n-1", "n-2", "s-1", "s-2", "s-1", "s-2"];
    let mut rig = rig_in_zones(FailureDomain::Machine, 1, &zones);
    rig.heartbeats.remove(&1);
    rig.run_filling(30_000);
    assert_eq!(rig.replica_count(1), 0);
    for shard in &rig.placement.shards {
        assert_eq!(replicas_in_first_region(&rig.placement, shard), 3, "{shard:?}");
    }
}

#[test]
fn without_a_store_left_in_the_region_another_region_is_used() {
    let zones = ["n-1", "n-2", "n-1", "s-1", "s-2", "s-1"];
    let mut rig = rig_in_zones(FailureDomain::Machine, 1, &zones);
    rig.heartbeats.remove(&1);
    rig.run_filling(30_000);
    assert_eq!(rig.replica_count(1), 0);
    assert!(rig.placement.shards.iter().all(|shard| shard.replicas.len() == 3));
}

#[test]
fn the_substitute_of_a_lost_primary_is_of_its_region() {
    let mut rig = rig_in_zones(FailureDomain::Machine, 2, &two_in_each_zone());
    let primaries_before: Vec<StoreId> = rig.placement.shards.iter().map(|shard| shard.primary).collect();
    rig.heartbeats.remove(&1);
    rig.run(700);
    for (shard, primary_before) in rig.placement.shards.iter().zip(primaries_before) {
        let zone = |id: StoreId| rig.placement.store(id).unwrap().zone.clone();
        assert_ne!(shard.primary, StoreId(1));
        assert_eq!(region(&zone(shard.primary)), region(&zone(primary_before)));
    }
}

#[test]
fn balance_moves_no_replica_out_of_its_region() {
    let mut rig = rig_in_zones(FailureDomain::Machine, 1, &["n-1", "n-2", "n-1", "s-1", "s-2", "s-1"]);
    rig.register_in(7, "s-2");
    rig.run_filling(30_000);
    assert!(rig.replica_count(7) > 0);
    for shard in &rig.placement.shards {
        assert_eq!(replicas_in_first_region(&rig.placement, shard), 3);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// For any set of stores, every shard has the required number of replicas, each on a different store.
    #[test]
    fn every_initial_placement_is_complete(
        zone_indices in prop::collection::vec(0..ZONES.len(), 5..30),
        failure_domain in prop_oneof![
            Just(FailureDomain::Machine),
            Just(FailureDomain::Zone),
            Just(FailureDomain::Region),
        ],
    ) {
        let zones: Vec<&'static str> = zone_indices.iter().map(|index| ZONES[*index]).collect();
        let rig = rig_in_zones(failure_domain, 2, &zones);
        prop_assert!(!rig.placement.shards.is_empty());
        for shard in &rig.placement.shards {
            let distinct: BTreeSet<_> = shard.replicas.iter().collect();
            prop_assert_eq!(distinct.len(), 5);
            prop_assert_eq!(shard.primary, shard.replicas[0]);
        }
    }
}

#[test]
fn balance_converges_after_stores_are_added() {
    let zones = ["n-1", "n-2", "n-1", "n-1", "n-2", "s-1", "s-2", "s-1", "s-2", "w-1", "w-2", "w-1", "w-2"];
    let mut rig = rig_in_zones(FailureDomain::Machine, 2, &zones);
    rig.register_in(14, "n-1");
    rig.register_in(15, "s-2");
    rig.run_filling(40_000);
    let begun = rig.changes_begun;
    assert!(begun < rig.placement.shards.len(), "{begun}");
    rig.run_filling(40_000);
    assert_eq!(rig.changes_begun, begun, "no replica moves once the stores are balanced");
    assert!(
        rig.replica_count(14) > 10 && rig.replica_count(15) > 10,
        "{} {}",
        rig.replica_count(14),
        rig.replica_count(15)
    );
}
