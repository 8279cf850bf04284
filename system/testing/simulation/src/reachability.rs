//! What must hold of the whole: who is in touch with whom, who has learnt what, what is well again.

use crate::checks::LEARN_BOUND;
use crate::control_machine::ControlMachine;
use crate::place::Place;
use crate::violation::Violation;
use crate::world::World;
use millrudder_chain::NodeId;
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;

/// Since when each dispatcher could reach a machine that is in touch with a majority (true time, microseconds).
#[derive(Clone, Debug, Default)]
pub struct Learning {
    since: BTreeMap<usize, u64>,
}

impl Learning {
    /// A dispatcher's process has begun afresh.
    pub fn restarted(&mut self, dispatcher: usize, now: u64) {
        self.since.insert(dispatcher, now);
    }
}

impl<M: ControlMachine> World<M> {
    /// Core machines that run, hold state, and can talk with a majority of such machines.
    fn cores_with_majority(&self) -> Vec<usize> {
        let counts = |index: &usize| {
            let place = Place::Core(*index);
            self.runs(place) && !self.machines.get(&place).is_some_and(|machine| machine.disk_lost)
        };
        let good: Vec<usize> = (0..self.cores.len()).filter(counts).collect();
        let majority = self.cores.len() / 2 + 1;
        let in_touch = |index: &usize| {
            let talks =
                |other: &&usize| self.network.can_talk(Place::Core(*index), Place::Core(**other), self.now);
            good.iter().filter(talks).count() >= majority
        };
        let candidates: Vec<usize> = good.iter().copied().filter(in_touch).collect();
        // A majority must talk among itself, not just each with somebody.
        let whole = |index: &usize| {
            let talks =
                |other: &&usize| self.network.can_talk(Place::Core(*index), Place::Core(**other), self.now);
            candidates.iter().filter(talks).count() >= majority
        };
        candidates.iter().copied().filter(whole).collect()
    }

    /// Each dispatcher that could learn for long enough holds what had been acknowledged before.
    pub(crate) fn check_learning(&mut self) -> Result<(), Violation> {
        let cores = self.cores_with_majority();
        for index in 0..self.dispatchers.len() {
            let place = Place::Dispatcher(index);
            let reaches = |core: &usize| self.network.can_talk(place, Place::Core(*core), self.now);
            if !self.runs(place) || !cores.iter().any(reaches) {
                self.learning.since.insert(index, self.now);
                continue;
            }
            let since = *self.learning.since.entry(index).or_insert(self.now);
            if self.now - since < LEARN_BOUND {
                continue;
            }
            let Some(process) = &self.dispatchers[index].process else { continue };
            let (held, acknowledged) =
                (process.configuration(), self.checks.acknowledged_at(self.now - LEARN_BOUND));
            if held < acknowledged {
                return Err(Violation::NotLearnt { dispatcher: place, held, acknowledged, at: self.now });
            }
        }
        Ok(())
    }

    /// Notes the newest placement that any core machine has held: those that hold it may all be down at times, and a
    /// machine that was cut off before still has an earlier one.
    pub(crate) fn note_placement(&mut self) {
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

    /// A primary that serves under the newest placement knows every accepted message of its shards.
    pub(crate) fn check_messages(&self) -> Result<(), Violation> {
        let placement = &self.newest_placement;
        for id in self.checks.ledger.messages() {
            let Some(primary) = placement.shard(id.shard).map(|shard| shard.primary) else { continue };
            let Some(index) = self.store_index(primary) else { continue };
            let Some(process) = &self.stores[index].process else { continue };
            let local = self.stores[index].clock.local(self.now);
            let leads = process.placement().epoch == placement.epoch && process.serves_all(local);
            if leads && process.node.state_of(id).is_none() {
                let primary = Place::Store(index);
                return Err(Violation::MessageLost { id, primary, at: self.now });
            }
        }
        Ok(())
    }

    /// Notes which lost disks are made up for: the machine that has the new one is a full member again.
    pub(crate) fn note_made_up_disks(&mut self) {
        let cores_whole = self.cores_are_whole();
        let stores_whole = self.stores_are_whole();
        for (place, machine) in &mut self.machines {
            let whole = match place {
                Place::Core(_) => cores_whole,
                Place::Store(_) => stores_whole,
                _ => true,
            };
            machine.disk_lost &= !whole;
        }
    }

    /// Every core machine runs and has caught up in a view of all.
    fn cores_are_whole(&self) -> bool {
        let ids: Option<Vec<NodeId>> =
            self.cores.iter().map(|core| Some(core.process.as_ref()?.node.id())).collect();
        let Some(ids) = ids else { return false };
        let mut processes = self.cores.iter().filter_map(|core| core.process.as_ref());
        processes.all(|process| {
            let view = process.node.view();
            let has_all = view.is_some_and(|view| ids.iter().all(|id| view.contains(*id)));
            has_all && process.node.is_in_step()
        })
    }

    /// Every store runs, and the newest placement, which all have adopted, has every shard on as many as wanted.
    fn stores_are_whole(&self) -> bool {
        let placement = &self.newest_placement;
        if placement.epoch.0 == 0 {
            return false;
        }
        let wanted = (2 * self.plan.shape.tolerated_losses as usize + 1).min(self.stores.len());
        let live = |id: &StoreId| self.store_index(*id).is_some_and(|index| self.runs(Place::Store(index)));
        let filled = placement.shards.iter().all(|shard| {
            shard.change.is_none() && shard.replicas.len() >= wanted && shard.replicas.iter().all(live)
        });
        let adopted = self.stores.iter().all(|store| {
            let local = store.clock.local(self.now);
            store.process.as_ref().is_some_and(|process| {
                process.placement().epoch == placement.epoch && process.serves_all(local)
            })
        });
        filled && adopted
    }

    /// Everything runs, is a member, and is filled.
    pub fn is_whole(&self) -> bool {
        let all_run = self.machines.keys().all(|place| self.runs(*place));
        all_run && self.cores_are_whole() && self.stores_are_whole()
    }

    /// Everything is whole, and serves again what was asked after a time.
    pub fn is_well_since(&self, since: u64) -> bool {
        self.what_is_unwell(since).is_none()
    }

    /// What is not well, or has not been served since a time.
    pub(crate) fn what_is_unwell(&self, since: u64) -> Option<&'static str> {
        let served = |index: usize| self.checks.ledger.last_accepted(index) > since;
        let newest = self.checks.acknowledged_at(self.now);
        let learnt = |index: usize| {
            self.dispatchers[index].process.as_ref().is_some_and(|one| one.configuration() >= newest)
        };
        let dispatchers = || 0..self.dispatchers.len();
        let checks: [(&'static str, bool); 6] = [
            ("a process does not run", self.machines.keys().all(|place| self.runs(*place))),
            ("a core machine is no member that has caught up", self.cores_are_whole()),
            ("a shard is not on as many live disks as wanted", self.stores_are_whole()),
            ("no order is acknowledged", newest > self.checks.acknowledged_at(since)),
            ("a dispatcher lacks the newest configuration", dispatchers().all(learnt)),
            ("a dispatcher gets no message accepted", dispatchers().all(served)),
        ];
        checks.into_iter().find(|(_, well)| !well).map(|(what, _)| what)
    }
}
