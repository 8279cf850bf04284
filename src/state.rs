//! State that a dispatcher keeps: records and running means. Nothing here decides; what is kept, for how long
//! and why is in `src/rules.rs` and its modules.

use crate::interface::*;
use fastrand::Rng;

/// One attempt that was sent to a worker and has not ended, or whose work may still run there after a
/// time-out or a cancellation.
#[derive(Default)]
pub(crate) struct InFlight {
    pub request: RequestId,
    pub attempt: usize,
    pub slots: f64,
    /// Expected work (ms on a standard core).
    pub work: f64,
    pub sent_at: f64,
    pub started_at: Option<f64>,
    /// When its last start or progress report came; the time of the send before the first.
    pub reported_at: f64,
    /// A start after this time is late; infinite once the start has been judged.
    pub start_due_at: f64,
    /// A running time above this (ms) makes the answer late, however soon the job started.
    pub max_run_time: f64,
    /// Weight of a late start in the admission price: less for a request beyond its tenant's quota.
    pub late_weight: f64,
    /// The attempt has ended, but its work is assumed to occupy the worker until this time.
    pub occupied_until: Option<f64>,
}

/// Two sums whose quotient is a mean; older samples decay exponentially with each new one.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRatio {
    pub numerator: f64,
    pub denominator: f64,
}

impl DecayingRatio {
    /// Adds one sample; about the last `sample_memory` samples count.
    pub fn add(&mut self, numerator: f64, denominator: f64, sample_memory: f64) {
        let keep = 1.0 - 1.0 / sample_memory;
        self.numerator = self.numerator * keep + numerator;
        self.denominator = self.denominator * keep + denominator;
    }
    /// The mean; `None` before the first sample.
    pub fn ratio(self) -> Option<f64> {
        (self.numerator > 0.0 && self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }
    pub fn ratio_or_one(self) -> f64 {
        self.ratio().unwrap_or(1.0)
    }
}

/// A count that decays exponentially with time: its value `sum` at time `at`.
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

/// What this dispatcher knows of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub id: WorkerId,
    /// Index of its pool.
    pub pool: usize,
    /// When its latest load report came, and the slots that other dispatchers use according to it.
    pub reported_slots: Option<(f64, f64)>,
    pub cell: i64,
    pub mode: Mode,
    /// When its process last started, by the list or as observed here; `None`: long ago.
    pub ready_at: Option<f64>,
    pub in_flight: Vec<InFlight>,
    /// Sum of the slots of `in_flight`.
    pub slots: f64,
    /// It belongs to the subset of the fleet that this dispatcher keeps to.
    pub in_subset: bool,
    /// Slots of this dispatcher's jobs beyond which throughput does not rise (the knee of the throughput
    /// curve), learned from jobs that had to wait for their start.
    pub knee: f64,
    /// Work (ms on a standard core) per ms of core time, from jobs served while it was warm.
    pub speed: DecayingRatio,
    /// Its Whittle index, if it was computed since the last change that affects it.
    pub cached_index: Option<f64>,
    /// The worker list that is being processed names it.
    pub in_current_list: bool,
    /// Since when it has disappeared from the list, or is listed as gone.
    pub unlisted_since: Option<f64>,
    /// When it was last added to the list, started anew or disappeared from the list.
    pub listed_since: f64,
    /// When it last answered or reported on a job.
    pub last_seen_at: f64,
    /// Latest time of sending among its jobs that have started.
    pub latest_started_send: f64,
    /// Failed fraction of its latest outcomes, as an exponential moving average.
    pub failure_rate: f64,
    /// It is ejected until this time: used only if no other worker is eligible.
    pub ejected_until: f64,
    /// Number of the last turn that was used to send to it while it warmed up.
    pub warm_up_turn: f64,
    /// When operators last restored it, unless a start of its process is known from while it was ejected.
    pub restored_at: Option<f64>,
    /// Operators have restored it, and no job has been sent to it since.
    pub restored: bool,
    /// When a job of this dispatcher was last reset there, and how many were at that moment.
    pub last_reset: (f64, u32),
}

impl Worker {
    /// A worker of which nothing is known yet.
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
    /// When its warm-up began. Operators eject a worker to restart it, and lists report the restart seconds
    /// late, so a restored worker counts as started when it was restored.
    pub fn warm_up_start(&self) -> Option<f64> {
        if self.restored_at > self.ready_at {
            self.restored_at
        } else {
            self.ready_at
        }
    }
    /// It has not answered since it was last added to the list, started anew or disappeared from the list.
    pub fn unproven(&self) -> bool {
        self.last_seen_at < self.listed_since
    }
    /// Attempts that have not ended: without those that have and whose work may still run there.
    pub fn unfinished(&self) -> impl Iterator<Item = &InFlight> {
        self.in_flight.iter().filter(|f| f.occupied_until.is_none())
    }
    pub fn find_unfinished(&self, request: RequestId, attempt: usize) -> Option<&InFlight> {
        self.unfinished().find(|f| f.request == request && f.attempt == attempt)
    }
    /// Counts one reset, and returns the number of resets at this moment.
    pub fn count_reset(&mut self, now: f64) -> u32 {
        self.last_reset = (now, if self.last_reset.0 == now { self.last_reset.1 + 1 } else { 1 });
        self.last_reset.1
    }
    /// Slots of this dispatcher's jobs that have been reported as started.
    pub fn running(&self) -> f64 {
        self.unfinished().filter(|f| f.started_at.is_some()).map(|f| f.slots).sum()
    }
    /// Removes ended attempts whose work is assumed to be over by now.
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

/// Estimates over all workers of one kind.
#[derive(Default)]
pub(crate) struct KindStats {
    /// Work (ms on a standard core) per ms of core time.
    pub speed: DecayingRatio,
    /// Most slots seen running at once on one worker, or reported free there.
    pub cores: f64,
    /// Recent mean of the slots of this dispatcher's jobs at one worker.
    pub mean_own_slots: f64,
    /// Mean slots in use at one worker, by load reports.
    pub reported_slots: DecayingRatio,
}

/// The workers of one kind in one zone, and the estimates for one of them as of the last refresh.
#[derive(Default)]
pub(crate) struct Pool {
    pub kind: Option<u32>,
    pub zone: Option<u32>,
    pub speed: f64,
    pub cores: f64,
    /// Mean slots in use at one worker, by load reports.
    pub reported_slots: DecayingRatio,
    /// Mean slots that jobs of other dispatchers use at one worker.
    pub others_slots: f64,
    /// Whittle index of a warm worker that this dispatcher has no jobs at and no own data of.
    pub baseline_index: f64,
    /// Shortest time from the send of a job to its reported start (ms): that of an idle worker.
    pub start_lag: f64,
}

impl Pool {
    /// A pool of which nothing is known yet.
    pub fn new(kind: Option<u32>, zone: Option<u32>) -> Self {
        Pool { kind, zone, cores: 1.0, speed: 1.0, start_lag: f64::INFINITY, ..Pool::default() }
    }
}

/// One attempt of a request; without an outcome it has not ended.
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

/// A request that has no final answer yet, or has attempts without an outcome.
#[derive(Default)]
pub(crate) struct Pending {
    pub request: Request,
    /// Its class as it was when the request arrived.
    pub class: Class,
    /// Limit on its attempts as it was when the request arrived.
    pub max_attempts: usize,
    /// Expected work (ms on a standard core).
    pub work: f64,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// 1 within its tenant's quota, `over_quota_value` beyond it.
    pub quota_weight: f64,
    pub arrived_at: f64,
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or needs none any more.
    pub ended: bool,
    /// It waits in this dispatcher until a worker can take it.
    pub parked: bool,
}

impl Pending {
    /// An answer within this time after the arrival (ms) earns the full value.
    pub fn latency_target(&self) -> f64 {
        self.class.latency_target + self.class.target_stretch * self.work
    }
    /// Adds its next attempt, at this worker, and returns the record to keep with the worker.
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
    /// Attempts without an outcome, with their indices.
    pub fn open_attempts(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none())
    }
    /// The first attempt that may have run. It limits where and until when a further one may be sent.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
}

/// A random number generator with a default seed, for the derived defaults of what holds it.
pub(crate) struct SeededRng(pub Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng(Rng::with_seed(0))
    }
}
