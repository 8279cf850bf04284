//! What the module has learnt, given to a successor (an upgrade): read out, and taken in before the first event but
//! the list. Nothing here decides.
//!
//! Times are those of the clock that both processes count by. Jobs under way stay with the process that sent them; the
//! successor counts them at their workers, in the index and so against cold workers' budgets, until it is told that
//! they have ended.

use super::constants::RETRY_BURST;
use super::Balancer;
use crate::interface::{Action, WorkerId};
use crate::state::{Flight, Kind, Speed, Worker};
use serde::{Deserialize, Serialize};

/// Of this form. Another version's memory is refused whole: to start afresh is safe, to misread is not.
pub const MEMORY_VERSION: u32 = 2;
/// Of what a predecessor sends no more is taken in: far beyond any fleet.
const MOST_WORKERS: usize = 100_000;
const MOST_FLIGHTS: usize = 1_000_000;
/// Numbers of foreign jobs start here, where our own never come.
const FOREIGN: u64 = 1 << 63;

/// Work and the time it took, both fading: their quotient is a mean.
pub type Mean = (f64, f64);

/// All that is worth passing on. Plain numbers; ids of workers are the caller's to translate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    pub version: u32,
    /// When it was read out.
    pub at: f64,
    pub began: Option<f64>,
    /// Sum of arrivals, fading, and as of when.
    pub arrivals: (f64, f64),
    pub retry_tokens: f64,
    pub price: f64,
    /// Mean running time by class.
    pub class_time: Vec<Mean>,
    pub all_speed: Mean,
    pub mean_work: Mean,
    pub waits: Mean,
    pub mean_worth: Mean,
    pub kinds: Vec<KindMemory>,
    pub workers: Vec<WorkerMemory>,
    /// Workers out by hand, and since when.
    pub banned: Vec<(WorkerId, f64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindMemory {
    pub kind: Option<u32>,
    pub speed: Mean,
    pub cores: f64,
    pub usual: f64,
    pub heard: Mean,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerMemory {
    pub id: WorkerId,
    /// Which process of it this is about.
    pub ready_at: Option<f64>,
    /// When it was last put back by hand, and whether it is still owed a job for that.
    pub returned: Option<f64>,
    pub put_back: bool,
    pub speed: Mean,
    pub knee: f64,
    pub errors: f64,
    /// Set aside until then.
    pub hold_until: f64,
    /// The last turn of its cold budget that was spent.
    pub cold_turn: f64,
    pub since: f64,
    pub sign: f64,
    /// Slots of jobs that were sent there and have not ended, with when they were sent.
    pub flights: Vec<FlightMemory>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlightMemory {
    /// The sender's number of the job, and of the attempt.
    pub request: u64,
    pub attempt: usize,
    pub slots: f64,
    pub work: f64,
    pub sent: f64,
}

/// Why a memory is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryError {
    Version(u32),
    /// More classes, workers or jobs than there can be.
    Size,
    /// A number that is none, or out of its range.
    Number,
}

fn mean(speed: Speed) -> Mean {
    (speed.work, speed.time)
}

fn speed((work, time): Mean) -> Speed {
    Speed { work, time }
}

fn is_mean((work, time): Mean) -> bool {
    work.is_finite() && time.is_finite() && work >= 0.0 && time >= 0.0
}

fn is_amount(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// Times may lie before all others, never after.
fn is_time(x: f64) -> bool {
    !x.is_nan() && x < f64::INFINITY
}

impl Memory {
    fn check(&self, classes: usize) -> Result<(), MemoryError> {
        if self.version != MEMORY_VERSION {
            return Err(MemoryError::Version(self.version));
        }
        let flights: usize = self.workers.iter().map(|w| w.flights.len()).sum();
        let classes = self.class_time.len() == classes;
        if !classes || self.workers.len().max(self.banned.len()) > MOST_WORKERS || flights > MOST_FLIGHTS {
            return Err(MemoryError::Size);
        }
        let means = [self.all_speed, self.mean_work, self.waits, self.mean_worth];
        let sound = means.iter().chain(&self.class_time).all(|m| is_mean(*m))
            && is_amount(self.arrivals.0)
            && is_time(self.arrivals.1)
            && is_time(self.at)
            && self.began.is_none_or(is_time)
            && is_amount(self.retry_tokens)
            && self.price.is_finite()
            && self.kinds.iter().all(KindMemory::is_sound)
            && self.banned.iter().all(|(_, since)| is_time(*since))
            && self.workers.iter().all(WorkerMemory::is_sound);
        if sound {
            Ok(())
        } else {
            Err(MemoryError::Number)
        }
    }
}

impl KindMemory {
    fn is_sound(&self) -> bool {
        is_mean(self.speed) && is_mean(self.heard) && is_amount(self.cores) && is_amount(self.usual)
    }
}

impl WorkerMemory {
    fn is_sound(&self) -> bool {
        let times = [self.hold_until, self.since, self.sign, self.cold_turn];
        let flight = |f: &FlightMemory| is_amount(f.slots) && is_amount(f.work) && is_time(f.sent);
        is_mean(self.speed)
            && self.knee >= 0.0
            && (0.0..=1.0).contains(&self.errors)
            && times.into_iter().chain(self.ready_at).chain(self.returned).all(is_time)
            && self.flights.iter().all(flight)
    }

    fn of(worker: &Worker) -> Self {
        let out = worker.flights.iter().filter(|f| f.ghost_until.is_none());
        WorkerMemory {
            id: worker.id,
            ready_at: worker.ready_at,
            returned: worker.returned,
            put_back: worker.put_back,
            speed: mean(worker.speed),
            knee: worker.knee,
            errors: worker.errors,
            hold_until: worker.hold_until,
            cold_turn: worker.cold_turn,
            since: worker.since,
            sign: worker.sign,
            flights: out
                .map(|f| FlightMemory {
                    request: f.request,
                    attempt: f.attempt,
                    slots: f.slots,
                    work: f.work,
                    sent: f.sent,
                })
                .collect(),
        }
    }
}

impl Balancer {
    /// What a successor is given.
    pub fn export(&self) -> Memory {
        let kind = |(kind, known): (&Option<u32>, &Kind)| KindMemory {
            kind: *kind,
            speed: mean(known.speed),
            cores: known.cores,
            usual: known.usual,
            heard: mean(known.heard),
        };
        Memory {
            version: MEMORY_VERSION,
            at: self.now,
            began: self.began,
            arrivals: (self.arrivals.sum, self.arrivals.at),
            retry_tokens: self.retry_tokens,
            price: self.price,
            class_time: self.class_time.iter().map(|s| mean(*s)).collect(),
            all_speed: mean(self.all_speed),
            mean_work: mean(self.mean_work),
            waits: mean(self.waits),
            mean_worth: mean(self.mean_worth),
            kinds: self.kinds.iter().map(kind).collect(),
            workers: self.workers.iter().map(WorkerMemory::of).collect(),
            banned: self.banned.iter().map(|(id, since)| (*id, *since)).collect(),
        }
    }

    /// Takes a predecessor's memory in: after the list and before the first request. Of a worker that the list does
    /// not name, or that has restarted since, nothing holds.
    ///
    /// # Errors
    /// It cannot be used; nothing of it has been taken in.
    pub fn import(&mut self, memory: &Memory) -> Result<(), MemoryError> {
        memory.check(self.class_time.len())?;
        self.began = memory.began.or(self.began);
        (self.arrivals.sum, self.arrivals.at) = memory.arrivals;
        self.retry_tokens = memory.retry_tokens.min(RETRY_BURST);
        self.price = memory.price;
        self.class_time = memory.class_time.iter().map(|m| speed(*m)).collect();
        self.all_speed = speed(memory.all_speed);
        self.mean_work = speed(memory.mean_work);
        self.waits = speed(memory.waits);
        self.mean_worth = speed(memory.mean_worth);
        for known in &memory.kinds {
            let kind = self.kinds.entry(known.kind).or_default();
            (kind.speed, kind.heard) = (speed(known.speed), speed(known.heard));
            (kind.cores, kind.usual) = (known.cores, known.usual);
        }
        let longest = self.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        for known in &memory.workers {
            let Some(i) = self.find(known.id) else { continue };
            let worker = &mut self.workers[i];
            if worker.ready_at > known.ready_at {
                continue;
            }
            // Perhaps a start that no list has told of yet: a crash that was seen.
            (worker.ready_at, worker.returned) = (known.ready_at, known.returned);
            (worker.speed, worker.put_back) = (speed(known.speed), known.put_back);
            (worker.knee, worker.errors) = (known.knee, known.errors);
            (worker.hold_until, worker.cold_turn) = (known.hold_until, known.cold_turn);
            (worker.since, worker.sign) = (known.since, known.sign);
            known.flights.iter().for_each(|flight| worker.push(foreign(flight, longest)));
        }
        self.banned.extend(memory.banned.iter().copied());
        self.renew_now = true;
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
        let Some(i) = self.find(worker) else { return false };
        let ended = self.workers[i].take(FOREIGN | request, attempt).is_some();
        if ended {
            self.try_held(false, out);
        }
        ended
    }

    /// The predecessor is gone, and its jobs with it: none of them counts any more.
    pub fn foreign_gone(&mut self, out: &mut Vec<Action>) {
        for worker in &mut self.workers {
            let foreign: Vec<(u64, usize)> = worker
                .flights
                .iter()
                .filter(|f| f.request >= FOREIGN)
                .map(|f| (f.request, f.attempt))
                .collect();
            for (request, attempt) in foreign {
                worker.take(request, attempt);
            }
        }
        self.try_held(false, out);
    }
}

/// Work that goes on there, as after an attempt of our own that was given up: it takes room, and is neither late nor
/// lost by our judgement. No client waits longer than the longest deadline, whatever becomes of its sender.
fn foreign(flight: &FlightMemory, longest: f64) -> Flight {
    Flight {
        request: FOREIGN | flight.request,
        attempt: flight.attempt,
        slots: flight.slots,
        work: flight.work,
        sent: flight.sent,
        noted: flight.sent,
        due: f64::INFINITY,
        longest: f64::INFINITY,
        ghost_until: Some(flight.sent + longest),
        ..Flight::default()
    }
}
