//! Injects the faults of a plan.

use millrudder_chain::Input;

use super::faults::{Fault, STOP_MICROS};
use super::host::Host;
use super::world::{EventKind, World};
use millrudder_chain::SimulatedDisk;

/// Interval between two checks whether a stopping process can leave.
const STOP_CHECK_MICROS: u64 = 20_000;

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.fault_on_acknowledgement = None;
        match fault {
            Fault::Kill { machine, down_micros } => self.kill(machine, down_micros),
            Fault::PowerLoss { machine, down_micros } => self.lose_power(machine, down_micros),
            Fault::Stop { machine, down_micros } => {
                self.input(machine, Input::Leave);
                let process = self.hosts[machine].process;
                let until = self.now + STOP_MICROS;
                self.schedule(self.now, EventKind::Stopping { machine, process, until, down_micros });
            }
            Fault::KillAll { down_micros } => {
                (0..self.hosts.len()).for_each(|machine| self.kill(machine, down_micros));
            }
            Fault::PowerLossOfAll { down_micros } => {
                (0..self.hosts.len()).for_each(|machine| self.lose_power(machine, down_micros));
            }
            Fault::WipeDisk { machine, down_micros } => self.wipe(machine, down_micros),
            Fault::WipeDiskIfTolerated { machine, down_micros } => {
                if self.tolerates_loss_of_disk(machine) {
                    self.wipe(machine, down_micros);
                }
            }
            Fault::WipeTwoDisks { machines, down_micros } => {
                machines.into_iter().for_each(|machine| self.wipe(machine, down_micros));
            }
            Fault::WipeDiskWithPowerLossOfOthers { machine, down_micros } => {
                (0..self.hosts.len()).for_each(|machine| self.lose_power(machine, down_micros));
                self.wipe(machine, down_micros);
            }
            Fault::Freeze { machine, micros } => self.hosts[machine].frozen_until = self.now + micros,
            Fault::PartitionOneWay { from, to, micros } => {
                self.network.partition(from, to);
                self.schedule(self.now + micros, EventKind::Heal);
            }
            Fault::PartitionBothWays { one, other, micros } => {
                self.network.partition(one, other);
                self.network.partition(other, one);
                self.schedule(self.now + micros, EventKind::Heal);
            }
            Fault::Isolate { machine, micros } => self.isolate(machine, micros),
            Fault::SlowDisk { machine, micros } => self.hosts[machine].slow_disk_until = self.now + micros,
        }
    }

    /// Ends a stopping process once it can leave or `until` is reached; otherwise checks again later.
    pub(super) fn continue_stop(&mut self, machine: usize, process: u64, until: u64, down_micros: u64) {
        let host = &self.hosts[machine];
        let clock = host.clock(self.now);
        let Some(node) = host.node.as_ref().filter(|_| host.process == process) else {
            return;
        };
        if self.now >= until || node.can_leave(clock) {
            return self.kill(machine, down_micros);
        }
        let again = EventKind::Stopping { machine, process, until, down_micros };
        self.schedule(self.now + STOP_CHECK_MICROS, again);
    }

    /// Whether the core survives the loss of the disk of `machine`: some other machine has caught up in the newest
    /// view, and the disks of a majority of the voters are intact without it.
    pub(super) fn tolerates_loss_of_disk(&self, machine: usize) -> bool {
        let others = || self.hosts.iter().enumerate().filter(|(other, _)| *other != machine);
        let views = others().filter_map(|(_, host)| host.node.as_ref()?.view());
        let Some(view) = views.max_by_key(|view| view.epoch).cloned() else {
            return false;
        };
        let holds = |host: &Host| {
            host.node.as_ref().is_some_and(|node| node.is_caught_up() && node.epoch() == view.epoch)
        };
        let voters = others().filter_map(|(_, host)| host.disk.id()).filter(|id| view.is_voter(*id));
        others().any(|(_, host)| holds(host)) && voters.count() >= view.majority()
    }

    fn kill(&mut self, machine: usize, down_micros: u64) {
        let pending = self.hosts[machine].disk.pending();
        let survivors = self.random.usize(0..=pending);
        self.stop(machine, survivors, down_micros);
    }

    fn lose_power(&mut self, machine: usize, down_micros: u64) {
        self.stop(machine, 0, down_micros);
    }

    fn wipe(&mut self, machine: usize, down_micros: u64) {
        self.stop(machine, 0, down_micros);
        self.hosts[machine].disk = SimulatedDisk::default();
        self.hosts[machine].wiped = true;
    }

    fn stop(&mut self, machine: usize, surviving_writes: usize, down_micros: u64) {
        let host = &mut self.hosts[machine];
        host.node = None;
        host.process += 1;
        host.frozen_until = 0;
        host.disk.crash(surviving_writes);
        let extra = self.random.u64(0..100_000);
        self.schedule(self.now + down_micros + extra, EventKind::Start { machine });
    }

    fn isolate(&mut self, machine: usize, micros: u64) {
        for other in 0..self.hosts.len() {
            self.network.partition(machine, other);
            self.network.partition(other, machine);
        }
        self.schedule(self.now + micros, EventKind::Heal);
    }
}
