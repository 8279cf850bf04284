//! Connections that other processes have opened to this core machine.

use super::CoreHost;
use crate::core::messages::ToCorePort;
use crate::listen::InboundEvent;
use crate::logging::LoggedStoreId;
use millrudder_chain::{CoreMessage, Input, NodeId};
use millrudder_placement::{Input as PlacementInput, Registration};
use millrudder_protocol::control::{Registrant, ToCore};
use millrudder_staleness::{
    ConnectionId, Input as BarrierInput, RegistrantKind, RegistrantTime, StateVersions, WorkerListVersion,
};
use millrudder_transport::{LinkEvent, Outbox};

impl CoreHost {
    /// Handles an event on a connection that another process opened.
    pub(super) fn handle_inbound(&mut self, inbound: InboundEvent<ToCorePort>) {
        let InboundEvent { connection, outbox, event } = inbound;
        let connection = ConnectionId(connection);
        match event {
            LinkEvent::Opened => {
                self.inbound.insert(connection, outbox);
            }
            LinkEvent::Closed(_) => self.handle_closed(connection),
            LinkEvent::Message(message) => self.handle_message(connection, &outbox, message),
        }
    }

    fn handle_message(&mut self, connection: ConnectionId, outbox: &Outbox, message: ToCorePort) {
        match message {
            ToCorePort::Peer { id, address } => self.handle_peer(connection, id, &address),
            ToCorePort::Core { to, message } => self.handle_core_message(connection, to, message),
            ToCorePort::Workers { list } => self.adopt_peer_list(list),
            ToCorePort::Dispatchers { count } => {
                self.dispatchers.set_of_peer(connection, count);
                self.count_dispatchers();
            }
            ToCorePort::Client { message } => self.handle_client(connection, outbox, message),
        }
    }

    fn handle_closed(&mut self, connection: ConnectionId) {
        self.inbound.remove(&connection);
        self.directory.close(connection);
        self.dispatchers.forget_peer(connection);
        self.registrants.remove(connection);
        self.handle_barrier(BarrierInput::Closed { connection });
        self.count_dispatchers();
    }

    /// A message of the replication protocol; one from a machine that has not introduced itself, or for another node, is
    /// dropped.
    fn handle_core_message(&mut self, connection: ConnectionId, to: NodeId, message: CoreMessage) {
        let from = self.directory.peer_on(connection).filter(|_| to == self.node.id());
        if let Some(from) = from {
            self.node.handle(self.clock.precise_now(), Input::Message { from, message });
        }
    }

    fn handle_peer(&mut self, connection: ConnectionId, id: NodeId, text: &str) {
        let Ok(address) = text.parse() else {
            log::warn!(address = text; "core machine announced an unreadable address");
            return;
        };
        self.directory.introduce(connection, id, address);
        self.peers.connect(address);
        let seen = Input::PeerSeen { id, address: text.to_owned() };
        self.node.handle(self.clock.precise_now(), seen);
        self.registrants.send_all(&self.core_addresses());
    }

    fn handle_client(&mut self, connection: ConnectionId, outbox: &Outbox, message: ToCore) {
        match message {
            ToCore::Register { registrant, configuration_version, placement_epoch } => {
                let workers = WorkerListVersion::default();
                let versions = StateVersions { configuration_version, placement_epoch, workers };
                self.handle_registration(connection, outbox, registrant, versions);
            }
            ToCore::Heartbeat { health } => {
                if let (Some(id), Some(health)) = (self.registrants.store(connection), health) {
                    self.handle_placement(PlacementInput::Heartbeat { id, health });
                }
            }
            ToCore::StalenessCheck { sent_at_ms } => {
                self.handle_barrier(BarrierInput::StalenessCheck {
                    connection,
                    sent_at: RegistrantTime(sent_at_ms),
                });
            }
            ToCore::LearnerCaughtUp { shards } => {
                if let Some(id) = self.registrants.store(connection) {
                    self.handle_placement(PlacementInput::LearnerCaughtUp { id, shards });
                }
            }
        }
    }

    /// The addresses of core machines are sent at once; all else the barrier decides.
    fn handle_registration(
        &mut self,
        connection: ConnectionId,
        outbox: &Outbox,
        registrant: Registrant,
        versions: StateVersions,
    ) {
        let kind = match &registrant {
            Registrant::Dispatcher { .. } => RegistrantKind::Dispatcher,
            Registrant::Store { id, name, zone, address, .. } => {
                log::info!(store_id:% = LoggedStoreId(*id), node_name:% = name; "store registered");
                let (name, zone) = (name.clone(), zone.clone());
                self.handle_placement(PlacementInput::Registered(Registration {
                    id: *id,
                    name,
                    zone,
                    address: *address,
                }));
                RegistrantKind::Store
            }
        };
        self.registrants.add(connection, outbox.clone(), registrant);
        self.registrants.send(connection, &self.core_addresses());
        self.handle_barrier(BarrierInput::Registered { connection, kind, versions });
        self.count_dispatchers();
    }
}
