//! Connections to other stores: one for each pair, opened by the store with the lower identity.

use crate::logging::LoggedStoreId;
use crate::storage::event::Event;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, ToStore};
use millrudder_protocol::{Epoch, StoreId};
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{LinkEvent, Outbox, SendError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

struct Dialed {
    address: SocketAddr,
    dialer: Dialer,
}

/// Connections to the other stores of the placement.
pub struct StoreLinks {
    local_id: StoreId,
    events: UnboundedSender<Event>,
    dialed: BTreeMap<StoreId, Dialed>,
    /// Connections that other stores opened.
    inbound: BTreeMap<StoreId, Outbox>,
}

impl StoreLinks {
    /// No connections yet.
    pub fn new(local_id: StoreId, events: UnboundedSender<Event>) -> Self {
        StoreLinks { local_id, events, dialed: BTreeMap::new(), inbound: BTreeMap::new() }
    }

    /// Keeps connections to the stores of a placement, and to no others.
    pub fn follow(&mut self, placement: &Placement) {
        self.dialed
            .retain(|id, dialed| placement.store(*id).is_some_and(|store| store.address.0 == dialed.address));
        for store in &placement.stores {
            if self.local_id < store.id && !self.dialed.contains_key(&store.id) {
                self.dial(store.id, store.address.0);
            }
        }
    }

    fn dial(&mut self, store: StoreId, address: SocketAddr) {
        let events = self.events.clone();
        let hello = BetweenStores::Hello { store: self.local_id, epoch: Epoch::default() };
        let hello = ToStore::Store { message: hello };
        let dialer = Dialer::start(address, move |outbox: &Outbox, event: LinkEvent<BetweenStores>| {
            if matches!(event, LinkEvent::Opened) {
                // A connection that has closed already is opened anew.
                let _ = outbox.send(&ToStore::Addressed { store });
                let _ = outbox.send(&hello);
            }
            drop(events.send(Event::StoreLink { store, event }));
        });
        self.dialed.insert(store, Dialed { address, dialer });
    }

    /// Another store has said on a connection that it opened who it is; its earlier connection is closed.
    pub fn register(&mut self, store: StoreId, outbox: Outbox) {
        if let Some(before) = self.inbound.insert(store, outbox) {
            before.close();
        }
    }

    /// A connection that another store opened has ended; false if that store has opened another since.
    pub fn unregister(&mut self, store: StoreId, outbox: &Outbox) -> bool {
        let is_current = self.inbound.get(&store).is_some_and(|current| current.is_same(outbox));
        if is_current {
            self.inbound.remove(&store);
        }
        is_current
    }

    /// Sends to a store. Messages to one that is not connected are lost; the state machine repeats those that matter.
    ///
    /// A message that cannot be framed closes the connection: an acknowledgement of a later one would stand for it as well.
    pub fn send(&self, store: StoreId, message: BetweenStores) {
        let (outbox, sent) = if let Some(dialed) = self.dialed.get(&store) {
            let outbox = dialed.dialer.outbox();
            let sent = outbox.send(&ToStore::Store { message });
            (outbox, sent)
        } else if let Some(outbox) = self.inbound.get(&store) {
            (outbox.clone(), outbox.send(&message))
        } else {
            return;
        };
        if let Err(SendError::Frame(error)) = sent {
            log::error!(store_id:% = LoggedStoreId(store), error:%; "message to a store not sent, connection closed");
            outbox.close();
        }
    }
}
