//! Connections to stores and their messages.

use super::EdgeHost;
use crate::logging::LoggedStoreId;
use millrudder_delivery as delivery;
use millrudder_intake as intake;
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, ShardId, StoreId};
use millrudder_transport::LinkEvent;
use std::sync::Arc;

impl EdgeHost {
    /// Handles an event on the connection to a store.
    pub(super) fn handle_store_link(&mut self, store: StoreId, event: LinkEvent<ToDispatcher>) {
        match event {
            LinkEvent::Opened => {
                self.introduce(store);
                self.handle_intake(intake::Input::StoreConnected { store });
                self.handle_delivery(delivery::Input::Connected { store });
            }
            LinkEvent::Closed(reason) => {
                log::info!(store_id:% = LoggedStoreId(store), error:% = reason; "store connection lost");
                self.stores.set_open(store, false);
                self.handle_intake(intake::Input::StoreClosed { store });
            }
            LinkEvent::Message(message) => self.handle_store_message(store, message),
        }
    }

    /// Tells a store who this is, which leases of its shards this dispatcher holds, and how much it can take.
    pub(super) fn introduce(&mut self, store: StoreId) {
        self.stores.set_open(store, true);
        let of_store = |shard: ShardId| self.is_primary(store, shard);
        let hello = FromDispatcher::Hello {
            dispatcher: self.local_id,
            name: self.name.clone(),
            zone: self.zone.clone(),
            epoch: self.placement.epoch,
            active_leases: self.delivery.active_leases(of_store),
            in_doubt: self.intake.in_doubt(of_store),
        };
        self.stores.send(store, hello);
        let credits = self.delivery.credits();
        self.stores.send(store, FromDispatcher::Credits { credits });
        if self.is_shutting_down {
            self.stores.send(store, FromDispatcher::ShuttingDown);
        }
    }

    fn handle_store_message(&mut self, store: StoreId, message: ToDispatcher) {
        match message {
            ToDispatcher::Deliver { id, token, age_ms, failed_attempts, message } => {
                if self.is_of_former_primary(id, token) {
                    return;
                }
                if let Some(message) = self.granted_message(store, id, token, message) {
                    let deliver =
                        delivery::Input::Deliver { store, id, token, age_ms, failed_attempts, message };
                    self.handle_delivery(deliver);
                }
            }
            ToDispatcher::CallBack { id, token, end, message } => {
                if let Some(message) = self.granted_message(store, id, token, message) {
                    self.handle_delivery(delivery::Input::CallBack { store, id, token, end, message });
                }
            }
            ToDispatcher::Revoke { id, token } => {
                self.handle_delivery(delivery::Input::Revoke { store, id, token });
            }
            // What a former primary says does not count: the present one waits for the report.
            ToDispatcher::Recorded { id, token } if self.is_primary(store, id.shard) => {
                self.handle_delivery(delivery::Input::Recorded { id, token });
            }
            ToDispatcher::BarrierReached { number } => {
                let number = delivery::BarrierNumber(number);
                self.handle_delivery(delivery::Input::BarrierReached { store, number });
            }
            ToDispatcher::Recorded { .. } | ToDispatcher::Welcome { .. } | ToDispatcher::Pong => {}
            ToDispatcher::Accepted { .. }
            | ToDispatcher::Rejected { .. }
            | ToDispatcher::Withdrawn { .. }
            | ToDispatcher::State { .. } => {
                self.handle_intake(intake::Input::FromStore { store, message });
            }
        }
        self.handle_intake(intake::Input::StoreActive { store });
    }

    fn is_primary(&self, store: StoreId, shard: ShardId) -> bool {
        self.placement.shard(shard).is_some_and(|entry| entry.primary == store)
    }

    /// Whether a grant is of a primary that has been replaced since: the present one may have granted the message anew.
    pub(super) fn is_of_former_primary(&self, id: MessageId, token: LeaseToken) -> bool {
        self.placement.shard(id.shard).is_some_and(|entry| token.term() < entry.term)
    }

    /// The message that a store grants: as sent, or from the cache; else `None`, and the store is asked to send it.
    pub(super) fn granted_message(
        &mut self,
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        sent: Option<Box<Message>>,
    ) -> Option<Arc<Message>> {
        if let Some(message) = sent {
            return Some(Arc::new(*message));
        }
        let cached = self.messages.get(id);
        if cached.is_none() {
            self.stores.send(store, FromDispatcher::NeedBody { id, token });
        }
        cached
    }
}
