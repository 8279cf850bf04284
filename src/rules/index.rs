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
    let edge = if q < p || p * (1.0 + GAP) > 1.0 { 1.0 - GAP } else { 1.0 + GAP };
    let q = if (q - p).abs() >= GAP * p { q } else { p * edge };
    let gap = q - p;
    let linear = p * p * (1.0 - p) / (gap * gap) - p * (1.0 - q) / gap - n * p / gap;
    let coefficient = p * p * p * (1.0 - p) / (q * gap * gap);
    let r = p * (1.0 - q) / (q * (1.0 - p));
    let log = n * r.max(f64::MIN_POSITIVE).ln() + coefficient.ln();
    let power = if log <= 600.0 { log.exp() } else { 600f64.exp() * (log / 600.0) };
    linear - power
}

impl Balancer {
    pub(super) fn mean_time(&self) -> f64 {
        self.mean_work.mean() / self.all_speed.mean()
    }

    /// Share of its capacity that a worker has at least, from its last start.
    pub(super) fn warm_up_fraction(&self, ready_at: Option<f64>) -> f64 {
        let rules = &self.settings.rules;
        let age = ready_at.map_or(f64::INFINITY, |at| (self.now - at).max(0.0) / rules.warm_up);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * age).min(1.0)
    }

    /// Work a millisecond of one core of a warm worker, from served work only; its kind's mean stands before.
    pub(super) fn speed(&self, worker: &Worker) -> f64 {
        let kind = self.pools[worker.pool].speed;
        let prior = PRIOR_JOBS * self.mean_work.mean();
        // Jobs that overstay count before they end: a stalled worker yields no outcomes to learn from.
        let beyond = |f: &InFlight| f.started_at.map(|s| (self.now - s - f.work / kind).max(0.0));
        let over = worker.open_flights().filter_map(beyond).sum::<f64>();
        (worker.speed.work + prior) / (worker.speed.time + prior / kind + over)
    }

    /// Renews what the index of every worker rests on.
    pub(super) fn renew(&mut self) {
        let since = self.now - self.renewed_at;
        let often = (RENEW_REQUESTS / self.arrival_rate.max(1e-9)).clamp(RENEW_MS, ARRIVAL_MS);
        if since < often && !std::mem::take(&mut self.renew_now) {
            return;
        }
        let since = since.min(ARRIVAL_MS);
        let (now, mean_time, mean_work) = (self.now, self.mean_time(), self.mean_work.mean());
        self.renewed_at = now;
        let seen = (now - self.started_at.unwrap_or(now)).max(self.settings.period.max(1.0));
        let arrivals = self.arrivals.value(now, ARRIVAL_MS);
        self.arrival_rate = arrivals / (ARRIVAL_MS * (1.0 - (-seen / ARRIVAL_MS).exp()));
        let mut fastest = self.arrival_rate.max(1e-9);
        // Without start notes the first of progress tells, a while later.
        let (mut late, report_delay) = (0.0, self.progress_delay());
        let mut ours = BTreeMap::<Option<u32>, (f64, f64)>::new();
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            if worker.mode == Mode::Ready {
                fastest = fastest.max(self.speed(worker) / mean_work);
                let sum = ours.entry(self.pools[worker.pool].kind).or_default();
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
                late += f.weight;
            }
            worker.knee += since / mean_time;
            worker.index = None;
            let overstays = |f: &InFlight| f.started_at.is_some_and(|s| now - s > f.max_run_time);
            if worker.open_flights().any(overstays) && self.warm_up_fraction(self.workers[i].start()) >= 1.0 {
                self.eject_slow(i);
            }
        }
        self.adjust_price(late);
        self.draw_subset();
        self.step = STEP_SHARE / fastest;
        let replicas = f64::from(self.settings.replicas.max(1));
        let mut most = if replicas > 1.0 { 0.0 } else { 1.0f64 };
        for (kind, (slots, workers)) in ours {
            let kind = self.kinds.entry(kind).or_default();
            kind.usual_slots += (slots / workers - kind.usual_slots) * (since / ARRIVAL_MS).min(1.0);
            most = most.max(kind.usual_slots);
        }
        self.spread = INDEX_TIE * (1.0 - most).max(0.0);
        for pool in &mut self.pools {
            let kind = self.kinds.entry(pool.kind).or_default();
            pool.speed = kind.speed.rate().unwrap_or(self.all_speed.mean());
            pool.cores = kind.cores.max(1.0);
            let others = pool
                .reported_slots
                .rate()
                .or(kind.reported_slots.rate())
                .map(|all| (all - kind.usual_slots).max(0.0));
            pool.others_slots = others.unwrap_or((replicas - 1.0) * kind.usual_slots);
            let speed = (pool.speed / mean_work * self.step).min(1.0);
            pool.index =
                whittle_index(self.arrival_rate.max(1e-9) * self.step, speed, pool.others_slots / pool.cores);
        }
    }

    /// The entry of a worker's table at its present count, by core: our jobs there, and those of the others:
    /// by its pool's load reports, or else as many of each as we have on a mean worker of its kind (pooled,
    /// as our count at one is 0 or 1 among hundreds of us). Only the holder of a turn sends to
    /// a worker that is warming up.
    pub(super) fn index(&self, worker: &Worker) -> f64 {
        let warm = self.warm_up_fraction(worker.start());
        let speed = self.speed(worker) * warm / self.mean_work.mean();
        let pool = &self.pools[worker.pool];
        // Nothing of our own to tell it by: at 200 workers most are like that, and the exponentials cost.
        if worker.in_flight.is_empty()
            && worker.speed.time == 0.0
            && worker.reported_slots.is_none()
            && warm >= 1.0
        {
            return pool.index;
        }
        let mut count = worker.slots + if warm < 1.0 { 0.0 } else { pool.others_slots };
        if let (Some((at, slots)), true) = (worker.reported_slots, self.settings.replicas > 1) {
            count += (slots - pool.others_slots) * (-(self.now - at) / REPORT_FADE_MS).exp();
        }
        whittle_index(
            self.arrival_rate.max(1e-9) * self.step,
            (speed * self.step).min(1.0),
            count / pool.cores,
        )
    }
}
