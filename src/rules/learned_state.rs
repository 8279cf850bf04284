//! Export of the learned state to a successor process (an upgrade), and its import there: after the worker
//! list and before any other event. Nothing here decides.
//!
//! Both processes must use the same clock. Open attempts stay with the process that sent them. The successor
//! counts them at their workers, in the index and so against the budgets of workers that are warming up,
//! until it is notified that they have ended.

use super::constants::RETRY_BURST;
use super::Balancer;
use crate::interface::{Action, WorkerId};
use crate::state::{DecayingRatio, InFlight, KindStats, Worker};
use serde::{Deserialize, Serialize};

/// Version of the learned state's format. State of another version is rejected as a whole: to start without
/// is safe, to misread it is not.
pub const LEARNED_STATE_VERSION: u32 = 2;
/// Most workers that are accepted from a predecessor: far more than any fleet has.
const MAX_WORKERS: usize = 100_000;
/// Most attempts that are accepted from a predecessor.
const MAX_ATTEMPTS: usize = 1_000_000;
/// Set in the numbers of a predecessor's requests, so that they never equal this instance's own.
const PREDECESSOR_ID_FLAG: u64 = 1 << 63;

/// Numerator and denominator of a mean, such as work (ms on a standard core) and the time it took (ms). Both
/// decay exponentially with each sample.
pub type Mean = (f64, f64);

/// The learned state of one instance, as plain numbers. The caller translates the identifiers of workers,
/// classes and kinds.
///
/// Where a `rename` is given, the field has that name in the encoded form of version 2.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// [`LEARNED_STATE_VERSION`] of the writer.
    pub version: u32,
    /// Time of the export.
    #[serde(rename = "at")]
    pub exported_at: f64,
    /// Time of the first event.
    #[serde(rename = "began")]
    pub started_at: Option<f64>,
    /// Exponentially decaying count of arrivals, and the time of its value.
    pub arrivals: (f64, f64),
    /// Retries that the retry budget allows now.
    pub retry_tokens: f64,
    /// Admission price: logarithm of the value that a unit of work must earn to be accepted, relative to the
    /// mean value of a unit of work.
    pub price: f64,
    /// Mean running time by class (ms).
    pub class_time: Vec<Mean>,
    /// Mean speed of all workers: work (ms on a standard core) per ms.
    #[serde(rename = "all_speed")]
    pub fleet_speed: Mean,
    /// Mean work of a request (ms on a standard core, times its slots).
    pub mean_work: Mean,
    /// Mean time from the send of a job to its start (ms).
    #[serde(rename = "waits")]
    pub start_waits: Mean,
    /// Mean value of a request.
    #[serde(rename = "mean_worth")]
    pub mean_value: Mean,
    /// Estimates over all workers of each kind.
    pub kinds: Vec<LearnedKind>,
    /// What was learned about each worker.
    pub workers: Vec<LearnedWorker>,
    /// Workers that operators have ejected, and since when.
    pub banned: Vec<(WorkerId, f64)>,
}

/// Estimates over all workers of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedKind {
    /// The kind; `None`: workers whose kind the list does not give.
    pub kind: Option<u32>,
    /// Work (ms on a standard core) per ms of core time.
    pub speed: Mean,
    /// Most slots seen running at once on one worker, or reported free there.
    pub cores: f64,
    /// Mean slots of this dispatcher's jobs at one worker.
    #[serde(rename = "usual")]
    pub mean_own_slots: f64,
    /// Mean slots in use at one worker, by load reports.
    #[serde(rename = "heard")]
    pub reported_slots: Mean,
}

/// What was learned about one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedWorker {
    /// The worker.
    pub id: WorkerId,
    /// When the process started that this was learned about; `None`: long ago.
    pub ready_at: Option<f64>,
    /// When operators last restored it, unless a start of its process is known from while it was ejected.
    #[serde(rename = "returned")]
    pub restored_at: Option<f64>,
    /// Operators have restored it, and no job has been sent to it since.
    #[serde(rename = "put_back")]
    pub restored: bool,
    /// Work (ms on a standard core) per ms of core time, from jobs served while it was warm.
    pub speed: Mean,
    /// Slots of this dispatcher's jobs beyond which its throughput does not rise.
    pub knee: f64,
    /// Failed fraction of its latest outcomes, as an exponential moving average.
    pub errors: f64,
    /// It is ejected until this time.
    #[serde(rename = "hold_until")]
    pub ejected_until: f64,
    /// Number of the last turn that was used to send to it while it warmed up.
    #[serde(rename = "cold_turn")]
    pub warm_up_turn: f64,
    /// When it was last added to the list, started anew or disappeared from the list.
    #[serde(rename = "since")]
    pub listed_since: f64,
    /// When it last answered or reported on a job.
    #[serde(rename = "sign")]
    pub last_seen_at: f64,
    /// Attempts there that have not ended.
    #[serde(rename = "flights")]
    pub in_flight: Vec<LearnedAttempt>,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedAttempt {
    /// The request, by the number that the exporting process uses.
    pub request: u64,
    /// The attempt, from 0.
    pub attempt: usize,
    /// Slots that it takes.
    pub slots: f64,
    /// Expected work (ms on a standard core).
    pub work: f64,
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: f64,
}

/// Why the state of a predecessor is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedStateError {
    /// It has another version than [`LEARNED_STATE_VERSION`]: this one.
    Version(u32),
    /// It has another number of classes than the settings, or too many workers or attempts.
    Size,
    /// A number is not finite, or out of its range.
    Number,
}

fn sums_of(ratio: DecayingRatio) -> Mean {
    (ratio.numerator, ratio.denominator)
}

fn ratio_from((numerator, denominator): Mean) -> DecayingRatio {
    DecayingRatio { numerator, denominator }
}

fn is_valid_mean((work, time): Mean) -> bool {
    work.is_finite() && time.is_finite() && work >= 0.0 && time >= 0.0
}

fn is_valid_amount(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// A time may be negative infinity (never), but not positive infinity.
fn is_valid_time(x: f64) -> bool {
    !x.is_nan() && x < f64::INFINITY
}

impl LearnedState {
    fn validate(&self, classes: usize) -> Result<(), LearnedStateError> {
        if self.version != LEARNED_STATE_VERSION {
            return Err(LearnedStateError::Version(self.version));
        }
        let flights: usize = self.workers.iter().map(|w| w.in_flight.len()).sum();
        let same_classes = self.class_time.len() == classes;
        if !same_classes || self.workers.len().max(self.banned.len()) > MAX_WORKERS || flights > MAX_ATTEMPTS
        {
            return Err(LearnedStateError::Size);
        }
        let means = [self.fleet_speed, self.mean_work, self.start_waits, self.mean_value];
        let valid = means.iter().chain(&self.class_time).all(|m| is_valid_mean(*m))
            && is_valid_amount(self.arrivals.0)
            && is_valid_time(self.arrivals.1)
            && is_valid_time(self.exported_at)
            && self.started_at.is_none_or(is_valid_time)
            && is_valid_amount(self.retry_tokens)
            && self.price.is_finite()
            && self.kinds.iter().all(LearnedKind::is_valid)
            && self.banned.iter().all(|(_, since)| is_valid_time(*since))
            && self.workers.iter().all(LearnedWorker::is_valid);
        if valid {
            Ok(())
        } else {
            Err(LearnedStateError::Number)
        }
    }
}

impl LearnedKind {
    fn is_valid(&self) -> bool {
        is_valid_mean(self.speed)
            && is_valid_mean(self.reported_slots)
            && is_valid_amount(self.cores)
            && is_valid_amount(self.mean_own_slots)
    }
}

impl LearnedWorker {
    fn is_valid(&self) -> bool {
        let times = [self.ejected_until, self.listed_since, self.last_seen_at, self.warm_up_turn];
        let flight = |f: &LearnedAttempt| {
            is_valid_amount(f.slots) && is_valid_amount(f.work) && is_valid_time(f.sent_at)
        };
        is_valid_mean(self.speed)
            && self.knee >= 0.0
            && (0.0..=1.0).contains(&self.errors)
            && times.into_iter().chain(self.ready_at).chain(self.restored_at).all(is_valid_time)
            && self.in_flight.iter().all(flight)
    }

    fn of(worker: &Worker) -> Self {
        let open = worker.in_flight.iter().filter(|f| f.occupied_until.is_none());
        LearnedWorker {
            id: worker.id,
            ready_at: worker.ready_at,
            restored_at: worker.restored_at,
            restored: worker.restored,
            speed: sums_of(worker.speed),
            knee: worker.knee,
            errors: worker.failure_rate,
            ejected_until: worker.ejected_until,
            warm_up_turn: worker.warm_up_turn,
            listed_since: worker.listed_since,
            last_seen_at: worker.last_seen_at,
            in_flight: open
                .map(|f| LearnedAttempt {
                    request: f.request,
                    attempt: f.attempt,
                    slots: f.slots,
                    work: f.work,
                    sent_at: f.sent_at,
                })
                .collect(),
        }
    }
}

impl Balancer {
    /// Exports the learned state for a successor.
    pub fn export(&self) -> LearnedState {
        let kind = |(kind, learned): (&Option<u32>, &KindStats)| LearnedKind {
            kind: *kind,
            speed: sums_of(learned.speed),
            cores: learned.cores,
            mean_own_slots: learned.mean_own_slots,
            reported_slots: sums_of(learned.reported_slots),
        };
        LearnedState {
            version: LEARNED_STATE_VERSION,
            exported_at: self.now,
            started_at: self.started_at,
            arrivals: (self.arrivals.sum, self.arrivals.at),
            retry_tokens: self.retry_tokens,
            price: self.log_price,
            class_time: self.class_running_time.iter().map(|s| sums_of(*s)).collect(),
            fleet_speed: sums_of(self.fleet_speed),
            mean_work: sums_of(self.mean_work),
            start_waits: sums_of(self.start_waits),
            mean_value: sums_of(self.mean_value),
            kinds: self.kinds.iter().map(kind).collect(),
            workers: self.workers.iter().map(LearnedWorker::of).collect(),
            banned: self.banned.iter().map(|(id, since)| (*id, *since)).collect(),
        }
    }

    /// Imports the learned state of a predecessor: after the worker list and before the first request. What
    /// it holds about a worker that the list does not name, or that has restarted since, is ignored.
    ///
    /// # Errors
    /// The state cannot be used; none of it has been imported.
    pub fn import(&mut self, learned: &LearnedState) -> Result<(), LearnedStateError> {
        learned.validate(self.class_running_time.len())?;
        self.started_at = learned.started_at.or(self.started_at);
        (self.arrivals.sum, self.arrivals.at) = learned.arrivals;
        self.retry_tokens = learned.retry_tokens.min(RETRY_BURST);
        self.log_price = learned.price;
        self.class_running_time = learned.class_time.iter().map(|m| ratio_from(*m)).collect();
        self.fleet_speed = ratio_from(learned.fleet_speed);
        self.mean_work = ratio_from(learned.mean_work);
        self.start_waits = ratio_from(learned.start_waits);
        self.mean_value = ratio_from(learned.mean_value);
        for learned in &learned.kinds {
            let kind = self.kinds.entry(learned.kind).or_default();
            (kind.speed, kind.reported_slots) =
                (ratio_from(learned.speed), ratio_from(learned.reported_slots));
            (kind.cores, kind.mean_own_slots) = (learned.cores, learned.mean_own_slots);
        }
        let longest_deadline = self.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        for learned in &learned.workers {
            let Some(i) = self.position_of(learned.id) else { continue };
            let worker = &mut self.workers[i];
            if worker.ready_at > learned.ready_at {
                continue;
            }
            // The start may be later than the listed one: that of a process whose crash the predecessor saw.
            (worker.ready_at, worker.restored_at) = (learned.ready_at, learned.restored_at);
            (worker.speed, worker.restored) = (ratio_from(learned.speed), learned.restored);
            (worker.knee, worker.failure_rate) = (learned.knee, learned.errors);
            (worker.ejected_until, worker.warm_up_turn) = (learned.ejected_until, learned.warm_up_turn);
            (worker.listed_since, worker.last_seen_at) = (learned.listed_since, learned.last_seen_at);
            learned
                .in_flight
                .iter()
                .for_each(|flight| worker.push(predecessor_attempt(flight, longest_deadline)));
        }
        self.banned.extend(learned.banned.iter().copied());
        self.refresh_due = true;
        Ok(())
    }

    /// Notes that an attempt of the predecessor has ended at this worker. Returns false if it is not known.
    pub fn predecessor_attempt_ended(
        &mut self,
        worker: WorkerId,
        request: u64,
        attempt: usize,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(i) = self.position_of(worker) else { return false };
        let ended = self.workers[i].remove(PREDECESSOR_ID_FLAG | request, attempt).is_some();
        if ended {
            self.dispatch_parked(false, out);
        }
        ended
    }

    /// Notes that the predecessor has ended, and its attempts with it: none of them counts any more.
    pub fn predecessor_gone(&mut self, out: &mut Vec<Action>) {
        for worker in &mut self.workers {
            let predecessor_attempts: Vec<(u64, usize)> = worker
                .in_flight
                .iter()
                .filter(|f| f.request >= PREDECESSOR_ID_FLAG)
                .map(|f| (f.request, f.attempt))
                .collect();
            for (request, attempt) in predecessor_attempts {
                worker.remove(request, attempt);
            }
        }
        self.dispatch_parked(false, out);
    }
}

/// Record of a predecessor's attempt. Like an own attempt that was given up, it occupies slots, and is never
/// judged late or lost. It ends at the latest after the longest deadline of any class, beyond which no client
/// waits, so that it does not stay if the predecessor's notice is lost.
fn predecessor_attempt(flight: &LearnedAttempt, longest_deadline: f64) -> InFlight {
    InFlight {
        request: PREDECESSOR_ID_FLAG | flight.request,
        attempt: flight.attempt,
        slots: flight.slots,
        work: flight.work,
        sent_at: flight.sent_at,
        reported_at: flight.sent_at,
        start_due_at: f64::INFINITY,
        max_run_time: f64::INFINITY,
        occupied_until: Some(flight.sent_at + longest_deadline),
        ..InFlight::default()
    }
}
