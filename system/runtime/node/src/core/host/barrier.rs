//! What registrants are sent, as the read barrier decides.

use super::CoreHost;
use crate::core::confirmation::{state_versions, ConfirmingRead};
use crate::core::controller;
use crate::core::messages::ToCorePort;
use millrudder_chain::{Input, RequestId};
use millrudder_protocol::control::{FromCore, WorkerList};
use millrudder_protocol::Address;
use millrudder_staleness::{
    ConnectionId, Input as BarrierInput, Output, ReadNumber, RegistrantTime, StatePart,
};

impl CoreHost {
    /// Lets the barrier act on the time, where that is due.
    pub(super) fn poll_barrier(&mut self) {
        let has_quorum = self.node.has_quorum_contact(self.clock.precise_now());
        if self.barrier.is_due(self.clock.now(), has_quorum) {
            self.handle_barrier(BarrierInput::Tick);
        }
    }

    /// Passes an input to the barrier and carries out its outputs.
    pub(super) fn handle_barrier(&mut self, input: BarrierInput) {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        let has_quorum = self.node.has_quorum_contact(self.clock.precise_now());
        self.barrier.handle(now, has_quorum, input, &mut outputs);
        self.log_confirmation(self.barrier.has_quorum(now));
        for output in outputs {
            self.carry_out_barrier(output);
        }
    }

    fn log_confirmation(&mut self, is_confirmed: bool) {
        let was_confirmed = std::mem::replace(&mut self.is_confirmed, is_confirmed);
        if was_confirmed != is_confirmed {
            match is_confirmed {
                true => log::info!("control state confirmed by a quorum"),
                false => log::info!("control state no longer confirmed by a quorum"),
            }
        }
    }

    fn carry_out_barrier(&mut self, output: Output) {
        match output {
            Output::StartRead { read } => self.start_confirming_read(read),
            Output::AbandonRead { read } => self.abandon_confirming_read(read),
            Output::Send { connection, part } => self.send_part(connection, part),
            Output::Confirm { connection, sent_at } => self.send_confirmation(connection, sent_at),
            Output::NoQuorum { connection } => self.registrants.send(connection, &FromCore::NoQuorum),
            Output::Redirect { connection } => self.registrants.send(connection, &FromCore::Redirect),
        }
    }

    fn start_confirming_read(&mut self, number: ReadNumber) {
        let request_id = self.operator_requests.draw_request_id();
        self.confirming_read = Some(ConfirmingRead { request_id, number });
        self.node.handle(self.clock.precise_now(), Input::Read { request_id });
    }

    fn abandon_confirming_read(&mut self, number: ReadNumber) {
        if let Some(read) = self.confirming_read.take_if(|read| read.number == number) {
            let request_id = read.request_id;
            self.node.handle(self.clock.precise_now(), Input::Abandon { request_id });
        }
    }

    /// A linearizable read has ended: the barrier's, or one for an operator.
    pub(super) fn handle_read_ready(&mut self, request_id: RequestId) {
        match self.confirming_read.take_if(|read| read.request_id == request_id) {
            Some(read) => self.handle_barrier(BarrierInput::ReadCompleted { read: read.number }),
            None => self.answer_operator_read(request_id),
        }
    }

    fn send_part(&self, connection: ConnectionId, part: StatePart) {
        let state = self.node.machine();
        let message = match part {
            StatePart::Configuration => {
                FromCore::Configuration { configuration: state.configuration().clone() }
            }
            StatePart::Placement => FromCore::Placement { placement: state.placement().clone() },
            StatePart::Workers => FromCore::Workers { list: self.workers.list().clone() },
        };
        self.registrants.send(connection, &message);
    }

    fn send_confirmation(&mut self, connection: ConnectionId, sent_at: RegistrantTime) {
        let state = self.node.machine();
        let message = FromCore::StalenessConfirmed {
            configuration_version: state.configuration().version,
            placement_epoch: state.placement().epoch.0,
            sent_at_ms: sent_at.0,
        };
        self.registrants.send(connection, &message);
        self.registrants.send_dispatcher_count(connection, self.dispatchers.total());
    }

    /// Reports the present state to the barrier, which has it sent to those registrants that may have it.
    pub(super) fn publish_state(&mut self) {
        let versions = state_versions(self.node.machine(), self.workers.list());
        self.handle_barrier(BarrierInput::StateChanged(versions));
    }

    /// Counts the dispatchers anew, and sends the number to other core machines and registrants when it has changed.
    pub(super) fn count_dispatchers(&mut self) {
        let own = self.registrants.dispatchers();
        let Some(total) = self.dispatchers.update(own) else { return };
        self.peers.send_all(&ToCorePort::Dispatchers { count: own });
        for connection in self.barrier.admitted() {
            self.registrants.send_dispatcher_count(connection, total);
        }
    }

    /// The addresses of all core machines, which may be sent at any time.
    pub(super) fn core_addresses(&self) -> FromCore {
        let addresses = self.peers.addresses().into_iter().map(Address).collect();
        FromCore::CoreAddresses { addresses }
    }

    /// Adopts a list of workers that this machine has read, and sends it to the other core machines.
    pub(super) fn adopt_own_list(&mut self, list: WorkerList) {
        let lease = self.node.holds(self.clock.precise_now(), &controller::role()).map(|fencing| fencing.0);
        if self.workers.adopt_own(&list, lease) {
            self.peers.send_all(&ToCorePort::Workers { list });
            self.publish_state();
        }
    }

    /// Adopts a list of workers that another core machine has sent.
    pub(super) fn adopt_peer_list(&mut self, list: WorkerList) {
        if self.workers.adopt_from_peer(list) {
            self.reader.end_read_without_lease();
            self.publish_state();
        }
    }
}
