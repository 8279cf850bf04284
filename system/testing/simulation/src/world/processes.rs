//! Processes at their places: starting, happenings and their effects, ticks and syncs.

use super::event::Event;
use super::World;
use crate::clock::Clock;
use crate::control_machine::ControlMachine;
use crate::core_machine::{CoreMachine, CoreProcess, CoreScene, CoreSettings};
use crate::dispatcher::{Dispatcher, DispatcherScene, DispatcherSettings};
use crate::event::{Effect, Happening, Process};
use crate::place::Place;
use crate::store_disk::StoreDisk;
use crate::store_machine::{StoreMachine, StoreProcess, StoreScene, StoreSettings};
use crate::MILLISECOND;
use millrudder_chain::PersistToken;
use millrudder_protocol::{DispatcherId, StoreId};
use std::net::SocketAddr;

/// Time of a sync.
const SYNC: std::ops::Range<u64> = 1_500..6_000;
/// Time of a sync of a slow disk.
const SLOW_SYNC: std::ops::Range<u64> = 50 * MILLISECOND..600 * MILLISECOND;
/// How late a timer may go off.
const LATENESS: std::ops::Range<u64> = 0..2_000;
/// Between two disks of the same machine.
const NEXT_DISK: u64 = 1_000;

impl<M: ControlMachine> World<M> {
    pub(super) fn start(&mut self, place: Place) {
        if self.is_up(place) {
            return;
        }
        for connection in self.network.touching(place) {
            if self.network.link(connection).is_some_and(|link| !link.is_open_at(place)) {
                self.notice_closed(connection, place);
            }
        }
        let (now, seed) = (self.now, self.random.u64(..));
        let machine = self.machine(place);
        machine.life += 1;
        machine.tick_at = None;
        machine.sync_free_at = now;
        machine.starts_at = None;
        match place {
            Place::Core(index) => self.start_core(index, seed),
            Place::Store(index) => self.start_store(index, seed),
            Place::Dispatcher(index) => self.start_dispatcher(index, seed),
            Place::Operator(_) => {}
        }
        self.give(place, Happening::Tick);
    }

    pub(super) fn core_addresses(&self) -> Vec<SocketAddr> {
        (0..self.cores.len()).map(|index| self.address(Place::Core(index))).collect()
    }

    pub(super) fn start_core(&mut self, index: usize, seed: u64) {
        let settings = CoreSettings {
            address: self.address(Place::Core(index)),
            seeds: self.core_addresses(),
            bootstrap: !self.cores[index].lost_a_disk,
            tolerated_losses: self.plan.shape.tolerated_losses,
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let core = &mut self.cores[index];
        core.process = Some(CoreProcess::start(settings, mutant, &core.disk, seed, core.clock.local(now)));
    }

    pub(super) fn start_store(&mut self, index: usize, seed: u64) {
        let place = Place::Store(index);
        let settings = StoreSettings {
            id: self.stores[index].id,
            name: format!("store-{index}"),
            zone: place.zone(),
            address: self.address(place),
            seeds: self.core_addresses(),
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let store = &mut self.stores[index];
        let local = store.clock.local(now);
        store.process = Some(StoreProcess::start(settings, mutant, &store.disk, seed, local, now));
    }

    pub(super) fn start_dispatcher(&mut self, index: usize, seed: u64) {
        let place = Place::Dispatcher(index);
        let life = self.process_of(place).life;
        let settings = DispatcherSettings {
            id: DispatcherId((index as u64 + 1) * NEXT_DISK + u64::from(life)),
            name: format!("dispatcher-{index}"),
            zone: place.zone(),
            seeds: self.core_addresses(),
            message_every: self.plan.load.message_every,
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let dispatcher = &mut self.dispatchers[index];
        let local = dispatcher.clock.local(now);
        dispatcher.process = Some(Dispatcher::start(settings, mutant, seed, local));
        self.checks.restarted(index);
        self.learning.restarted(index, now);
    }

    /// Another disk for a store machine.
    pub(crate) fn new_store_disk(&mut self, index: usize) {
        let store = &mut self.stores[index];
        store.disk = StoreDisk::default();
        store.id = StoreId(store.id.0 + NEXT_DISK);
    }

    pub(super) fn clock(&self, place: Place) -> Clock {
        match place {
            Place::Core(index) => self.cores[index].clock,
            Place::Store(index) => self.stores[index].clock,
            Place::Dispatcher(index) => self.dispatchers[index].clock,
            Place::Operator(_) => Clock::default(),
        }
    }

    /// Hands a happening to the process at a place and carries out what it does.
    pub(crate) fn give(&mut self, place: Place, happening: Happening) {
        let mut effects = Vec::new();
        let now = self.clock(place).local(self.now);
        match place {
            Place::Core(index) => {
                let CoreMachine { process, disk, clock, .. } = &mut self.cores[index];
                let Some(process) = process else { return };
                let stood_still = clock.stood_still;
                process.handle(&mut CoreScene { now, stood_still, disk, effects: &mut effects }, happening);
            }
            Place::Store(index) => {
                let StoreMachine { process, disk, .. } = &mut self.stores[index];
                let Some(process) = process else { return };
                let true_now = self.now;
                process.handle(&mut StoreScene { now, true_now, disk, effects: &mut effects }, happening);
            }
            Place::Dispatcher(index) => {
                let stood_still = self.dispatchers[index].clock.stood_still;
                let Some(process) = &mut self.dispatchers[index].process else { return };
                process.handle(&mut DispatcherScene { now, stood_still, effects: &mut effects }, happening);
            }
            Place::Operator(_) => return,
        }
        self.carry_out(place, effects);
        self.arm(place);
    }

    pub(super) fn carry_out(&mut self, place: Place, effects: Vec<Effect>) {
        let mut syncs = false;
        for effect in effects {
            match effect {
                Effect::Send { connection, payload } => self.send(place, connection, payload),
                Effect::Close { connection } => self.close(place, connection),
                Effect::Sync => syncs = true,
                Effect::Answer { call, answer } => self.send_answer(place, call, answer),
                Effect::Seen(seen) => {
                    if let Err(violation) = self.checks.seen(place, self.now, seen) {
                        self.violation.get_or_insert(violation);
                    }
                }
            }
        }
        if syncs {
            self.start_sync(place);
        }
    }

    pub(super) fn arm(&mut self, place: Place) {
        let clock = self.clock(place);
        let local = clock.local(self.now);
        let due = match place {
            Place::Core(index) => self.cores[index].process.as_ref().map(|one| one.next_deadline(local)),
            Place::Store(index) => self.stores[index].process.as_ref().map(StoreProcess::next_deadline),
            Place::Dispatcher(index) => {
                self.dispatchers[index].process.as_ref().map(Dispatcher::next_deadline)
            }
            Place::Operator(_) => None,
        };
        let Some(due) = due else { return };
        let due = clock.true_time(self.now, due);
        let lateness = self.random.u64(LATENESS);
        let machine = self.machine(place);
        if machine.tick_at.is_some_and(|at| at <= due + LATENESS.end) {
            return;
        }
        let at = due + lateness;
        machine.tick_at = Some(at);
        let process = self.process_of(place);
        self.schedule(at, Event::Tick { process, at });
    }

    pub(super) fn tick(&mut self, process: Process, at: u64) {
        let same = self.process_of(process.place) == process;
        if same && self.machine(process.place).tick_at == Some(at) {
            self.machine(process.place).tick_at = None;
            self.give(process.place, Happening::Tick);
        }
    }

    pub(super) fn start_sync(&mut self, place: Place) {
        let slow = self.machine(place).slow_until > self.now;
        let takes = self.random.u64(if slow { SLOW_SYNC } else { SYNC });
        let token = match place {
            Place::Core(index) => self.cores[index].disk.last_token(),
            Place::Store(index) => {
                if !self.stores[index].disk.start_sync() {
                    return;
                }
                None
            }
            _ => return,
        };
        let now = self.now;
        let machine = self.machine(place);
        let at = machine.sync_free_at.max(now + takes);
        machine.sync_free_at = at;
        let process = self.process_of(place);
        self.schedule(at, Event::Synced { process, token });
    }

    pub(super) fn synced(&mut self, process: Process, token: Option<PersistToken>) {
        let place = process.place;
        if self.process_of(place) != process || !self.is_up(place) {
            return;
        }
        self.steps += 1;
        match (place, token) {
            (Place::Core(index), Some(token)) => self.core_synced(index, token),
            _ => {
                self.give(place, Happening::Synced);
                self.start_sync(place);
            }
        }
    }

    pub(super) fn core_synced(&mut self, index: usize, token: PersistToken) {
        let place = Place::Core(index);
        let now = self.clock(place).local(self.now);
        let mut effects = Vec::new();
        let CoreMachine { process, disk, clock, .. } = &mut self.cores[index];
        let stood_still = clock.stood_still;
        disk.finish(token);
        if let Some(process) = process {
            process.persisted(&mut CoreScene { now, stood_still, disk, effects: &mut effects }, token);
        }
        self.carry_out(place, effects);
        self.arm(place);
    }
}
