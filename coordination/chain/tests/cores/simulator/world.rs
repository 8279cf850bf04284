//! The simulation: processes one event at a time, in order of time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use millrudder_chain::{CoreConfig, CoreMessage, CoreNode, Input, NodeId, PersistToken, Role};

use super::checker::{Checker, Violation};
use super::faults::Fault;
use super::history::History;
use super::host::Host;
use super::network::Network;
use super::plan::Plan;
use super::value_table::ValueTable;

/// Interval between rounds of peer discovery, in microseconds.
const DISCOVERY_MICROS: u64 = 250_000;
/// Range of the delay with which a timer fires, in microseconds.
const TIMER_LATENESS_MICROS: std::ops::Range<u64> = 0..2_000;
/// Maximum deviation of a machine's clock rate from simulated time, in parts per million.
const CLOCK_RATE_PPM: u64 = 500;
/// Time after the last fault within which the core must have recovered, in microseconds.
const RECOVERY_MICROS: u64 = 6_000_000;
/// Request ids of reads start here, above all written values, which serve as the request ids of writes.
const FIRST_READ: u128 = 1 << 64;

type Event = Box<EventKind>;

#[derive(Clone, Debug)]
pub(super) enum EventKind {
    Start { machine: usize },
    Deliver { machine: usize, from: NodeId, to: NodeId, message: CoreMessage },
    PeerSeen { machine: usize, process: u64, id: NodeId, address: String },
    Tick { machine: usize, process: u64, at: u64 },
    DiskDone { machine: usize, process: u64, token: PersistToken },
    Stopping { machine: usize, process: u64, until: u64, down_micros: u64 },
    Fault(Fault),
    FaultOnAcknowledgement(Fault),
    Heal,
    Client,
    Discover,
}

impl EventKind {
    /// The machine that handles the event; the event is postponed while that machine is frozen.
    fn required_machine(&self) -> Option<usize> {
        match self {
            EventKind::Deliver { machine, .. }
            | EventKind::PeerSeen { machine, .. }
            | EventKind::Tick { machine, .. }
            | EventKind::Stopping { machine, .. }
            | EventKind::DiskDone { machine, .. } => Some(*machine),
            _ => None,
        }
    }
}

/// State of one simulation run.
pub struct World {
    pub(super) plan: Plan,
    pub(super) random: fastrand::Rng,
    pub(super) hosts: Vec<Host>,
    pub(super) network: Network,
    /// Fault to inject directly after the next acknowledgement.
    pub(super) fault_on_acknowledgement: Option<Fault>,
    pub(super) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) queued: BTreeMap<u64, Event>,
    pub(super) next_event: u64,
    pub(super) now: u64,
    pub(super) next_value: u64,
    pub(super) next_read: u128,
    pub checker: Checker,
    pub history: History,
    pub steps: usize,
    pub(super) violation: Option<Violation>,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut random = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        let mut hosts = Vec::new();
        for _ in 0..plan.machines {
            let clock_offset = random.u64(0..1_000_000_000);
            let clock_rate_ppm = random.u64(0..CLOCK_RATE_PPM);
            hosts.push(Host { clock_offset, clock_rate_ppm, ..Host::default() });
        }
        let network = Network::new(plan.network);
        let mut world = World {
            random,
            hosts,
            network,
            fault_on_acknowledgement: None,
            events: BinaryHeap::new(),
            queued: BTreeMap::new(),
            next_event: 0,
            now: 0,
            next_value: 1,
            next_read: FIRST_READ,
            checker: Checker::default(),
            history: History::default(),
            steps: 0,
            violation: None,
            plan,
        };
        world.schedule_plan();
        world
    }

    fn schedule_plan(&mut self) {
        for machine in 0..self.plan.machines {
            let at = self.random.u64(0..300_000);
            self.schedule(at, EventKind::Start { machine });
        }
        for planned in self.plan.faults.clone() {
            let event = match planned.after_acknowledgement {
                true => EventKind::FaultOnAcknowledgement(planned.fault),
                false => EventKind::Fault(planned.fault),
            };
            self.schedule(planned.at, event);
        }
        self.schedule(DISCOVERY_MICROS, EventKind::Discover);
        self.schedule(1_000_000, EventKind::Client);
    }

    /// Runs the whole plan, and checks that the core has recovered.
    pub fn run(&mut self) -> Result<(), Violation> {
        let last_fault_ends_at =
            self.plan.faults.iter().map(|planned| planned.at + planned.fault.ends_within()).max();
        let end = last_fault_ends_at.unwrap_or_default().max(self.plan.faults_end_at) + RECOVERY_MICROS;
        self.run_until(end)?;
        self.check_recovery()
    }

    /// Runs until simulated time `end` (microseconds).
    pub fn run_until(&mut self, end: u64) -> Result<(), Violation> {
        while self.now < end && self.violation.is_none() {
            self.step();
        }
        self.violation.clone().map_or(Ok(()), Err)
    }

    /// For each running node, the number of members of the view that it knows.
    pub fn members_known(&self) -> Vec<usize> {
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref());
        nodes.map(|node| node.view().map_or(0, |view| view.members.len())).collect()
    }

    /// Whether the node at `machine` is a member and has caught up with the chain of its view.
    pub fn is_caught_up(&self, machine: usize) -> bool {
        self.hosts[machine].node.as_ref().is_some_and(CoreNode::is_caught_up)
    }

    pub(super) fn schedule(&mut self, at: u64, event: EventKind) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((at, number)));
        self.queued.insert(number, Box::new(event));
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.events.pop() else {
            self.violation = Some(Violation::NotRecovered { reason: "no events left" });
            return;
        };
        let event = self.queued.remove(&number).expect("each event is queued once");
        self.now = self.now.max(at);
        self.steps += 1;
        let resumes_at = event.required_machine().map_or(0, |machine| self.hosts[machine].frozen_until);
        if resumes_at > self.now {
            return self.schedule(resumes_at, *event);
        }
        self.handle_event(*event);
    }

    fn handle_event(&mut self, event: EventKind) {
        match event {
            EventKind::Start { machine } => self.start(machine),
            EventKind::Deliver { machine, from, to, message } => {
                let here = self.hosts[machine].node.as_ref().is_some_and(|node| node.id() == to);
                if here {
                    self.input(machine, Input::Message { from, message });
                }
            }
            EventKind::PeerSeen { machine, process, id, address } => {
                if self.hosts[machine].process == process {
                    self.input(machine, Input::PeerSeen { id, address });
                }
            }
            EventKind::Tick { machine, process, at } => {
                let host = &self.hosts[machine];
                if host.process == process && host.tick_at == Some(at) {
                    self.hosts[machine].tick_at = None;
                    self.input(machine, Input::Tick);
                }
            }
            EventKind::DiskDone { machine, process, token } => {
                if self.hosts[machine].process == process {
                    self.hosts[machine].disk.finish(token);
                    self.input(machine, Input::Persisted { token });
                }
            }
            EventKind::Stopping { machine, process, until, down_micros } => {
                self.continue_stop(machine, process, until, down_micros);
            }
            EventKind::Fault(fault) => self.inject(fault),
            EventKind::FaultOnAcknowledgement(fault) => self.fault_on_acknowledgement = Some(fault),
            EventKind::Heal => self.network.heal(),
            EventKind::Client => self.client(),
            EventKind::Discover => self.discover(),
        }
    }

    fn address(machine: usize) -> String {
        format!("10.0.0.{machine}:9000")
    }

    fn start(&mut self, machine: usize) {
        if self.hosts[machine].node.is_some() {
            return;
        }
        let mut config = CoreConfig::new(World::address(machine));
        config.minimum_members = self.plan.minimum_members;
        config.voters = self.plan.machines;
        config.roles = vec![Role("reader".to_owned())];
        config.checkpoint_bytes = 4 << 10;
        config.retained_entries = self.plan.retained_entries;
        config.batch_bytes = self.plan.batch_bytes;
        if !self.hosts[machine].wiped {
            config.bootstrap_addresses = (0..self.plan.machines.min(3)).map(World::address).collect();
        }
        let seed = self.random.u64(..);
        let host = &mut self.hosts[machine];
        let clock = host.clock(self.now);
        host.process += 1;
        host.tick_at = None;
        host.disk_free_at = self.now;
        host.node = Some(CoreNode::new(config, host.disk.state(), seed, clock).expect("the node starts"));
        self.input(machine, Input::Tick);
    }

    pub(super) fn input(&mut self, machine: usize, input: Input<u64>) {
        let clock = self.hosts[machine].clock(self.now);
        let Some(node) = self.hosts[machine].node.as_mut() else {
            return;
        };
        node.handle(clock, input);
        let mut outputs = Vec::new();
        while let Some(output) = node.next_output() {
            outputs.push(output);
        }
        for output in outputs {
            self.output(machine, output);
        }
        self.check_state_age(machine);
        self.schedule_tick(machine);
    }

    /// Checks the state age that a machine reports.
    fn check_state_age(&mut self, machine: usize) {
        let host = &self.hosts[machine];
        let Some(node) = &host.node else {
            return;
        };
        let clock = host.clock(self.now);
        let Some(age) = node.state_age(clock).filter(|_| node.has_quorum_contact(clock)) else {
            return;
        };
        // Machine clocks never run slower than simulated time, so the reported age is at least the true age.
        let as_of = self.now.saturating_sub(age.as_micros() as u64);
        let seen = node.machine().last_sequence();
        if let Err(violation) = self.checker.check_state_age(machine, as_of, seen) {
            self.violation.get_or_insert(violation);
        }
    }

    fn schedule_tick(&mut self, machine: usize) {
        let lateness = self.random.u64(TIMER_LATENESS_MICROS);
        let host = &mut self.hosts[machine];
        let Some(node) = &host.node else {
            return;
        };
        let due = host.true_time(self.now, node.next_deadline());
        if host.tick_at.is_some_and(|at| at <= due + TIMER_LATENESS_MICROS.end) {
            return;
        }
        let at = due + lateness;
        host.tick_at = Some(at);
        let process = host.process;
        self.schedule(at, EventKind::Tick { machine, process, at });
    }

    fn discover(&mut self) {
        for machine in 0..self.hosts.len() {
            for peer in 0..self.hosts.len() {
                self.report_peer(peer, machine);
            }
        }
        self.schedule(self.now + DISCOVERY_MICROS, EventKind::Discover);
    }

    /// Reports the node at `peer` to `machine`, if both run and are connected and the identity of `peer` is durable.
    fn report_peer(&mut self, peer: usize, machine: usize) {
        let connected =
            !self.network.is_partitioned(peer, machine) && !self.network.is_partitioned(machine, peer);
        let Some(id) = self.hosts[peer].disk.id() else {
            return;
        };
        let running = self.hosts[peer].node.is_some() && self.hosts[machine].node.is_some();
        if peer == machine || !connected || !running {
            return;
        }
        let process = self.hosts[machine].process;
        let event = EventKind::PeerSeen { machine, process, id, address: World::address(peer) };
        self.schedule(self.now + 1_000, event);
    }

    /// Checks that every machine is a member again and holds every acknowledged write except the most recent ones.
    fn check_recovery(&self) -> Result<(), Violation> {
        let nodes: Vec<&CoreNode<ValueTable>> =
            self.hosts.iter().filter_map(|host| host.node.as_ref()).collect();
        if nodes.len() < self.hosts.len() {
            return Err(Violation::NotRecovered { reason: "a process is not running" });
        }
        let members = |node: &CoreNode<ValueTable>| node.view().map_or(0, |view| view.members.len());
        if nodes.iter().any(|node| members(node) < self.hosts.len()) {
            return Err(Violation::NotRecovered { reason: "a machine was not readmitted" });
        }
        if self.checker.acknowledged_count() == 0 || self.checker.finished_reads == 0 {
            return Err(Violation::NotRecovered { reason: "no write or no read was answered" });
        }
        let missing = |value: &u64| nodes.iter().any(|node| !node.machine().contains(*value));
        let recent = self.next_value.saturating_sub(20);
        match self.checker.acknowledged_values().find(|value| *value < recent && missing(value)) {
            Some(value) => Err(Violation::AcknowledgedWriteLost { value }),
            None => Ok(()),
        }
    }
}
