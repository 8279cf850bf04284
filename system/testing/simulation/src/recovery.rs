//! Checks of the cluster as a whole: propagation of the configuration, no lost messages, recovery after faults.

use crate::checks::PROPAGATION_BOUND;
use crate::control_machine::ControlMachine;
use crate::machine_id::MachineId;
use crate::violation::Violation;
use crate::world::World;
use millrudder_chain::NodeId;
use millrudder_clock::Instant;
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;

/// Since when each dispatcher has been able to reach a core machine with a quorum (true time).
#[derive(Clone, Debug, Default)]
pub struct PropagationTracker {
    since: BTreeMap<usize, Instant>,
}

impl PropagationTracker {
    /// Handles a restart of a dispatcher's process.
    pub fn restarted(&mut self, dispatcher: usize, now: Instant) {
        self.since.insert(dispatcher, now);
    }
}

impl<M: ControlMachine> World<M> {
    /// Core machines that run, have their data, and can communicate with a quorum of such machines.
    fn cores_with_quorum(&self) -> Vec<usize> {
        let is_available = |index: &usize| {
            let machine_id = MachineId::Core(*index);
            self.is_running(machine_id)
                && !self.machines.get(&machine_id).is_some_and(|machine| machine.disk_lost)
        };
        let available: Vec<usize> = (0..self.cores.len()).filter(is_available).collect();
        let majority = self.cores.len() / 2 + 1;
        let has_quorum = |index: &usize| {
            let can_reach = |other: &&usize| {
                self.network.can_communicate(MachineId::Core(*index), MachineId::Core(**other), self.now)
            };
            available.iter().filter(can_reach).count() >= majority
        };
        let candidates: Vec<usize> = available.iter().copied().filter(has_quorum).collect();
        // The members of a quorum must be able to communicate with each other.
        let is_in_quorum = |index: &usize| {
            let can_reach = |other: &&usize| {
                self.network.can_communicate(MachineId::Core(*index), MachineId::Core(**other), self.now)
            };
            candidates.iter().filter(can_reach).count() >= majority
        };
        candidates.iter().copied().filter(is_in_quorum).collect()
    }

    /// Checks that each dispatcher that could reach a quorum for long enough has the acknowledged configuration.
    pub(crate) fn check_propagation(&mut self) -> Result<(), Violation> {
        let cores = self.cores_with_quorum();
        for index in 0..self.dispatchers.len() {
            let machine_id = MachineId::Dispatcher(index);
            let reaches =
                |core: &usize| self.network.can_communicate(machine_id, MachineId::Core(*core), self.now);
            if !self.is_running(machine_id) || !cores.iter().any(reaches) {
                self.propagation.since.insert(index, self.now);
                continue;
            }
            let since = *self.propagation.since.entry(index).or_insert(self.now);
            if self.now - since < PROPAGATION_BOUND {
                continue;
            }
            let Some(process) = &self.dispatchers[index].process else { continue };
            let (held, acknowledged) = (
                process.configuration(),
                self.checks
                    .acknowledged_at(self.now.checked_sub(PROPAGATION_BOUND).unwrap_or(Instant::ORIGIN)),
            );
            if held < acknowledged {
                return Err(Violation::NotPropagated {
                    dispatcher: machine_id,
                    held,
                    acknowledged,
                    at: self.now,
                });
            }
        }
        Ok(())
    }

    /// Records the newest placement of any core machine: all machines that have it may be down at times, and one that was
    /// partitioned has an earlier one.
    pub(crate) fn update_newest_placement(&mut self) {
        let processes = self.cores.iter().filter_map(|core| core.process.as_ref());
        let placements = processes.map(|process| process.node.machine().state().placement());
        let newest = placements.max_by_key(|placement| placement.epoch);
        if let Some(placement) = newest.filter(|placement| placement.epoch > self.newest_placement.epoch) {
            self.newest_placement = placement.clone();
        }
    }

    fn store_index(&self, id: StoreId) -> Option<usize> {
        self.stores.iter().position(|store| store.id == id)
    }

    /// Checks that a primary that serves under the newest placement knows every accepted message of its shards.
    pub(crate) fn check_messages(&self) -> Result<(), Violation> {
        let placement = &self.newest_placement;
        for id in self.checks.messages.accepted_ids() {
            let Some(primary) = placement.shard(id.shard).map(|shard| shard.primary) else { continue };
            let Some(index) = self.store_index(primary) else { continue };
            let Some(process) = &self.stores[index].process else { continue };
            let local = self.stores[index].clock.local(self.now);
            let leads = process.placement().epoch == placement.epoch && process.serves_all(local);
            if leads && process.node.state_of(id).is_none() {
                let primary = MachineId::Store(index);
                return Err(Violation::MessageLost { id, primary, at: self.now });
            }
        }
        Ok(())
    }

    /// Records which lost disks are restored: their machines are full members again.
    pub(crate) fn update_restored_disks(&mut self) {
        let cores_complete = self.cores_are_complete();
        let stores_complete = self.stores_are_complete();
        for (machine_id, machine) in &mut self.machines {
            let complete = match machine_id {
                MachineId::Core(_) => cores_complete,
                MachineId::Store(_) => stores_complete,
                _ => true,
            };
            machine.disk_lost &= !complete;
        }
    }

    /// Whether every core machine runs and has caught up in a view of all.
    fn cores_are_complete(&self) -> bool {
        let ids: Option<Vec<NodeId>> =
            self.cores.iter().map(|core| Some(core.process.as_ref()?.node.id())).collect();
        let Some(ids) = ids else { return false };
        let mut processes = self.cores.iter().filter_map(|core| core.process.as_ref());
        processes.all(|process| {
            let view = process.node.view();
            let has_all = view.is_some_and(|view| ids.iter().all(|id| view.is_member(*id)));
            has_all && process.node.is_caught_up()
        })
    }

    /// Whether every store runs, and the newest placement, which all have adopted, has every shard on the target number
    /// of replicas.
    fn stores_are_complete(&self) -> bool {
        let placement = &self.newest_placement;
        if placement.epoch.0 == 0 {
            return false;
        }
        let target_replicas =
            (2 * self.plan.cluster_size.tolerated_losses as usize + 1).min(self.stores.len());
        let live = |id: &StoreId| {
            self.store_index(*id).is_some_and(|index| self.is_running(MachineId::Store(index)))
        };
        let filled = placement.shards.iter().all(|shard| {
            shard.change.is_none()
                && shard.replicas.len() >= target_replicas
                && shard.replicas.iter().all(live)
        });
        let adopted = self.stores.iter().all(|store| {
            let local = store.clock.local(self.now);
            store.process.as_ref().is_some_and(|process| {
                process.placement().epoch == placement.epoch && process.serves_all(local)
            })
        });
        filled && adopted
    }

    /// Whether every process runs, every core machine is a member, and every shard has its replicas.
    pub fn is_complete(&self) -> bool {
        let all_run = self.machines.keys().all(|machine_id| self.is_running(*machine_id));
        all_run && self.cores_are_complete() && self.stores_are_complete()
    }

    /// Whether the cluster is complete, and has served requests that came after a true time.
    pub fn has_recovered_since(&self, since: Instant) -> bool {
        self.unrecovered_since(since).is_none()
    }

    /// A condition of [`World::has_recovered_since`] that does not hold.
    pub(crate) fn unrecovered_since(&self, since: Instant) -> Option<&'static str> {
        let served = |index: usize| self.checks.messages.last_accepted(index) > since;
        let newest = self.checks.acknowledged_at(self.now);
        let has_newest = |index: usize| {
            self.dispatchers[index].process.as_ref().is_some_and(|one| one.configuration() >= newest)
        };
        let dispatchers = || 0..self.dispatchers.len();
        let checks: [(&'static str, bool); 6] = [
            ("a process does not run", self.machines.keys().all(|machine_id| self.is_running(*machine_id))),
            ("a core machine is not a member that has caught up", self.cores_are_complete()),
            ("a shard has fewer live replicas than its target", self.stores_are_complete()),
            ("no update is acknowledged", newest > self.checks.acknowledged_at(since)),
            ("a dispatcher does not have the newest configuration", dispatchers().all(has_newest)),
            ("a dispatcher has no message accepted", dispatchers().all(served)),
        ];
        checks.into_iter().find(|(_, well)| !well).map(|(what, _)| what)
    }
}
