//! What the module has learnt, given to a successor (an upgrade): read out, and taken in before the first
//! event but the list. Nothing here decides.
//!
//! Times are those of the clock that both processes count by. Jobs under way stay with the process that
//! sent them; the successor counts them at their workers, in the index and so against the budgets of
//! workers that are warming up, until it is notified that they have ended.

use super::constants::RETRY_BURST;
use super::Balancer;
use crate::interface::{Action, WorkerId};
use crate::state::{DecayingRatio, InFlight, KindStats, Worker};
use serde::{Deserialize, Serialize};

/// Version of this form. Another version's state is rejected whole: to start afresh is safe, to misread is
/// not.
pub const LEARNED_STATE_VERSION: u32 = 2;
/// More workers than this are not accepted from a predecessor: far beyond any fleet.
const MAX_WORKERS: usize = 100_000;
/// More attempts than this are not accepted from a predecessor.
const MAX_ATTEMPTS: usize = 1_000_000;
/// Numbers of a predecessor's requests start here, where our own never come.
const PREDECESSOR_ID_FLAG: u64 = 1 << 63;

/// Work (ms on a standard core, or a count) and the time it took (ms), both decaying: their quotient is a
/// mean.
pub type Mean = (f64, f64);

/// All that is worth passing on. Plain numbers; the caller translates identifiers of workers, classes and
/// kinds.
///
/// The field names of the encoded form are those of version 2.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// [`LEARNED_STATE_VERSION`] of the writer.
    pub version: u32,
    /// When it was exported.
    #[serde(rename = "at")]
    pub exported_at: f64,
    /// When the first event came.
    #[serde(rename = "began")]
    pub started_at: Option<f64>,
    /// Sum of arrivals, decaying, and as of when.
    pub arrivals: (f64, f64),
    /// Retries that may still be made at once.
    pub retry_tokens: f64,
    /// Logarithm of what a unit of work must earn to be accepted, in means.
    pub price: f64,
    /// Mean running time by class.
    pub class_time: Vec<Mean>,
    /// Speed of all workers taken together.
    pub all_speed: Mean,
    /// Work of a request.
    pub mean_work: Mean,
    /// How long jobs wait for their start.
    #[serde(rename = "waits")]
    pub start_waits: Mean,
    /// Value of a request.
    #[serde(rename = "mean_worth")]
    pub mean_value: Mean,
    /// What is pooled over the workers of one kind.
    pub kinds: Vec<LearnedKind>,
    /// What is learned of each worker.
    pub workers: Vec<LearnedWorker>,
    /// Workers ejected by hand, and since when.
    pub banned: Vec<(WorkerId, f64)>,
}

/// What is pooled over the workers of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedKind {
    /// The kind; `None`: workers whose kind the list does not say.
    pub kind: Option<u32>,
    /// Speed of one core.
    pub speed: Mean,
    /// Most slots seen at work at once on one worker.
    pub cores: f64,
    /// Mean slots of this dispatcher's jobs at one worker.
    #[serde(rename = "usual")]
    pub usual_slots: f64,
    /// Mean slots in use at one worker by load reports.
    #[serde(rename = "heard")]
    pub reported_slots: Mean,
}

/// What is learned of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedWorker {
    /// The worker.
    pub id: WorkerId,
    /// When the process started that this is about.
    pub ready_at: Option<f64>,
    /// When it was last restored by hand ...
    #[serde(rename = "returned")]
    pub restored_at: Option<f64>,
    /// ... and whether it has not been sent a job since.
    #[serde(rename = "put_back")]
    pub restored: bool,
    /// Its speed.
    pub speed: Mean,
    /// Slots of this dispatcher's jobs beyond which its completions did not rise.
    pub knee: f64,
    /// Fraction of its latest outcomes that failed.
    pub errors: f64,
    /// It is ejected until then.
    #[serde(rename = "hold_until")]
    pub ejected_until: f64,
    /// The last turn of its warm-up budget that was used.
    #[serde(rename = "cold_turn")]
    pub warm_up_turn: f64,
    /// When it was last listed anew, started or unlisted.
    #[serde(rename = "since")]
    pub listed_since: f64,
    /// When it last gave a sign of life.
    #[serde(rename = "sign")]
    pub last_seen_at: f64,
    /// Attempts there that have not ended.
    #[serde(rename = "flights")]
    pub in_flight: Vec<LearnedAttempt>,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedAttempt {
    /// The sender's number of the request.
    pub request: u64,
    /// The attempt, from 0.
    pub attempt: usize,
    /// Slots that it takes.
    pub slots: f64,
    /// Its work (ms on a standard core).
    pub work: f64,
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: f64,
}

/// Why a predecessor's state is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedStateError {
    /// It is of another version.
    Version(u32),
    /// More classes, workers or attempts than there can be.
    Size,
    /// A number that is none, or out of its range.
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

/// Times may lie before all others, never after.
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
        let means = [self.all_speed, self.mean_work, self.start_waits, self.mean_value];
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
            && is_valid_amount(self.usual_slots)
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
    /// What a successor is given.
    pub fn export(&self) -> LearnedState {
        let kind = |(kind, learned): (&Option<u32>, &KindStats)| LearnedKind {
            kind: *kind,
            speed: sums_of(learned.speed),
            cores: learned.cores,
            usual_slots: learned.mean_own_slots,
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
            all_speed: sums_of(self.fleet_speed),
            mean_work: sums_of(self.mean_work),
            start_waits: sums_of(self.start_waits),
            mean_value: sums_of(self.mean_value),
            kinds: self.kinds.iter().map(kind).collect(),
            workers: self.workers.iter().map(LearnedWorker::of).collect(),
            banned: self.banned.iter().map(|(id, since)| (*id, *since)).collect(),
        }
    }

    /// Takes a predecessor's memory in: after the list and before the first request. Of a worker that the
    /// list does not name, or that has restarted since, nothing holds.
    ///
    /// # Errors
    /// It cannot be used; nothing of it has been taken in.
    pub fn import(&mut self, learned: &LearnedState) -> Result<(), LearnedStateError> {
        learned.validate(self.class_running_time.len())?;
        self.started_at = learned.started_at.or(self.started_at);
        (self.arrivals.sum, self.arrivals.at) = learned.arrivals;
        self.retry_tokens = learned.retry_tokens.min(RETRY_BURST);
        self.log_price = learned.price;
        self.class_running_time = learned.class_time.iter().map(|m| ratio_from(*m)).collect();
        self.fleet_speed = ratio_from(learned.all_speed);
        self.mean_work = ratio_from(learned.mean_work);
        self.start_waits = ratio_from(learned.start_waits);
        self.mean_value = ratio_from(learned.mean_value);
        for learned in &learned.kinds {
            let kind = self.kinds.entry(learned.kind).or_default();
            (kind.speed, kind.reported_slots) =
                (ratio_from(learned.speed), ratio_from(learned.reported_slots));
            (kind.cores, kind.mean_own_slots) = (learned.cores, learned.usual_slots);
        }
        let longest_deadline = self.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        for learned in &learned.workers {
            let Some(i) = self.position_of(learned.id) else { continue };
            let worker = &mut self.workers[i];
            if worker.ready_at > learned.ready_at {
                continue;
            }
            // Perhaps a start that no list has named yet: a crash that was seen.
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

    /// A job of the predecessor's has ended at this worker; false if none such is known.
    pub fn foreign_ended(
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

    /// The predecessor is gone, and its jobs with it: none of them counts any more.
    pub fn foreign_gone(&mut self, out: &mut Vec<Action>) {
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

/// Work that goes on there, as after an attempt of our own that was given up: it takes room, and is neither
/// late nor lost by our judgement. No client waits longer than the longest deadline, whatever becomes of
/// its sender.
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
