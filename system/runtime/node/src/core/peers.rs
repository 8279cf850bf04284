//! Connections that this core machine opens to the other ones.

use crate::core::event::Event;
use crate::core::messages::{FromCorePeer, ToCorePort};
use millrudder_chain::NodeId;
use millrudder_transport::dialer::Dialer;
use millrudder_transport::LinkEvent;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// One connection to each known address of a core machine, opened by this one.
pub struct Peers {
    local_id: NodeId,
    local_address: SocketAddr,
    events: UnboundedSender<Event>,
    dialers: BTreeMap<SocketAddr, Dialer>,
}

impl Peers {
    /// No connections yet; others reach this machine at `local_address`.
    pub fn new(local_id: NodeId, local_address: SocketAddr, events: UnboundedSender<Event>) -> Self {
        Peers { local_id, local_address, events, dialers: BTreeMap::new() }
    }

    /// Keeps a connection to an address from now on, unless it is this machine's.
    pub fn connect(&mut self, address: SocketAddr) {
        if address == self.local_address || self.dialers.contains_key(&address) {
            return;
        }
        let hello = ToCorePort::Peer { id: self.local_id, address: self.local_address.to_string() };
        let events = self.events.clone();
        let dialer = Dialer::start::<FromCorePeer, _>(address, move |outbox, event| {
            if matches!(event, LinkEvent::Opened) {
                // A connection that is closed again already is opened anew.
                let _ = outbox.send(&hello);
                let _ = events.send(Event::PeerOpened { address });
            }
        });
        self.dialers.insert(address, dialer);
    }

    /// Sends to an address, if there is a connection; messages may be lost, which the replication protocol allows for.
    pub fn send(&self, address: SocketAddr, message: &ToCorePort) {
        if let Some(dialer) = self.dialers.get(&address) {
            let _ = dialer.outbox().send(message);
        }
    }

    /// Sends to all addresses.
    pub fn send_all(&self, message: &ToCorePort) {
        for address in self.dialers.keys() {
            self.send(*address, message);
        }
    }

    /// All addresses of core machines, this one's included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.dialers.keys().copied().chain([self.local_address]).collect()
    }
}
