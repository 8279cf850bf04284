//! The simulated world: processes events one at a time, in the order of true time.

mod connections;
mod event;
mod operator_calls;
mod processes;

use self::event::Event;
use crate::checks::Checks;
use crate::clock::Clock;
use crate::control_machine::ControlMachine;
use crate::core_machine::CoreMachine;
use crate::dispatcher::Dispatcher;
use crate::event::{Call, ProcessId};
use crate::fault::{Fault, PlannedFault, Trigger};
use crate::history::Request;
use crate::machine_id::MachineId;
use crate::network::Network;
use crate::operator::Operator;
use crate::plan::Plan;
use crate::random_time::random_duration;
use crate::recovery::PropagationTracker;
use crate::store_disk::StoreDisk;
use crate::store_machine::StoreMachine;
use crate::violation::Violation;
use crate::{MILLISECOND, SECOND};
use millrudder_chain::SimulatedDisk;
use millrudder_clock::Instant;
use millrudder_control_state::ControlState;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two rounds of dialing.
const DIAL_INTERVAL: Duration = Duration::from_millis(40);
/// Pause between two polls whether a process that got SIGTERM has left.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Additional delay of a delayed message.
const LONG_DELAY: std::ops::Range<Duration> = Duration::from_micros(3_000)..Duration::from_micros(2_000_000);
/// Pause between two checks of the cluster as a whole.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Greatest deviation of a clock's rate from true time, in parts per million.
const CLOCK_RATE_PPM: u64 = 500;
/// The cluster must have bootstrapped by then.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);
/// Identity of the first disk of store 0; those of the other stores follow.
const FIRST_STORE_ID: u64 = 100;
/// A fault whose step is not reached within this time is skipped.
const STEP_FAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a run continues after the recovery.
const FINAL_RUN: Duration = Duration::from_millis(400);

/// State that machines of every kind have.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineState {
    pub incarnation: u32,
    pub frozen_until: Instant,
    pub slow_until: Instant,
    pub sync_free_at: Instant,
    /// Number of replacements by a machine at another address.
    pub generation: u8,
    tick_at: Option<Instant>,
    /// Whether it lost a disk that is not restored yet.
    pub disk_lost: bool,
    pub starts_at: Option<Instant>,
}

/// A dispatcher's machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct DispatcherMachine {
    pub process: Option<Dispatcher>,
    pub clock: Clock,
}

/// The world of one run. `M` is the replicated state machine of the core.
#[derive(Clone)]
pub struct World<M: ControlMachine = ControlState> {
    /// The plan of the run.
    pub plan: Plan,
    pub(crate) random: fastrand::Rng,
    pub(crate) cores: Vec<CoreMachine<M>>,
    pub(crate) stores: Vec<StoreMachine>,
    pub(crate) dispatchers: Vec<DispatcherMachine>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) machines: BTreeMap<MachineId, MachineState>,
    pub(crate) network: Network,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    calls: BTreeMap<Call, (usize, usize, Request)>,
    next_call: u64,
    /// True time.
    pub now: Instant,
    /// Number of deliveries and syncs so far.
    pub steps: u64,
    /// Number of events processed so far.
    pub processed_events: u64,
    /// The observations so far.
    pub checks: Checks,
    pub(crate) propagation: PropagationTracker,
    /// The newest placement of any core machine so far.
    pub(crate) newest_placement: Placement,
    pub(crate) lose_responses_until: Instant,
    injected: Vec<bool>,
    /// When the last fault ends.
    pub faults_end: Instant,
    pub(crate) violation: Option<Violation>,
    bootstrapping: bool,
}

impl<M: ControlMachine> World<M> {
    /// A world before its first event.
    pub fn new(plan: Plan) -> World<M> {
        let mut random = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        let cluster_size = plan.cluster_size;
        let mut clock = || Clock {
            offset: random_duration(&mut random, Duration::ZERO..1_000 * SECOND),
            rate_ppm: random.u64(0..CLOCK_RATE_PPM),
            stalled: Duration::ZERO,
        };
        let core =
            |clock| CoreMachine { process: None, disk: SimulatedDisk::default(), clock, lost_a_disk: false };
        let cores = (0..cluster_size.cores).map(|_| core(clock())).collect();
        let store = |(index, clock)| StoreMachine {
            process: None,
            disk: StoreDisk::default(),
            clock,
            id: StoreId(FIRST_STORE_ID + index as u64),
        };
        let stores = (0..cluster_size.stores).map(|index| store((index, clock()))).collect();
        let dispatchers = (0..cluster_size.dispatchers)
            .map(|_| DispatcherMachine { process: None, clock: clock() })
            .collect();
        let operators =
            (0..cluster_size.operators).map(|index| Operator::new(index, plan.load.max_operator_pause));
        let operators = operators.collect();
        let mut world = World {
            random,
            cores,
            stores,
            dispatchers,
            operators,
            machines: BTreeMap::new(),
            network: Network::default(),
            events: BTreeMap::new(),
            sequence: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            now: Instant::ORIGIN,
            steps: 0,
            processed_events: 0,
            checks: Checks::default(),
            propagation: PropagationTracker::default(),
            newest_placement: Placement::default(),
            lose_responses_until: Instant::ORIGIN,
            injected: Vec::new(),
            faults_end: Instant::ORIGIN,
            violation: None,
            bootstrapping: true,
            plan,
        };
        world.schedule_first_events();
        world
    }

    /// A world that has bootstrapped, and has served its first requests.
    ///
    /// # Errors
    /// An invariant was violated, or the bootstrap timed out.
    pub fn bootstrapped(plan: Plan) -> Result<World<M>, Violation> {
        let mut world = World::new(Plan { faults: Vec::new(), ..plan.clone() });
        while !world.has_recovered_since(Instant::ORIGIN) {
            if world.now > Instant::ORIGIN + BOOTSTRAP_TIMEOUT {
                return Err(Violation::NotRecovered {
                    what: "the cluster has not bootstrapped",
                    at: world.now,
                });
            }
            world.run_until(world.now + CHECK_INTERVAL)?;
        }
        world.bootstrapping = false;
        world.resume(plan);
        Ok(world)
    }

    /// Continues from here with another plan.
    pub fn resume(&mut self, plan: Plan) {
        self.random = fastrand::Rng::with_seed(plan.seed ^ self.now.as_micros());
        self.injected = vec![false; plan.faults.len()];
        self.faults_end = self.now;
        self.bootstrapping = false;
        for operator in &mut self.operators {
            operator.max_pause = plan.load.max_operator_pause;
        }
        for (index, planned) in plan.faults.iter().enumerate() {
            if let Trigger::At(at) | Trigger::OnceComplete(at) = planned.trigger {
                self.schedule(at, Event::InjectFault(index));
            }
        }
        self.plan = plan;
        for core in &mut self.cores {
            if let Some(process) = &mut core.process {
                process.set_mutant(self.plan.mutant.clone());
            }
        }
        for store in &mut self.stores {
            if let Some(process) = &mut store.process {
                process.set_mutant(self.plan.mutant.clone());
            }
        }
        for dispatcher in &mut self.dispatchers {
            if let Some(process) = &mut dispatcher.process {
                process.set_mutant(self.plan.mutant.clone());
            }
        }
    }

    fn schedule_first_events(&mut self) {
        let cluster_size = self.plan.cluster_size;
        let machine_ids = (0..cluster_size.cores)
            .map(MachineId::Core)
            .chain((0..cluster_size.stores).map(MachineId::Store));
        let machine_ids: Vec<MachineId> =
            machine_ids.chain((0..cluster_size.dispatchers).map(MachineId::Dispatcher)).collect();
        for machine_id in machine_ids {
            self.machines.insert(machine_id, MachineState::default());
            let delay = random_duration(&mut self.random, Duration::ZERO..100 * MILLISECOND);
            self.schedule(Instant::ORIGIN + delay, Event::Start { machine_id });
        }
        self.schedule(Instant::ORIGIN, Event::Dial);
        self.schedule(Instant::ORIGIN + CHECK_INTERVAL, Event::CheckInvariants);
        for operator in 0..cluster_size.operators {
            self.schedule(Instant::ORIGIN + 2 * SECOND, Event::OperatorTurn { operator });
        }
        self.injected = vec![false; self.plan.faults.len()];
    }

    /// Runs the plan: injects all faults, awaits the recovery, and checks the history.
    ///
    /// # Errors
    /// An invariant was violated, or the recovery timed out.
    pub fn play(&mut self) -> Result<(), Violation> {
        let latest = self.plan.faults.iter().filter_map(|planned| match planned.trigger {
            Trigger::At(at) | Trigger::OnceComplete(at) => Some(at),
            Trigger::Step(_) => None,
        });
        let latest = latest.max().unwrap_or_default().max(self.now);
        while self.now <= latest {
            self.run_until(self.now + CHECK_INTERVAL)?;
        }
        let deadline = self.now + STEP_FAULT_TIMEOUT;
        while self.now < deadline && self.waits_for_step() {
            self.run_until(self.now + CHECK_INTERVAL)?;
        }
        self.recover()?;
        self.run_until(self.now + FINAL_RUN)?;
        self.checks.check_history()
    }

    /// Whether a fault that is planned for a step was not injected yet.
    fn waits_for_step(&self) -> bool {
        let planned = self.plan.faults.iter().zip(&self.injected);
        planned
            .into_iter()
            .any(|(planned, injected)| !injected && matches!(planned.trigger, Trigger::Step(_)))
    }

    /// Runs until the cluster has recovered from the last fault.
    fn recover(&mut self) -> Result<(), Violation> {
        loop {
            self.run_until(self.now + CHECK_INTERVAL)?;
            let since = self.faults_end;
            if self.now >= since {
                // Operators without responses send no new requests, which the recovery is checked by.
                self.plan.fault_rates.lost_responses = 0.0;
            }
            if self.now >= since && self.has_recovered_since(since) {
                return Ok(());
            }
            if self.now > since + self.plan.recovery_timeout {
                let what = self.unrecovered_since(since).unwrap_or("unknown");
                // A wrong response is the better explanation of a run that does not recover.
                self.checks.check_history()?;
                return Err(Violation::NotRecovered { what, at: self.now });
            }
        }
    }

    /// Runs until a true time.
    ///
    /// # Errors
    /// An invariant was violated.
    pub fn run_until(&mut self, until: Instant) -> Result<(), Violation> {
        while self.step_before(until)? {}
        self.now = self.now.max(until);
        Ok(())
    }

    /// Runs until a disk was lost and is restored.
    ///
    /// # Errors
    /// An invariant was violated, or the recovery timed out.
    pub fn run_until_disk_restored(&mut self) -> Result<(), Violation> {
        let until = self.now + self.plan.recovery_timeout;
        let mut was_lost = false;
        while self.step_before(until)? {
            self.update_newest_placement();
            self.update_restored_disks();
            let is_missing = self.machines.values().any(|machine| machine.disk_lost);
            if was_lost && !is_missing {
                return Ok(());
            }
            was_lost |= is_missing;
        }
        Err(Violation::NotRecovered { what: "a lost disk is not restored", at: self.now })
    }

    /// Number of updates that were acknowledged to operators.
    pub fn accepted_changes(&self) -> usize {
        self.operators.iter().map(Operator::accepted).sum()
    }

    /// Processes the next event if it is due by a true time; returns whether it was.
    ///
    /// # Errors
    /// An invariant was violated.
    pub fn step_before(&mut self, until: Instant) -> Result<bool, Violation> {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) else {
            return Ok(false);
        };
        let (at, sequence) = *entry.key();
        let event = entry.remove();
        self.now = self.now.max(at);
        self.processed_events += 1;
        let frozen_until = event
            .handled_by()
            .and_then(|machine_id| self.machines.get(&machine_id))
            .map_or(Instant::ORIGIN, |one| one.frozen_until);
        if frozen_until > self.now {
            self.events.insert((frozen_until, sequence), event);
            return Ok(true);
        }
        let steps = self.steps;
        self.process_event(sequence, event);
        if self.steps != steps {
            self.inject_at_step();
        }
        match self.violation.take() {
            Some(violation) => Err(violation),
            None => Ok(true),
        }
    }

    pub(crate) fn schedule_start(&mut self, machine_id: MachineId, at: Instant) {
        self.machine(machine_id).starts_at = Some(at);
        self.schedule(at, Event::Start { machine_id });
    }

    pub(crate) fn schedule_end(
        &mut self,
        machine_id: MachineId,
        at: Instant,
        downtime: Duration,
        latest: Instant,
    ) {
        let process = self.process_of(machine_id);
        self.schedule(at, Event::End { process, downtime, latest });
    }

    /// Ends a process that got SIGTERM once it has left, or at the latest time.
    fn end(&mut self, process: ProcessId, downtime: Duration, latest: Instant) {
        let machine_id = process.machine_id;
        if self.process_of(machine_id) != process || !self.is_up(machine_id) {
            return;
        }
        if self.now < latest && !self.can_leave(machine_id) {
            return self.schedule(self.now + LEAVE_POLL_INTERVAL, Event::End { process, downtime, latest });
        }
        self.inject(&Fault::Kill { machine_id, downtime });
    }

    fn can_leave(&self, machine_id: MachineId) -> bool {
        let now = self.clock(machine_id).local(self.now);
        match machine_id {
            MachineId::Core(index) => {
                self.cores[index].process.as_ref().is_some_and(|one| one.can_leave(now))
            }
            MachineId::Store(index) => {
                self.stores[index].process.as_ref().is_some_and(|one| one.can_leave(now))
            }
            _ => true,
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    pub(crate) fn machine(&mut self, machine_id: MachineId) -> &mut MachineState {
        self.machines.entry(machine_id).or_default()
    }

    pub(crate) fn process_of(&self, machine_id: MachineId) -> ProcessId {
        ProcessId {
            machine_id,
            incarnation: self.machines.get(&machine_id).map_or(0, |machine| machine.incarnation),
        }
    }

    /// Whether a machine's process runs, frozen or not.
    pub fn is_up(&self, machine_id: MachineId) -> bool {
        match machine_id {
            MachineId::Core(index) => self.cores[index].process.is_some(),
            MachineId::Store(index) => self.stores[index].process.is_some(),
            MachineId::Dispatcher(index) => self.dispatchers[index].process.is_some(),
            MachineId::Operator(_) => true,
        }
    }

    /// Whether a machine's process runs and is not frozen.
    pub(crate) fn is_running(&self, machine_id: MachineId) -> bool {
        self.is_up(machine_id)
            && self.machines.get(&machine_id).is_some_and(|machine| machine.frozen_until <= self.now)
    }

    pub(crate) fn address(&self, machine_id: MachineId) -> SocketAddr {
        machine_id.address(self.machines.get(&machine_id).map_or(0, |machine| machine.generation))
    }

    fn at_address(&self, address: SocketAddr) -> Option<MachineId> {
        self.machines.keys().copied().find(|machine_id| self.address(*machine_id) == address)
    }

    fn process_event(&mut self, sequence: u64, event: Event) {
        match event {
            Event::Arrive { connection, to, payload, after_close } => {
                self.arrive(sequence, connection, to, payload, after_close);
            }
            Event::Closed { connection, at } => self.closed(connection, at),
            Event::Synced { process, token } => self.synced(process, token),
            Event::Tick { process, at } => self.tick(process, at),
            Event::Start { machine_id } => self.start(machine_id),
            Event::End { process, downtime, latest } => self.end(process, downtime, latest),
            Event::InjectFault(index) => self.inject_planned(index),
            Event::Dial => {
                self.dial();
                self.schedule(self.now + DIAL_INTERVAL, Event::Dial);
            }
            Event::CheckInvariants => {
                self.check_invariants();
                self.schedule(self.now + CHECK_INTERVAL, Event::CheckInvariants);
            }
            Event::OperatorTurn { operator } => self.operator_calls(operator),
            Event::CallArrives { call, at, request } => self.call_arrives(call, at, request),
            Event::ResponseArrives { call, operator, response } => {
                self.response_arrives(call, operator, response)
            }
            Event::CallTimedOut { call, operator } => self.call_timed_out(call, operator),
        }
    }

    fn inject_planned(&mut self, index: usize) {
        let PlannedFault { trigger, fault } = self.plan.faults[index].clone();
        if matches!(trigger, Trigger::OnceComplete(_)) && !self.is_complete() {
            // If the cluster never becomes complete, the fault is skipped.
            if self.now < self.faults_end + self.plan.recovery_timeout {
                self.schedule(self.now + 10 * MILLISECOND, Event::InjectFault(index));
                self.faults_end = self.faults_end.max(self.now);
            }
            return;
        }
        self.inject_once(index, &fault);
    }

    fn inject_once(&mut self, index: usize, fault: &Fault) {
        if std::mem::replace(&mut self.injected[index], true) {
            return;
        }
        self.inject(fault);
    }

    fn inject_at_step(&mut self) {
        for index in 0..self.plan.faults.len() {
            let PlannedFault { trigger, fault } = &self.plan.faults[index];
            if *trigger == Trigger::Step(self.steps) {
                let fault = fault.clone();
                self.inject_once(index, &fault);
            }
        }
    }

    fn check_invariants(&mut self) {
        self.close_blocked_connections();
        self.update_newest_placement();
        if self.bootstrapping {
            return;
        }
        self.update_restored_disks();
        let checked = self.check_propagation().and_then(|()| self.check_messages());
        if let Err(violation) = checked {
            self.violation.get_or_insert(violation);
        }
    }
}
