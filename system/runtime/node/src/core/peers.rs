//! Connections to the other core machines.

use crate::core::host::Event;
use crate::core::messages::{FromCorePeer, ToCorePort};
use millrudder_chain::NodeId;
use millrudder_transport::dialer::Dialer;
use millrudder_transport::LinkEvent;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// One connection to each known address of a core machine, opened by this one.
pub struct Peers {
    me: NodeId,
    address: SocketAddr,
    events: UnboundedSender<Event>,
    dialers: BTreeMap<SocketAddr, Dialer>,
}

impl Peers {
    pub fn new(me: NodeId, address: SocketAddr, events: UnboundedSender<Event>) -> Self {
        Peers { me, address, events, dialers: BTreeMap::new() }
    }

    /// Connects to an address from now on.
    pub fn know(&mut self, address: SocketAddr) {
        if address == self.address || self.dialers.contains_key(&address) {
            return;
        }
        let hello = ToCorePort::Peer { id: self.me, address: self.address.to_string() };
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

    /// Sends to an address, if there is a connection; messages may be lost.
    pub fn send(&self, address: SocketAddr, message: &ToCorePort) {
        if let Some(dialer) = self.dialers.get(&address) {
            let _ = dialer.outbox().send(message);
        }
    }

    pub fn send_all(&self, message: &ToCorePort) {
        for address in self.dialers.keys() {
            self.send(*address, message);
        }
    }

    /// All addresses of core machines, this one's included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.dialers.keys().copied().chain([self.address]).collect()
    }
}
