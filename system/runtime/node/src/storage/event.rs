//! Events of a store, in the queue of the [`StoreHost`](super::host::StoreHost).

use crate::listen::InboundEvent;
use crate::reopening::UnhostedEvent;
use millrudder_protocol::control::FromCore;
use millrudder_protocol::store::{BetweenStores, ToStore};
use millrudder_protocol::StoreId;
use millrudder_transport::LinkEvent;
use std::path::PathBuf;

/// An event that the owner of a store's state handles.
pub enum Event {
    /// Something happened on a connection that another process opened to this store.
    Inbound(InboundEvent<ToStore>),
    /// Something happened on a connection that this store opened to another store.
    StoreLink {
        /// The other store.
        store: StoreId,
        /// What happened.
        event: LinkEvent<BetweenStores>,
    },
    /// A message of a core machine.
    Core(FromCore),
    /// The settings are to be read again.
    Reload {
        /// The settings file.
        file: PathBuf,
    },
    /// The process is asked to stop: shards are to go to other stores.
    ShutdownRequested,
}

impl UnhostedEvent for Event {
    fn dismiss(self) -> Option<Event> {
        match self {
            Event::Inbound(inbound) => {
                inbound.outbox.close();
                None
            }
            // Of the host that is gone: connections that it opened.
            Event::StoreLink { .. } | Event::Core(_) => None,
            // One for each signal.
            Event::Reload { .. } | Event::ShutdownRequested => Some(self),
        }
    }
}
