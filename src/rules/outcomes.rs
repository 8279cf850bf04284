//! What is learned about a worker from start and progress reports, load reports and outcomes, and for how
//! long a failing worker is ejected.

use super::constants::*;
use super::{finite_positive, Balancer};
use crate::interface::*;

impl Balancer {
    /// Records the outcome of an attempt. The request is then closed, retried or given its final answer.
    pub(super) fn on_outcome(&mut self, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, worker, outcome, latency, closed, load } = event else { return };
        self.on_load_report(worker, load);
        if !self.record_outcome(id, attempt, worker, outcome, latency) {
            return;
        }
        self.close_idle_connections(worker, out);
        if closed {
            self.cancel_others(id, attempt, out);
            self.finish(id);
        }
        match self.pending.get(&id) {
            Some(pending) if !pending.ended => self.dispatch(id, out),
            _ => self.finish(id),
        }
        self.dispatch_parked(false, out);
    }

    /// A start or progress report. The first one of a job shows how long the job waited for its start, and
    /// with that whether the start was late and whether the worker was full.
    pub(super) fn on_progress(&mut self, id: RequestId, attempt: usize) {
        let Some(at) = self.pending.get(&id).and_then(|p| p.attempts.get(attempt)) else { return };
        let (mean_time, now, mut late) = (self.mean_running_time(), self.now, 0.0);
        let start = now - finite_positive(Some(self.start_report_delay())).unwrap_or(0.0);
        let Some(i) = self.position_of(at.worker) else { return };
        let worker = &mut self.workers[i];
        if let Some(f) = worker.in_flight.iter_mut().find(|f| f.request == id && f.attempt == attempt) {
            (f.reported_at, worker.last_seen_at) = (now, now);
            if f.started_at.is_none() {
                f.started_at = Some(start.max(f.sent_at));
                if start > std::mem::replace(&mut f.start_due_at, f64::INFINITY) {
                    late = f.late_weight;
                }
                worker.latest_started_send = worker.latest_started_send.max(f.sent_at);
                let (start_wait, slots) = ((start - f.sent_at).max(0.0), f.slots);
                let start_lag = &mut self.pools[worker.pool].start_lag;
                if self.settings.reports_starts {
                    *start_lag = start_lag.min(start_wait);
                }
                self.start_waits.add(start_wait, 1.0, START_WAIT_MEMORY);
                if start_wait > start_lag.min(mean_time) * 2.0 + mean_time * KNEE_WAIT_SHARE {
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

    /// A load report. Reports are late and noisy, so their effect decays to the mean of the worker's pool.
    pub(super) fn on_load_report(&mut self, worker_id: WorkerId, load: Option<Load>) {
        let (Some(load), Some(i)) = (load, self.position_of(worker_id)) else { return };
        let mean_time = self.mean_running_time();
        let kind = self.kinds.entry(self.pools[self.workers[i].pool].kind).or_default();
        kind.cores = kind.cores.max(load.free_slots.unwrap_or(0.0).min(MAX_REPORTED_CORES));
        // Errors that other dispatchers got count like this dispatcher's own.
        let errors = load.errors_per_s.unwrap_or(0.0) * mean_time / 1000.0;
        let failure_rate = errors / (errors + kind.cores.max(1.0));
        if (ERROR_THRESHOLD..=1.0).contains(&failure_rate) {
            self.workers[i].failure_rate = failure_rate.max(self.workers[i].failure_rate);
        }
        let busy_share = load.busy.or(load.free_slots.map(|free| 1.0 - free / kind.cores.max(1.0)));
        let slots = load.in_flight.or(busy_share.map(|busy| busy * kind.cores)).filter(|s| s.is_finite());
        let Some(slots) = slots else { return };
        self.workers[i].reported_slots = Some((self.now, (slots - self.workers[i].slots).max(0.0)));
        self.workers[i].cached_index = None;
        kind.reported_slots.add(slots.max(0.0), 1.0, LOAD_REPORT_MEMORY);
        self.pools[self.workers[i].pool].reported_slots.add(slots.max(0.0), 1.0, LOAD_REPORT_MEMORY);
    }

    /// Records an outcome with its request and worker. Returns false if the attempt is unknown or already has
    /// an outcome.
    fn record_outcome(
        &mut self,
        id: RequestId,
        attempt: usize,
        worker_id: WorkerId,
        outcome: Outcome,
        latency: f64,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let class = pending.request.class;
        match pending.attempts.get_mut(attempt) {
            Some(at) if at.outcome.is_none() && at.worker == worker_id => at.outcome = Some(outcome),
            _ => return false,
        }
        let mean_time = self.mean_running_time();
        let Some(i) = self.position_of(worker_id) else { return true };
        let is_warming_up = self.warm_up_fraction(self.workers[i].warm_up_start()) < 1.0;
        let worker = &mut self.workers[i];
        let Some(mut flight) = worker.remove(id, attempt) else { return true };
        worker.failure_rate *= 1.0 - ERROR_EWMA_WEIGHT;
        let answered = matches!(outcome, Outcome::Ok | Outcome::Failed | Outcome::QueueFull);
        worker.last_seen_at = if answered { self.now } else { worker.last_seen_at };
        let mut late = 0.0;
        match outcome {
            Outcome::Ok => {
                let time = flight.started_at.map_or(latency, |start| self.now - start);
                let known_speed = worker.speed.ratio().or(self.fleet_speed.ratio()).unwrap_or(1.0);
                let work = flight.work.min(MAX_HINT_SPEED_RATIO * known_speed * time);
                if time.is_finite() && time > 0.0 && !is_warming_up {
                    worker.speed.add(work, time, SPEED_MEMORY_JOBS);
                    let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
                    kind.speed.add(work, time, KIND_SPEED_MEMORY_JOBS);
                    self.fleet_speed.add(work, time, FLEET_SPEED_MEMORY_JOBS);
                    if let Some(running_time) = class.and_then(|c| self.class_running_time.get_mut(c)) {
                        running_time.add(time, 1.0, FLEET_SPEED_MEMORY_JOBS);
                    }
                }
                if time > flight.max_run_time && !is_warming_up {
                    self.eject_slow(i);
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {
                // The work may continue: it counts as still there for a mean running time.
                flight.occupied_until = Some(self.now + mean_time);
                let silent = outcome == Outcome::TimedOut && worker.last_seen_at < flight.sent_at;
                worker.push(flight);
                if silent {
                    self.eject_unresponsive(i);
                }
            }
            Outcome::Ignored => {}
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::ResetByPeer => {
                // A worker that fails fast always looks the least loaded, so it is ejected, longer each time.
                worker.failure_rate += ERROR_EWMA_WEIGHT;
                let full = outcome == Outcome::QueueFull;
                late = if full && attempt == 0 && flight.start_due_at.is_finite() {
                    flight.late_weight
                } else {
                    0.0
                };
                let crashed = outcome == Outcome::ResetByPeer && worker.count_reset(self.now) >= CRASH_RESETS;
                // A worker that has just answered is up: only the connection failed.
                let recently_seen =
                    outcome == Outcome::ConnectError && self.now - worker.last_seen_at < RECENTLY_SEEN_MS;
                let may_be_isolated =
                    recently_seen || !crashed && matches!(outcome, Outcome::Failed | Outcome::ResetByPeer);
                if may_be_isolated && worker.failure_rate < ERROR_THRESHOLD {
                    return true;
                }
                if crashed && worker.in_flight.is_empty() {
                    // Its process died. It will be back, and warming up, before a list reports the restart;
                    // workers that were then sent a full load crashed again.
                    (worker.ready_at, worker.listed_since) = (Some(self.now), self.now);
                }
                self.eject(i, if full { mean_time } else { MAX_EJECTION_MS });
                if outcome == Outcome::ConnectError {
                    // The worker may be gone, which lists report late. It is ejected until it would have
                    // received a few jobs.
                    let subset_size =
                        self.workers.iter().filter(|w| w.in_subset && w.mode == Mode::Ready).count();
                    let ejection_ms = (CONNECT_ERROR_SKIPPED_JOBS * subset_size as f64
                        / self.arrival_rate.max(1e-9))
                    .min(MAX_EJECTION_MS);
                    self.workers[i].ejected_until = self.workers[i].ejected_until.max(self.now + ejection_ms);
                }
            }
        }
        self.adjust_price(late);
        true
    }

    /// Ejects a worker that gave no answer or report, longer the more of its latest outcomes failed.
    pub(super) fn eject_unresponsive(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.failure_rate += ERROR_EWMA_WEIGHT * (1.0 - worker.failure_rate);
        self.eject(i, MAX_EJECTION_MS);
    }

    /// Ejects a worker for `max_ms` times the failed fraction of its latest outcomes. `max_ms` is a mean
    /// running time for a worker that reported a full queue.
    fn eject(&mut self, i: usize, max_ms: f64) {
        let worker = &mut self.workers[i];
        let share = if worker.unproven() { UNPROVEN_EJECTION_FACTOR } else { worker.failure_rate };
        worker.ejected_until = self.now + max_ms * share;
    }

    /// Ejects a worker that is much slower than its kind. By its index alone it would still get a job
    /// whenever the other workers are busy, and each such job would be late.
    pub(super) fn eject_slow(&mut self, i: usize) {
        let worker = &self.workers[i];
        let relative_speed = self.estimated_speed(worker) / self.pools[worker.pool].speed;
        // Not under overload, when the jobs that it still serves in time are needed.
        if relative_speed < SLOW_SPEED_RATIO && self.log_price <= MIN_LOG_PRICE && self.parked.is_empty() {
            self.workers[i].ejected_until = self.now + MAX_EJECTION_MS * (1.0 - relative_speed);
        }
    }
}
