//! Several regions: which replicas are written to, and which dispatchers are granted messages.

use std::collections::BTreeSet;

use crate::harness::{message, with_key, StoreHarness};

/// The primary and two more replicas in one region, two replicas in another; two may be lost.
fn two_regions() -> StoreHarness {
    StoreHarness::in_regions(2, &["north", "south", "north", "south", "north"])
}

/// Accepts a message and returns the stores that have it.
fn holders(harness: &mut StoreHarness) -> BTreeSet<usize> {
    let id = harness.accept(0, 1, message(), true);
    (0..5).filter(|store| harness.state(*store, id).is_some()).collect()
}

#[test]
fn the_nearest_replicas_are_written_to() {
    let mut harness = two_regions();
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    assert_eq!(holders(&mut harness), [0, 2, 4].into());
}

#[test]
fn a_far_replica_is_written_to_while_a_near_one_is_disconnected() {
    let mut harness = two_regions();
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness.set_link(0, 2, false);
    let during = holders(&mut harness);
    assert!(during.is_superset(&[0, 4].into()) && during.len() == 3, "{during:?}");
    assert_eq!(harness.acceptances(), 1);
    harness.set_link(0, 2, true);
    assert_eq!(holders(&mut harness), [0, 2, 4].into());
}

#[test]
fn a_slow_near_replica_is_hedged() {
    let mut harness = two_regions();
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness.processes[2].is_inbound_paused = true;
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 0);
    harness.advance(60);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn ordered_messages_are_granted_in_the_primarys_region() {
    let mut harness = two_regions();
    for (dispatcher, zone) in (1..).zip(["zone-1", "zone-3", "zone-2", "zone-4", "zone-1", "zone-2"]) {
        harness.hello(0, dispatcher, dispatcher, zone, Vec::new());
    }
    let mut granted = BTreeSet::new();
    for number in 0..20 {
        harness.accept(0, 1, with_key(&format!("key-{number}")), true);
        granted.extend(harness.take_grants().into_iter().map(|grant| grant.connection.0));
    }
    assert_eq!(granted, [3, 4, 6].into());
}

#[test]
fn without_a_dispatcher_in_the_region_others_get_grants() {
    let mut harness = two_regions();
    harness.hello(0, 1, 1, "zone-1", Vec::new());
    harness.accept(0, 1, with_key("key"), true);
    assert!(harness.last_accepted().flatten().is_some());
}
