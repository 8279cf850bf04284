//! Carries out the outputs of the nodes and checks them.

use millrudder_chain::{CoreMessage, FencingToken, NodeId, Output, PersistToken, Role};

use super::checker::Violation;
use super::history::{Grant, Submission, ViewEntered};
use super::world::{EventKind, World};
use millrudder_chain::DiskWrite;

/// Range of the duration of a normal disk write, in microseconds.
const DISK_MICROS: std::ops::Range<u64> = 1_500..6_000;
/// Range of the duration of a write to a slow disk, in microseconds.
const SLOW_DISK_MICROS: std::ops::Range<u64> = 50_000..700_000;

impl World {
    pub(super) fn output(&mut self, machine: usize, output: Output<u64, u64>) {
        let checked = match output {
            Output::Send { to, message } => {
                self.history.messages += 1;
                self.transmit(machine, to, message);
                Ok(())
            }
            Output::Persist { token, record } => {
                self.write(machine, token, DiskWrite::Append { token, record });
                Ok(())
            }
            Output::Checkpoint { token, state } => {
                self.write(machine, token, DiskWrite::Checkpoint { token, state });
                Ok(())
            }
            Output::Committed { sequence, command, reply, .. } => {
                self.checker.committed(sequence, command, reply)
            }
            Output::Reply { request_id, reply } => {
                let value = request_id.0 as u64;
                self.history.replied(Submission { value, machine }, self.now);
                if let Some(fault) = self.fault_on_acknowledgement.take() {
                    self.schedule(self.now, EventKind::Fault(fault));
                }
                self.checker.acknowledged(self.now, value, reply)
            }
            Output::ReadReady { request_id } => {
                let seen = self.hosts[machine].node.as_ref().map_or(0, |node| node.machine().last_sequence());
                self.checker.read_ended(request_id, seen)
            }
            Output::ViewChanged(view) => {
                self.history.views.push(ViewEntered { at: self.now, view: view.clone() });
                self.checker.view(&view, self.plan.minimum_members)
            }
            Output::LeaseGranted { fencing_token, .. } => self.lease_granted(machine, fencing_token),
            Output::LeaseLost { .. }
            | Output::SnapshotInstalled { .. }
            | Output::QuorumContactGained
            | Output::QuorumContactLost => Ok(()),
        };
        if let Err(violation) = checked {
            self.violation.get_or_insert(violation);
        }
    }

    fn lease_granted(&mut self, machine: usize, fencing_token: FencingToken) -> Result<(), Violation> {
        let role = Role("reader".to_owned());
        for (other, host) in self.hosts.iter().enumerate() {
            let holds = host.node.as_ref().and_then(|node| node.holds(host.clock(self.now), &role));
            if holds.is_some() && other != machine {
                return Err(Violation::TwoHolders { first: other, second: machine });
            }
        }
        let caught_up = self.is_caught_up(machine);
        self.history.grants.push(Grant { at: self.now, caught_up });
        self.checker.lease_granted(fencing_token)
    }

    fn transmit(&mut self, from: usize, to: NodeId, message: CoreMessage) {
        let target =
            self.hosts.iter().position(|host| host.node.as_ref().is_some_and(|node| node.id() == to));
        let (Some(machine), Some(node)) = (target, &self.hosts[from].node) else {
            return;
        };
        let sender = node.id();
        let bytes = message.encode();
        self.history.longest_message = self.history.longest_message.max(bytes.len());
        let message = CoreMessage::decode(&bytes).expect("an encoded message can be decoded");
        for delay in self.network.delays(&mut self.random, from, machine) {
            let event = EventKind::Deliver { machine, from: sender, to, message: message.clone() };
            self.schedule(self.now + delay, event);
        }
    }

    fn write(&mut self, machine: usize, token: PersistToken, write: DiskWrite) {
        let slow = self.hosts[machine].slow_disk_until > self.now;
        let takes = self.random.u64(if slow { SLOW_DISK_MICROS } else { DISK_MICROS });
        let host = &mut self.hosts[machine];
        host.disk.begin(write);
        // Pending writes are synced together, so that their durations overlap instead of adding up.
        let at = host.disk_free_at.max(self.now + takes);
        host.disk_free_at = at;
        let process = host.process;
        self.schedule(at, EventKind::DiskDone { machine, process, token });
    }
}
