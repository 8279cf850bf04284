//! Deterministic simulation of a group, with loss, delay, partitions, pauses, slow members and restarts.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use millrudder_clock::Instant;
use millrudder_membership::{
    Config, Event, Input, LocalMember, MemberId, MemberName, Membership, Output, ProcessStart, Status, Zone,
};

/// Number of seeds that a test runs with, unless `MEMBERSHIP_SEEDS` is set.
const DEFAULT_SEED_COUNT: u64 = 10;

/// Number of datagrams that are buffered for a paused process. Further ones are lost, as with a full socket buffer.
const INBOX_CAPACITY: usize = 150;

pub const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub const fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

pub fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MEMBERSHIP_SEEDS").ok().and_then(|count| count.parse().ok());
    0..count.unwrap_or(DEFAULT_SEED_COUNT)
}

#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Minimum one-way delay.
    pub delay: Duration,
    /// Maximum random addition to `delay`. It lets datagrams overtake each other.
    pub jitter: Duration,
    /// Maximum random lateness of ticks.
    pub timer_jitter: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self { loss: 0.0, delay: millis(1), jitter: millis(1), timer_jitter: millis(4) }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Delivery { to: SocketAddr, from: SocketAddr, bytes: Vec<u8> },
    Tick { node: usize, timer_generation: u64 },
}

pub struct Node {
    pub membership: Membership,
    pub address: SocketAddr,
    pub is_running: bool,
    paused_inbox: Option<Vec<(SocketAddr, Vec<u8>)>>,
    lag: Duration,
    timer_generation: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub largest_datagram_bytes: usize,
}

#[derive(Clone, Debug)]
pub struct Observed {
    pub at: Instant,
    pub by: usize,
    pub event: Event,
}

pub struct Simulation {
    pub now: Instant,
    pub network: Network,
    pub config: Config,
    pub nodes: Vec<Node>,
    pub observed: Vec<Observed>,
    queue: BinaryHeap<Reverse<(Instant, u64, SimulatedEvent)>>,
    last_event_number: u64,
    partitions: BTreeSet<(usize, usize)>,
    index_by_address: BTreeMap<SocketAddr, usize>,
    random: Rng,
}

pub fn address(index: usize) -> SocketAddr {
    let host = u8::try_from(index / 250).expect("the group is small") + 1;
    let port = 7780 + u16::try_from(index % 250).expect("the group is small");
    SocketAddr::from(([10, 0, 0, host], port))
}

pub fn name(index: usize) -> MemberName {
    MemberName::new(format!("machine-{index}")).expect("a valid name")
}

pub fn local_member(index: usize, start: u64, address: SocketAddr) -> LocalMember {
    LocalMember {
        id: MemberId { name: name(index), start: ProcessStart(start) },
        address,
        zone: Zone::new(format!("zone-{}", index % 3)).expect("a valid name"),
        metadata: vec![1; 24],
    }
}

impl Simulation {
    pub fn new(network: Network, config: Config, seed: u64) -> Self {
        Self {
            now: Instant::from_millis(1_000_000),
            network,
            config,
            nodes: Vec::new(),
            observed: Vec::new(),
            queue: BinaryHeap::new(),
            last_event_number: 0,
            partitions: BTreeSet::new(),
            index_by_address: BTreeMap::new(),
            random: Rng::with_seed(seed),
        }
    }

    /// Creates a group of `count` members whose lists agree. The first three are the seeds.
    pub fn converged(count: usize, network: Network, seed: u64) -> Self {
        let mut simulation = Self::new(network, Config::default(), seed);
        simulation.start_group(count);
        simulation.run_for(secs(8));
        simulation.assert_agreed();
        simulation.clear_observations();
        simulation
    }

    pub fn start_group(&mut self, count: usize) {
        for index in 0..count {
            self.start(index, 1, address(index));
            self.join(index);
        }
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..3).map(address).collect()
    }

    /// Starts the first process of a member, or a later one.
    pub fn start(&mut self, index: usize, start: u64, at: SocketAddr) {
        let seed = self.random.u64(..);
        let membership = Membership::new(self.config.clone(), local_member(index, start, at), seed, self.now)
            .expect("valid settings");
        let node = Node {
            membership,
            address: at,
            is_running: true,
            paused_inbox: None,
            lag: Duration::ZERO,
            timer_generation: 0,
            datagrams_sent: 0,
            bytes_sent: 0,
            largest_datagram_bytes: 0,
        };
        if index == self.nodes.len() {
            self.nodes.push(node);
        } else {
            let timer_generation = self.nodes[index].timer_generation + 1;
            self.nodes[index] = Node { timer_generation, ..node };
        }
        self.index_by_address.insert(at, index);
        self.schedule_tick(index);
    }

    pub fn join(&mut self, index: usize) {
        let seeds = self.seeds();
        self.input(index, Input::Join { seeds });
    }

    pub fn restart(&mut self, index: usize, start: u64, at: SocketAddr) {
        self.start(index, start, at);
        self.join(index);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].is_running = false;
        let address = self.nodes[index].address;
        if self.index_by_address.get(&address) == Some(&index) {
            self.index_by_address.remove(&address);
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused_inbox = Some(Vec::new());
    }

    /// Resumes a paused process. Its timer fires first, then the buffered datagrams arrive.
    pub fn resume(&mut self, index: usize) {
        let inbox = self.nodes[index].paused_inbox.take().unwrap_or_default();
        self.input(index, Input::Tick);
        for (from, bytes) in inbox {
            self.input(index, Input::Datagram { from, bytes: &bytes });
        }
    }

    /// Resumes a paused process whose buffered datagrams are lost.
    pub fn resume_without_inbox(&mut self, index: usize) {
        self.nodes[index].paused_inbox = None;
        self.input(index, Input::Tick);
    }

    /// Delays the timers of a process and all its datagrams, in both directions, by `lag`.
    pub fn set_lag(&mut self, index: usize, lag: Duration) {
        self.nodes[index].lag = lag;
    }

    pub fn partition_one_way(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn partition(&mut self, left: usize, right: usize) {
        self.partition_one_way(left, right);
        self.partition_one_way(right, left);
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn input(&mut self, index: usize, input: Input<'_>) {
        let node = &mut self.nodes[index];
        if !node.is_running {
            return;
        }
        let mut outputs = Vec::new();
        node.membership.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(index, to, bytes),
                Output::Event(event) => {
                    self.observed.push(Observed { at: self.now, by: index, event });
                }
            }
        }
        self.schedule_tick(index);
    }

    pub fn inject(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        self.input(to, Input::Datagram { from, bytes });
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds, and returns the elapsed time.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let started_at = self.now;
        while !condition(self) {
            assert!(self.now < started_at + limit, "the condition does not hold after {limit:?}");
            self.run_for(millis(10));
        }
        self.now - started_at
    }

    fn handle_event(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Delivery { to, from, bytes } => self.deliver(to, from, bytes),
            SimulatedEvent::Tick { node, timer_generation } => {
                let is_current = self.nodes[node].timer_generation == timer_generation;
                if is_current && self.nodes[node].paused_inbox.is_none() {
                    self.input(node, Input::Tick);
                }
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, bytes: Vec<u8>) {
        let Some(index) = self.index_by_address.get(&to).copied() else { return };
        match &mut self.nodes[index].paused_inbox {
            Some(inbox) if inbox.len() < INBOX_CAPACITY => inbox.push((from, bytes)),
            Some(_) => {}
            None => self.input(index, Input::Datagram { from, bytes: &bytes }),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let node = &mut self.nodes[from];
        node.datagrams_sent += 1;
        node.bytes_sent += bytes.len() as u64;
        node.largest_datagram_bytes = node.largest_datagram_bytes.max(bytes.len());
        let source = node.address;
        let lag = node.lag;
        let target = self.index_by_address.get(&to).copied();
        let is_partitioned = target.is_some_and(|target| self.partitions.contains(&(from, target)));
        if is_partitioned || self.random.f64() < self.network.loss {
            return;
        }
        let target_lag = target.map_or(Duration::ZERO, |target| self.nodes[target].lag);
        let jitter = self.network.jitter.mul_f64(self.random.f64());
        let at = self.now + self.network.delay + jitter + lag + target_lag;
        self.push(at, SimulatedEvent::Delivery { to, from: source, bytes });
    }

    fn schedule_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.timer_generation += 1;
        let Some(deadline) = node.membership.next_deadline() else { return };
        let delay = self.network.timer_jitter.mul_f64(self.random.f64()) + node.lag;
        let event = SimulatedEvent::Tick { node: index, timer_generation: node.timer_generation };
        let at = deadline.max(self.now) + delay;
        self.push(at, event);
    }

    fn push(&mut self, at: Instant, event: SimulatedEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse((at, self.last_event_number, event)));
    }

    pub fn clear_observations(&mut self) {
        self.observed.clear();
        for node in &mut self.nodes {
            node.datagrams_sent = 0;
            node.bytes_sent = 0;
            node.largest_datagram_bytes = 0;
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_running).collect()
    }

    pub fn status(&self, by: usize, of: usize) -> Option<Status> {
        self.nodes[by].membership.member(&name(of)).map(|member| member.status)
    }

    /// Returns whether all running members have equal lists in which exactly the running members are alive.
    pub fn is_agreed(&self) -> bool {
        let running = self.running();
        let digest = self.nodes[running[0]].membership.digest();
        running.iter().all(|by| {
            let membership = &self.nodes[*by].membership;
            membership.digest() == digest
                && membership.live_members().count() == running.len()
                && running.iter().all(|of| self.status(*by, *of) == Some(Status::Alive))
        })
    }

    pub fn assert_agreed(&self) {
        assert!(self.is_agreed(), "the members' lists differ");
    }

    pub fn all_report(&self, of: usize, status: Status) -> bool {
        self.running().into_iter().filter(|by| *by != of).all(|by| self.status(by, of) == Some(status))
    }

    /// Returns the number of observed events that match.
    pub fn count(&self, matches: impl Fn(&Observed) -> bool) -> usize {
        self.observed.iter().filter(|observed| matches(observed)).count()
    }

    pub fn down_events(&self) -> usize {
        self.count(|observed| matches!(observed.event, Event::MemberDown(_)))
    }

    pub fn suspect_events(&self) -> usize {
        self.count(|observed| matches!(observed.event, Event::MemberSuspect(_)))
    }

    pub fn down_events_by(&self, index: usize) -> usize {
        self.count(|observed| observed.by == index && matches!(observed.event, Event::MemberDown(_)))
    }

    pub fn suspect_events_by(&self, index: usize) -> usize {
        self.count(|observed| observed.by == index && matches!(observed.event, Event::MemberSuspect(_)))
    }

    pub fn suspect_events_of(&self, index: usize) -> usize {
        let suspect = name(index);
        self.count(
            |observed| matches!(&observed.event, Event::MemberSuspect(member) if *member.name() == suspect),
        )
    }

    pub fn down_events_of(&self, index: usize) -> usize {
        let down = name(index);
        self.count(|observed| matches!(&observed.event, Event::MemberDown(member) if *member.name() == down))
    }
}
