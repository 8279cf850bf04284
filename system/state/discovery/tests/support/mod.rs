//! Workers for lists.

use millrudder_configuration::ServiceName;
use millrudder_discovery::{Instance, InstanceId, InstanceState, SoftwareVersion, WorkerAddress};
use millrudder_settings::Zone;
use std::time::Duration;

/// A ready worker with an address of its own.
pub fn worker(number: u16) -> Instance {
    Instance {
        id: InstanceId::from(format!("i-{number}")),
        service: ServiceName::from("hives"),
        address: WorkerAddress(([10, 0, 0, 1], 8_000 + number).into()),
        zone: Zone::from("north"),
        version: SoftwareVersion::from("v1"),
        capacity: 6,
        state: InstanceState::Ready,
        warm_up_left: Duration::ZERO,
    }
}
