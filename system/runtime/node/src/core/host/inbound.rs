//! What arrives on connections that others have opened to this core machine.

use super::{CoreHost, GateInput, PlacementInput};
use crate::core::messages::ToCorePort;
use millrudder_chain::{Input, NodeId};
use millrudder_placement::Registration;
use millrudder_protocol::control::{Registrant, ToCore};
use millrudder_staleness::{ConnectionId, RegistrantKind, RegistrantTime, StateVersions, WorkerListVersion};
use millrudder_transport::{LinkEvent, Outbox};

impl CoreHost {
    pub(super) fn on_inbound(
        &mut self,
        connection: ConnectionId,
        outbox: &Outbox,
        event: LinkEvent<ToCorePort>,
    ) {
        match event {
            LinkEvent::Opened => {
                self.inbound.insert(connection, outbox.clone());
            }
            LinkEvent::Closed(_) => self.on_closed(connection),
            LinkEvent::Message(message) => self.on_inbound_message(connection, outbox, message),
        }
    }

    fn on_inbound_message(&mut self, connection: ConnectionId, outbox: &Outbox, message: ToCorePort) {
        match message {
            ToCorePort::Peer { id, address } => self.on_peer(connection, id, &address),
            ToCorePort::Core { to, message } => {
                let from = self.peer_ids.get(&connection).copied().filter(|_| to == self.node.id());
                if let Some(from) = from {
                    self.node.handle(self.clock.micros(), Input::Message { from, message });
                }
            }
            ToCorePort::Workers { list } => self.adopt_told_list(list),
            ToCorePort::Dispatchers { count } => {
                self.others_dispatchers.insert(connection, count);
                self.count_dispatchers();
            }
            ToCorePort::Client { message } => self.on_client(connection, outbox, message),
        }
    }

    fn on_closed(&mut self, connection: ConnectionId) {
        self.inbound.remove(&connection);
        self.peer_ids.remove(&connection);
        self.others_dispatchers.remove(&connection);
        self.registrants.remove(connection);
        self.guard(GateInput::Closed { connection });
        self.count_dispatchers();
    }

    fn on_peer(&mut self, connection: ConnectionId, id: NodeId, text: &str) {
        let Ok(address) = text.parse() else {
            log::warn!("a core machine tells an address that cannot be read: {text}");
            return;
        };
        self.peer_ids.insert(connection, id);
        self.addresses.insert(id, address);
        self.peers.know(address);
        let seen = Input::PeerSeen { id, address: text.to_owned() };
        self.node.handle(self.clock.micros(), seen);
        self.registrants.tell_all(&self.core_addresses());
    }

    fn on_client(&mut self, connection: ConnectionId, outbox: &Outbox, message: ToCore) {
        match message {
            ToCore::Register { registrant, configuration_version, placement_epoch } => {
                let workers = WorkerListVersion::default();
                let versions = StateVersions { configuration_version, placement_epoch, workers };
                self.on_register(connection, outbox, registrant, versions);
            }
            ToCore::Heartbeat { health } => {
                if let (Some(id), Some(health)) = (self.registrants.store(connection), health) {
                    self.manage(PlacementInput::Heartbeat { id, health });
                }
            }
            ToCore::StalenessCheck { sent_at_ms } => {
                self.guard(GateInput::StalenessCheck { connection, sent_at: RegistrantTime(sent_at_ms) })
            }
            ToCore::LearnerCaughtUp { shards } => {
                if let Some(id) = self.registrants.store(connection) {
                    self.manage(PlacementInput::LearnerCaughtUp { id, shards });
                }
            }
        }
    }

    /// Where the core machines are may be told at any time; all else the gate decides.
    fn on_register(
        &mut self,
        connection: ConnectionId,
        outbox: &Outbox,
        registrant: Registrant,
        versions: StateVersions,
    ) {
        let kind = match &registrant {
            Registrant::Dispatcher { .. } => RegistrantKind::Dispatcher,
            Registrant::Store { id, name, zone, address, .. } => {
                log::info!("store {name} registers");
                let (name, zone) = (name.clone(), zone.clone());
                self.manage(PlacementInput::Registered(Registration {
                    id: *id,
                    name,
                    zone,
                    address: *address,
                }));
                RegistrantKind::Store
            }
        };
        self.registrants.add(connection, outbox.clone(), registrant);
        self.registrants.tell(connection, &self.core_addresses());
        self.guard(GateInput::Registered { connection, kind, versions });
        self.count_dispatchers();
    }
}
