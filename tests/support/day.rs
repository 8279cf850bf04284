//! Simulates one day of a decision module with its workers, clients, discovery and operators.

mod changes;

use super::digest::Digest;
use super::site::{self, Machine, CLASSES, TENANTS};
use fastrand::Rng;
use millrudder::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Time at which a day ends (ms).
const DAY_MS: f64 = 10_000.0;
/// Delay of the first of each recurring occurrence (ms).
const FIRST_OCCURRENCE_MS: f64 = 100.0;
/// Numbers of workers.
const FLEET_SIZES: [u32; 5] = [3, 8, 20, 60, 150];
/// Load: the arriving work as a fraction of the fleet's capacity.
const LOADS: [f64; 4] = [0.03, 0.2, 0.7, 1.4];
/// Mean work of a job (ms on a standard core).
const MEAN_WORK_MS: f64 = 60.0;
/// Network delay to or from a worker (ms).
const NETWORK_DELAY_MS: f64 = 1.0;
/// Shortest mean time between arrivals outside bursts (ms).
const MIN_MEAN_GAP_MS: f64 = 6.0;

/// An occurrence that is scheduled.
enum Occurrence {
    Arrival,
    Started { id: RequestId, attempt: usize },
    Progress { id: RequestId, attempt: usize },
    Ended { id: RequestId, attempt: usize, outcome: Outcome },
    Deadline { id: RequestId },
    ClientLeaves { id: RequestId },
    Timer { token: u64, process: u64 },
    ListChange,
    Report,
    Operator,
    Upgrade,
    PredecessorGone,
}

struct Attempt {
    worker: WorkerId,
    sent: f64,
    open: bool,
}

struct Job {
    work: f64,
    answered: bool,
    attempts: Vec<Attempt>,
    /// Number of the dispatcher process that accepted it.
    process: u64,
}

pub struct Day {
    rng: Rng,
    settings: Settings,
    balancer: Balancer,
    machines: Vec<Machine>,
    jobs: BTreeMap<RequestId, Job>,
    /// Scheduled occurrences by time (us) and order of scheduling.
    scheduled_occurrences: BTreeMap<(u64, u64), Occurrence>,
    scheduled_count: u64,
    now: f64,
    /// Mean time between arrivals (ms).
    mean_gap_ms: f64,
    next: RequestId,
    process: u64,
    digest: Digest,
}

impl Day {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let (kinds, zones) = (rng.u32(1..4), rng.u32(1..4));
        let settings = site::settings(&mut rng, kinds, zones);
        let size = FLEET_SIZES[seed as usize % FLEET_SIZES.len()];
        let machines = site::machines(&mut rng, size, kinds, zones);
        let capacity: f64 = machines.iter().map(|m| m.speed * m.free_at.len() as f64).sum();
        let load = LOADS[rng.usize(..LOADS.len())];
        let mut day = Day {
            balancer: Balancer::new(settings.clone(), seed),
            rng,
            settings,
            machines,
            jobs: BTreeMap::new(),
            scheduled_occurrences: BTreeMap::new(),
            scheduled_count: 0,
            now: 1000.0,
            mean_gap_ms: (MEAN_WORK_MS / capacity / load).max(MIN_MEAN_GAP_MS),
            next: 1,
            process: 0,
            digest: Digest::new(),
        };
        day.list(ListKind::Restored);
        for occurrence in [
            Occurrence::Arrival,
            Occurrence::ListChange,
            Occurrence::Report,
            Occurrence::Operator,
            Occurrence::Upgrade,
        ] {
            day.after(FIRST_OCCURRENCE_MS, occurrence);
        }
        if seed % 12 == 7 {
            day.list_excess_workers();
        }
        day
    }

    /// Runs the day to its end. Returns the digest of all actions and of the learned state.
    pub fn run(mut self) -> u64 {
        while let Some(((at, _), occurrence)) = self.scheduled_occurrences.pop_first() {
            self.now = at as f64 / 1000.0;
            if self.now > DAY_MS {
                break;
            }
            self.handle_occurrence(occurrence);
        }
        let learned = self.balancer.export();
        let learned = with_recorded_names(format!("{learned:?}"));
        write!(self.digest, "{learned}").expect("writing to a digest never fails");
        self.digest.value()
    }

    fn after(&mut self, delay: f64, occurrence: Occurrence) {
        self.scheduled_count += 1;
        let at = ((self.now + delay) * 1000.0).round() as u64;
        self.scheduled_occurrences.insert((at, self.scheduled_count), occurrence);
    }

    /// Schedules an occurrence after an exponentially distributed time with this mean.
    fn after_random_time(&mut self, mean: f64, occurrence: Occurrence) {
        let delay = -(1.0 - self.rng.f64()).ln() * mean;
        self.after(delay, occurrence);
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let text = with_recorded_names(format!("{actions:?}"));
        write!(self.digest, "{:?} {text}", self.now).expect("writing to a digest never fails");
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => self.start_attempt(id, worker),
                Action::Refuse { id, .. } | Action::Fail { id } => self.answered(id),
                Action::Cancel { id, attempt } => {
                    self.after(
                        NETWORK_DELAY_MS,
                        Occurrence::Ended { id, attempt, outcome: Outcome::Canceled },
                    );
                }
                Action::Timer { token, delay } => {
                    self.after(delay, Occurrence::Timer { token, process: self.process })
                }
                Action::Watch | Action::Fetch if self.rng.f64() < 0.3 => self.list_unavailable(),
                Action::Watch | Action::Fetch => self.list(ListKind::Update),
                Action::Probe { .. } | Action::CloseIdleConnections { .. } => {}
            }
        }
    }

    fn handle_occurrence(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival => self.arrive(),
            Occurrence::Started { id, attempt } => self.started(id, attempt),
            Occurrence::Progress { id, attempt } => self.progress(id, attempt),
            Occurrence::Ended { id, attempt, outcome } => self.end_attempt(id, attempt, outcome),
            Occurrence::Deadline { id } => self.deadline(id),
            Occurrence::ClientLeaves { id } => {
                self.answered(id);
                self.event(Event::Lapsed { id });
            }
            Occurrence::Timer { token, process } if process == self.process => {
                self.event(Event::Timer { token })
            }
            Occurrence::Timer { .. } => {}
            Occurrence::ListChange => self.change_list(),
            Occurrence::Report => self.report(),
            Occurrence::Operator => self.operate(),
            Occurrence::Upgrade => self.upgrade(),
            Occurrence::PredecessorGone => {
                let mut actions = Vec::new();
                self.balancer.predecessor_gone(&mut actions);
                self.carry_out(actions);
            }
        }
    }

    fn arrive(&mut self) {
        let (id, class) = (self.next, self.rng.usize(..CLASSES + 1));
        self.next += 1;
        let work = MEAN_WORK_MS * 0.5 * (1.0 - self.rng.f64()).recip().min(20.0);
        let hint = match self.rng.usize(..10) {
            0..4 => Some(work),
            4 => Some([f64::NAN, -1.0, 0.0, 1e300, work * 30.0][self.rng.usize(..5)]),
            _ => None,
        };
        let slots = [1.0, 1.0, 1.0, 2.0, f64::NAN][self.rng.usize(..5)];
        let tenant = (self.rng.f64() < 0.6).then(|| self.rng.usize(..TENANTS + 1));
        let deadline = self.now + [60.0, 900.0, 5_000.0][self.rng.usize(..3)];
        let job = Job { work, answered: false, attempts: Vec::new(), process: self.process };
        self.jobs.insert(id, job);
        self.after(deadline - self.now, Occurrence::Deadline { id });
        if self.rng.f64() < 0.05 {
            let patience = 60.0 * self.rng.f64();
            self.after(patience, Occurrence::ClientLeaves { id });
        }
        let class = (class < CLASSES).then_some(class);
        self.event(Event::Request(Request { id, class, hint, slots, tenant, deadline, memory: 0.0 }));
        let burst = self.now % 4_000.0 < 250.0;
        self.after_random_time(
            if burst { self.mean_gap_ms / 6.0 } else { self.mean_gap_ms },
            Occurrence::Arrival,
        );
    }

    fn start_attempt(&mut self, id: RequestId, worker: WorkerId) {
        let job = self.jobs.get_mut(&id).expect("only known requests are sent");
        let attempt = job.attempts.len();
        job.attempts.push(Attempt { worker, sent: self.now, open: true });
        let work = job.work;
        match self.draw_outcome(worker) {
            // Neither a report nor an answer comes.
            None => {}
            Some(outcome) if outcome.never_ran() => {
                self.after(2.0 * NETWORK_DELAY_MS, Occurrence::Ended { id, attempt, outcome });
            }
            Some(outcome) => {
                let (start, end) = self.machines[worker as usize].run(work, self.now + NETWORK_DELAY_MS);
                self.after(start - self.now, Occurrence::Started { id, attempt });
                self.after(end - self.now + NETWORK_DELAY_MS, Occurrence::Ended { id, attempt, outcome });
            }
        }
    }

    fn draw_outcome(&mut self, worker: WorkerId) -> Option<Outcome> {
        let chance = self.rng.f64();
        let Some(machine) = self.machines.get(worker as usize).filter(|m| m.reachable()) else {
            return Some(Outcome::ConnectError);
        };
        if chance < machine.failure_rate {
            return Some(Outcome::Failed);
        }
        match self.rng.usize(..60) {
            0 => None,
            5 => Some(Outcome::ConnectError),
            1 => Some(Outcome::Ignored),
            2 | 3 => Some(Outcome::QueueFull),
            4 => Some(Outcome::ResetByPeer),
            _ => Some(Outcome::Ok),
        }
    }

    /// Whether an attempt is open and was sent by the present process.
    fn open(&self, id: RequestId, attempt: usize) -> bool {
        let job = self.jobs.get(&id).filter(|j| j.process == self.process);
        job.and_then(|j| j.attempts.get(attempt)).is_some_and(|a| a.open)
    }

    fn started(&mut self, id: RequestId, attempt: usize) {
        if !self.open(id, attempt) {
            return;
        }
        if self.settings.reports_starts {
            self.event(Event::Started { id, attempt });
        }
        if self.settings.progress_interval > 0.0 {
            self.after(self.settings.progress_interval, Occurrence::Progress { id, attempt });
        }
    }

    fn progress(&mut self, id: RequestId, attempt: usize) {
        // Some reports are lost, and then no more come.
        if self.open(id, attempt) && self.rng.f64() < 0.97 {
            self.event(Event::Progress { id, attempt, share: 0.5 });
            self.after(self.settings.progress_interval, Occurrence::Progress { id, attempt });
        }
    }

    fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let of_predecessor = job.process != self.process;
        let Some(done) = job.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        done.open = false;
        let (worker, latency) = (done.worker, self.now - done.sent);
        if of_predecessor {
            let mut actions = Vec::new();
            self.balancer.predecessor_attempt_ended(worker, id, attempt, &mut actions);
            return self.carry_out(actions);
        }
        let closed = job.answered || outcome == Outcome::Ok;
        job.answered |= closed;
        let reports_load = self.rng.f64() < 0.3 && !outcome.never_ran();
        let load = reports_load.then(|| self.load(worker));
        self.event(Event::Outcome { id, attempt, worker, outcome, latency, closed, load });
        if outcome == Outcome::ResetByPeer {
            self.reset_others(worker);
        }
    }

    /// Resets all other attempts at a worker at the same moment: its process has died.
    fn reset_others(&mut self, worker: WorkerId) {
        let here = |a: &Attempt| a.open && a.worker == worker;
        let mut lost = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.process == self.process) {
            lost.extend((0..job.attempts.len()).filter(|k| here(&job.attempts[*k])).map(|k| (*id, k)));
        }
        for (id, attempt) in lost {
            self.after(0.0, Occurrence::Ended { id, attempt, outcome: Outcome::ResetByPeer });
        }
    }

    fn deadline(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        for attempt in (0..job.attempts.len()).filter(|k| job.attempts[*k].open).collect::<Vec<_>>() {
            self.end_attempt(id, attempt, Outcome::TimedOut);
        }
        self.answered(id);
    }

    fn answered(&mut self, id: RequestId) {
        self.jobs.entry(id).and_modify(|job| job.answered = true);
    }

    fn load(&mut self, worker: WorkerId) -> Load {
        let machine = &self.machines[worker as usize];
        let busy = machine.free_at.iter().filter(|at| **at > self.now).count() as f64;
        let cores = machine.free_at.len() as f64;
        match self.rng.usize(..5) {
            0 => Load { in_flight: Some(busy * 1.5), ..Load::default() },
            1 => Load { busy: Some(busy / cores), ..Load::default() },
            2 => Load { free_slots: Some(cores - busy), ..Load::default() },
            3 => Load { errors_per_s: Some(machine.failure_rate * 80.0), ..Load::default() },
            _ => Load { in_flight: Some(f64::INFINITY), ..Load::default() },
        }
    }
}

/// Names of types and fields, now and when the digests were recorded. The digested text contains these names,
/// so they are mapped back; otherwise the digests would change with each rename.
const RECORDED_NAMES: [(&str, &str); 20] = [
    ("CloseIdleConnections {", "Release {"),
    ("LearnedState {", "Memory {"),
    ("LearnedKind {", "KindMemory {"),
    ("LearnedWorker {", "WorkerMemory {"),
    ("LearnedAttempt {", "FlightMemory {"),
    ("exported_at:", "at:"),
    ("started_at:", "began:"),
    ("start_waits:", "waits:"),
    ("mean_value:", "mean_worth:"),
    ("fleet_speed:", "all_speed:"),
    ("mean_own_slots:", "usual:"),
    ("reported_slots:", "heard:"),
    ("restored_at:", "returned:"),
    ("restored:", "put_back:"),
    ("ejected_until:", "hold_until:"),
    ("warm_up_turn:", "cold_turn:"),
    ("listed_since:", "since:"),
    ("last_seen_at:", "sign:"),
    ("in_flight:", "flights:"),
    ("sent_at:", "sent:"),
];

fn with_recorded_names(text: String) -> String {
    RECORDED_NAMES.iter().fold(text, |text, (now, recorded)| text.replace(now, recorded))
}
