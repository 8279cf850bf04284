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
        self.refresh_estimates();
        let pending = self.pending.get(&id)?;
        let class = &pending.class;
        let required_scope = match pending.first_possible_run() {
            Some(a) if class.effect == Effect::Deduplicated && class.dedup_scope != DedupScope::All => {
                let worker = self.worker(a.worker)?;
                Some((self.pools[worker.pool].zone, worker.cell, class.dedup_scope))
            }
            _ => None,
        };
        let last_tried = pending.attempts.last().map(|a| a.worker);
        // A crossing costs its price: as blocking costs pD, with D the delay that loses as much value.
        let delay = CROSS_ZONE_FACTOR
            * self.arrival_rate
            * self.settings.prices.cross_zone
            * pending.latency_target();
        let cross_zone_penalty = delay * self.mean_value.ratio_or_one() / pending.value.max(1e-9);
        let (own_zone, required_kind, load) =
            (self.settings.zone, class.kind, pending.work * pending.request.slots);
        // Full ones are waited for, or every overload would send its rest to workers known to fail.
        let (mut any_not_set_aside, mut any_eligible) = (false, false);
        let mut candidates = Vec::with_capacity(self.workers.len());
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            let pool = &self.pools[worker.pool];
            let listed = worker.mode == Mode::Ready && !self.banned.contains_key(&worker.id);
            let eligible = listed && (required_kind.is_none() || required_kind == pool.kind);
            let in_scope = |(zone, cell, by)| {
                if by == DedupScope::Zone {
                    pool.zone == zone
                } else {
                    worker.cell == cell
                }
            };
            if !eligible || !required_scope.is_none_or(in_scope) {
                continue;
            }
            any_eligible = true;
            let set_aside = worker.ejected_until > self.now || Some(worker.id) == last_tried;
            any_not_set_aside |= !set_aside;
            let awaiting_first_answer = worker.unproven() && !worker.in_flight.is_empty();
            if awaiting_first_answer || self.is_full(worker) || !self.fits_warm_up_budget(worker, load) {
                continue;
            }
            let penalty = if pool.zone == own_zone { 0.0 } else { cross_zone_penalty };
            let index = worker.cached_index.unwrap_or_else(|| self.worker_index(worker));
            // One that was restored shows what it is by a job, however poor its index was.
            let bonus = if worker.restored { RESTORED_BONUS } else { 0.0 };
            // One that is warming up is anybody's whose turn it is; a part that is all full or ejected, no
            // bound.
            let outside_subset =
                !worker.in_subset && !worker.restored && self.warm_up_fraction(worker.warm_up_start()) >= 1.0;
            candidates.push((index - penalty + bonus, i, set_aside, outside_subset));
            self.workers[i].cached_index = Some(index);
        }
        candidates.retain(|(_, _, set_aside, _)| *set_aside != any_not_set_aside);
        let any_in_subset = candidates.iter().any(|w| !w.3);
        candidates.retain(|(_, _, _, outside_subset)| !(any_in_subset && *outside_subset));
        let best = candidates.iter().fold(f64::NEG_INFINITY, |best, w| best.max(w.0));
        candidates.retain(|w| w.0 >= best - self.tie_tolerance * best.abs());
        let chosen = self.rng.0.usize(0..candidates.len().max(1));
        any_eligible.then_some(candidates.get(chosen).map(|w| self.workers[w.1].id))
    }

    /// Where news of few workers is fresh, we keep to a part of the fleet in each zone: handshakes and what
    /// is learnt of a worker then serve many jobs. The part are whole cells, which repeats may not leave, by
    /// rendezvous hash of our number: all of us together cover the fleet, and changes move few.
    pub(super) fn select_subset(&mut self) {
        let (instance_seed, classes) = (u64::from(self.settings.instance) << 32, &self.settings.classes);
        let by_cell =
            classes.iter().any(|c| c.effect == Effect::Deduplicated && c.dedup_scope == DedupScope::Cell);
        let use_whole_fleet = self.settings.replicas < 2 || classes.iter().any(|c| c.kind.is_some());
        let subset_size = if use_whole_fleet {
            f64::INFINITY
        } else {
            (self.arrival_rate * LOAD_REPORT_TIME_CONSTANT_MS / MIN_REPORTS_PER_WORKER).max(MIN_SUBSET_SIZE)
        };
        let mut order = Vec::with_capacity(self.workers.len());
        for (i, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.mode == Mode::Ready) {
            let group = if by_cell { worker.cell } else { i64::from(worker.id) };
            let hash = fastrand::Rng::with_seed(instance_seed ^ group as u64).u64(..);
            order.push((self.pools[worker.pool].zone, hash, group, i));
        }
        order.sort_unstable();
        for zone in order.chunk_by(|a, b| a.0 == b.0) {
            let mut taken = 0.0;
            for group in zone.chunk_by(|a, b| a.2 == b.2) {
                let in_subset = taken < subset_size;
                for (_, _, _, i) in group {
                    self.workers[*i].in_subset = in_subset;
                    // One that is ejected keeps its place, and another is drawn beside it.
                    taken += f64::from(u8::from(self.workers[*i].ejected_until <= self.now));
                }
            }
        }
    }

    /// A worker at the count where its completions stop rising for us: a job of ours waits there, and more
    /// would only wait behind it (seconds of queue, all late).
    pub(super) fn is_full(&self, worker: &Worker) -> bool {
        let lag = 4.0 * self.pools[worker.pool].start_lag + 2.0 * self.settings.period;
        let has_free_core = worker.slots < self.pools[worker.pool].cores;
        // A worker that was seen since has not started it for so long that it was lost: no queue.
        let lost_before = self.now - self.long_start_wait();
        let not_lost = |f: &InFlight| f.sent_at >= lost_before || worker.last_seen_at <= f.sent_at;
        let waits = |f: &InFlight| {
            f.started_at.is_none() && not_lost(f) && (!has_free_core || self.now - f.sent_at > lag)
        };
        let past_knee = worker.slots >= worker.knee + 1.0;
        self.settings.reports_starts && (past_knee || worker.unfinished().any(waits))
    }

    /// Rule 4, each dispatcher alone: dispatchers take turns at a worker that is warming up, one job a turn.
    /// Turns come at the pace at which mean jobs fill a share of the budget; each of us holds one in
    /// `replicas`. It stays open for a while, for dispatchers with little traffic; what that adds to a
    /// window is off the pace. So the sum over all is bounded however uneven traffic is. Gives our last
    /// turn, and whether it is open.
    pub(super) fn warm_up_turn(&self, worker: &Worker) -> Option<(f64, bool)> {
        let rules = &self.settings.rules;
        let start =
            worker.warm_up_start().filter(|at| rules.warm_up > 0.0 && self.now < at + rules.warm_up)?;
        let age = (self.now - start).max(0.0);
        let warm_speed = self.fleet_speed.ratio().map_or(0.0, |_| self.pools[worker.pool].speed);
        let mean_job_ms =
            self.mean_work.ratio().filter(|w| *w > 0.0)? / (warm_speed * self.pools[worker.pool].cores);
        let turns_per_ms =
            WARM_UP_SAFETY * rules.overload_multiple / (mean_job_ms * (1.0 + TURN_WINDOW_SHARE));
        let warm_capacity_ms =
            rules.warm_up_from * age + (1.0 - rules.warm_up_from) * age * age / (2.0 * rules.warm_up);
        let replicas = f64::from(self.settings.replicas.max(1));
        let own_turn =
            (f64::from(self.settings.instance) + (start * 0.618_034).fract() * replicas).rem_euclid(replicas);
        let round = ((turns_per_ms * warm_capacity_ms - own_turn) / replicas).floor();
        let open_turns = (turns_per_ms
            * self.warm_up_fraction(worker.warm_up_start())
            * TURN_WINDOW_SHARE
            * rules.overload_time)
            .max(1.0);
        let open = turns_per_ms * warm_capacity_ms - (round * replicas + own_turn) <= open_turns;
        Some((round, round >= 0.0 && open))
    }

    fn fits_warm_up_budget(&self, worker: &Worker, load: f64) -> bool {
        let max_load = MAX_WARM_UP_JOB_SIZE * self.mean_work.ratio().unwrap_or(0.0);
        self.warm_up_turn(worker)
            .is_none_or(|(turn, open)| open && turn > worker.warm_up_turn && load <= max_load)
    }
}
