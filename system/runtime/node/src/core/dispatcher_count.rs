//! The number of dispatchers in the system.

use millrudder_staleness::ConnectionId;
use std::collections::BTreeMap;

/// The dispatchers that this core machine serves and those that the other ones say they serve.
#[derive(Default)]
pub struct DispatcherCount {
    /// By the connection that the other core machine has opened.
    of_peers: BTreeMap<ConnectionId, u32>,
    total: u32,
}

impl DispatcherCount {
    /// Another core machine says on its connection how many dispatchers it serves.
    pub fn set_of_peer(&mut self, connection: ConnectionId, count: u32) {
        self.of_peers.insert(connection, count);
    }

    /// A connection has ended: what was said on it is not known any more.
    pub fn forget_peer(&mut self, connection: ConnectionId) {
        self.of_peers.remove(&connection);
    }

    /// Counts anew, with `own` dispatchers at this machine; returns the total where it has changed.
    pub fn update(&mut self, own: u32) -> Option<u32> {
        let total = own + self.of_peers.values().sum::<u32>();
        let is_changed = total != self.total;
        self.total = total;
        is_changed.then_some(total)
    }

    /// The total as of the last update.
    pub fn total(&self) -> u32 {
        self.total
    }
}
