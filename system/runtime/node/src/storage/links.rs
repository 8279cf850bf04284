//! Connections among stores: one for each pair, opened by the store with the lower identity.

use crate::storage::host::Event;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, ToStore};
use millrudder_protocol::{Epoch, StoreId};
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{LinkEvent, Outbox};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

struct Dialed {
    address: SocketAddr,
    dialer: Dialer,
}

/// Connections to the other stores of the placement.
pub struct StoreLinks {
    me: StoreId,
    events: UnboundedSender<Event>,
    dialed: BTreeMap<StoreId, Dialed>,
    /// Opened by the other store.
    inbound: BTreeMap<StoreId, Outbox>,
}

impl StoreLinks {
    pub fn new(me: StoreId, events: UnboundedSender<Event>) -> Self {
        StoreLinks { me, events, dialed: BTreeMap::new(), inbound: BTreeMap::new() }
    }

    /// Connects to the stores of a placement, and to no others.
    pub fn follow(&mut self, placement: &Placement) {
        self.dialed
            .retain(|id, dialed| placement.store(*id).is_some_and(|store| store.address.0 == dialed.address));
        for store in &placement.stores {
            if self.me < store.id && !self.dialed.contains_key(&store.id) {
                self.dial(store.id, store.address.0);
            }
        }
    }

    fn dial(&mut self, store: StoreId, address: SocketAddr) {
        let events = self.events.clone();
        let hello =
            ToStore::Store { message: BetweenStores::Hello { store: self.me, epoch: Epoch::default() } };
        let dialer = Dialer::start(address, move |outbox: &Outbox, event: LinkEvent<BetweenStores>| {
            if matches!(event, LinkEvent::Opened) {
                // Closed at once, it is opened anew.
                let _ = outbox.send(&ToStore::Addressed { store });
                let _ = outbox.send(&hello);
            }
            drop(events.send(Event::StoreLink { store, event }));
        });
        self.dialed.insert(store, Dialed { address, dialer });
    }

    /// A store that opened a connection has said who it is.
    pub fn accepted(&mut self, store: StoreId, outbox: Outbox) {
        if let Some(before) = self.inbound.insert(store, outbox) {
            before.close();
        }
    }

    /// A connection that a store opened has ended; false if it has opened another since.
    pub fn ended(&mut self, store: StoreId, outbox: &Outbox) -> bool {
        let current = self.inbound.get(&store).is_some_and(|current| current.is_same(outbox));
        if current {
            self.inbound.remove(&store);
        }
        current
    }

    pub fn send(&self, store: StoreId, message: BetweenStores) {
        // Messages to a store that is away are lost; the state machine repeats what matters.
        if let Some(dialed) = self.dialed.get(&store) {
            let _ = dialed.dialer.outbox().send(&ToStore::Store { message });
        } else if let Some(outbox) = self.inbound.get(&store) {
            let _ = outbox.send(&message);
        }
    }
}
