//! The simulated world: one event at a time, in the order of time.

mod calls;
mod event;
mod links;
mod processes;

use self::event::Event;
use crate::checks::Checks;
use crate::clock::Clock;
use crate::control_machine::ControlMachine;
use crate::core_machine::CoreMachine;
use crate::dispatcher::Dispatcher;
use crate::event::{Call, Process};
use crate::fault::{Fault, PlannedFault, When};
use crate::history::Order;
use crate::network::Network;
use crate::operator::Operator;
use crate::place::Place;
use crate::plan::Plan;
use crate::reachability::Learning;
use crate::store_disk::StoreDisk;
use crate::store_machine::StoreMachine;
use crate::violation::Violation;
use crate::{MILLISECOND, SECOND};
use millrudder_chain::SimulatedDisk;
use millrudder_control_state::ControlState;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Pause between two rounds in which connections are dialed.
const DIAL_EVERY: u64 = 40 * MILLISECOND;
/// Pause between two looks whether a process that was told to stop may go.
const LOOK_EVERY: u64 = 20 * MILLISECOND;
/// Delay of what is held up.
const LATE: std::ops::Range<u64> = 3_000..2_000_000;
/// Pause between two looks at what must hold of the whole.
const WATCH_EVERY: u64 = 100 * MILLISECOND;
/// The largest difference of a clock's rate from true time, in parts per million.
const CLOCK_RATE_PPM: u64 = 500;
/// The founding must be done by then.
const FOUNDED_WITHIN: u64 = 20 * SECOND;
/// Names of the first disks of stores; each further disk of a machine has a higher one.
const FIRST_STORE: u64 = 100;
/// Faults that are planned for a step which has not come by then are left out.
const STEPS_WITHIN: u64 = 10 * SECOND;
/// How long the last checks go on after all is well again.
const AFTERWARDS: u64 = 400 * MILLISECOND;

/// What is the same of every machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Machine {
    pub life: u32,
    pub frozen_until: u64,
    pub slow_until: u64,
    pub sync_free_at: u64,
    /// Count of replacements by a machine at another address.
    pub generation: u8,
    tick_at: Option<u64>,
    /// A disk of it was lost and is not made up for yet.
    pub disk_lost: bool,
    pub starts_at: Option<u64>,
}

/// A dispatcher's machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct DispatcherMachine {
    pub process: Option<Dispatcher>,
    pub clock: Clock,
}

/// The world of one run; its replicated machine may be a test's own.
#[derive(Clone)]
pub struct World<M: ControlMachine = ControlState> {
    pub plan: Plan,
    pub(crate) random: fastrand::Rng,
    pub(crate) cores: Vec<CoreMachine<M>>,
    pub(crate) stores: Vec<StoreMachine>,
    pub(crate) dispatchers: Vec<DispatcherMachine>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) machines: BTreeMap<Place, Machine>,
    pub(crate) network: Network,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    calls: BTreeMap<Call, (usize, usize, Order)>,
    next_call: u64,
    pub now: u64,
    /// Deliveries and syncs so far.
    pub steps: u64,
    pub events_played: u64,
    pub checks: Checks,
    pub(crate) learning: Learning,
    /// The newest placement that any core machine has held.
    pub(crate) newest_placement: Placement,
    pub(crate) lose_answers_until: u64,
    struck: Vec<bool>,
    /// When the last fault ends.
    pub faults_end: u64,
    pub(crate) violation: Option<Violation>,
    founding: bool,
}

impl<M: ControlMachine> World<M> {
    /// A world in which nothing has happened yet.
    pub fn new(plan: Plan) -> World<M> {
        let mut random = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        let shape = plan.shape;
        let mut clock = || Clock {
            offset: random.u64(0..1_000 * SECOND),
            rate_ppm: random.u64(0..CLOCK_RATE_PPM),
            stood_still: 0,
        };
        let core =
            |clock| CoreMachine { process: None, disk: SimulatedDisk::default(), clock, lost_a_disk: false };
        let cores = (0..shape.cores).map(|_| core(clock())).collect();
        let store = |(index, clock)| StoreMachine {
            process: None,
            disk: StoreDisk::default(),
            clock,
            id: StoreId(FIRST_STORE + index as u64),
        };
        let stores = (0..shape.stores).map(|index| store((index, clock()))).collect();
        let dispatchers =
            (0..shape.dispatchers).map(|_| DispatcherMachine { process: None, clock: clock() }).collect();
        let operators = (0..shape.operators).map(|index| Operator::new(index, plan.load.operator_pace));
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
            order: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            now: 0,
            steps: 0,
            events_played: 0,
            checks: Checks::default(),
            learning: Learning::default(),
            newest_placement: Placement::default(),
            lose_answers_until: 0,
            struck: Vec::new(),
            faults_end: 0,
            violation: None,
            founding: true,
            plan,
        };
        world.set_the_scene();
        world
    }

    /// A world whose core and placement are founded and that has served its first messages.
    ///
    /// # Errors
    /// A promise was broken, or it was not founded in time.
    pub fn founded(plan: Plan) -> Result<World<M>, Violation> {
        let mut world = World::new(Plan { faults: Vec::new(), ..plan.clone() });
        while !world.is_well_since(0) {
            if world.now > FOUNDED_WITHIN {
                return Err(Violation::Stuck { what: "the founding is not done", at: world.now });
            }
            world.run_until(world.now + WATCH_EVERY)?;
        }
        world.founding = false;
        world.resume(plan);
        Ok(world)
    }

    /// Goes on from here with other faults, load and chance.
    pub fn resume(&mut self, plan: Plan) {
        self.random = fastrand::Rng::with_seed(plan.seed ^ self.now);
        self.struck = vec![false; plan.faults.len()];
        self.faults_end = self.now;
        self.founding = false;
        for operator in &mut self.operators {
            operator.pace = plan.load.operator_pace;
        }
        for (index, planned) in plan.faults.iter().enumerate() {
            if let When::At(at) | When::WhenWhole(at) = planned.when {
                self.schedule(at, Event::Strike(index));
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

    fn set_the_scene(&mut self) {
        let shape = self.plan.shape;
        let places = (0..shape.cores).map(Place::Core).chain((0..shape.stores).map(Place::Store));
        let places: Vec<Place> = places.chain((0..shape.dispatchers).map(Place::Dispatcher)).collect();
        for place in places {
            self.machines.insert(place, Machine::default());
            let at = self.random.u64(0..100 * MILLISECOND);
            self.schedule(at, Event::Start { place });
        }
        self.schedule(0, Event::Dial);
        self.schedule(WATCH_EVERY, Event::Watch);
        for operator in 0..shape.operators {
            self.schedule(2 * SECOND, Event::OperatorTurn { operator });
        }
        self.struck = vec![false; self.plan.faults.len()];
    }

    /// Plays the plan: all faults, the recovery after them, and the last checks.
    ///
    /// # Errors
    /// A promise was broken, or things were not well again in time.
    pub fn play(&mut self) -> Result<(), Violation> {
        let latest = self.plan.faults.iter().filter_map(|planned| match planned.when {
            When::At(at) | When::WhenWhole(at) => Some(at),
            When::Step(_) => None,
        });
        let latest = latest.max().unwrap_or_default().max(self.now);
        while self.now <= latest {
            self.run_until(self.now + WATCH_EVERY)?;
        }
        let given_up = self.now + STEPS_WITHIN;
        while self.now < given_up && self.waits_for_step() {
            self.run_until(self.now + WATCH_EVERY)?;
        }
        self.recover()?;
        self.run_until(self.now + AFTERWARDS)?;
        self.checks.check_history()
    }

    /// Whether a fault has not struck that is planned for a step.
    fn waits_for_step(&self) -> bool {
        let planned = self.plan.faults.iter().zip(&self.struck);
        planned.into_iter().any(|(planned, struck)| !struck && matches!(planned.when, When::Step(_)))
    }

    /// Waits until all is well after the last fault.
    fn recover(&mut self) -> Result<(), Violation> {
        loop {
            self.run_until(self.now + WATCH_EVERY)?;
            let since = self.faults_end;
            if self.now >= since {
                // Operators who hear nothing send nothing new, by which the system could show that it is well.
                self.plan.noise.lost_answers = 0.0;
            }
            if self.now >= since && self.is_well_since(since) {
                return Ok(());
            }
            if self.now > since + self.plan.recovery {
                let what = self.what_is_unwell(since).unwrap_or("unknown");
                // What was answered wrongly tells more than that something hangs.
                self.checks.check_history()?;
                return Err(Violation::Stuck { what, at: self.now });
            }
        }
    }

    /// Plays until a time (microseconds).
    ///
    /// # Errors
    /// A promise was broken.
    pub fn run_until(&mut self, until: u64) -> Result<(), Violation> {
        while self.step_before(until)? {}
        self.now = self.now.max(until);
        Ok(())
    }

    /// Plays until a disk was lost and is made up for, event by event.
    ///
    /// # Errors
    /// A promise was broken, or it takes longer than a recovery may.
    pub fn run_until_made_up(&mut self) -> Result<(), Violation> {
        let until = self.now + self.plan.recovery;
        let mut lost = false;
        while self.step_before(until)? {
            self.note_placement();
            self.note_made_up_disks();
            let lacks = self.machines.values().any(|machine| machine.disk_lost);
            if lost && !lacks {
                return Ok(());
            }
            lost |= lacks;
        }
        Err(Violation::Stuck { what: "a lost disk is not made up for", at: self.now })
    }

    /// Changes of the configuration that operators had acknowledged.
    pub fn orders_accepted(&self) -> usize {
        self.operators.iter().map(Operator::accepted).sum()
    }

    /// Plays one event, if there is one up to a time; false if there is none.
    ///
    /// # Errors
    /// A promise was broken.
    pub fn step_before(&mut self, until: u64) -> Result<bool, Violation> {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) else {
            return Ok(false);
        };
        let (at, order) = *entry.key();
        let event = entry.remove();
        self.now = self.now.max(at);
        self.events_played += 1;
        let thaws =
            event.needs().and_then(|place| self.machines.get(&place)).map_or(0, |one| one.frozen_until);
        if thaws > self.now {
            self.events.insert((thaws, order), event);
            return Ok(true);
        }
        let steps = self.steps;
        self.happen(order, event);
        if self.steps != steps {
            self.strike_at_step();
        }
        match self.violation.take() {
            Some(violation) => Err(violation),
            None => Ok(true),
        }
    }

    pub(crate) fn schedule_start(&mut self, place: Place, at: u64) {
        self.machine(place).starts_at = Some(at);
        self.schedule(at, Event::Start { place });
    }

    pub(crate) fn schedule_end(&mut self, place: Place, at: u64, down: u64, latest: u64) {
        let process = self.process_of(place);
        self.schedule(at, Event::End { process, down, latest });
    }

    /// A process that was told to stop ends.
    fn end(&mut self, process: Process, down: u64, latest: u64) {
        let place = process.place;
        if self.process_of(place) != process || !self.is_up(place) {
            return;
        }
        if self.now < latest && !self.may_go(place) {
            return self.schedule(self.now + LOOK_EVERY, Event::End { process, down, latest });
        }
        self.strike(&Fault::Kill { place, down });
    }

    fn may_go(&self, place: Place) -> bool {
        let now = self.clock(place).local(self.now);
        match place {
            Place::Core(index) => self.cores[index].process.as_ref().is_some_and(|one| one.may_go(now)),
            Place::Store(index) => self.stores[index].process.as_ref().is_some_and(|one| one.may_go(now)),
            _ => true,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at.max(self.now), self.order), event);
    }

    pub(crate) fn machine(&mut self, place: Place) -> &mut Machine {
        self.machines.entry(place).or_default()
    }

    pub(crate) fn process_of(&self, place: Place) -> Process {
        Process { place, life: self.machines.get(&place).map_or(0, |machine| machine.life) }
    }

    /// Whether a process runs at a place, frozen or not.
    pub fn is_up(&self, place: Place) -> bool {
        match place {
            Place::Core(index) => self.cores[index].process.is_some(),
            Place::Store(index) => self.stores[index].process.is_some(),
            Place::Dispatcher(index) => self.dispatchers[index].process.is_some(),
            Place::Operator(_) => true,
        }
    }

    /// Whether a process runs at a place and is not frozen.
    pub(crate) fn runs(&self, place: Place) -> bool {
        self.is_up(place) && self.machines.get(&place).is_some_and(|machine| machine.frozen_until <= self.now)
    }

    pub(crate) fn address(&self, place: Place) -> SocketAddr {
        place.address(self.machines.get(&place).map_or(0, |machine| machine.generation))
    }

    fn at_address(&self, address: SocketAddr) -> Option<Place> {
        self.machines.keys().copied().find(|place| self.address(*place) == address)
    }

    fn happen(&mut self, order: u64, event: Event) {
        match event {
            Event::Arrive { connection, to, payload, straggles } => {
                self.arrive(order, connection, to, payload, straggles);
            }
            Event::Closed { connection, at } => self.closed(connection, at),
            Event::Synced { process, token } => self.synced(process, token),
            Event::Tick { process, at } => self.tick(process, at),
            Event::Start { place } => self.start(place),
            Event::End { process, down, latest } => self.end(process, down, latest),
            Event::Strike(index) => self.strike_planned(index),
            Event::Dial => {
                self.dial();
                self.schedule(self.now + DIAL_EVERY, Event::Dial);
            }
            Event::Watch => {
                self.watch();
                self.schedule(self.now + WATCH_EVERY, Event::Watch);
            }
            Event::OperatorTurn { operator } => self.operator_calls(operator),
            Event::CallArrives { call, at, order } => self.call_arrives(call, at, order),
            Event::AnswerArrives { call, operator, answer } => self.answer_arrives(call, operator, answer),
            Event::CallSilent { call, operator } => self.call_silent(call, operator),
        }
    }

    fn strike_planned(&mut self, index: usize) {
        let PlannedFault { when, fault } = self.plan.faults[index].clone();
        if matches!(when, When::WhenWhole(_)) && !self.is_whole() {
            // Where it never becomes whole, the fault is left out.
            if self.now < self.faults_end + self.plan.recovery {
                self.schedule(self.now + 10 * MILLISECOND, Event::Strike(index));
                self.faults_end = self.faults_end.max(self.now);
            }
            return;
        }
        self.strike_once(index, &fault);
    }

    fn strike_once(&mut self, index: usize, fault: &Fault) {
        if std::mem::replace(&mut self.struck[index], true) {
            return;
        }
        self.strike(fault);
    }

    fn strike_at_step(&mut self) {
        for index in 0..self.plan.faults.len() {
            let PlannedFault { when, fault } = &self.plan.faults[index];
            if *when == When::Step(self.steps) {
                let fault = fault.clone();
                self.strike_once(index, &fault);
            }
        }
    }

    fn watch(&mut self) {
        self.drop_silent_links();
        self.note_placement();
        if self.founding {
            return;
        }
        self.note_made_up_disks();
        let checked = self.check_learning().and_then(|()| self.check_messages());
        if let Err(violation) = checked {
            self.violation.get_or_insert(violation);
        }
    }
}
