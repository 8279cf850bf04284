//! Storage machines that are to be emptied and taken away.

use super::CoreHost;
use crate::core::operator::Outcome;
use crate::core::orders::{answer, configuration_outcome, Question};
use crate::core::retire::Progress;
use millrudder_chain::{Input, NodeId, RequestId};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, RetireOrder};
use millrudder_placement::Input as PlacementInput;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

impl CoreHost {
    /// An operator wants a machine to be emptied: whether that may be is decided in the chain's order, by what is known
    /// of the machines here.
    pub(super) fn submit_retire(&mut self, request_id: RequestId, name: String) {
        let well = self.manager.healthy_stores(Instant::from_millis(self.clock.millis()));
        let address = self.manager.address_of(&name);
        let core = address.map(|address| self.core_at(address.0.ip())).unwrap_or_default();
        let order = RetireOrder { name, is_known: address.is_some(), core, well };
        let command = Command::Retire { order };
        self.node.handle(self.clock.micros(), Input::Submit { request_id, command });
    }

    /// Core processes on a machine that is to be taken away: those that were there when that was decided, and those
    /// that came there with another disk.
    fn core_on(&self, name: &str) -> BTreeSet<NodeId> {
        let agreed = self.node.machine().retiring_core_of(name).cloned().unwrap_or_default();
        let address = self.manager.address_of(name);
        let seen = address.map(|address| self.core_at(address.0.ip())).unwrap_or_default();
        agreed.into_iter().chain(seen).collect()
    }

    /// Core processes at a machine's address; none where machines share it, as the address then tells nothing.
    fn core_at(&self, ip: IpAddr) -> Vec<NodeId> {
        if !self.manager.is_exclusive_address(ip) {
            return Vec::new();
        }
        let voters = self.node.view().map(|view| view.voters.clone()).unwrap_or_default();
        let voters = voters.into_iter().filter_map(|voter| Some((voter.id, voter.address.parse().ok()?)));
        let known = self.addresses.iter().map(|(id, address)| (*id, *address));
        let all = voters.chain(known);
        all.filter(|(_, address): &(NodeId, SocketAddr)| address.ip() == ip).map(|(id, _)| id).collect()
    }

    /// Which machines are to be taken away has come into force, or is known again after a start.
    pub(super) fn follow_retirements(&mut self) {
        let names = self.node.machine().retiring();
        let ids: BTreeSet<NodeId> = names.iter().flat_map(|name| self.core_on(name)).collect();
        if names.is_empty() || (names == self.followed_retiring && ids == self.followed_excluded) {
            return;
        }
        log::info!("to be emptied, or emptied: {names:?}");
        self.followed_retiring.clone_from(&names);
        self.followed_excluded.clone_from(&ids);
        self.node.handle(self.clock.micros(), Input::Exclude { ids });
        self.manage(PlacementInput::Retiring(names));
    }

    /// A read that an operator waits for sees what it must.
    pub(super) fn answer_read(&mut self, request_id: RequestId) {
        let Some(asked) = self.orders.read_ready(request_id) else { return };
        let outcome = match &asked.question {
            Question::Configuration => configuration_outcome(self.node.machine()),
            Question::Retirement { name } => self.retirement(name),
        };
        answer(asked.reply, outcome);
    }

    /// A machine is emptied when no shard has a place there, by agreement, and the core can do without its processes.
    fn retirement(&self, name: &str) -> Outcome {
        let state = self.node.machine();
        if state.retiring_core_of(name).is_none() {
            return Outcome::UnknownMachine;
        }
        let now = self.clock.micros();
        let has_place = state.placement().stores.iter().any(|store| store.name == name);
        let is_needed = self.core_on(name).into_iter().any(|id| !self.node.can_do_without(now, id));
        let progress = if has_place || is_needed { Progress::Running } else { Progress::Completed };
        Outcome::Retirement { progress }
    }
}
