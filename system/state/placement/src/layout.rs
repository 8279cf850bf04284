//! How the replicas of a shard are laid out over zones and regions.

use millrudder_topology::{Distance, Topology};
use std::collections::BTreeSet;

/// The largest failure domain whose loss must be tolerated; replicas are spread over it as far as there are enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailureDomain {
    /// Machines. Replicas stay in one region, over its zones: each write that leaves the region takes longer and costs
    /// more.
    #[default]
    Machine,
    /// Zones. Replicas lie in different zones, of one region where that has enough of them.
    Zone,
    /// Regions. Replicas lie in different regions.
    Region,
}

impl FailureDomain {
    /// For a system that must tolerate the loss of so many zones and regions at one time.
    pub fn for_losses(zones: u32, regions: u32) -> Self {
        match (zones, regions) {
            (_, 1..) => FailureDomain::Region,
            (1.., 0) => FailureDomain::Zone,
            (0, 0) => FailureDomain::Machine,
        }
    }
}

/// The rule by which replicas are laid out.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    topology: Topology,
    failure_domain: FailureDomain,
}

/// Cost of a set of replicas' zones; the lowest is the best. Only costs of sets of the same size are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LayoutCost {
    primary: usize,
    secondary: usize,
}

impl Layout {
    /// A layout over the zones and regions of `topology`.
    pub fn new(topology: Topology, failure_domain: FailureDomain) -> Self {
        Layout { topology, failure_domain }
    }

    /// Cost of replicas in these zones, one for each replica.
    pub(crate) fn cost(&self, zones: &[&str]) -> LayoutCost {
        let (primary, secondary) = match self.failure_domain {
            FailureDomain::Machine => (self.cross_region_pairs(zones), shared_zones(zones)),
            FailureDomain::Zone => (shared_zones(zones), self.cross_region_pairs(zones)),
            FailureDomain::Region => (self.shared_regions(zones), shared_zones(zones)),
        };
        LayoutCost { primary, secondary }
    }

    /// Cost of replicas in these zones and one more.
    pub(crate) fn cost_with(&self, others: &[&str], zone: &str) -> LayoutCost {
        let zones: Vec<&str> = others.iter().copied().chain([zone]).collect();
        self.cost(&zones)
    }

    /// Whether two zones are of different regions.
    pub(crate) fn is_other_region(&self, one: &str, other: &str) -> bool {
        self.topology.distance(one, other) == Distance::OtherRegion
    }

    /// Pairs of replicas in different regions.
    fn cross_region_pairs(&self, zones: &[&str]) -> usize {
        let later = |index: usize| zones.get(index + 1..).unwrap_or_default();
        let crossings = |(index, zone): (usize, &&str)| {
            later(index).iter().filter(|other| self.is_other_region(zone, other)).count()
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
