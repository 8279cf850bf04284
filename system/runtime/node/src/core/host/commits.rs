//! What the core node asks for, and what comes into force by it.

use super::{CoreHost, GateInput};
use crate::core::messages::ToCorePort;
use crate::core::CONTROLLER;
use millrudder_chain::{Input, NodeId, Output, Role, View};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, Reply};
use millrudder_placement::Input as PlacementInput;

impl CoreHost {
    /// Carries out what the node asks for, until nothing more comes.
    pub(super) fn carry_out(&mut self) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { to, message } => self.send(to, ToCorePort::Core { to, message }),
                Output::Persist { token, record } => self.journal.append(token, &record),
                Output::Checkpoint { token, state } => self.journal.checkpoint(token, &state),
                Output::Committed { reply, .. } => self.on_committed(reply),
                Output::Replaced { .. } => self.follow_state(),
                Output::Reply { request_id, reply } => self.orders.replied(request_id, reply),
                Output::ReadReady { request_id } => self.on_read_ready(request_id),
                Output::ViewChanged(view) => self.on_view(&view),
                Output::LeaseGranted { role, fencing } => self.on_lease(&role, Some(fencing.0)),
                Output::LeaseLost { role, .. } => self.on_lease(&role, None),
                Output::QuorumContactGained | Output::QuorumContactLost => self.guard(GateInput::Tick),
            }
        }
    }

    pub(super) fn manage(&mut self, input: PlacementInput) {
        let now = Instant::from_millis(self.clock.millis());
        if let Some(placement) = self.manager.handle(now, input) {
            log::info!("placement {} is proposed", placement.epoch.0);
            let request_id = self.orders.own_request();
            let command = Command::SetPlacement { placement };
            self.node.handle(self.clock.micros(), Input::Submit { request_id, command });
        }
    }

    pub(super) fn know_view(&mut self, view: &View) {
        for member in &view.voters {
            if let Ok(address) = member.address.parse() {
                self.addresses.insert(member.id, address);
                self.peers.know(address);
            }
        }
    }

    fn send(&self, to: NodeId, message: ToCorePort) {
        let known = self.addresses.get(&to).copied();
        let address = known.or_else(|| self.node.address(to)?.parse().ok());
        if let Some(address) = address {
            self.peers.send(address, &message);
        }
    }

    fn on_committed(&mut self, reply: Reply) {
        if matches!(reply, Reply::ConfigurationAccepted | Reply::PlacementSet | Reply::Retiring) {
            self.follow_state();
        }
    }

    /// Something may have come into force.
    fn follow_state(&mut self) {
        self.tell_news();
        self.follow_retirements();
        let state = self.node.machine();
        let version = state.configuration().version;
        if version > self.followed_version {
            self.followed_version = version;
            log::info!("configuration {version} is in force");
        }
        let placement = state.placement();
        if placement.epoch.0 > self.followed_epoch {
            let placement = placement.clone();
            self.followed_epoch = placement.epoch.0;
            let filled = placement.shards.iter().filter(|shard| shard.change.is_some()).count();
            log::info!("placement {} is in force, {filled} replicas are being filled", placement.epoch.0);
            self.manage(PlacementInput::Committed(placement));
        }
    }

    fn on_view(&mut self, view: &View) {
        let members: Vec<&str> = view.members.iter().map(|member| member.address.as_str()).collect();
        let voters: Vec<&str> = view.voters.iter().map(|voter| voter.address.as_str()).collect();
        log::info!("view {} of the core: {}", view.epoch.0, members.join(" "));
        log::info!("voters of view {}: {}", view.epoch.0, voters.join(" "));
        self.know_view(view);
        self.follow_retirements();
    }

    fn on_lease(&mut self, role: &Role, fencing: Option<u64>) {
        if role.0 != CONTROLLER {
            return;
        }
        let now = self.clock.millis();
        let state = if fencing.is_some() { "holds" } else { "has lost" };
        log::info!("{state} the controller's lease");
        self.guard(GateInput::ControllerLease { is_held: fencing.is_some() });
        self.reader.lead(now, fencing);
        self.manage(PlacementInput::ControllerLease { is_held: fencing.is_some() });
    }
}
