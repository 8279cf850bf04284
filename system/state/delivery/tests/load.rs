//! Several dispatchers with one store and shared workers, in steps of simulated time: messages start in time, service
//! resumes after outages, and overload does not reduce the throughput.

mod common;
use common::*;
use fastrand::Rng;
use millrudder_delivery::*;
use millrudder_protocol::control::{WorkerEntry, WorkerList};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{Address, LeaseToken};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const STEP_MS: u64 = 5;
/// Number of messages that a worker queues beyond its slots.
const WORKER_QUEUE: usize = 4;

/// A message in the store's queue.
#[derive(Clone, Copy)]
struct QueuedMessage {
    unique: u64,
    /// When it may be granted.
    due_ms: u64,
}

/// An attempt at a worker.
struct Run {
    dispatcher: usize,
    attempt: AttemptId,
    unique: u64,
    arrived: u64,
}

#[derive(Default)]
struct Worker {
    slots: usize,
    work_ms: u64,
    down: bool,
    running: Vec<(u64, Run)>,
    queue: VecDeque<Run>,
}

struct Simulation {
    now: u64,
    path: &'static str,
    service: &'static str,
    dispatchers: Vec<Delivery>,
    workers: BTreeMap<Address, Worker>,
    queue: Vec<QueuedMessage>,
    granted: Vec<usize>,
    /// When each message arrived (ms), and how often it was granted.
    messages: BTreeMap<u64, (u64, u64)>,
    /// Arrival of each message that succeeded, and the time from then to the start of its successful run (both in ms).
    waits: Vec<(u64, u64)>,
    grants: usize,
    sends: usize,
    rng: Rng,
}

impl Simulation {
    fn new(dispatchers: u32, path: &'static str, service: &'static str) -> Self {
        let mut simulation = Simulation {
            now: 1000,
            path,
            service,
            dispatchers: Vec::new(),
            workers: BTreeMap::new(),
            queue: Vec::new(),
            granted: vec![0; dispatchers as usize],
            messages: BTreeMap::new(),
            waits: Vec::new(),
            grants: 0,
            sends: 0,
            rng: Rng::with_seed(3),
        };
        for seed in 0..dispatchers {
            let zone = "here".into();
            let configuration =
                Configuration { zone, seed: seed.into(), dispatchers, ..Configuration::default() };
            simulation.dispatchers.push(Delivery::new(configuration));
        }
        simulation.input_all(|| Input::Services(vec![listed_service(), static_service()]));
        simulation.input_all(|| Input::Routes(Arc::new(Routes(routes()))));
        simulation
    }

    fn with_list(dispatchers: u32, workers: u16, slots: u32, work_ms: u64) -> Self {
        let mut simulation = Simulation::new(dispatchers, "/a", LISTED);
        let workers: Vec<WorkerEntry> =
            (1..=workers).map(|number| WorkerEntry { capacity: slots, ..worker(number) }).collect();
        for entry in &workers {
            let slots = slots as usize;
            simulation.workers.insert(entry.address, Worker { slots, work_ms, ..Worker::default() });
        }
        simulation
            .input_all(|| Input::Workers(WorkerList { fencing: 1, number: 1, workers: workers.clone() }));
        simulation
    }

    fn with_endpoint(dispatchers: u32, slots: usize, work_ms: u64) -> Self {
        let mut simulation = Simulation::new(dispatchers, "/p", STATIC);
        simulation.workers.insert(address(STATIC_ADDRESS), Worker { slots, work_ms, ..Worker::default() });
        simulation
    }

    fn input_all(&mut self, input: impl Fn() -> Input) {
        (0..self.dispatchers.len()).for_each(|dispatcher| self.input(dispatcher, input()));
    }

    fn input(&mut self, dispatcher: usize, input: Input) {
        let mut out = Vec::new();
        self.dispatchers[dispatcher].handle(self.now, input, &mut out);
        out.into_iter().for_each(|output| self.carry_out(dispatcher, output));
    }

    fn carry_out(&mut self, dispatcher: usize, output: Output) {
        match output {
            Output::Send { attempt, message, worker, .. } => {
                self.sends += 1;
                let unique = message.request_id.parse().unwrap();
                let run = Run { dispatcher, attempt, unique, arrived: self.now };
                self.arrive(worker.address, run);
            }
            Output::Report { message: FromDispatcher::Attempted { id, token, outcome }, .. } => {
                self.granted[dispatcher] -= 1;
                if let AttemptOutcome::NotRun { retry_after_ms }
                | AttemptOutcome::Unknown { retry_after_ms } = outcome
                {
                    let due_ms = self.now + u64::from(retry_after_ms);
                    self.queue.push(QueuedMessage { unique: id.unique, due_ms });
                }
                self.input(dispatcher, Input::Recorded { id, token });
            }
            _ => {}
        }
    }

    fn arrive(&mut self, at: Address, run: Run) {
        let now = self.now;
        let worker = self.workers.get_mut(&at).unwrap();
        let (dispatcher, attempt) = (run.dispatcher, run.attempt);
        if worker.down {
            return self
                .input(dispatcher, Input::AttemptEnded { attempt, result: AttemptResult::NotConnected });
        }
        if worker.running.len() < worker.slots {
            worker.running.push((now + worker.work_ms, run));
        } else if worker.queue.len() < WORKER_QUEUE {
            worker.queue.push_back(run);
        } else {
            self.input(dispatcher, Input::AttemptEnded { attempt, result: not_executed(503) });
        }
    }

    fn finish_runs(&mut self) {
        let addresses: Vec<Address> = self.workers.keys().copied().collect();
        for address in addresses {
            let now = self.now;
            let worker = self.workers.get_mut(&address).unwrap();
            let (done, running) =
                std::mem::take(&mut worker.running).into_iter().partition(|(end, _)| *end <= now);
            worker.running = running;
            let done: Vec<(u64, Run)> = done;
            while worker.running.len() < worker.slots {
                let Some(run) = worker.queue.pop_front() else { break };
                worker.running.push((now + worker.work_ms, run));
            }
            let load = Load {
                running: worker.running.len() as u32,
                waiting: worker.queue.len() as u32,
                slots: worker.slots as u32,
            };
            let work_ms = worker.work_ms;
            for (end, run) in done {
                let arrived = self.messages[&run.unique].0;
                self.waits.push((arrived, end - work_ms - arrived));
                let elapsed_ms = now - run.arrived;
                let signature = Some("s".into());
                let complete = Answer { signature, elapsed_ms, load: Some(load), ..answer(200) };
                let result = AttemptResult::Answer(complete);
                self.input(run.dispatcher, Input::AttemptEnded { attempt: run.attempt, result });
            }
        }
    }

    fn free_credit(&self, dispatcher: usize) -> usize {
        let credits = self.dispatchers[dispatcher].credits();
        let limit = credits.iter().find(|credit| credit.service == self.service).unwrap().limit;
        (limit as usize).saturating_sub(self.granted[dispatcher])
    }

    fn grant(&mut self) {
        self.queue.sort_by_key(|queued| (queued.due_ms, queued.unique));
        while self.queue.first().is_some_and(|queued| queued.due_ms <= self.now) {
            let freest =
                (0..self.dispatchers.len()).max_by_key(|dispatcher| self.free_credit(*dispatcher)).unwrap();
            if self.free_credit(freest) == 0 {
                return;
            }
            let QueuedMessage { unique, .. } = self.queue.remove(0);
            let entry = self.messages.get_mut(&unique).unwrap();
            entry.1 += 1;
            let token = LeaseToken(entry.1);
            let mut content = message(self.path);
            content.request_id = unique.to_string();
            let message = Arc::new(content);
            self.granted[freest] += 1;
            self.grants += 1;
            let (store, id, age_ms) = (STORE, id(unique), 0);
            self.input(freest, Input::Deliver { store, id, token, age_ms, failed_attempts: 0, message });
        }
    }

    /// Simulates `ms` in which `per_second` messages per second arrive.
    fn run(&mut self, ms: u64, per_second: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            let mean = per_second * STEP_MS as f64 / 1000.0;
            let mut arrivals = mean.floor() as u32 + u32::from(self.rng.f64() < mean.fract());
            while arrivals > 0 {
                arrivals -= 1;
                let unique = self.messages.len() as u64;
                self.messages.insert(unique, (self.now, 0));
                self.queue.push(QueuedMessage { unique, due_ms: self.now });
            }
            self.finish_runs();
            self.grant();
            self.tick();
        }
    }

    fn tick(&mut self) {
        for dispatcher in 0..self.dispatchers.len() {
            if self.dispatchers[dispatcher].next_deadline().is_some_and(|due_ms| due_ms <= self.now) {
                self.input(dispatcher, Input::Tick);
            }
        }
    }

    /// Share of the messages arrived from `from` to `to` whose successful run started within `within_ms`.
    fn share_started_within(&self, from: u64, to: u64, within_ms: u64) -> f64 {
        let arrived = self.messages.values().filter(|(at, _)| (from..to).contains(at)).count();
        let started = self.waits.iter().filter(|(at, wait)| (from..to).contains(at) && *wait <= within_ms);
        started.count() as f64 / arrived as f64
    }
}

#[test]
fn messages_start_at_once_under_ordinary_load() {
    let mut simulation = Simulation::with_list(6, 36, 6, 500);
    simulation.run(20_000, 190.0);
    let (from, to) = (2000, simulation.now - 2000);
    assert!(
        simulation.share_started_within(from, to, 100) > 0.99,
        "{}",
        simulation.share_started_within(from, to, 100)
    );
    let grants_per_message = simulation.grants as f64 / simulation.messages.len() as f64;
    assert!(grants_per_message < 1.05, "{grants_per_message} grants a message");
}

#[test]
fn a_high_load_is_served_in_time() {
    let mut simulation = Simulation::with_list(8, 9, 12, 250);
    // Seven eighths of what the workers can run: 9 workers of 12 slots at 250 ms a message run 432 messages a second.
    simulation.run(20_000, 378.0);
    let (from, to) = (3000, simulation.now - 2000);
    assert!(
        simulation.share_started_within(from, to, 800) > 0.97,
        "{}",
        simulation.share_started_within(from, to, 800)
    );
}

#[test]
fn under_overload_the_workers_stay_busy() {
    let mut simulation = Simulation::with_list(8, 9, 12, 250);
    simulation.run(10_000, 900.0);
    let served = simulation.waits.len() as f64 / 10.0;
    assert!(served > 0.9 * 432.0, "{served} a second of 432");
    // Every grant costs a record on the stores' disks, so few of them may be in vain.
    let (grants, sends) = (simulation.grants, simulation.sends);
    assert!(grants as f64 <= 1.5 * simulation.waits.len() as f64, "{grants} grants");
    assert!(sends as f64 <= 1.25 * simulation.waits.len() as f64, "{sends} sends");
}

#[test]
fn a_worker_that_is_down_delays_no_messages() {
    let mut simulation = Simulation::with_list(6, 9, 12, 250);
    simulation.run(5000, 190.0);
    simulation.workers.get_mut(&worker(3).address).unwrap().down = true;
    simulation.run(10_000, 190.0);
    let (from, to) = (5000, simulation.now - 1000);
    assert!(
        simulation.share_started_within(from, to, 200) > 0.98,
        "{}",
        simulation.share_started_within(from, to, 200)
    );
}

#[test]
fn an_endpoint_is_probed_rarely_while_it_is_down_and_used_at_once_afterwards() {
    let mut simulation = Simulation::with_endpoint(8, 29, 120);
    simulation.run(5000, 37.0);
    simulation.workers.get_mut(&address(STATIC_ADDRESS)).unwrap().down = true;
    let before = simulation.sends;
    simulation.run(8000, 37.0);
    let probes = simulation.sends - before;
    assert!(probes < 8 * 30, "{probes} probes by 8 dispatchers in 8 s");
    simulation.workers.get_mut(&address(STATIC_ADDRESS)).unwrap().down = false;
    let back = simulation.now;
    let before = simulation.waits.len();
    simulation.run(4000, 37.0);
    // The backlog of 8 s and the messages that arrived meanwhile have been served.
    assert!(simulation.queue.is_empty(), "{} wait still", simulation.queue.len());
    assert!(simulation.waits.len() - before > 420);
    assert!(simulation.share_started_within(back + 2000, simulation.now - 500, 500) > 0.98);
}

#[test]
fn a_service_whose_workers_reject_everything_gets_few_attempts() {
    let mut simulation = Simulation::with_list(8, 9, 0, 250);
    simulation
        .workers
        .values_mut()
        .for_each(|worker| worker.queue.extend((0..WORKER_QUEUE).map(|_| placeholder_run())));
    simulation.run(10_000, 190.0);
    // For a second each dispatcher may take this for a shortage; after that it sends probes only.
    assert!(simulation.sends < 8 * 250, "{} sends", simulation.sends);
    assert!(simulation.grants < 8 * 400, "{} grants", simulation.grants);
}

/// A run without a message that occupies a place in a worker's queue.
fn placeholder_run() -> Run {
    Run { dispatcher: 0, attempt: AttemptId(u64::MAX), unique: 0, arrived: 0 }
}

#[test]
fn a_service_whose_workers_all_restarted_and_warm_up_is_served() {
    let mut simulation = Simulation::with_list(6, 4, 2, 40);
    simulation.run(4000, 95.0);
    simulation.workers.values_mut().for_each(|worker| worker.down = true);
    simulation.run(3000, 95.0);
    simulation.workers.clear();
    let restarted = |number: u16| WorkerEntry {
        instance_id: format!("i-{number}-2"),
        address: address(&format!("10.0.0.2:{}", 8000 + number)),
        capacity: 2,
        warm_up_left_ms: 6000,
        ..worker(number)
    };
    let list: Vec<WorkerEntry> = (1..=4).map(restarted).collect();
    for entry in &list {
        simulation.workers.insert(entry.address, Worker { slots: 2, work_ms: 40, ..Worker::default() });
    }
    let list = WorkerList { fencing: 1, number: 2, workers: list };
    simulation.input_all(|| Input::Workers(list.clone()));
    let back = simulation.now;
    simulation.run(6000, 95.0);
    assert!(simulation.share_started_within(back + 4000, simulation.now - 500, 500) > 0.97);
}
