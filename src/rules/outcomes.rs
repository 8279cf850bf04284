//! What is learnt of a worker by notes, load reports and outcomes, and how long one that fails is left
//! alone.

use super::constants::*;
use super::{positive, Balancer};
use crate::interface::*;

impl Balancer {
    /// After an outcome the request is closed, or needs a further attempt or its final answer.
    pub(super) fn on_outcome(&mut self, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, worker, outcome, latency, closed, load } = event else { return };
        self.on_load(worker, load);
        if !self.settle(id, attempt, worker, outcome, latency) {
            return;
        }
        self.release(worker, out);
        if closed {
            self.cancel_others(id, attempt, out);
            self.end(id);
        }
        match self.pending.get(&id) {
            Some(pending) if !pending.ended => self.place(id, out),
            _ => self.end(id),
        }
        self.try_held(false, out);
    }

    pub(super) fn on_note(&mut self, id: RequestId, attempt: usize) {
        let Some(at) = self.pending.get(&id).and_then(|p| p.attempts.get(attempt)) else { return };
        let (mean_time, now, mut late) = (self.mean_time(), self.now, 0.0);
        let start = now - positive(Some(self.note_delay())).unwrap_or(0.0);
        let Some(i) = self.find(at.worker) else { return };
        let worker = &mut self.workers[i];
        if let Some(f) = worker.flights.iter_mut().find(|f| f.request == id && f.attempt == attempt) {
            (f.noted, worker.sign) = (now, now);
            if f.started.is_none() {
                f.started = Some(start.max(f.sent));
                if start > std::mem::replace(&mut f.due, f64::INFINITY) {
                    late = f.stake;
                }
                worker.passed = worker.passed.max(f.sent);
                let (took, slots) = ((start - f.sent).max(0.0), f.slots);
                let lag = &mut self.pools[worker.pool].lag;
                if self.settings.reports_starts {
                    *lag = lag.min(took);
                }
                self.waits.add(took, 1.0, WAITS);
                if took > lag.min(mean_time) * 2.0 + mean_time * KNEE_WAIT {
                    worker.knee = (worker.slots - slots).max(0.0);
                } else if worker.slots >= worker.knee {
                    worker.knee += slots / worker.knee.max(1.0);
                }
            }
        }
        let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
        kind.cores = kind.cores.max(worker.running());
        self.judge(late);
    }

    /// A load report: late and noisy, so it fades to what is heard of the worker's pool.
    pub(super) fn on_load(&mut self, from: WorkerId, load: Option<Load>) {
        let (Some(load), Some(i)) = (load, self.find(from)) else { return };
        let mean_time = self.mean_time();
        let kind = self.kinds.entry(self.pools[self.workers[i].pool].kind).or_default();
        kind.cores = kind.cores.max(load.free_slots.unwrap_or(0.0).min(64.0));
        // Errors that others met there are as good as our own.
        let errors = load.errors_per_s.unwrap_or(0.0) * mean_time / 1000.0;
        let failing = errors / (errors + kind.cores.max(1.0));
        if (ERROR_SHARE..=1.0).contains(&failing) {
            self.workers[i].errors = failing.max(self.workers[i].errors);
        }
        let busy = load.busy.or(load.free_slots.map(|free| 1.0 - free / kind.cores.max(1.0)));
        let slots = load.in_flight.or(busy.map(|b| b * kind.cores)).filter(|s| s.is_finite());
        let Some(slots) = slots else { return };
        self.workers[i].heard = Some((self.now, (slots - self.workers[i].slots).max(0.0)));
        self.workers[i].index = None;
        kind.heard.add(slots.max(0.0), 1.0, HEARD_REPORTS);
        self.pools[self.workers[i].pool].heard.add(slots.max(0.0), 1.0, HEARD_REPORTS);
    }

    /// Books an outcome on its request and worker; false if it is not a first one.
    fn settle(&mut self, id: RequestId, hop: usize, from: WorkerId, outcome: Outcome, latency: f64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let class = pending.request.class;
        match pending.attempts.get_mut(hop) {
            Some(at) if at.outcome.is_none() && at.worker == from => at.outcome = Some(outcome),
            _ => return false,
        }
        let mean_time = self.mean_time();
        let Some(at) = self.find(from) else { return true };
        let cold = self.cold_share(self.workers[at].start()) < 1.0;
        let worker = &mut self.workers[at];
        let Some(mut flight) = worker.take(id, hop) else { return true };
        worker.errors *= 1.0 - ERROR_WEIGHT;
        let answers = matches!(outcome, Outcome::Ok | Outcome::Failed | Outcome::QueueFull);
        worker.sign = if answers { self.now } else { worker.sign };
        let mut late = 0.0;
        match outcome {
            Outcome::Ok => {
                let time = flight.started.map_or(latency, |start| self.now - start);
                let rate = worker.speed.rate().or(self.all_speed.rate()).unwrap_or(1.0);
                let work = flight.work.min(HINT_TRUST * rate * time);
                if time.is_finite() && time > 0.0 && !cold {
                    worker.speed.add(work, time, SPEED_JOBS);
                    let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
                    kind.speed.add(work, time, SPEED_JOBS * 4.0);
                    self.all_speed.add(work, time, SPEED_JOBS * 8.0);
                    if let Some(seen) = class.and_then(|c| self.class_time.get_mut(c)) {
                        seen.add(time, 1.0, SPEED_JOBS * 8.0);
                    }
                }
                if time > flight.longest && !cold {
                    self.leave_slow(at);
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {
                // The work may go on: count it as still there for about as long again as a job takes.
                flight.ghost_until = Some(self.now + mean_time);
                let silent = outcome == Outcome::TimedOut && worker.sign < flight.sent;
                worker.push(flight);
                if silent {
                    self.blame(at);
                }
            }
            Outcome::Ignored => {}
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::ResetByPeer => {
                // One that fails fast is always the emptiest: left alone, longer each time.
                worker.errors += ERROR_WEIGHT;
                let full = outcome == Outcome::QueueFull;
                late = if full && hop == 0 && flight.due.is_finite() { flight.stake } else { 0.0 };
                let crashed = outcome == Outcome::ResetByPeer && worker.reset(self.now) >= CRASH;
                // One that has just answered is there: the way to it broke.
                let alive = outcome == Outcome::ConnectError && self.now - worker.sign < ALIVE_MS;
                let stray = alive || !crashed && matches!(outcome, Outcome::Failed | Outcome::ResetByPeer);
                if stray && worker.errors < ERROR_SHARE {
                    return true;
                }
                if crashed && worker.flights.is_empty() {
                    // Its process died. It comes back cold before a list tells so, and fell over again.
                    (worker.ready_at, worker.since) = (Some(self.now), self.now);
                }
                self.set_aside(at, if full { mean_time } else { EJECT_MAX_MS });
                if outcome == Outcome::ConnectError {
                    // It may be gone, which lists tell late: till some of our jobs would have met it.
                    let part = self.workers.iter().filter(|w| w.near && w.mode == Mode::Ready).count();
                    let rest = (RESTS * part as f64 / self.rate.max(1e-9)).min(EJECT_MAX_MS);
                    self.workers[at].hold_until = self.workers[at].hold_until.max(self.now + rest);
                }
            }
        }
        self.judge(late);
        true
    }

    /// A worker that fails is left alone, longer the more of its latest outcomes failed.
    pub(super) fn blame(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.errors += ERROR_WEIGHT * (1.0 - worker.errors);
        self.set_aside(i, EJECT_MAX_MS);
    }

    /// One that is full for about as long as one of its jobs runs, at the most.
    fn set_aside(&mut self, i: usize, most: f64) {
        let worker = &mut self.workers[i];
        let share = if worker.unproven() { UNPROVEN } else { worker.errors };
        worker.hold_until = self.now + most * share;
    }

    /// Its estimate alone still draws a job whenever the others are busy, and each comes late.
    pub(super) fn leave_slow(&mut self, i: usize) {
        let worker = &self.workers[i];
        let share = self.speed(worker) / self.pools[worker.pool].speed;
        // Under overload what it still serves in time counts.
        if share < SLOW_SHARE && self.price <= PRICE_LEAST && self.held.is_empty() {
            self.workers[i].hold_until = self.now + EJECT_MAX_MS * (1.0 - share);
        }
    }
}
