//! Dispatchers and stores that are connected to this core machine, and what each has been told.

use millrudder_protocol::control::{FromCore, Registrant};
use millrudder_protocol::StoreId;
use millrudder_staleness::ConnectionId;
use millrudder_transport::Outbox;
use std::collections::BTreeMap;

struct Connected {
    outbox: Outbox,
    registrant: Registrant,
    /// How many dispatchers there are, as it was told last.
    told_count: Option<u32>,
}

/// All connections that have registered.
#[derive(Default)]
pub struct Registrants {
    connected: BTreeMap<ConnectionId, Connected>,
}

impl Registrants {
    pub fn add(&mut self, connection: ConnectionId, outbox: Outbox, registrant: Registrant) {
        self.connected.insert(connection, Connected { outbox, registrant, told_count: None });
    }

    pub fn remove(&mut self, connection: ConnectionId) {
        self.connected.remove(&connection);
    }

    pub fn tell(&self, connection: ConnectionId, message: &FromCore) {
        if let Some(connected) = self.connected.get(&connection) {
            // One that is closed registers again and is told all.
            let _ = connected.outbox.send(message);
        }
    }

    pub fn tell_all(&self, message: &FromCore) {
        for connection in self.connected.keys() {
            self.tell(*connection, message);
        }
    }

    /// Tells a dispatcher how many dispatchers there are, where that is news.
    pub fn tell_count(&mut self, connection: ConnectionId, count: u32) {
        let Some(connected) = self.connected.get_mut(&connection) else { return };
        let is_news = connected.told_count != Some(count);
        if is_news && matches!(connected.registrant, Registrant::Dispatcher { .. }) {
            connected.told_count = Some(count);
            let _ = connected.outbox.send(&FromCore::DispatcherCount { count });
        }
    }

    pub fn store(&self, connection: ConnectionId) -> Option<StoreId> {
        match self.connected.get(&connection)?.registrant {
            Registrant::Store { id, .. } => Some(id),
            Registrant::Dispatcher { .. } => None,
        }
    }

    pub fn dispatchers(&self) -> u32 {
        let dispatchers = self.connected.values();
        dispatchers.filter(|one| matches!(one.registrant, Registrant::Dispatcher { .. })).count() as u32
    }
}
