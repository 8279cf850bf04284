//! Which worker gets a job: the choice by index, among the part of the fleet that we keep to, of those with
//! room, within the budgets of workers that are warming up.

use super::constants::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Highest index over workers that are ready, able, allowed by the effect rules and within the warm-up
    /// budget. Workers that are ejected count only if no other is left, those outside our part if none in
    /// it has room. None: there is no such worker, full or not.
    pub(super) fn select_worker(&mut self, id: RequestId) -> Option<Option<WorkerId>> {
        self.renew();
        let pending = self.pending.get(&id)?;
        let class = &pending.class;
        let bound = match pending.first_run() {
            Some(a) if class.effect == Effect::Deduplicated && class.dedup_scope != DedupScope::All => {
                let worker = self.worker(a.worker)?;
                Some((self.pools[worker.pool].zone, worker.cell, class.dedup_scope))
            }
            _ => None,
        };
        let last = pending.attempts.last().map(|a| a.worker);
        // A crossing costs its price: as blocking costs pD, with D the delay that loses as much value.
        let delay = CROSS_ZONE_FACTOR
            * self.arrival_rate
            * self.settings.prices.cross_zone
            * pending.latency_target();
        let cross = delay * self.mean_value.mean() / pending.value.max(1e-9);
        let (zone, kind, load) = (self.settings.zone, class.kind, pending.work * pending.request.slots);
        // Full ones are waited for, or every overload would send its rest to workers known to fail.
        let (mut others, mut any) = (false, false);
        let mut scan = Vec::with_capacity(self.workers.len());
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            let pool = &self.pools[worker.pool];
            let listed = worker.mode == Mode::Ready && !self.banned.contains_key(&worker.id);
            let able = listed && (kind.is_none() || kind == pool.kind);
            let same = |(zone, cell, by)| {
                if by == DedupScope::Zone {
                    pool.zone == zone
                } else {
                    worker.cell == cell
                }
            };
            if !able || !bound.is_none_or(same) {
                continue;
            }
            any = true;
            let set_aside = worker.ejected_until > self.now || Some(worker.id) == last;
            others |= !set_aside;
            let tried = worker.unproven() && !worker.in_flight.is_empty();
            if tried || self.full(worker) || !self.fits_warm_up(worker, load) {
                continue;
            }
            let price = if pool.zone == zone { 0.0 } else { cross };
            let index = worker.index.unwrap_or_else(|| self.index(worker));
            // One that was restored shows what it is by a job, however poor its index was.
            let first = if worker.restored { RESTORED_BONUS } else { 0.0 };
            // One that is warming up is anybody's whose turn it is; a part that is all full or ejected, no
            // bound.
            let far = !worker.in_subset && !worker.restored && self.warm_up_fraction(worker.start()) >= 1.0;
            scan.push((index - price + first, i, set_aside, far));
            self.workers[i].index = Some(index);
        }
        scan.retain(|(_, _, aside, _)| *aside != others);
        let near = scan.iter().any(|w| !w.3);
        scan.retain(|(_, _, _, far)| !(near && *far));
        let top = scan.iter().fold(f64::NEG_INFINITY, |top, w| top.max(w.0));
        scan.retain(|w| w.0 >= top - self.spread * top.abs());
        let nth = self.rng.0.usize(0..scan.len().max(1));
        any.then_some(scan.get(nth).map(|w| self.workers[w.1].id))
    }

    /// Where news of few workers is fresh, we keep to a part of the fleet in each zone: handshakes and what
    /// is learnt of a worker then serve many jobs. The part are whole cells, which repeats may not leave, by
    /// rendezvous hash of our number: all of us together cover the fleet, and changes move few.
    pub(super) fn draw_subset(&mut self) {
        let (me, classes) = (u64::from(self.settings.instance) << 32, &self.settings.classes);
        let cells =
            classes.iter().any(|c| c.effect == Effect::Deduplicated && c.dedup_scope == DedupScope::Cell);
        let whole = self.settings.replicas < 2 || classes.iter().any(|c| c.kind.is_some());
        let part = if whole {
            f64::INFINITY
        } else {
            (self.arrival_rate * REPORT_FADE_MS / SUBSET_REPORTS).max(MIN_SUBSET)
        };
        let mut order = Vec::with_capacity(self.workers.len());
        for (i, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.mode == Mode::Ready) {
            let group = if cells { worker.cell } else { i64::from(worker.id) };
            let hash = fastrand::Rng::with_seed(me ^ group as u64).u64(..);
            order.push((self.pools[worker.pool].zone, hash, group, i));
        }
        order.sort_unstable();
        for zone in order.chunk_by(|a, b| a.0 == b.0) {
            let mut taken = 0.0;
            for group in zone.chunk_by(|a, b| a.2 == b.2) {
                let near = taken < part;
                for (_, _, _, i) in group {
                    self.workers[*i].in_subset = near;
                    // One that is ejected keeps its place, and another is drawn beside it.
                    taken += f64::from(u8::from(self.workers[*i].ejected_until <= self.now));
                }
            }
        }
    }

    /// A worker at the count where its completions stop rising for us: a job of ours waits there, and more
    /// would only wait behind it (seconds of queue, all late).
    pub(super) fn full(&self, worker: &Worker) -> bool {
        let lag = 4.0 * self.pools[worker.pool].start_lag + 2.0 * self.settings.period;
        let room = worker.slots < self.pools[worker.pool].cores;
        // A worker that was seen since has not started it for so long that it was lost: no queue.
        let lost = self.now - self.long_wait();
        let kept = |f: &InFlight| f.sent_at >= lost || worker.last_seen_at <= f.sent_at;
        let waits = |f: &InFlight| f.started_at.is_none() && kept(f) && (!room || self.now - f.sent_at > lag);
        let past_knee = worker.slots >= worker.knee + 1.0;
        self.settings.reports_starts && (past_knee || worker.open_flights().any(waits))
    }

    /// Rule 4, each dispatcher alone: dispatchers take turns at a worker that is warming up, one job a turn.
    /// Turns come at the pace at which mean jobs fill a share of the budget; each of us holds one in
    /// `replicas`. It stays open for a while, for dispatchers with little traffic; what that adds to a
    /// window is off the pace. So the sum over all is bounded however uneven traffic is. Gives our last
    /// turn, and whether it is open.
    pub(super) fn turn(&self, worker: &Worker) -> Option<(f64, bool)> {
        let rules = &self.settings.rules;
        let start = worker.start().filter(|at| rules.warm_up > 0.0 && self.now < at + rules.warm_up)?;
        let age = (self.now - start).max(0.0);
        let warm = self.all_speed.rate().map_or(0.0, |_| self.pools[worker.pool].speed);
        let job = self.mean_work.rate().filter(|w| *w > 0.0)? / (warm * self.pools[worker.pool].cores);
        let pace = WARM_UP_SAFETY * rules.overload_multiple / (job * (1.0 + TURN_SHARE));
        let done = rules.warm_up_from * age + (1.0 - rules.warm_up_from) * age * age / (2.0 * rules.warm_up);
        let replicas = f64::from(self.settings.replicas.max(1));
        let place =
            (f64::from(self.settings.instance) + (start * 0.618_034).fract() * replicas).rem_euclid(replicas);
        let round = ((pace * done - place) / replicas).floor();
        let width =
            (pace * self.warm_up_fraction(worker.start()) * TURN_SHARE * rules.overload_time).max(1.0);
        let open = pace * done - (round * replicas + place) <= width;
        Some((round, round >= 0.0 && open))
    }

    fn fits_warm_up(&self, worker: &Worker, load: f64) -> bool {
        let most = MAX_WARM_UP_JOB * self.mean_work.rate().unwrap_or(0.0);
        self.turn(worker).is_none_or(|(turn, open)| open && turn > worker.warm_up_turn && load <= most)
    }
}
