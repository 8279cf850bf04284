//! What a dispatcher remembers: records and running sums. Nothing here decides; what is kept, for how long and
//! to what end is in `src/rules.rs` and its modules.

use crate::interface::*;
use fastrand::Rng;

/// One attempt of ours that is out at a worker (or whose work may still be there after a time-out).
#[derive(Default)]
pub(crate) struct Flight {
    pub request: RequestId,
    pub attempt: usize,
    pub slots: f64,
    pub work: f64,
    pub sent: f64,
    pub started: Option<f64>,
    pub noted: f64,
    /// A start after this is late; infinite once it was judged.
    pub due: f64,
    /// A run of more than this is late by itself.
    pub longest: f64,
    /// What a late start counts: less beyond the tenant's share.
    pub stake: f64,
    pub ghost_until: Option<f64>,
}

/// Work served and the core time it took, both fading with each job.
#[derive(Clone, Copy, Default)]
pub(crate) struct Speed {
    pub work: f64,
    pub time: f64,
}

impl Speed {
    pub fn add(&mut self, work: f64, time: f64, memory: f64) {
        let keep = 1.0 - 1.0 / memory;
        self.work = self.work * keep + work;
        self.time = self.time * keep + time;
    }
    pub fn rate(self) -> Option<f64> {
        (self.work > 0.0 && self.time > 0.0).then(|| self.work / self.time)
    }
    pub fn mean(self) -> f64 {
        self.rate().unwrap_or(1.0)
    }
}

/// A count that fades with time, and as of when.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub sum: f64,
    pub at: f64,
}

impl Fading {
    pub fn count(&mut self, now: f64, time_constant: f64) {
        self.sum = self.value(now, time_constant) + 1.0;
        self.at = now;
    }
    pub fn value(&self, now: f64, time_constant: f64) -> f64 {
        self.sum * (-(now - self.at) / time_constant).exp()
    }
}

#[derive(Default)]
pub(crate) struct Worker {
    pub id: WorkerId,
    pub pool: usize,
    /// Slots in use by others by its latest load report, and when that came.
    pub heard: Option<(f64, f64)>,
    pub cell: i64,
    pub mode: Mode,
    pub ready_at: Option<f64>,
    pub flights: Vec<Flight>,
    pub slots: f64,
    /// In our part of the fleet.
    pub near: bool,
    /// Slots of ours beyond which completions did not rise: a job that we sent had to wait.
    pub knee: f64,
    pub speed: Speed,
    /// The entry of its index table at its present count, once read.
    pub index: Option<f64>,
    /// The whole list that is being read names it; since when no list does.
    pub listed: bool,
    pub dropped: Option<f64>,
    /// When it was last listed anew, started or dropped, and when it last gave a sign of life.
    pub since: f64,
    pub sign: f64,
    /// Latest send among its jobs that have started.
    pub passed: f64,
    /// Share of failures in its latest outcomes, and the time until which nothing is sent after them.
    pub errors: f64,
    pub hold_until: f64,
    pub cold_turn: f64,
    /// When it was put back by hand, and whether it has not been used since.
    pub returned: Option<f64>,
    pub put_back: bool,
    /// When a job of ours was last reset there, and how many at that moment.
    pub resets: (f64, u32),
}

impl Worker {
    pub fn unknown() -> Self {
        let never = f64::NEG_INFINITY;
        let times = Worker { sign: never, passed: never, hold_until: never, ..Worker::default() };
        Worker { cold_turn: never, knee: f64::INFINITY, ..times }
    }
    /// It is cold from then: it was taken out by hand to be restarted, which lists tell seconds later.
    pub fn start(&self) -> Option<f64> {
        if self.returned > self.ready_at {
            self.returned
        } else {
            self.ready_at
        }
    }
    /// No sign of life since it was last listed anew, started or dropped.
    pub fn unproven(&self) -> bool {
        self.sign < self.since
    }
    /// Attempts of ours that have not ended, without those whose work may still be there.
    pub fn open_flights(&self) -> impl Iterator<Item = &Flight> {
        self.flights.iter().filter(|f| f.ghost_until.is_none())
    }
    pub fn flight(&self, request: RequestId, attempt: usize) -> Option<&Flight> {
        self.open_flights().find(|f| f.request == request && f.attempt == attempt)
    }
    /// Counts jobs of ours that were reset there at this moment.
    pub fn reset(&mut self, now: f64) -> u32 {
        self.resets = (now, if self.resets.0 == now { self.resets.1 + 1 } else { 1 });
        self.resets.1
    }
    /// Slots of ours at work there, as far as we were told.
    pub fn running(&self) -> f64 {
        self.open_flights().filter(|f| f.started.is_some()).map(|f| f.slots).sum()
    }
    /// Forgets ended attempts whose work is over by now.
    pub fn expire(&mut self, now: f64) {
        self.flights.retain(|f| f.ghost_until.is_none_or(|t| t > now));
        self.slots = self.flights.iter().map(|f| f.slots).sum();
    }
    pub fn push(&mut self, flight: Flight) {
        self.slots += flight.slots;
        self.index = None;
        self.flights.push(flight);
    }
    pub fn take(&mut self, request: RequestId, attempt: usize) -> Option<Flight> {
        let i = self.flights.iter().position(|f| f.request == request && f.attempt == attempt)?;
        let flight = self.flights.swap_remove(i);
        self.index = None;
        self.slots = if self.flights.is_empty() { 0.0 } else { self.slots - flight.slots };
        Some(flight)
    }
}

/// What is pooled over the workers of one kind; cores: most slots seen at work at once on one.
#[derive(Default)]
pub(crate) struct Kind {
    pub speed: Speed,
    pub cores: f64,
    /// Mean slots of ours at one of them lately, and of all by load reports.
    pub usual: f64,
    pub heard: Speed,
}

#[derive(Default)]
pub(crate) struct Pool {
    pub kind: Option<u32>,
    pub zone: Option<u32>,
    pub speed: f64,
    pub cores: f64,
    /// Mean slots in use at one of them by load reports, and those that others than us use.
    pub heard: Speed,
    pub others: f64,
    pub index: f64,
    pub lag: f64,
}

impl Pool {
    /// Nothing is known of it yet.
    pub fn new(kind: Option<u32>, zone: Option<u32>) -> Self {
        Pool { kind, zone, cores: 1.0, speed: 1.0, lag: f64::INFINITY, ..Pool::default() }
    }
}

pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent: f64,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

#[derive(Default)]
pub(crate) struct Pending {
    pub request: Request,
    /// Its class and the bound on its attempts, as they were when it came.
    pub class: Class,
    pub most_attempts: usize,
    pub work: f64,
    /// What an answer in time earns.
    pub worth: f64,
    pub stake: f64,
    pub arrived: f64,
    pub attempts: Vec<Attempt>,
    pub ended: bool,
    pub held: bool,
}

impl Pending {
    /// An answer within this time earns the full worth.
    pub fn aim(&self) -> f64 {
        self.class.latency_target + self.class.target_stretch * self.work
    }
    /// Opens its next attempt, at this worker; what is kept of it there.
    pub fn open_attempt(&mut self, worker: WorkerId, now: f64) -> Flight {
        self.held = false;
        self.attempts.push(Attempt { worker, sent: now, outcome: None });
        Flight {
            request: self.request.id,
            attempt: self.attempts.len() - 1,
            slots: self.request.slots,
            work: self.work,
            sent: now,
            noted: now,
            longest: if self.class.latency_target > 0.0 { self.aim() } else { f64::INFINITY },
            stake: self.stake,
            ..Flight::default()
        }
    }
    /// Attempts without an outcome, with their numbers.
    pub fn open_attempts(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none())
    }
    /// The first attempt that may have run: what binds all later ones.
    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
}

pub(crate) struct Dice(pub Rng);

impl Default for Dice {
    fn default() -> Self {
        Dice(Rng::with_seed(0))
    }
}
