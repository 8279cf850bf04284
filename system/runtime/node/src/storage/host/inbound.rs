//! Connections that dispatchers and other stores have opened to this store.

use super::StoreHost;
use crate::listen::InboundEvent;
use crate::storage::caller::Caller;
use millrudder_protocol::store::{AcceptRejection, BetweenStores, FromDispatcher, ToDispatcher, ToStore};
use millrudder_protocol::{MessageId, RequestNumber};
use millrudder_queue::{ConnectionId, Input};
use millrudder_transport::{LinkEvent, Outbox};

impl StoreHost {
    /// Handles an event on a connection that another process opened.
    pub(super) fn handle_inbound(&mut self, inbound: InboundEvent<ToStore>) {
        let InboundEvent { connection, outbox, event } = inbound;
        let connection = ConnectionId(connection);
        match event {
            LinkEvent::Opened => {
                self.outboxes.insert(connection, outbox);
            }
            LinkEvent::Message(message) => self.handle_message(connection, outbox, message),
            LinkEvent::Closed(_) => self.handle_closed(connection, &outbox),
        }
    }

    fn handle_message(&mut self, connection: ConnectionId, outbox: Outbox, message: ToStore) {
        let caller = self.callers.get(&connection).copied();
        match (message, caller) {
            (ToStore::Addressed { store }, None) if store == self.local_id => {
                self.callers.insert(connection, Caller::Unidentified);
            }
            // Meant for a store whose disk this machine had before, or garbage.
            (_, None) | (ToStore::Addressed { .. }, _) => outbox.close(),
            (ToStore::Dispatcher { message }, _) => {
                self.callers.insert(connection, Caller::Dispatcher);
                self.handle_dispatcher(connection, message);
            }
            (ToStore::Store { message: BetweenStores::Hello { store, .. } }, _) => {
                self.callers.insert(connection, Caller::Store { id: store });
                self.links.register(store, outbox);
                self.handle(Input::StoreConnected { store });
            }
            (ToStore::Store { message }, Some(Caller::Store { id })) => {
                self.handle(Input::Store { from: id, message });
            }
            (ToStore::Store { .. }, _) => {}
        }
    }

    fn handle_dispatcher(&mut self, connection: ConnectionId, message: FromDispatcher) {
        match &message {
            FromDispatcher::Accept { request, id, .. } if self.must_refuse(*id) => {
                self.refuse_full(connection, *request);
            }
            _ => self.handle(Input::Dispatcher { connection, message }),
        }
    }

    /// While the disk is full only messages that are stored already may be accepted, once more.
    fn must_refuse(&self, id: MessageId) -> bool {
        self.is_disk_full && self.node.state_of(id).is_none()
    }

    fn refuse_full(&self, connection: ConnectionId, request: RequestNumber) {
        let reason = AcceptRejection::Full { retry_after_ms: self.full_retry_after_ms };
        self.send_to_dispatcher(connection, &ToDispatcher::Rejected { request, reason });
    }

    fn handle_closed(&mut self, connection: ConnectionId, outbox: &Outbox) {
        self.outboxes.remove(&connection);
        match self.callers.remove(&connection) {
            Some(Caller::Dispatcher) => self.handle(Input::DispatcherClosed { connection }),
            Some(Caller::Store { id }) if self.links.unregister(id, outbox) => {
                self.handle(Input::StoreClosed { store: id });
            }
            _ => {}
        }
    }

    /// Sends to a dispatcher, if its connection is still there.
    pub(super) fn send_to_dispatcher(&self, connection: ConnectionId, message: &ToDispatcher) {
        if let Some(outbox) = self.outboxes.get(&connection) {
            // One whose connection is closed learns by that that nothing more comes.
            let _ = outbox.send(message);
        }
    }

    /// Closes a connection that another process opened.
    pub(super) fn close_connection(&self, connection: ConnectionId) {
        if let Some(outbox) = self.outboxes.get(&connection) {
            outbox.close();
        }
    }
}
