//! Distances between zones.

use millrudder_topology::{Distance, Location, Topology};

fn topology() -> Topology {
    Topology::new([("north-1", "north"), ("north-2", "north"), ("south-1", "south")])
}

#[test]
fn a_zone_is_nearer_than_its_region_and_that_nearer_than_another() {
    let topology = topology();
    assert_eq!(topology.distance("north-1", "north-1"), Distance::SameZone);
    assert_eq!(topology.distance("north-1", "north-2"), Distance::SameRegion);
    assert_eq!(topology.distance("north-1", "south-1"), Distance::OtherRegion);
    assert!(Distance::SameZone < Distance::SameRegion && Distance::SameRegion < Distance::OtherRegion);
}

#[test]
fn zones_without_a_region_are_one_region_apart_from_the_named_ones() {
    let topology = topology();
    assert_eq!(topology.distance("new-1", "new-2"), Distance::SameRegion);
    assert_eq!(topology.distance("new-1", "north-1"), Distance::OtherRegion);
    assert_eq!(Topology::default().distance("north-1", "south-1"), Distance::SameRegion);
}

#[test]
fn a_location_tells_how_far_a_zone_is_from_it() {
    let here = Location::new("south-1", topology());
    assert_eq!(here.distance_to("south-1"), Distance::SameZone);
    assert_eq!(here.distance_to("north-2"), Distance::OtherRegion);
    assert_eq!(Location::from("a").distance_to("b"), Distance::SameRegion);
}
