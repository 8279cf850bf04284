//! Random schedules of the bootstrap: founders that are lost, crash or lose their disks while messages are lost, late or
//! repeated. `BOOTSTRAP_SEEDS=a..b` plays other seeds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{
    Bootstrap, Envelope, Epoch, Member, NodeId, Step, View, ViewAgreement, ViewMessage, ViewRecord, ViewState,
};

const HEARTBEAT: Duration = Duration::from_millis(100);
/// Time after which no more faults occur.
const FAULTS_END: Duration = Duration::from_secs(6);
/// Time after the last fault within which the view must have formed.
const FORMED_WITHIN: Duration = Duration::from_secs(20);

struct Running {
    bootstrap: Bootstrap,
    agreement: ViewAgreement,
    /// Records that are not on the disk yet, each with the messages that wait for it.
    unsynced: VecDeque<(Option<ViewRecord>, Vec<Envelope>)>,
    next_heartbeat: Instant,
}

/// A machine with its disk.
struct Machine {
    id: NodeId,
    is_founder: bool,
    /// Founders whose address this machine knows.
    known: Vec<String>,
    disk: ViewState,
    running: Option<Running>,
    is_lost: bool,
}

struct World {
    random: fastrand::Rng,
    now: Instant,
    founders: usize,
    /// How many of ten messages are lost while there are faults.
    loss: usize,
    machines: Vec<Machine>,
    in_flight: Vec<(NodeId, Envelope)>,
    decided: Option<View>,
    next_id: u64,
}

fn address(machine: usize) -> String {
    format!("10.0.0.{machine}:9000")
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = fastrand::Rng::with_seed(seed);
        let founders = [3, 3, 3, 5][random.usize(0..4)];
        let mut machines = Vec::new();
        for machine in 0..founders {
            // A founder may have given up waiting for a minority of the others.
            let mut known: Vec<String> = (0..founders).map(address).collect();
            while known.len() > founders / 2 + 1 && random.usize(0..3) == 0 {
                let left_out = random.usize(0..known.len());
                if known[left_out] != address(machine) {
                    known.remove(left_out);
                }
            }
            let id = NodeId(100 + machine as u64);
            let disk = ViewState::default();
            machines.push(Machine { id, is_founder: true, known, disk, running: None, is_lost: false });
        }
        let loss = [1, 1, 5, 8][random.usize(0..4)];
        let now = Instant::ORIGIN;
        World { loss, random, now, founders, machines, in_flight: Vec::new(), decided: None, next_id: 1_000 }
    }

    fn start(&mut self, machine: usize) {
        let (now, founders) = (self.now, self.founders);
        let entry = &mut self.machines[machine];
        let local = Member { id: entry.id, address: address(machine) };
        let known = if entry.is_founder { entry.known.clone() } else { Vec::new() };
        let bootstrap = Bootstrap::new(local, known, founders, 3);
        let agreement = ViewAgreement::new(entry.id, entry.disk.clone(), founders / 2 + 1);
        let unsynced = VecDeque::new();
        entry.running = Some(Running { bootstrap, agreement, unsynced, next_heartbeat: now });
    }

    fn apply(&mut self, machine: usize, step: Step) {
        let Some(running) = &mut self.machines[machine].running else { return };
        running.unsynced.push_back((step.record, step.messages));
        let view = running.agreement.view().cloned();
        self.check(view);
    }

    /// Safety: there is one first view.
    fn check(&mut self, view: Option<View>) {
        let Some(view) = view else { return };
        assert_eq!(view.epoch, Epoch::FIRST);
        let decided = self.decided.get_or_insert(view.clone());
        assert_eq!(*decided, view, "two first views");
    }

    /// Writes the records to the disk, and sends what waited for them.
    fn sync(&mut self, machine: usize) {
        let entry = &mut self.machines[machine];
        let Some(running) = &mut entry.running else { return };
        for (record, messages) in running.unsynced.drain(..) {
            if let Some(record) = record {
                entry.disk.apply(&record);
            }
            let from = entry.id;
            self.in_flight.extend(messages.into_iter().map(|envelope| (from, envelope)));
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, envelope) = self.in_flight.swap_remove(index);
        let Some(machine) = self.machines.iter().position(|machine| machine.id == envelope.to) else {
            return;
        };
        let Some(running) = &mut self.machines[machine].running else { return };
        let Running { bootstrap, agreement, .. } = running;
        let step = match envelope.message {
            ViewMessage::BootstrapAgreed { members } => bootstrap.handle(agreement, from, members),
            other if agreement.epoch() == Epoch::NONE => bootstrap.handle_vote(agreement, from, other),
            other => agreement.handle(from, other, true),
        };
        self.apply(machine, step);
    }

    fn heartbeat(&mut self, machine: usize) {
        let now = self.now;
        let running_peers = self
            .machines
            .iter()
            .enumerate()
            .filter(|(index, peer)| peer.running.is_some() && *index != machine);
        let peers: Vec<(NodeId, String)> =
            running_peers.map(|(index, peer)| (peer.id, address(index))).collect();
        let Some(running) = &mut self.machines[machine].running else { return };
        if now < running.next_heartbeat {
            return;
        }
        running.next_heartbeat = now + HEARTBEAT;
        for (id, address) in peers {
            running.bootstrap.add_peer(id, &address);
            if self.random.usize(0..20) == 0 {
                running.bootstrap.add_founder(address);
            }
        }
        let step = running.bootstrap.poll(now, &mut running.agreement);
        self.apply(machine, step);
    }

    fn fault(&mut self) {
        let machine = self.random.usize(0..self.founders);
        let lost = self.machines.iter().filter(|machine| machine.is_lost || !machine.is_founder).count();
        match self.random.usize(0..6) {
            0..3 => self.machines[machine].running = None,
            // Lost for good, as far as that is tolerated.
            3 if lost < (self.founders - 1) / 2 => {
                let entry = &mut self.machines[machine];
                (entry.is_lost, entry.running) = (true, None);
            }
            // Loses its disk, and comes back as a machine that has never been there.
            4 if lost < (self.founders - 1) / 2 && !self.machines[machine].is_lost => {
                self.next_id += 1;
                let entry = &mut self.machines[machine];
                (entry.id, entry.is_founder) = (NodeId(self.next_id), false);
                (entry.disk, entry.running) = (ViewState::default(), None);
            }
            _ => {}
        }
    }

    fn step(&mut self, with_faults: bool) {
        self.now += Duration::from_millis(self.random.u64(1..20));
        for machine in 0..self.founders {
            let is_down = self.machines[machine].running.is_none() && !self.machines[machine].is_lost;
            if is_down && self.random.usize(0..8) == 0 {
                self.start(machine);
            }
            self.heartbeat(machine);
            if self.random.usize(0..2) == 0 {
                self.sync(machine);
            }
        }
        for _ in 0..self.random.usize(0..8).min(self.in_flight.len()) {
            let index = self.random.usize(0..self.in_flight.len());
            if with_faults && self.random.usize(0..10) < self.loss {
                self.in_flight.swap_remove(index);
                continue;
            }
            match self.random.usize(0..10) {
                0 => {
                    let repeated = self.in_flight[index].clone();
                    self.in_flight.push(repeated);
                    self.deliver(index);
                }
                _ => self.deliver(index),
            }
        }
        // Old messages give way, so that late ones do not crowd out new ones.
        self.in_flight.truncate(200);
        if with_faults && self.random.usize(0..60) == 0 {
            self.fault();
        }
    }

    fn alive(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| !machine.is_lost)
    }

    /// Whether each founder that is left knows the view.
    fn is_formed(&self) -> bool {
        let knows = |running: &Running| running.agreement.view().is_some();
        self.alive()
            .filter(|machine| machine.is_founder)
            .all(|machine| machine.running.as_ref().is_some_and(knows))
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("BOOTSTRAP_SEEDS") else { return 0..3_000 };
    let (from, to) = text.split_once("..").expect("a range of seeds");
    from.parse().expect("a number")..to.parse().expect("a number")
}

// Guards against a core that never forms since a founder is lost in the first start: every founder had to agree, at once
// and for good (review/3). And against two first views, whatever is lost or late.
#[test]
fn a_majority_of_the_founders_forms_one_first_view() {
    let mut totals: BTreeMap<usize, usize> = BTreeMap::new();
    for seed in seeds() {
        let mut world = World::new(seed);
        while world.now < Instant::ORIGIN + FAULTS_END {
            world.step(true);
        }
        while !world.is_formed() {
            assert!(world.now < Instant::ORIGIN + FAULTS_END + FORMED_WITHIN, "seed {seed}: no first view");
            world.step(false);
        }
        let view = world.decided.as_ref().unwrap_or_else(|| panic!("seed {seed}: no first view"));
        *totals.entry(view.members.len()).or_default() += 1;
    }
    println!("first views by their number of members: {totals:?}");
}
