//! Processes of machines: starts, inputs and their effects, timers and syncs.

use super::event::Event;
use super::World;
use crate::clock::Clock;
use crate::control_machine::ControlMachine;
use crate::core_machine::{CoreContext, CoreMachine, CoreProcess, CoreSettings};
use crate::dispatcher::{Dispatcher, DispatcherContext, DispatcherSettings};
use crate::event::{Effect, ProcessId, ProcessInput};
use crate::machine_id::MachineId;
use crate::random_time::random_duration;
use crate::store_disk::StoreDisk;
use crate::store_machine::{StoreContext, StoreMachine, StoreProcess, StoreSettings};
use millrudder_chain::PersistToken;
use millrudder_clock::Instant;
use millrudder_protocol::{DispatcherId, StoreId};
use std::net::SocketAddr;
use std::time::Duration;

/// Duration of a sync.
const SYNC_TIME: std::ops::Range<Duration> = Duration::from_micros(1_500)..Duration::from_micros(6_000);
/// Duration of a sync of a slow disk.
const SLOW_SYNC_TIME: std::ops::Range<Duration> = Duration::from_millis(50)..Duration::from_millis(600);
/// Delay of a timer.
const TIMER_DELAY: std::ops::Range<Duration> = Duration::from_micros(0)..Duration::from_micros(2_000);
/// Difference between the identities of two disks of the same machine.
const DISK_ID_STEP: u64 = 1_000;

impl<M: ControlMachine> World<M> {
    pub(super) fn start(&mut self, machine_id: MachineId) {
        if self.is_up(machine_id) {
            return;
        }
        for connection in self.network.connections_of(machine_id) {
            if self.network.link(connection).is_some_and(|link| !link.is_open_at(machine_id)) {
                self.notify_peer_closed(connection, machine_id);
            }
        }
        let (now, seed) = (self.now, self.random.u64(..));
        let machine = self.machine(machine_id);
        machine.incarnation += 1;
        machine.tick_at = None;
        machine.sync_free_at = now;
        machine.starts_at = None;
        match machine_id {
            MachineId::Core(index) => self.start_core(index, seed),
            MachineId::Store(index) => self.start_store(index, seed),
            MachineId::Dispatcher(index) => self.start_dispatcher(index, seed),
            MachineId::Operator(_) => {}
        }
        self.deliver(machine_id, ProcessInput::Tick);
    }

    pub(super) fn core_addresses(&self) -> Vec<SocketAddr> {
        (0..self.cores.len()).map(|index| self.address(MachineId::Core(index))).collect()
    }

    pub(super) fn start_core(&mut self, index: usize, seed: u64) {
        let settings = CoreSettings {
            address: self.address(MachineId::Core(index)),
            seeds: self.core_addresses(),
            bootstrap: !self.cores[index].lost_a_disk,
            tolerated_losses: self.plan.cluster_size.tolerated_losses,
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let core = &mut self.cores[index];
        core.process = Some(CoreProcess::start(settings, mutant, &core.disk, seed, core.clock.local(now)));
    }

    pub(super) fn start_store(&mut self, index: usize, seed: u64) {
        let machine_id = MachineId::Store(index);
        let settings = StoreSettings {
            id: self.stores[index].id,
            name: format!("store-{index}"),
            zone: machine_id.zone(),
            address: self.address(machine_id),
            seeds: self.core_addresses(),
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let store = &mut self.stores[index];
        let local = store.clock.local(now);
        store.process = Some(StoreProcess::start(settings, mutant, &store.disk, seed, local, now));
    }

    pub(super) fn start_dispatcher(&mut self, index: usize, seed: u64) {
        let machine_id = MachineId::Dispatcher(index);
        let incarnation = self.process_of(machine_id).incarnation;
        let settings = DispatcherSettings {
            id: DispatcherId((index as u64 + 1) * DISK_ID_STEP + u64::from(incarnation)),
            name: format!("dispatcher-{index}"),
            zone: machine_id.zone(),
            seeds: self.core_addresses(),
            message_interval: self.plan.load.message_interval,
        };
        let (now, mutant) = (self.now, self.plan.mutant.clone());
        let dispatcher = &mut self.dispatchers[index];
        let local = dispatcher.clock.local(now);
        dispatcher.process = Some(Dispatcher::start(settings, mutant, seed, local));
        self.checks.restarted(index);
        self.propagation.restarted(index, now);
    }

    /// Gives a store machine an empty disk with a new identity.
    pub(crate) fn new_store_disk(&mut self, index: usize) {
        let store = &mut self.stores[index];
        store.disk = StoreDisk::default();
        store.id = StoreId(store.id.0 + DISK_ID_STEP);
    }

    pub(super) fn clock(&self, machine_id: MachineId) -> Clock {
        match machine_id {
            MachineId::Core(index) => self.cores[index].clock,
            MachineId::Store(index) => self.stores[index].clock,
            MachineId::Dispatcher(index) => self.dispatchers[index].clock,
            MachineId::Operator(_) => Clock::default(),
        }
    }

    /// Delivers an input to a machine's process and applies its effects.
    pub(crate) fn deliver(&mut self, machine_id: MachineId, input: ProcessInput) {
        let mut effects = Vec::new();
        let now = self.clock(machine_id).local(self.now);
        match machine_id {
            MachineId::Core(index) => {
                let CoreMachine { process, disk, clock, .. } = &mut self.cores[index];
                let Some(process) = process else { return };
                let stalled = clock.stalled;
                process.handle(&mut CoreContext { now, stalled, disk, effects: &mut effects }, input);
            }
            MachineId::Store(index) => {
                let StoreMachine { process, disk, .. } = &mut self.stores[index];
                let Some(process) = process else { return };
                let true_now = self.now;
                process.handle(&mut StoreContext { now, true_now, disk, effects: &mut effects }, input);
            }
            MachineId::Dispatcher(index) => {
                let stalled = self.dispatchers[index].clock.stalled;
                let Some(process) = &mut self.dispatchers[index].process else { return };
                process.handle(&mut DispatcherContext { now, stalled, effects: &mut effects }, input);
            }
            MachineId::Operator(_) => return,
        }
        self.carry_out(machine_id, effects);
        self.arm(machine_id);
    }

    pub(super) fn carry_out(&mut self, machine_id: MachineId, effects: Vec<Effect>) {
        let mut syncs = false;
        for effect in effects {
            match effect {
                Effect::Send { connection, payload } => self.send(machine_id, connection, payload),
                Effect::Close { connection } => self.close(machine_id, connection),
                Effect::Sync => syncs = true,
                Effect::Response { call, response } => self.send_response(call, response),
                Effect::Observe(observation) => {
                    if let Err(violation) = self.checks.observe(machine_id, self.now, observation) {
                        self.violation.get_or_insert(violation);
                    }
                }
            }
        }
        if syncs {
            self.start_sync(machine_id);
        }
    }

    pub(super) fn arm(&mut self, machine_id: MachineId) {
        let clock = self.clock(machine_id);
        let local = clock.local(self.now);
        let due = match machine_id {
            MachineId::Core(index) => self.cores[index].process.as_ref().map(|one| one.next_deadline(local)),
            MachineId::Store(index) => self.stores[index].process.as_ref().map(StoreProcess::next_deadline),
            MachineId::Dispatcher(index) => {
                self.dispatchers[index].process.as_ref().map(Dispatcher::next_deadline)
            }
            MachineId::Operator(_) => None,
        };
        let Some(due) = due else { return };
        let due = clock.true_time(self.now, due);
        let lateness = random_duration(&mut self.random, TIMER_DELAY);
        let machine = self.machine(machine_id);
        if machine.tick_at.is_some_and(|at| at <= due + TIMER_DELAY.end) {
            return;
        }
        let at = due + lateness;
        machine.tick_at = Some(at);
        let process = self.process_of(machine_id);
        self.schedule(at, Event::Tick { process, at });
    }

    pub(super) fn tick(&mut self, process: ProcessId, at: Instant) {
        let same = self.process_of(process.machine_id) == process;
        if same && self.machine(process.machine_id).tick_at == Some(at) {
            self.machine(process.machine_id).tick_at = None;
            self.deliver(process.machine_id, ProcessInput::Tick);
        }
    }

    pub(super) fn start_sync(&mut self, machine_id: MachineId) {
        let now = self.now;
        let slow = self.machine(machine_id).slow_until > now;
        let takes = random_duration(&mut self.random, if slow { SLOW_SYNC_TIME } else { SYNC_TIME });
        let token = match machine_id {
            MachineId::Core(index) => self.cores[index].disk.last_token(),
            MachineId::Store(index) => {
                if !self.stores[index].disk.start_sync() {
                    return;
                }
                None
            }
            _ => return,
        };
        let machine = self.machine(machine_id);
        let at = machine.sync_free_at.max(now + takes);
        machine.sync_free_at = at;
        let process = self.process_of(machine_id);
        self.schedule(at, Event::Synced { process, token });
    }

    pub(super) fn synced(&mut self, process: ProcessId, token: Option<PersistToken>) {
        let machine_id = process.machine_id;
        if self.process_of(machine_id) != process || !self.is_up(machine_id) {
            return;
        }
        self.steps += 1;
        match (machine_id, token) {
            (MachineId::Core(index), Some(token)) => self.core_synced(index, token),
            _ => {
                self.deliver(machine_id, ProcessInput::Synced);
                self.start_sync(machine_id);
            }
        }
    }

    pub(super) fn core_synced(&mut self, index: usize, token: PersistToken) {
        let machine_id = MachineId::Core(index);
        let now = self.clock(machine_id).local(self.now);
        let mut effects = Vec::new();
        let CoreMachine { process, disk, clock, .. } = &mut self.cores[index];
        let stalled = clock.stalled;
        disk.finish(token);
        if let Some(process) = process {
            process.handle_persisted(&mut CoreContext { now, stalled, disk, effects: &mut effects }, token);
        }
        self.carry_out(machine_id, effects);
        self.arm(machine_id);
    }
}
