//! Where this process runs, and what that means for where replicas go, from its settings.

use millrudder_placement::{FailureDomain, Layout};
use millrudder_settings::Settings;
use millrudder_topology::{Location, Topology};

fn topology(settings: &Settings) -> Topology {
    Topology::new(settings.zones.iter().map(|(zone, region)| (&**zone, &**region)))
}

/// Where this process runs.
pub fn location(settings: &Settings) -> Location {
    Location::new(&settings.zone, topology(settings))
}

/// How replicas are laid out, by what may be lost at one time.
pub fn layout(settings: &Settings) -> Layout {
    let tolerance = settings.fault_tolerance;
    Layout::new(topology(settings), FailureDomain::for_losses(tolerance.zones, tolerance.regions))
}
