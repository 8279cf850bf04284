//! What a dispatcher remembers: records and running sums. Nothing here decides; what is kept, for how long and
//! to what end is in `src/rules.rs` and its modules.

use crate::interface::*;
use fastrand::Rng;

/// One attempt of ours that is out at a worker (or whose work may still be there after a time-out).
#[derive(Default)]
pub(crate) struct InFlight {
    pub request: RequestId,
    pub attempt: usize,
    pub slots: f64,
    pub work: f64,
    pub sent_at: f64,
    pub started_at: Option<f64>,
    pub reported_at: f64,
    /// A start after this is late; infinite once it was judged.
    pub start_due_at: f64,
    /// A run of more than this is late by itself.
    pub max_run_time: f64,
    /// What a late start counts: less beyond the tenant's share.
    pub late_weight: f64,
    pub occupied_until: Option<f64>,
}

/// Work served and the core time it took, both fading with each job.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRatio {
    pub numerator: f64,
    pub denominator: f64,
}

impl DecayingRatio {
    pub fn add(&mut self, numerator: f64, denominator: f64, sample_memory: f64) {
        let keep = 1.0 - 1.0 / sample_memory;
        self.numerator = self.numerator * keep + numerator;
        self.denominator = self.denominator * keep + denominator;
    }
    pub fn ratio(self) -> Option<f64> {
        (self.numerator > 0.0 && self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }
    pub fn ratio_or_one(self) -> f64 {
        self.ratio().unwrap_or(1.0)
    }
}

/// A count that fades with time, and as of when.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCount {
    pub sum: f64,
    pub at: f64,
}

impl DecayingCount {
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
    pub reported_slots: Option<(f64, f64)>,
    pub cell: i64,
    pub mode: Mode,
    pub ready_at: Option<f64>,
    pub in_flight: Vec<InFlight>,
    pub slots: f64,
    /// In our part of the fleet.
    pub in_subset: bool,
    /// Slots of ours beyond which completions did not rise: a job that we sent had to wait.
    pub knee: f64,
    pub speed: DecayingRatio,
    /// The entry of its index table at its present count, once read.
    pub cached_index: Option<f64>,
    /// The whole list that is being read names it; since when no list does.
    pub in_current_list: bool,
    pub unlisted_since: Option<f64>,
    /// When it was last listed anew, started or dropped, and when it last gave a sign of life.
    pub listed_since: f64,
    pub last_seen_at: f64,
    /// Latest send among its jobs that have started.
    pub latest_started_send: f64,
    /// Share of failures in its latest outcomes, and the time until which nothing is sent after them.
    pub failure_rate: f64,
    pub ejected_until: f64,
    pub warm_up_turn: f64,
    /// When it was restored by hand, and whether it has not been used since.
    pub restored_at: Option<f64>,
    pub restored: bool,
    /// When a job of ours was last reset there, and how many at that moment.
    pub last_reset: (f64, u32),
}

impl Worker {
    pub fn new() -> Self {
        let never = f64::NEG_INFINITY;
        let times = Worker {
            last_seen_at: never,
            latest_started_send: never,
            ejected_until: never,
            ..Worker::default()
        };
        Worker { warm_up_turn: never, knee: f64::INFINITY, ..times }
    }
    /// It is warming up from then: it was ejected by hand to be restarted, which lists say seconds later.
    pub fn warm_up_start(&self) -> Option<f64> {
        if self.restored_at > self.ready_at {
            self.restored_at
        } else {
            self.ready_at
        }
    }
    /// No sign of life since it was last listed anew, started or dropped.
    pub fn unproven(&self) -> bool {
        self.last_seen_at < self.listed_since
    }
    /// Attempts of ours that have not ended, without those whose work may still be there.
    pub fn unfinished(&self) -> impl Iterator<Item = &InFlight> {
        self.in_flight.iter().filter(|f| f.occupied_until.is_none())
    }
    pub fn find_unfinished(&self, request: RequestId, attempt: usize) -> Option<&InFlight> {
        self.unfinished().find(|f| f.request == request && f.attempt == attempt)
    }
    /// Counts jobs of ours that were reset there at this moment.
    pub fn count_reset(&mut self, now: f64) -> u32 {
        self.last_reset = (now, if self.last_reset.0 == now { self.last_reset.1 + 1 } else { 1 });
        self.last_reset.1
    }
    /// Slots of ours at work there, as far as was reported.
    pub fn running(&self) -> f64 {
        self.unfinished().filter(|f| f.started_at.is_some()).map(|f| f.slots).sum()
    }
    /// Forgets ended attempts whose work is over by now.
    pub fn expire(&mut self, now: f64) {
        self.in_flight.retain(|f| f.occupied_until.is_none_or(|t| t > now));
        self.slots = self.in_flight.iter().map(|f| f.slots).sum();
    }
    pub fn push(&mut self, flight: InFlight) {
        self.slots += flight.slots;
        self.cached_index = None;
        self.in_flight.push(flight);
    }
    pub fn remove(&mut self, request: RequestId, attempt: usize) -> Option<InFlight> {
        let i = self.in_flight.iter().position(|f| f.request == request && f.attempt == attempt)?;
        let flight = self.in_flight.swap_remove(i);
        self.cached_index = None;
        self.slots = if self.in_flight.is_empty() { 0.0 } else { self.slots - flight.slots };
        Some(flight)
    }
}

/// What is pooled over the workers of one kind; cores: most slots seen at work at once on one.
#[derive(Default)]
pub(crate) struct KindStats {
    pub speed: DecayingRatio,
    pub cores: f64,
    /// Mean slots of ours at one of them lately, and of all by load reports.
    pub mean_own_slots: f64,
    pub reported_slots: DecayingRatio,
}

#[derive(Default)]
pub(crate) struct Pool {
    pub kind: Option<u32>,
    pub zone: Option<u32>,
    pub speed: f64,
    pub cores: f64,
    /// Mean slots in use at one of them by load reports, and those that others than us use.
    pub reported_slots: DecayingRatio,
    pub others_slots: f64,
    pub baseline_index: f64,
    pub start_lag: f64,
}

impl Pool {
    /// Nothing is known of it yet.
    pub fn new(kind: Option<u32>, zone: Option<u32>) -> Self {
        Pool { kind, zone, cores: 1.0, speed: 1.0, start_lag: f64::INFINITY, ..Pool::default() }
    }
}

pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent_at: f64,
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
    pub max_attempts: usize,
    pub work: f64,
    /// What an answer in time earns.
    pub value: f64,
    pub quota_weight: f64,
    pub arrived_at: f64,
    pub attempts: Vec<Attempt>,
    pub ended: bool,
    pub parked: bool,
}

impl Pending {
    /// An answer within this time earns the full value.
    pub fn latency_target(&self) -> f64 {
        self.class.latency_target + self.class.target_stretch * self.work
    }
    /// Opens its next attempt, at this worker; what is kept of it there.
    pub fn start_attempt(&mut self, worker: WorkerId, now: f64) -> InFlight {
        self.parked = false;
        self.attempts.push(Attempt { worker, sent_at: now, outcome: None });
        InFlight {
            request: self.request.id,
            attempt: self.attempts.len() - 1,
            slots: self.request.slots,
            work: self.work,
            sent_at: now,
            reported_at: now,
            max_run_time: if self.class.latency_target > 0.0 { self.latency_target() } else { f64::INFINITY },
            late_weight: self.quota_weight,
            ..InFlight::default()
        }
    }
    /// Attempts without an outcome, with their numbers.
    pub fn open_attempts(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none())
    }
    /// The first attempt that may have run: what binds all later ones.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
}

pub(crate) struct SeededRng(pub Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng(Rng::with_seed(0))
    }
}
