//! What registrants are told, as the gate decides.

use super::{Confirming, CoreHost, GateInput};
use crate::core::messages::ToCorePort;
use crate::core::CONTROLLER;
use millrudder_chain::{Input, RequestId, Role};
use millrudder_clock::Instant;
use millrudder_control_state::ControlState;
use millrudder_protocol::control::{FromCore, WorkerList};
use millrudder_protocol::Address;
use millrudder_staleness::{
    ConnectionId, Output, ReadNumber, RegistrantTime, StatePart, StateVersions, WorkerListVersion,
};

/// The versions of a machine's state.
pub(super) fn numbers(state: &ControlState, list: &WorkerList) -> StateVersions {
    StateVersions {
        configuration_version: state.configuration().version,
        placement_epoch: state.placement().epoch.0,
        workers: WorkerListVersion::from(list),
    }
}

impl CoreHost {
    /// Has the gate look at the time, where that is due.
    pub(super) fn look_at_gate(&mut self) {
        let contact = self.node.has_majority_contact(self.clock.micros());
        if self.gate.is_due(Instant::from_millis(self.clock.millis()), contact) {
            self.guard(GateInput::Tick);
        }
    }

    /// Gives the gate an input and does what it asks for.
    pub(super) fn guard(&mut self, input: GateInput) {
        let mut output = Vec::new();
        let (now, had_majority) = (Instant::from_millis(self.clock.millis()), self.had_majority);
        let contact = self.node.has_majority_contact(self.clock.micros());
        self.gate.handle(now, contact, input, &mut output);
        self.had_majority = self.gate.has_quorum(now);
        if self.had_majority != had_majority {
            let has = if self.had_majority { "is confirmed by" } else { "is not confirmed any more by" };
            log::info!("the state here {has} a majority of the core");
        }
        for output in output {
            self.follow(output);
        }
    }

    fn follow(&mut self, output: Output) {
        match output {
            Output::StartRead { read } => self.start_confirming(read),
            Output::AbandonRead { read } => self.stop_confirming(read),
            Output::Send { connection, part } => self.tell_part(connection, part),
            Output::Confirm { connection, sent_at } => self.vouch(connection, sent_at),
            Output::NoQuorum { connection } => self.registrants.tell(connection, &FromCore::NoQuorum),
            Output::Redirect { connection } => self.registrants.tell(connection, &FromCore::Redirect),
        }
    }

    fn start_confirming(&mut self, round: ReadNumber) {
        let request_id = self.orders.own_request();
        self.confirming = Some(Confirming { request_id, round });
        self.node.handle(self.clock.micros(), Input::Read { request_id });
    }

    fn stop_confirming(&mut self, round: ReadNumber) {
        if let Some(confirming) = self.confirming.take_if(|confirming| confirming.round == round) {
            let request_id = confirming.request_id;
            self.node.handle(self.clock.micros(), Input::Abandon { request_id });
        }
    }

    /// A read has ended: one that confirms this machine's state, or an operator's.
    pub(super) fn on_read_ready(&mut self, request_id: RequestId) {
        match self.confirming.take_if(|confirming| confirming.request_id == request_id) {
            Some(confirming) => self.guard(GateInput::ReadCompleted { read: confirming.round }),
            None => self.answer_read(request_id),
        }
    }

    fn tell_part(&self, connection: ConnectionId, part: StatePart) {
        let state = self.node.machine();
        let message = match part {
            StatePart::Configuration => {
                FromCore::Configuration { configuration: state.configuration().clone() }
            }
            StatePart::Placement => FromCore::Placement { placement: state.placement().clone() },
            StatePart::Workers => FromCore::Workers { list: self.workers.clone() },
        };
        self.registrants.tell(connection, &message);
    }

    fn vouch(&mut self, connection: ConnectionId, sent_at: RegistrantTime) {
        let state = self.node.machine();
        let message = FromCore::StalenessConfirmed {
            configuration_version: state.configuration().version,
            placement_epoch: state.placement().epoch.0,
            sent_at_ms: sent_at.0,
        };
        self.registrants.tell(connection, &message);
        self.registrants.tell_count(connection, self.told_dispatchers);
    }

    /// Reports this machine's present state to the gate, which has it told to whom it may concern.
    pub(super) fn tell_news(&mut self) {
        let numbers = numbers(self.node.machine(), &self.workers);
        self.guard(GateInput::StateChanged(numbers));
    }

    /// Counts the dispatchers anew, and tells everybody when there are more or fewer.
    pub(super) fn count_dispatchers(&mut self) {
        let own = self.registrants.dispatchers();
        let count = own + self.others_dispatchers.values().sum::<u32>();
        if count == self.told_dispatchers {
            return;
        }
        self.told_dispatchers = count;
        self.peers.send_all(&ToCorePort::Dispatchers { count: own });
        for connection in self.gate.admitted() {
            self.registrants.tell_count(connection, count);
        }
    }

    pub(super) fn core_addresses(&self) -> FromCore {
        let addresses = self.peers.addresses().into_iter().map(Address).collect();
        FromCore::CoreAddresses { addresses }
    }

    /// Takes a list that this machine has read, and tells it to the other core machines too.
    pub(super) fn adopt_own_list(&mut self, list: WorkerList) {
        let role = Role(CONTROLLER.to_owned());
        let lease = self.node.holds(self.clock.micros(), &role).map(|fencing| fencing.0);
        if self.current_list.adopt_own(WorkerListVersion::from(&list), lease) {
            self.peers.send_all(&ToCorePort::Workers { list: list.clone() });
            self.adopt_workers(list);
        }
    }

    /// Takes a list that another core machine has told.
    pub(super) fn adopt_told_list(&mut self, list: WorkerList) {
        if self.current_list.adopt_received(WorkerListVersion::from(&list)) {
            self.reader.has_list();
            self.adopt_workers(list);
        }
    }

    fn adopt_workers(&mut self, list: WorkerList) {
        self.workers = list;
        self.tell_news();
    }
}
