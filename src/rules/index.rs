//! The index of equation (15), and the estimates that it rests on: our arrival rate, workers' speeds, and
//! the jobs that others have there.

use super::constants::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Equation (15) with C = 1 and without pD, which `select_worker` adds where refusal is possible. `n` may lie
/// between whole counts. Finite and non-increasing for any n: past e^600 the power goes on with its exponent.
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
    pub(super) fn mean_running_time(&self) -> f64 {
        self.mean_work.ratio_or_one() / self.fleet_speed.ratio_or_one()
    }

    /// Share of its capacity that a worker has at least, from its last start.
    pub(super) fn warm_up_fraction(&self, ready_at: Option<f64>) -> f64 {
        let rules = &self.settings.rules;
        let warm_up_progress = ready_at.map_or(f64::INFINITY, |at| (self.now - at).max(0.0) / rules.warm_up);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * warm_up_progress).min(1.0)
    }

    /// Work a millisecond of one core of a warm worker, from served work only; its kind's mean stands before.
    pub(super) fn estimated_speed(&self, worker: &Worker) -> f64 {
        let kind_speed = self.pools[worker.pool].speed;
        let prior = PRIOR_JOBS * self.mean_work.ratio_or_one();
        // Jobs that overstay count before they end: a stalled worker yields no outcomes to learn from.
        let overrun = |f: &InFlight| f.started_at.map(|s| (self.now - s - f.work / kind_speed).max(0.0));
        let total_overrun = worker.unfinished().filter_map(overrun).sum::<f64>();
        (worker.speed.numerator + prior) / (worker.speed.denominator + prior / kind_speed + total_overrun)
    }

    /// Renews what the index of every worker rests on.
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
        // Without start notes the first of progress tells, a while later.
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

    /// The entry of a worker's table at its present count, by core: our jobs there, and those of the others:
    /// by its pool's load reports, or else as many of each as we have on a mean worker of its kind (pooled,
    /// as our count at one is 0 or 1 among hundreds of us). Only the holder of a turn sends to
    /// a worker that is warming up.
    pub(super) fn worker_index(&self, worker: &Worker) -> f64 {
        let warm_up_fraction = self.warm_up_fraction(worker.warm_up_start());
        let speed = self.estimated_speed(worker) * warm_up_fraction / self.mean_work.ratio_or_one();
        let pool = &self.pools[worker.pool];
        // Nothing of our own to tell it by: at 200 workers most are like that, and the exponentials cost.
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
