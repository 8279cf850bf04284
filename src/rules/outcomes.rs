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
        self.dispatch_parked(false, out);
    }

    pub(super) fn on_progress(&mut self, id: RequestId, attempt: usize) {
        let Some(at) = self.pending.get(&id).and_then(|p| p.attempts.get(attempt)) else { return };
        let (mean_time, now, mut late) = (self.mean_time(), self.now, 0.0);
        let start = now - positive(Some(self.progress_delay())).unwrap_or(0.0);
        let Some(i) = self.find(at.worker) else { return };
        let worker = &mut self.workers[i];
        if let Some(f) = worker.in_flight.iter_mut().find(|f| f.request == id && f.attempt == attempt) {
            (f.reported_at, worker.last_seen_at) = (now, now);
            if f.started_at.is_none() {
                f.started_at = Some(start.max(f.sent_at));
                if start > std::mem::replace(&mut f.start_due_at, f64::INFINITY) {
                    late = f.weight;
                }
                worker.latest_started_send = worker.latest_started_send.max(f.sent_at);
                let (took, slots) = ((start - f.sent_at).max(0.0), f.slots);
                let lag = &mut self.pools[worker.pool].start_lag;
                if self.settings.reports_starts {
                    *lag = lag.min(took);
                }
                self.start_waits.add(took, 1.0, WAIT_MEMORY);
                if took > lag.min(mean_time) * 2.0 + mean_time * KNEE_WAIT {
                    worker.knee = (worker.slots - slots).max(0.0);
                } else if worker.slots >= worker.knee {
                    worker.knee += slots / worker.knee.max(1.0);
                }
            }
        }
        let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
        kind.cores = kind.cores.max(worker.running());
        self.adjust_price(late);
    }

    /// A load report: late and noisy, so it fades to what is reported of the worker's pool.
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
        self.workers[i].reported_slots = Some((self.now, (slots - self.workers[i].slots).max(0.0)));
        self.workers[i].index = None;
        kind.reported_slots.add(slots.max(0.0), 1.0, REPORT_MEMORY);
        self.pools[self.workers[i].pool].reported_slots.add(slots.max(0.0), 1.0, REPORT_MEMORY);
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
        let is_warming_up = self.warm_up_fraction(self.workers[at].start()) < 1.0;
        let worker = &mut self.workers[at];
        let Some(mut flight) = worker.take(id, hop) else { return true };
        worker.errors *= 1.0 - ERROR_WEIGHT;
        let answers = matches!(outcome, Outcome::Ok | Outcome::Failed | Outcome::QueueFull);
        worker.last_seen_at = if answers { self.now } else { worker.last_seen_at };
        let mut late = 0.0;
        match outcome {
            Outcome::Ok => {
                let time = flight.started_at.map_or(latency, |start| self.now - start);
                let rate = worker.speed.rate().or(self.all_speed.rate()).unwrap_or(1.0);
                let work = flight.work.min(HINT_TRUST * rate * time);
                if time.is_finite() && time > 0.0 && !is_warming_up {
                    worker.speed.add(work, time, SPEED_JOBS);
                    let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
                    kind.speed.add(work, time, SPEED_JOBS * 4.0);
                    self.all_speed.add(work, time, SPEED_JOBS * 8.0);
                    if let Some(seen) = class.and_then(|c| self.class_time.get_mut(c)) {
                        seen.add(time, 1.0, SPEED_JOBS * 8.0);
                    }
                }
                if time > flight.max_run_time && !is_warming_up {
                    self.eject_slow(at);
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {
                // The work may go on: count it as still there for about as long again as a job takes.
                flight.occupied_until = Some(self.now + mean_time);
                let silent = outcome == Outcome::TimedOut && worker.last_seen_at < flight.sent_at;
                worker.push(flight);
                if silent {
                    self.blame(at);
                }
            }
            Outcome::Ignored => {}
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::ResetByPeer => {
                // One that fails fast is always the emptiest: ejected, longer each time.
                worker.errors += ERROR_WEIGHT;
                let full = outcome == Outcome::QueueFull;
                late = if full && hop == 0 && flight.start_due_at.is_finite() { flight.weight } else { 0.0 };
                let crashed = outcome == Outcome::ResetByPeer && worker.reset(self.now) >= CRASH;
                // One that has just answered is there: the way to it broke.
                let alive = outcome == Outcome::ConnectError && self.now - worker.last_seen_at < ALIVE_MS;
                let stray = alive || !crashed && matches!(outcome, Outcome::Failed | Outcome::ResetByPeer);
                if stray && worker.errors < ERROR_SHARE {
                    return true;
                }
                if crashed && worker.in_flight.is_empty() {
                    // Its process died. It comes back warming up before a list says so, and crashed again.
                    (worker.ready_at, worker.listed_since) = (Some(self.now), self.now);
                }
                self.eject(at, if full { mean_time } else { EJECT_MAX_MS });
                if outcome == Outcome::ConnectError {
                    // It may be gone, which lists say late: till some of our jobs would have met it.
                    let part = self.workers.iter().filter(|w| w.in_subset && w.mode == Mode::Ready).count();
                    let rest =
                        (CONNECT_ERROR_JOBS * part as f64 / self.arrival_rate.max(1e-9)).min(EJECT_MAX_MS);
                    self.workers[at].ejected_until = self.workers[at].ejected_until.max(self.now + rest);
                }
            }
        }
        self.adjust_price(late);
        true
    }

    /// A worker that fails is ejected, longer the more of its latest outcomes failed.
    pub(super) fn blame(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.errors += ERROR_WEIGHT * (1.0 - worker.errors);
        self.eject(i, EJECT_MAX_MS);
    }

    /// One that is full for about as long as one of its jobs runs, at the most.
    fn eject(&mut self, i: usize, most: f64) {
        let worker = &mut self.workers[i];
        let share = if worker.unproven() { UNPROVEN_FACTOR } else { worker.errors };
        worker.ejected_until = self.now + most * share;
    }

    /// Its estimate alone still draws a job whenever the others are busy, and each comes late.
    pub(super) fn eject_slow(&mut self, i: usize) {
        let worker = &self.workers[i];
        let share = self.speed(worker) / self.pools[worker.pool].speed;
        // Under overload what it still serves in time counts.
        if share < SLOW_SHARE && self.price <= MIN_PRICE && self.parked.is_empty() {
            self.workers[i].ejected_until = self.now + EJECT_MAX_MS * (1.0 - share);
        }
    }
}
