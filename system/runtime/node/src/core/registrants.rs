//! Dispatchers and stores that are connected to this core machine.

use millrudder_protocol::control::{FromCore, Registrant};
use millrudder_protocol::StoreId;
use millrudder_staleness::ConnectionId;
use millrudder_transport::Outbox;
use std::collections::BTreeMap;

struct Connected {
    outbox: Outbox,
    registrant: Registrant,
    /// The number of dispatchers that was sent last.
    sent_dispatcher_count: Option<u32>,
}

/// All processes that have registered, by their connection.
#[derive(Default)]
pub struct Registrants {
    connected: BTreeMap<ConnectionId, Connected>,
}

impl Registrants {
    /// A process has registered.
    pub fn add(&mut self, connection: ConnectionId, outbox: Outbox, registrant: Registrant) {
        let connected = Connected { outbox, registrant, sent_dispatcher_count: None };
        self.connected.insert(connection, connected);
    }

    /// A connection has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.connected.remove(&connection);
    }

    /// Sends to a process, if it is connected.
    pub fn send(&self, connection: ConnectionId, message: &FromCore) {
        if let Some(connected) = self.connected.get(&connection) {
            // One whose connection is closed registers again, and is sent everything then.
            let _ = connected.outbox.send(message);
        }
    }

    /// Sends to every process that is connected.
    pub fn send_all(&self, message: &FromCore) {
        for connection in self.connected.keys() {
            self.send(*connection, message);
        }
    }

    /// Sends a dispatcher the number of dispatchers, unless it was sent the same before.
    pub fn send_dispatcher_count(&mut self, connection: ConnectionId, count: u32) {
        let Some(connected) = self.connected.get_mut(&connection) else { return };
        let is_new = connected.sent_dispatcher_count != Some(count);
        if is_new && matches!(connected.registrant, Registrant::Dispatcher { .. }) {
            connected.sent_dispatcher_count = Some(count);
            let _ = connected.outbox.send(&FromCore::DispatcherCount { count });
        }
    }

    /// The store that registered on a connection.
    pub fn store(&self, connection: ConnectionId) -> Option<StoreId> {
        match self.connected.get(&connection)?.registrant {
            Registrant::Store { id, .. } => Some(id),
            Registrant::Dispatcher { .. } => None,
        }
    }

    /// The number of dispatchers that are connected.
    pub fn dispatchers(&self) -> u32 {
        let dispatchers = self.connected.values();
        dispatchers.filter(|one| matches!(one.registrant, Registrant::Dispatcher { .. })).count() as u32
    }
}
