//! Outputs of the replicated state machine and of the placement manager.

use super::CoreHost;
use crate::core::controller;
use crate::core::messages::ToCorePort;
use millrudder_chain::{Input, NodeId, Output, Role, View};
use millrudder_control_state::{Command, Reply};
use millrudder_placement::Input as PlacementInput;
use millrudder_staleness::Input as BarrierInput;

impl CoreHost {
    /// Carries out the outputs of the replicated state machine until there are no more.
    pub(super) fn carry_out_all(&mut self) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { to, message } => self.send_to_peer(to, ToCorePort::Core { to, message }),
                Output::Persist { token, record } => self.journal.append(token, &record),
                Output::Checkpoint { token, state } => self.journal.checkpoint(token, &state),
                Output::Committed { reply, .. } => self.handle_committed(&reply),
                Output::SnapshotInstalled { .. } => self.follow_state(),
                Output::Reply { request_id, reply } => self.operator_requests.answer(request_id, reply),
                Output::ReadReady { request_id } => self.handle_read_ready(request_id),
                Output::ViewChanged(view) => self.handle_view(&view),
                Output::LeaseGranted { role, fencing_token } => {
                    self.handle_lease(&role, Some(fencing_token.0))
                }
                Output::LeaseLost { role, .. } => self.handle_lease(&role, None),
                Output::QuorumContactGained | Output::QuorumContactLost => {
                    self.handle_barrier(BarrierInput::Tick);
                }
            }
        }
    }

    /// Passes an input to the placement manager and submits what it proposes.
    pub(super) fn handle_placement(&mut self, input: PlacementInput) {
        let now = self.clock.now();
        if let Some(placement) = self.placement.handle(now, input) {
            log::info!(epoch = placement.epoch.0; "placement proposed");
            let request_id = self.operator_requests.draw_request_id();
            let command = Command::SetPlacement { placement };
            self.node.handle(self.clock.precise_now(), Input::Submit { request_id, command });
        }
    }

    /// Connects to the voters of a view.
    pub(super) fn connect_voters(&mut self, view: &View) {
        for address in self.directory.add_voters(view) {
            self.peers.connect(address);
        }
    }

    fn send_to_peer(&self, to: NodeId, message: ToCorePort) {
        let known = self.directory.address(to);
        let address = known.or_else(|| self.node.address(to)?.parse().ok());
        if let Some(address) = address {
            self.peers.send(address, &message);
        }
    }

    fn handle_committed(&mut self, reply: &Reply) {
        if matches!(reply, Reply::ConfigurationAccepted | Reply::PlacementSet | Reply::Retiring) {
            self.follow_state();
        }
    }

    /// The control state may have changed.
    fn follow_state(&mut self) {
        self.publish_state();
        self.follow_retirements();
        if let Some(version) = self.followed.newer_configuration(self.node.machine()) {
            log::info!(configuration_version = version; "configuration committed");
        }
        if let Some(placement) = self.followed.newer_placement(self.node.machine()) {
            let learners = placement.shards.iter().filter(|shard| shard.change.is_some()).count();
            log::info!(epoch = placement.epoch.0, learners; "placement committed");
            self.handle_placement(PlacementInput::Committed(placement));
        }
    }

    fn handle_view(&mut self, view: &View) {
        let members: Vec<&str> = view.members.iter().map(|member| member.address.as_str()).collect();
        let voters: Vec<&str> = view.voters.iter().map(|voter| voter.address.as_str()).collect();
        let (members, voters) = (members.join(" "), voters.join(" "));
        log::info!(view = view.epoch.0, members:%, voters:%; "core view changed");
        self.connect_voters(view);
        self.follow_retirements();
    }

    /// The controller's lease was granted with this fencing token, or is lost.
    fn handle_lease(&mut self, role: &Role, fencing: Option<u64>) {
        if *role != controller::role() {
            return;
        }
        let now = self.clock.now();
        match fencing {
            Some(fencing_token) => log::info!(fencing_token; "controller lease acquired"),
            None => log::info!("controller lease lost"),
        }
        self.handle_barrier(BarrierInput::ControllerLease { is_held: fencing.is_some() });
        self.reader.set_lease(now, fencing);
        self.handle_placement(PlacementInput::ControllerLease { is_held: fencing.is_some() });
    }
}
