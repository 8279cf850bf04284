//! The Whittle index of equation (15), and the estimates that it is computed from: this dispatcher's arrival
//! rate, the workers' speeds, and the jobs that other dispatchers have at them.

use super::constants::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// The Whittle index by equation (15), with C = 1 and without the term pD for the cost of blocking
/// (`select_worker` subtracts a term of that form for crossing zones).
///
/// `p` and `q` are the probabilities of an arrival and of a completion in one time step. `n` is the number of
/// jobs at the worker and need not be whole. The result is finite and does not increase with `n`: above e^600
/// the power term grows linearly with its exponent instead of exponentially.
pub fn whittle_index(p: f64, q: f64, n: f64) -> f64 {
    let edge_factor = if q < p || p * (1.0 + MIN_RELATIVE_GAP) > 1.0 {
        1.0 - MIN_RELATIVE_GAP
    } else {
        1.0 + MIN_RELATIVE_GAP
    };
    let q = if (q - p).abs() >= MIN_RELATIVE_GAP * p { q } else { p * edge_factor };
    let gap = q - p;
    let linear = p * p * (1.0 - p) / (gap * gap) - p * (1.0 - q) / gap - n * p / gap;
    let coefficient = p * p * p * (1.0 - p) / (q * gap * gap);
    let r = p * (1.0 - q) / (q * (1.0 - p));
    let log = n * r.max(f64::MIN_POSITIVE).ln() + coefficient.ln();
    let power = if log <= 600.0 { log.exp() } else { 600f64.exp() * (log / 600.0) };
    linear - power
}

impl Balancer {
    /// Expected running time of an average request on an average worker (ms).
    pub(super) fn mean_running_time(&self) -> f64 {
        self.mean_work.ratio_or_one() / self.fleet_speed.ratio_or_one()
    }

    /// Fraction of its full capacity that a worker has at least, given when it last started.
    pub(super) fn warm_up_fraction(&self, ready_at: Option<f64>) -> f64 {
        let rules = &self.settings.rules;
        let warm_up_progress = ready_at.map_or(f64::INFINITY, |at| (self.now - at).max(0.0) / rules.warm_up);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * warm_up_progress).min(1.0)
    }

    /// Work (ms on a standard core) that one core of a warm worker does per ms. Learned from served jobs
    /// only, with the mean of its kind as the prior.
    pub(super) fn estimated_speed(&self, worker: &Worker) -> f64 {
        let kind_speed = self.pools[worker.pool].speed;
        let prior = PRIOR_JOBS * self.mean_work.ratio_or_one();
        // Running jobs count as soon as they exceed their expected time, because a stalled worker yields no
        // outcomes to learn from.
        let overrun = |f: &InFlight| f.started_at.map(|s| (self.now - s - f.work / kind_speed).max(0.0));
        let total_overrun = worker.unfinished().filter_map(overrun).sum::<f64>();
        (worker.speed.numerator + prior) / (worker.speed.denominator + prior / kind_speed + total_overrun)
    }

    /// Refreshes the estimates behind the index of every worker, unless they are recent.
    pub(super) fn refresh_estimates(&mut self) {
        let since = self.now - self.refreshed_at;
        let interval =
            (REFRESH_REQUESTS / self.arrival_rate.max(1e-9)).clamp(REFRESH_MS, ARRIVAL_TIME_CONSTANT_MS);
        if since < interval && !std::mem::take(&mut self.refresh_due) {
            return;
        }
        let since = since.min(ARRIVAL_TIME_CONSTANT_MS);
        let (now, mean_time, mean_work) = (self.now, self.mean_running_time(), self.mean_work.ratio_or_one());
        self.refreshed_at = now;
        let observed_ms = (now - self.started_at.unwrap_or(now)).max(self.settings.period.max(1.0));
        let arrivals = self.arrivals.value(now, ARRIVAL_TIME_CONSTANT_MS);
        self.arrival_rate =
            arrivals / (ARRIVAL_TIME_CONSTANT_MS * (1.0 - (-observed_ms / ARRIVAL_TIME_CONSTANT_MS).exp()));
        let mut fastest = self.arrival_rate.max(1e-9);
        // Without start reports, the first progress report shows that a job has started, with a delay.
        let (mut late_starts, report_delay) = (0.0, self.start_report_delay());
        let mut own_slots = BTreeMap::<Option<u32>, (f64, f64)>::new();
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            if worker.mode == Mode::Ready {
                fastest = fastest.max(self.estimated_speed(worker) / mean_work);
                let sum = own_slots.entry(self.pools[worker.pool].kind).or_default();
                *sum = (sum.0 + worker.slots, sum.1 + 1.0);
            }
            let worker = &mut self.workers[i];
            worker.expire(now);
            for f in worker
                .in_flight
                .iter_mut()
                .filter(|f| now > f.start_due_at + report_delay && f.occupied_until.is_none())
            {
                f.start_due_at = f64::INFINITY;
                late_starts += f.late_weight;
            }
            worker.knee += since / mean_time;
            worker.cached_index = None;
            let overruns = |f: &InFlight| f.started_at.is_some_and(|s| now - s > f.max_run_time);
            if worker.unfinished().any(overruns)
                && self.warm_up_fraction(self.workers[i].warm_up_start()) >= 1.0
            {
                self.eject_slow(i);
            }
        }
        self.adjust_price(late_starts);
        self.select_subset();
        self.step_ms = MAX_STEP_PROBABILITY / fastest;
        let replicas = f64::from(self.settings.replicas.max(1));
        let mut max_mean_own_slots = if replicas > 1.0 { 0.0 } else { 1.0f64 };
        for (kind, (slots, workers)) in own_slots {
            let kind = self.kinds.entry(kind).or_default();
            kind.mean_own_slots +=
                (slots / workers - kind.mean_own_slots) * (since / ARRIVAL_TIME_CONSTANT_MS).min(1.0);
            max_mean_own_slots = max_mean_own_slots.max(kind.mean_own_slots);
        }
        self.tie_tolerance = INDEX_TIE_TOLERANCE * (1.0 - max_mean_own_slots).max(0.0);
        for pool in &mut self.pools {
            let kind = self.kinds.entry(pool.kind).or_default();
            pool.speed = kind.speed.ratio().unwrap_or(self.fleet_speed.ratio_or_one());
            pool.cores = kind.cores.max(1.0);
            let reported_others = pool
                .reported_slots
                .ratio()
                .or(kind.reported_slots.ratio())
                .map(|total| (total - kind.mean_own_slots).max(0.0));
            pool.others_slots = reported_others.unwrap_or((replicas - 1.0) * kind.mean_own_slots);
            let speed = (pool.speed / mean_work * self.step_ms).min(1.0);
            pool.baseline_index = whittle_index(
                self.arrival_rate.max(1e-9) * self.step_ms,
                speed,
                pool.others_slots / pool.cores,
            );
        }
    }

    /// Whittle index of a worker at its present number of slots in use per core: those of this dispatcher's
    /// jobs and those of other dispatchers'.
    ///
    /// The slots of the others come from the load reports of its pool. Without reports, every other
    /// dispatcher is assumed to use as many as this one does on an average worker of its kind (averaged over
    /// the kind, because one of hundreds of dispatchers has 0 or 1 job at a single worker). Others do not
    /// count at a worker that is warming up: only the dispatcher whose turn it is sends to it.
    pub(super) fn worker_index(&self, worker: &Worker) -> f64 {
        let warm_up_fraction = self.warm_up_fraction(worker.warm_up_start());
        let speed = self.estimated_speed(worker) * warm_up_fraction / self.mean_work.ratio_or_one();
        let pool = &self.pools[worker.pool];
        // This dispatcher has no data of its own on the worker. That holds for most of 200 workers, and the
        // exponentials of the index are expensive.
        if worker.in_flight.is_empty()
            && worker.speed.denominator == 0.0
            && worker.reported_slots.is_none()
            && warm_up_fraction >= 1.0
        {
            return pool.baseline_index;
        }
        let mut slots_in_use = worker.slots + if warm_up_fraction < 1.0 { 0.0 } else { pool.others_slots };
        if let (Some((reported_at, slots)), true) = (worker.reported_slots, self.settings.replicas > 1) {
            slots_in_use += (slots - pool.others_slots)
                * (-(self.now - reported_at) / LOAD_REPORT_TIME_CONSTANT_MS).exp();
        }
        whittle_index(
            self.arrival_rate.max(1e-9) * self.step_ms,
            (speed * self.step_ms).min(1.0),
            slots_in_use / pool.cores,
        )
    }
}
