//! The index of equation (15), and the estimates that it rests on: our arrival rate, workers' speeds, and
//! the jobs that others have there.

use super::constants::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Equation (15) with C = 1 and without pD, which `pick` adds where refusal is possible. `n` may lie between
/// whole counts. Finite and non-increasing for any n: past e^600 the power goes on with its exponent.
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
    pub(super) fn cold_share(&self, ready_at: Option<f64>) -> f64 {
        let rules = &self.settings.rules;
        let age = ready_at.map_or(f64::INFINITY, |at| (self.now - at).max(0.0) / rules.warm_up);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * age).min(1.0)
    }

    /// Work a millisecond of one core of a warm worker, from served work only; its kind's mean stands before.
    pub(super) fn speed(&self, worker: &Worker) -> f64 {
        let kind = self.pools[worker.pool].speed;
        let prior = PRIOR_JOBS * self.mean_work.mean();
        // Jobs that overstay count before they end: a stalled worker yields no outcomes to learn from.
        let beyond = |f: &Flight| f.started.map(|s| (self.now - s - f.work / kind).max(0.0));
        let over = worker.open_flights().filter_map(beyond).sum::<f64>();
        (worker.speed.work + prior) / (worker.speed.time + prior / kind + over)
    }

    /// Renews what the index of every worker rests on.
    pub(super) fn renew(&mut self) {
        let since = self.now - self.renewed_at;
        let often = (RENEW_REQUESTS / self.rate.max(1e-9)).clamp(RENEW_MS, ARRIVAL_MS);
        if since < often && !std::mem::take(&mut self.renew_now) {
            return;
        }
        let since = since.min(ARRIVAL_MS);
        let (now, mean_time, mean_work) = (self.now, self.mean_time(), self.mean_work.mean());
        self.renewed_at = now;
        let seen = (now - self.began.unwrap_or(now)).max(self.settings.period.max(1.0));
        let arrivals = self.arrivals.value(now, ARRIVAL_MS);
        self.rate = arrivals / (ARRIVAL_MS * (1.0 - (-seen / ARRIVAL_MS).exp()));
        let mut fastest = self.rate.max(1e-9);
        // Without start notes the first of progress tells, a while later.
        let (mut late, told) = (0.0, self.note_delay());
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
            for f in worker.flights.iter_mut().filter(|f| now > f.due + told && f.ghost_until.is_none()) {
                f.due = f64::INFINITY;
                late += f.stake;
            }
            worker.knee += since / mean_time;
            worker.index = None;
            let overstays = |f: &Flight| f.started.is_some_and(|s| now - s > f.longest);
            if worker.open_flights().any(overstays) && self.cold_share(self.workers[i].start()) >= 1.0 {
                self.leave_slow(i);
            }
        }
        self.judge(late);
        self.draw_near();
        self.step = STEP_SHARE / fastest;
        let replicas = f64::from(self.settings.replicas.max(1));
        let mut most = if replicas > 1.0 { 0.0 } else { 1.0f64 };
        for (kind, (slots, workers)) in ours {
            let kind = self.kinds.entry(kind).or_default();
            kind.usual += (slots / workers - kind.usual) * (since / ARRIVAL_MS).min(1.0);
            most = most.max(kind.usual);
        }
        self.spread = SPREAD * (1.0 - most).max(0.0);
        for pool in &mut self.pools {
            let kind = self.kinds.entry(pool.kind).or_default();
            pool.speed = kind.speed.rate().unwrap_or(self.all_speed.mean());
            pool.cores = kind.cores.max(1.0);
            let others = pool.heard.rate().or(kind.heard.rate()).map(|all| (all - kind.usual).max(0.0));
            pool.others = others.unwrap_or((replicas - 1.0) * kind.usual);
            let speed = (pool.speed / mean_work * self.step).min(1.0);
            pool.index = whittle_index(self.rate.max(1e-9) * self.step, speed, pool.others / pool.cores);
        }
    }

    /// The entry of a worker's table at its present count, by core: our jobs there, and those of the others:
    /// by its pool's load reports, or else as many of each as we have on a mean worker of its kind (pooled,
    /// as our count at one is 0 or 1 among hundreds of us). Only the holder of a turn sends to a cold worker.
    pub(super) fn index(&self, worker: &Worker) -> f64 {
        let warm = self.cold_share(worker.start());
        let speed = self.speed(worker) * warm / self.mean_work.mean();
        let pool = &self.pools[worker.pool];
        // Nothing of our own to tell it by: at 200 workers most are like that, and the exponentials cost.
        if worker.flights.is_empty() && worker.speed.time == 0.0 && worker.heard.is_none() && warm >= 1.0 {
            return pool.index;
        }
        let mut count = worker.slots + if warm < 1.0 { 0.0 } else { pool.others };
        if let (Some((at, slots)), true) = (worker.heard, self.settings.replicas > 1) {
            count += (slots - pool.others) * (-(self.now - at) / HEARD_MS).exp();
        }
        whittle_index(self.rate.max(1e-9) * self.step, (speed * self.step).min(1.0), count / pool.cores)
    }
}
