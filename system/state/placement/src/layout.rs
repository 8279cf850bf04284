//! How the replicas of a shard are spread over zones and regions.

use millrudder_topology::{Distance, Topology};
use std::collections::BTreeSet;

/// The largest kind of failure domain whose loss must be tolerated. Replicas are placed in different domains of this
/// kind as far as there are enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailureDomain {
    /// Machines. Replicas stay in one region, spread over its zones, because each write to another region takes longer
    /// and costs more.
    #[default]
    Machine,
    /// Zones. Replicas are in different zones, all in one region if it has enough zones.
    Zone,
    /// Regions. Replicas are in different regions.
    Region,
}

impl FailureDomain {
    /// The failure domain for a system that must tolerate the simultaneous loss of this many zones and regions.
    pub fn for_losses(zones: u32, regions: u32) -> Self {
        match (zones, regions) {
            (_, 1..) => FailureDomain::Region,
            (1.., 0) => FailureDomain::Zone,
            (0, 0) => FailureDomain::Machine,
        }
    }
}

/// Rule for spreading the replicas of a shard over zones and regions.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    topology: Topology,
    failure_domain: FailureDomain,
}

/// Cost of the zones of a shard's replicas; lower is better. Costs are comparable only for the same number of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LayoutCost {
    primary: usize,
    secondary: usize,
}

impl Layout {
    /// Creates a layout over the zones and regions of `topology`.
    pub fn new(topology: Topology, failure_domain: FailureDomain) -> Self {
        Layout { topology, failure_domain }
    }

    /// Cost of a set of replicas, given the zone of each replica.
    pub(crate) fn cost(&self, zones: &[&str]) -> LayoutCost {
        let (primary, secondary) = match self.failure_domain {
            FailureDomain::Machine => (self.cross_region_pairs(zones), shared_zones(zones)),
            FailureDomain::Zone => (shared_zones(zones), self.cross_region_pairs(zones)),
            FailureDomain::Region => (self.shared_regions(zones), shared_zones(zones)),
        };
        LayoutCost { primary, secondary }
    }

    /// Cost of replicas in the zones `others` plus one in `zone`.
    pub(crate) fn cost_with(&self, others: &[&str], zone: &str) -> LayoutCost {
        let zones: Vec<&str> = others.iter().copied().chain([zone]).collect();
        self.cost(&zones)
    }

    /// Whether two zones are in different regions.
    pub(crate) fn is_other_region(&self, one: &str, other: &str) -> bool {
        self.topology.distance(one, other) == Distance::OtherRegion
    }

    /// Number of pairs of replicas that are in different regions.
    fn cross_region_pairs(&self, zones: &[&str]) -> usize {
        let later = |index: usize| zones.get(index + 1..).unwrap_or_default();
        let crossings = |(index, zone): (usize, &&str)| {
            later(index).iter().filter(|other| self.is_other_region(zone, other)).count()
        };
        zones.iter().enumerate().map(crossings).sum()
    }

    /// Number of replicas beyond the first in each region.
    fn shared_regions(&self, zones: &[&str]) -> usize {
        let regions: BTreeSet<&str> = zones.iter().map(|zone| self.topology.region(zone)).collect();
        zones.len() - regions.len()
    }
}

/// Number of replicas beyond the first in each zone.
fn shared_zones(zones: &[&str]) -> usize {
    let distinct: BTreeSet<&&str> = zones.iter().collect();
    zones.len() - distinct.len()
}
