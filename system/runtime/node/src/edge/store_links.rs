//! Connections of a dispatcher to all stores of the placement.

use crate::edge::event::Event;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher, ToStore};
use millrudder_protocol::StoreId;
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{LinkEvent, Outbox};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

struct Link {
    address: SocketAddr,
    dialer: Dialer,
    is_open: bool,
}

/// The connections, by store.
pub struct StoreLinks {
    events: UnboundedSender<Event>,
    links: BTreeMap<StoreId, Link>,
}

impl StoreLinks {
    /// No connections yet; what happens on them is reported to `events`.
    pub fn new(events: UnboundedSender<Event>) -> Self {
        StoreLinks { events, links: BTreeMap::new() }
    }

    /// Keeps connections to the stores of a placement, and to no others.
    pub fn follow(&mut self, placement: &Placement) {
        self.links
            .retain(|id, link| placement.store(*id).is_some_and(|store| store.address.0 == link.address));
        for store in &placement.stores {
            if !self.links.contains_key(&store.id) {
                self.dial(store.id, store.address.0);
            }
        }
    }

    fn dial(&mut self, store: StoreId, address: SocketAddr) {
        let events = self.events.clone();
        let dialer = Dialer::start(address, move |outbox: &Outbox, event: LinkEvent<ToDispatcher>| {
            if matches!(event, LinkEvent::Opened) {
                // A connection that has closed already is opened anew.
                let _ = outbox.send(&ToStore::Addressed { store });
            }
            drop(events.send(Event::Store { store, event }));
        });
        self.links.insert(store, Link { address, dialer, is_open: false });
    }

    /// Marks the connection to a store as open or closed.
    pub fn set_open(&mut self, store: StoreId, is_open: bool) {
        if let Some(link) = self.links.get_mut(&store) {
            link.is_open = is_open;
        }
    }

    /// Whether the connection to any store is open.
    pub fn any_open(&self) -> bool {
        self.links.values().any(|link| link.is_open)
    }

    /// The stores to which the connection is open.
    pub fn open_stores(&self) -> Vec<StoreId> {
        self.links.iter().filter(|(_, link)| link.is_open).map(|(store, _)| *store).collect()
    }

    /// Sends to a store. Messages to one that is not connected are lost; those that matter are sent again when it is.
    pub fn send(&self, store: StoreId, message: FromDispatcher) {
        if let Some(link) = self.links.get(&store) {
            let _ = link.dialer.outbox().send(&ToStore::Dispatcher { message });
        }
    }

    /// Sends to all stores.
    pub fn send_all(&self, message: &FromDispatcher) {
        for store in self.links.keys() {
            self.send(*store, message.clone());
        }
    }
}
