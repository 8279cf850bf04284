//! Owner of the connections to core machines and of the tasks that maintain them.

use super::connections::{ControlLinkConfig, CoreConnections};
use super::discovery;
use super::versions::AdoptedVersions;
use crate::task::TaskGuard;
use millrudder_protocol::control::{FromCore, ToCore};
use std::net::SocketAddr;
use std::time::Duration;

/// The planner is polled this often, and at once when a core machine sends this process away.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// The connections of a process to core machines; dropped, they end.
pub struct ControlLink {
    connections: CoreConnections,
    _maintenance: TaskGuard,
}

impl ControlLink {
    /// Starts to connect to core machines; `deliver` gets what they send.
    pub fn start<F>(config: ControlLinkConfig, deliver: F) -> Self
    where
        F: Fn(FromCore) + Clone + 'static,
    {
        let connections = CoreConnections::new(config);
        let maintenance = TaskGuard::spawn_local(maintain(connections.clone(), deliver));
        ControlLink { connections, _maintenance: maintenance }
    }

    /// The versions that are sent with the next registrations.
    pub fn set_adopted(&self, adopted: AdoptedVersions) {
        self.connections.set_adopted(adopted);
    }

    /// Other seeds, from settings that were read again.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.connections.set_seeds(seeds);
    }

    /// Adds addresses of core machines that a core machine has sent.
    pub fn add_core_machines(&self, addresses: impl Iterator<Item = SocketAddr>) {
        for address in addresses {
            self.connections.add_core_machine(address);
        }
    }

    /// Sends a message to every core machine that is connected.
    pub fn send_all(&self, message: &ToCore) {
        self.connections.send_all(message);
    }
}

impl Drop for ControlLink {
    fn drop(&mut self) {
        self.connections.close_all();
    }
}

/// Follows the planner and asks for confirmations until it is aborted.
async fn maintain<F: Fn(FromCore) + Clone + 'static>(connections: CoreConnections, deliver: F) {
    let _discovery = TaskGuard::spawn_local(discovery::run(connections.clone()));
    loop {
        connections.follow_plan(&deliver);
        connections.request_confirmations();
        connections.wait_to_replan(PLAN_INTERVAL).await;
    }
}
