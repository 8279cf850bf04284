//! Location of this process in the deployment, and the layout of replicas that follows, from its settings.

use millrudder_placement::{FailureDomain, Layout};
use millrudder_settings::Settings;
use millrudder_topology::{Location, Topology};

fn topology(settings: &Settings) -> Topology {
    Topology::new(settings.zones.iter().map(|(zone, region)| (&**zone, &**region)))
}

/// The zone and region of this process.
pub fn location(settings: &Settings) -> Location {
    Location::new(&settings.zone, topology(settings))
}

/// How replicas are spread over zones and regions, by the losses that the deployment is to tolerate.
pub fn layout(settings: &Settings) -> Layout {
    let tolerance = settings.fault_tolerance;
    Layout::new(topology(settings), FailureDomain::for_losses(tolerance.zones, tolerance.regions))
}
