//! Injects faults into the world.

use crate::control_machine::ControlMachine;
use crate::event::ProcessInput;
use crate::fault::Fault;
use crate::machine_id::MachineId;
use crate::mechanism::Mechanism;
use crate::random_time::random_duration;
use crate::world::World;
use millrudder_chain::SimulatedDisk;
use millrudder_clock::Instant;
use std::time::Duration;

/// A process that got SIGTERM continues to serve for so long.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(250);
/// The platform kills a process so long after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
/// Greatest additional delay of a restart after a power loss.
const MAX_RESTART_DELAY: Duration = Duration::from_millis(50);

impl<M: ControlMachine> World<M> {
    /// Injects a fault now. One that would lose more disks at a time than are tolerated is skipped.
    pub fn inject(&mut self, fault: &Fault) {
        if fault.takes_disk() && !self.may_lose_disk(fault) {
            return;
        }
        self.faults_end = self.faults_end.max(self.now + fault.duration() + MAX_RESTART_DELAY);
        match fault {
            Fault::Kill { machine_id, downtime } => self.kill(*machine_id, *downtime),
            Fault::PowerLoss { machine_id, downtime } => self.lose_power(*machine_id, *downtime),
            Fault::PowerLossOfAll { downtime } => {
                for machine_id in self.disks() {
                    self.lose_power(machine_id, *downtime);
                }
            }
            Fault::Wipe { machine_id, downtime } => {
                self.lose_power(*machine_id, *downtime);
                self.wipe(*machine_id);
            }
            Fault::WipeWithPowerLossOfOthers { machine_id, downtime } => {
                for other in self.machine_ids() {
                    self.lose_power(other, *downtime);
                }
                self.wipe(*machine_id);
            }
            Fault::Replace { machine_id, downtime } => {
                self.lose_power(*machine_id, *downtime);
                self.machine(*machine_id).generation += 1;
                self.wipe(*machine_id);
            }
            Fault::Shutdown { machine_id, downtime } => self.shut_down(*machine_id, *downtime),
            Fault::Freeze { machine_id, duration } => self.freeze(*machine_id, *duration),
            Fault::Suspend { machine_id, duration } => self.suspend(*machine_id, *duration),
            Fault::Isolate { machine_id, duration } => self.partition(&[*machine_id], *duration),
            Fault::Partition { machine_ids, duration } => self.partition(machine_ids, *duration),
            Fault::PartitionDisks { machine_ids, duration } => self.partition_disks(machine_ids, *duration),
            Fault::PartitionOneWay { from, to, duration } => {
                self.network.partition(*from, *to, self.now + *duration)
            }
            Fault::BlockOutbound { machine_id, duration } => {
                for other in self.machine_ids() {
                    self.network.partition(*machine_id, other, self.now + *duration);
                }
            }
            Fault::ResetConnections { machine_id } => self.reset(*machine_id),
            Fault::SlowDisk { machine_id, duration } => {
                let until = self.now + *duration;
                self.machine(*machine_id).slow_until = until;
            }
            Fault::LoseResponses { duration } => self.lose_responses_until = self.now + *duration,
        }
    }

    /// The ids of all machines.
    pub(crate) fn machine_ids(&self) -> Vec<MachineId> {
        self.machines.keys().copied().collect()
    }

    fn disks(&self) -> Vec<MachineId> {
        self.machine_ids().into_iter().filter(|machine_id| machine_id.has_disk()).collect()
    }

    /// Whether another disk of this kind may be lost before the lost ones are restored.
    fn may_lose_disk(&mut self, fault: &Fault) -> bool {
        let (Fault::Wipe { machine_id, .. }
        | Fault::WipeWithPowerLossOfOthers { machine_id, .. }
        | Fault::Replace { machine_id, .. }) = fault
        else {
            return true;
        };
        self.update_restored_disks();
        let same_kind = |other: &MachineId| {
            matches!(other, MachineId::Core(_)) == matches!(machine_id, MachineId::Core(_))
        };
        let lost = self.machines.iter().filter(|(other, _)| same_kind(other));
        lost.filter(|(_, machine)| machine.disk_lost).count()
            < self.plan.cluster_size.tolerated_losses as usize
    }

    fn kill(&mut self, machine_id: MachineId, downtime: Duration) {
        self.end_process(machine_id);
        match machine_id {
            MachineId::Core(index) => {
                let kept = self.random.usize(0..=self.cores[index].disk.pending());
                self.cores[index].disk.crash(kept);
            }
            MachineId::Store(index) => self.stores[index].disk.kill_process(),
            _ => {}
        }
        for connection in self.network.connections_of(machine_id) {
            self.notify_peer_closed(connection, machine_id);
        }
        self.schedule_start(machine_id, self.now + downtime);
    }

    fn lose_power(&mut self, machine_id: MachineId, downtime: Duration) {
        self.end_process(machine_id);
        match machine_id {
            MachineId::Core(index) => self.cores[index].disk.crash(0),
            MachineId::Store(index) => self.stores[index].disk.lose_power(),
            _ => {}
        }
        let later = random_duration(&mut self.random, Duration::ZERO..MAX_RESTART_DELAY);
        self.schedule_start(machine_id, self.now + downtime + later);
    }

    fn end_process(&mut self, machine_id: MachineId) {
        match machine_id {
            MachineId::Core(index) => self.cores[index].process = None,
            MachineId::Store(index) => self.stores[index].process = None,
            MachineId::Dispatcher(index) => self.dispatchers[index].process = None,
            MachineId::Operator(_) => {}
        }
        for connection in self.network.connections_of(machine_id) {
            if let Some(link) = self.network.link_mut(connection) {
                link.close_at(machine_id);
            }
        }
        let machine = self.machine(machine_id);
        machine.incarnation += 1;
        machine.frozen_until = Instant::ORIGIN;
    }

    fn wipe(&mut self, machine_id: MachineId) {
        self.machine(machine_id).disk_lost = true;
        match machine_id {
            MachineId::Core(index) => {
                let keeps_identity = !self.plan.mutant.is_enabled(Mechanism::NewIdentityAfterWipe);
                let core = &mut self.cores[index];
                core.lost_a_disk = true;
                let id = core.disk.state().map(|state| state.id).filter(|_| keeps_identity);
                core.disk = id.map_or_else(SimulatedDisk::default, SimulatedDisk::with_identity);
            }
            MachineId::Store(index) => {
                let keeps_identity = !self.plan.mutant.is_enabled(Mechanism::CatchUpBeforeReplica);
                let id = self.stores[index].id;
                self.new_store_disk(index);
                if keeps_identity {
                    self.stores[index].id = id;
                }
            }
            _ => {}
        }
    }

    fn shut_down(&mut self, machine_id: MachineId, downtime: Duration) {
        let grace = match machine_id {
            MachineId::Core(_) | MachineId::Store(_)
                if self.plan.mutant.is_enabled(Mechanism::GracefulLeave) =>
            {
                SHUTDOWN_GRACE
            }
            _ => Duration::ZERO,
        };
        self.deliver(machine_id, ProcessInput::ShutdownRequested);
        self.faults_end = self.faults_end.max(self.now + grace + downtime + MAX_RESTART_DELAY);
        let linger = SHUTDOWN_DELAY.min(grace);
        self.schedule_end(machine_id, self.now + linger, downtime, self.now + grace);
    }

    fn freeze(&mut self, machine_id: MachineId, duration: Duration) {
        let until = self.now + duration;
        let machine = self.machine(machine_id);
        machine.frozen_until = machine.frozen_until.max(until);
    }

    fn suspend(&mut self, machine_id: MachineId, duration: Duration) {
        if !self.is_running(machine_id) {
            return;
        }
        self.freeze(machine_id, duration);
        match machine_id {
            MachineId::Core(index) => self.cores[index].clock.stalled += duration,
            MachineId::Store(index) => self.stores[index].clock.stalled += duration,
            MachineId::Dispatcher(index) => self.dispatchers[index].clock.stalled += duration,
            MachineId::Operator(_) => {}
        }
    }

    fn partition(&mut self, machine_ids: &[MachineId], duration: Duration) {
        let until = self.now + duration;
        for inside in machine_ids {
            for outside in self.machine_ids() {
                if !machine_ids.contains(&outside) {
                    self.network.partition(*inside, outside, until);
                    self.network.partition(outside, *inside, until);
                }
            }
        }
    }

    fn partition_disks(&mut self, machine_ids: &[MachineId], duration: Duration) {
        let until = self.now + duration;
        let (ours, theirs): (Vec<MachineId>, Vec<MachineId>) =
            self.disks().into_iter().partition(|machine_id| machine_ids.contains(machine_id));
        for one in ours {
            for other in &theirs {
                self.network.partition(one, *other, until);
                self.network.partition(*other, one, until);
            }
        }
    }

    fn reset(&mut self, machine_id: MachineId) {
        for connection in self.network.connections_of(machine_id) {
            let Some(link) = self.network.link(connection).copied() else { continue };
            self.notify_peer_closed(connection, link.dialer);
            self.notify_peer_closed(connection, link.acceptor);
        }
    }
}
