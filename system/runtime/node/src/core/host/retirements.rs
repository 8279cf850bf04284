//! Retirements: storage machines that are to be emptied and taken away.

use super::CoreHost;
use crate::core::operator::pending::ReadPurpose;
use crate::core::operator::request::{OperatorResponse, RetirementProgress};
use millrudder_chain::{Input, NodeId, RequestId};
use millrudder_control_state::{Command, RetireRequest};
use millrudder_placement::Input as PlacementInput;
use std::collections::BTreeSet;
use std::net::IpAddr;

impl CoreHost {
    /// An operator wants a machine to be retired. Whether that is possible is decided when the command is applied, in the
    /// agreed order, by what this machine knows of the stores now.
    pub(super) fn submit_retirement(&mut self, request_id: RequestId, name: String) {
        let well = self.placement.healthy_stores(self.clock.now());
        let address = self.placement.address_of(&name);
        let core = address.map(|address| self.core_processes_at(address.0.ip())).unwrap_or_default();
        let request = RetireRequest {
            name,
            is_registered: address.is_some(),
            core_members: core,
            healthy_machines: well,
        };
        let command = Command::Retire { request };
        self.node.handle(self.clock.precise_now(), Input::Submit { request_id, command });
    }

    /// Core processes on a retiring machine: those that were there when the retirement was agreed on, and those that have
    /// started there since with another disk.
    fn core_processes_on(&self, name: &str) -> BTreeSet<NodeId> {
        let agreed = self.node.machine().retiring_core_members(name).cloned().unwrap_or_default();
        let address = self.placement.address_of(name);
        let seen = address.map(|address| self.core_processes_at(address.0.ip())).unwrap_or_default();
        agreed.into_iter().chain(seen).collect()
    }

    /// Core processes at a machine's address; none where machines share it, as the address then tells nothing.
    fn core_processes_at(&self, ip: IpAddr) -> Vec<NodeId> {
        if !self.placement.is_exclusive_address(ip) {
            return Vec::new();
        }
        self.directory.at(ip, self.node.view())
    }

    /// The retirements may have changed, or are known again after a start.
    pub(super) fn follow_retirements(&mut self) {
        let names = self.node.machine().retiring_machines();
        let ids: BTreeSet<NodeId> = names.iter().flat_map(|name| self.core_processes_on(name)).collect();
        if !self.retirements.update(&names, &ids) {
            return;
        }
        let machines = Vec::from_iter(names.iter().map(String::as_str)).join(" ");
        log::info!(machines:%; "retirements changed");
        self.node.handle(self.clock.precise_now(), Input::Decommission { ids });
        self.handle_placement(PlacementInput::Retiring(names));
    }

    /// A linearizable read for an operator has ended.
    pub(super) fn answer_operator_read(&mut self, request_id: RequestId) {
        let Some(read) = self.operator_requests.take_ready_read(request_id) else { return };
        let response = match read.purpose() {
            ReadPurpose::Configuration => OperatorResponse::configuration_of(self.node.machine()),
            ReadPurpose::Retirement { name } => self.retirement_progress(name),
        };
        read.respond(response);
    }

    /// A retirement is complete when no shard is placed on the machine, by agreement, and the core can do without its
    /// processes.
    fn retirement_progress(&self, name: &str) -> OperatorResponse {
        let state = self.node.machine();
        if state.retiring_core_members(name).is_none() {
            return OperatorResponse::UnknownMachine;
        }
        let now = self.clock.precise_now();
        let has_shards = state.placement().stores.iter().any(|store| store.name == name);
        let is_needed = self.core_processes_on(name).into_iter().any(|id| !self.node.is_dispensable(now, id));
        let progress = match has_shards || is_needed {
            true => RetirementProgress::Running,
            false => RetirementProgress::Completed,
        };
        OperatorResponse::Retirement { progress }
    }
}
