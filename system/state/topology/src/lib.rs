//! Zones and regions of a deployment, and how far two places are from each other.
//!
//! A zone is a group of machines close to each other that may fail together; a region is a group of zones. Traffic
//! between regions takes longer and costs more than between the zones of one region. Whoever chooses among stores,
//! dispatchers or receivers compares [`Distance`]s, so that all of them mean the same by "near".

use std::collections::BTreeMap;

/// How far two places are from each other; the nearer, the less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    SameZone,
    SameRegion,
    /// Also where nothing is known of a place.
    #[default]
    OtherRegion,
}

/// The deployment's zones with their regions.
///
/// Zones that it does not name count as one region together: without any it is a deployment of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl Topology {
    /// From pairs of a zone and its region.
    pub fn new<'a>(zones: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let regions = zones.into_iter().map(|(zone, region)| (zone.into(), region.into())).collect();
        Topology { regions }
    }

    /// Region of a zone; empty for a zone that is not named.
    pub fn region(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", |region| region)
    }

    /// How far two zones are from each other.
    pub fn distance(&self, one: &str, other: &str) -> Distance {
        if one == other {
            Distance::SameZone
        } else if self.region(one) == self.region(other) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Where a process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    zone: Box<str>,
    topology: Topology,
}

impl Location {
    pub fn new(zone: &str, topology: Topology) -> Self {
        Location { zone: zone.into(), topology }
    }

    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// How far another zone is from here.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.topology.distance(&self.zone, zone)
    }
}

/// In a deployment of one region.
impl From<String> for Location {
    fn from(zone: String) -> Self {
        Location::from(zone.as_str())
    }
}

/// In a deployment of one region.
impl From<&str> for Location {
    fn from(zone: &str) -> Self {
        Location::new(zone, Topology::default())
    }
}
