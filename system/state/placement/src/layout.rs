//! How the replicas of a shard are laid out over zones and regions.

use millrudder_topology::{Distance, Topology};
use std::collections::BTreeSet;

/// What the replicas of a shard are spread over, as much as there are; it follows from what must be borne.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spread {
    /// Zones of one region: only machines may be lost, and each write that leaves the region takes longer and costs more.
    #[default]
    ZonesOfRegion,
    /// Zones, in one region where it has enough of them: zones may be lost.
    Zones,
    /// Regions may be lost.
    Regions,
}

impl Spread {
    /// For a system that must bear the loss of so many zones and regions at one time.
    pub fn for_losses(zones: u32, regions: u32) -> Self {
        match (zones, regions) {
            (_, 1..) => Spread::Regions,
            (1.., 0) => Spread::Zones,
            (0, 0) => Spread::ZonesOfRegion,
        }
    }
}

/// The rule by which replicas are laid out.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    pub topology: Topology,
    pub spread: Spread,
}

/// How badly a set of replicas is laid out; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Misfit {
    primary: usize,
    secondary: usize,
}

impl Layout {
    /// Of replicas in these zones, one for each replica.
    pub fn misfit(&self, zones: &[&str]) -> Misfit {
        let (primary, secondary) = match self.spread {
            Spread::ZonesOfRegion => (self.region_crossings(zones), shared_zones(zones)),
            Spread::Zones => (shared_zones(zones), self.region_crossings(zones)),
            Spread::Regions => (self.shared_regions(zones), shared_zones(zones)),
        };
        Misfit { primary, secondary }
    }

    /// Of these with one more.
    pub fn misfit_with(&self, others: &[&str], zone: &str) -> Misfit {
        let zones: Vec<&str> = others.iter().copied().chain([zone]).collect();
        self.misfit(&zones)
    }

    pub fn is_other_region(&self, one: &str, other: &str) -> bool {
        self.topology.distance(one, other) == Distance::OtherRegion
    }

    /// Pairs of replicas in different regions.
    fn region_crossings(&self, zones: &[&str]) -> usize {
        let later = |at: usize| zones.get(at + 1..).unwrap_or_default();
        let crossings = |(at, zone): (usize, &&str)| {
            later(at).iter().filter(|other| self.is_other_region(zone, other)).count()
        };
        zones.iter().enumerate().map(crossings).sum()
    }

    /// Replicas beyond the first of each region.
    fn shared_regions(&self, zones: &[&str]) -> usize {
        let regions: BTreeSet<&str> = zones.iter().map(|zone| self.topology.region(zone)).collect();
        zones.len() - regions.len()
    }
}

/// Replicas beyond the first of each zone.
fn shared_zones(zones: &[&str]) -> usize {
    let distinct: BTreeSet<&&str> = zones.iter().collect();
    zones.len() - distinct.len()
}
