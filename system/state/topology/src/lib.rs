//! Zones and regions of a deployment, and the distance between two zones.
//!
//! A zone is a group of machines close to each other that may fail together; a region is a group of zones. Traffic
//! between regions takes longer and costs more than between the zones of one region. Whatever chooses among
//! stores, dispatchers or receivers compares [`Distance`]s, so that "near" means the same everywhere.

use std::collections::BTreeMap;

/// Distance between two zones; the nearer, the less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Different zones of one region.
    SameRegion,
    /// Different regions; also where nothing is known of one of the zones.
    #[default]
    OtherRegion,
}

/// The deployment's zones with their regions.
///
/// Zones without a named region belong to one further region together, so that a topology without any is a deployment of
/// one region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl Topology {
    /// A topology from pairs of a zone and its region.
    pub fn new<'a>(zones: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let regions = zones.into_iter().map(|(zone, region)| (zone.into(), region.into())).collect();
        Topology { regions }
    }

    /// Region of a zone; empty for a zone without a named region.
    pub fn region(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", |region| region)
    }

    /// Distance between two zones.
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

/// The zone in which a process runs, with the topology around it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    zone: Box<str>,
    topology: Topology,
}

impl Location {
    /// The location of a process in `zone`.
    pub fn new(zone: &str, topology: Topology) -> Self {
        Location { zone: zone.into(), topology }
    }

    /// The zone of this location.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Distance of a zone from this location.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.topology.distance(&self.zone, zone)
    }
}

/// A zone in a deployment of one region.
impl From<String> for Location {
    fn from(zone: String) -> Self {
        Location::from(zone.as_str())
    }
}

/// A zone in a deployment of one region.
impl From<&str> for Location {
    fn from(zone: &str) -> Self {
        Location::new(zone, Topology::default())
    }
}
