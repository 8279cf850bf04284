//! Which followers are written to, and which dispatchers are granted to, where there are regions.

use std::collections::BTreeSet;

use crate::wired::{message, with_key, Wired};

/// The primary and two more in one region, two in another; two may be lost.
fn two_regions() -> Wired {
    Wired::in_regions(2, &["north", "south", "north", "south", "north"])
}

/// Stores that know of a message accepted now.
fn holders(wired: &mut Wired) -> BTreeSet<usize> {
    let id = wired.accept(0, 1, message(), true);
    (0..5).filter(|store| wired.state(*store, id).is_some()).collect()
}

#[test]
fn the_nearest_followers_are_written_to() {
    let mut wired = two_regions();
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    assert_eq!(holders(&mut wired), [0, 2, 4].into());
}

#[test]
fn a_far_follower_helps_while_a_near_one_is_away() {
    let mut wired = two_regions();
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired.set_link(0, 2, false);
    let during = holders(&mut wired);
    assert!(during.is_superset(&[0, 4].into()) && during.len() == 3, "{during:?}");
    assert_eq!(wired.acceptances(), 1);
    wired.set_link(0, 2, true);
    assert_eq!(holders(&mut wired), [0, 2, 4].into());
}

#[test]
fn a_near_follower_that_is_late_is_not_waited_for() {
    let mut wired = two_regions();
    wired.hello(0, 1, 1, "zone-0", Vec::new());
    wired.places[2].held = true;
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 0);
    wired.advance(60);
    assert_eq!(wired.acceptances(), 1);
}

#[test]
fn ordered_messages_are_granted_in_the_region_of_their_home() {
    let mut wired = two_regions();
    for (dispatcher, zone) in (1..).zip(["zone-1", "zone-3", "zone-2", "zone-4", "zone-1", "zone-2"]) {
        wired.hello(0, dispatcher, dispatcher, zone, Vec::new());
    }
    let mut granted = BTreeSet::new();
    for number in 0..20 {
        wired.accept(0, 1, with_key(&format!("key-{number}")), true);
        granted.extend(wired.take_grants().into_iter().map(|grant| grant.connection.0));
    }
    assert_eq!(granted, [3, 4, 6].into());
}

#[test]
fn without_a_dispatcher_in_the_region_others_are_granted_to() {
    let mut wired = two_regions();
    wired.hello(0, 1, 1, "zone-1", Vec::new());
    wired.accept(0, 1, with_key("key"), true);
    assert!(wired.last_accepted().flatten().is_some());
}
