//! Selects the worker for a job: the one with the highest index among those with capacity in this
//! dispatcher's subset of the fleet, within the load budgets of workers that are warming up.

use super::constants::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Returns the worker with the highest index among those that are ready, of the required kind, within the
    /// deduplication scope, not full and within their warm-up budget. Ejected workers, and the one that the
    /// request was sent to last, are considered only if there are no other eligible ones; workers outside the
    /// subset only if none in it can take the job.
    ///
    /// `Some(None)`: no eligible worker can take the job now. `None`: there is no eligible worker at all.
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
        // Penalty for crossing zones, in the form of the blocking term pD of the index: p is the arrival
        // rate, D the delay that would lose as much value as the crossing costs.
        let delay = CROSS_ZONE_FACTOR
            * self.arrival_rate
            * self.settings.prices.cross_zone
            * pending.latency_target();
        let cross_zone_penalty = delay * self.mean_value.ratio_or_one() / pending.value.max(1e-9);
        let (own_zone, required_kind, load) =
            (self.settings.zone, class.kind, pending.work * pending.request.slots);
        // A full worker that is not ejected is waited for. Otherwise every overload would send the excess to
        // workers that are known to fail.
        let (mut any_preferred, mut any_eligible) = (false, false);
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
            // Ejected workers, and the one that the request was sent to last.
            let avoided = worker.ejected_until > self.now || Some(worker.id) == last_tried;
            any_preferred |= !avoided;
            let awaiting_first_answer = worker.unproven() && !worker.in_flight.is_empty();
            if awaiting_first_answer || self.is_full(worker) || !self.fits_warm_up_budget(worker, load) {
                continue;
            }
            let penalty = if pool.zone == own_zone { 0.0 } else { cross_zone_penalty };
            let index = worker.cached_index.unwrap_or_else(|| self.worker_index(worker));
            // A restored worker gets a job to be measured by, however low its index was.
            let bonus = if worker.restored { RESTORED_BONUS } else { 0.0 };
            // Any dispatcher may use a worker that is warming up, when it is its turn. The subset is no limit
            // while all workers in it are full or ejected.
            let outside_subset =
                !worker.in_subset && !worker.restored && self.warm_up_fraction(worker.warm_up_start()) >= 1.0;
            candidates.push((index - penalty + bonus, i, avoided, outside_subset));
            self.workers[i].cached_index = Some(index);
        }
        candidates.retain(|(_, _, avoided, _)| *avoided != any_preferred);
        let any_in_subset = candidates.iter().any(|w| !w.3);
        candidates.retain(|(_, _, _, outside_subset)| !(any_in_subset && *outside_subset));
        let best = candidates.iter().fold(f64::NEG_INFINITY, |best, w| best.max(w.0));
        candidates.retain(|w| w.0 >= best - self.tie_tolerance * best.abs());
        let chosen = self.rng.0.usize(0..candidates.len().max(1));
        any_eligible.then_some(candidates.get(chosen).map(|w| self.workers[w.1].id))
    }

    /// Selects the subset of the workers of each zone that this dispatcher keeps to if it cannot get recent
    /// load reports from all. Each connection, and what is learned about each worker, then serves more jobs.
    ///
    /// Whole cells are selected where retries may not leave a cell. The order is by rendezvous hashing on the
    /// instance number: together the dispatchers cover the fleet, and a change of the list moves few workers
    /// in or out.
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
                    // An ejected worker stays in the subset, and a further one is added in its place.
                    taken += f64::from(u8::from(self.workers[*i].ejected_until <= self.now));
                }
            }
        }
    }

    /// Whether a worker has as many jobs of this dispatcher as it can run: one of them waits for its start,
    /// or their slots exceed the knee. Further jobs would only wait behind them; without this check, queues
    /// were seconds long and all answers late.
    pub(super) fn is_full(&self, worker: &Worker) -> bool {
        let lag = WAITING_START_LAGS * self.pools[worker.pool].start_lag + 2.0 * self.settings.period;
        let has_free_core = worker.slots < self.pools[worker.pool].cores;
        // A job that has waited this long, at a worker that has answered since it was sent, was lost: it does
        // not show a queue.
        let lost_before = self.now - self.long_start_wait();
        let not_lost = |f: &InFlight| f.sent_at >= lost_before || worker.last_seen_at <= f.sent_at;
        let waits = |f: &InFlight| {
            f.started_at.is_none() && not_lost(f) && (!has_free_core || self.now - f.sent_at > lag)
        };
        let past_knee = worker.slots >= worker.knee + 1.0;
        self.settings.reports_starts && (past_knee || worker.unfinished().any(waits))
    }

    /// Rule 4, without communication between dispatchers: they take turns at a worker that is warming up, and
    /// send it one job per turn. Returns the number of this dispatcher's latest turn and whether it is open;
    /// `None` if the worker is not warming up or no mean work is known yet.
    ///
    /// Turns follow each other at the rate at which average jobs use up `WARM_UP_SAFETY` of the budget, and
    /// every `replicas`-th turn is this dispatcher's. A turn stays open for a while, so that dispatchers with
    /// little traffic can use theirs; the rate is reduced by what this can add to a window of the budget. The
    /// sum over all dispatchers is therefore bounded however unevenly traffic is distributed.
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
        // Capacity since the start, as the time in which a warm worker has as much.
        let warm_capacity_ms =
            rules.warm_up_from * age + (1.0 - rules.warm_up_from) * age * age / (2.0 * rules.warm_up);
        let replicas = f64::from(self.settings.replicas.max(1));
        // Number of this dispatcher's turn in each round of `replicas` turns. It depends on the start, so
        // that not always the same dispatchers come first.
        let own_turn = (f64::from(self.settings.instance) + (start * TURN_SPREAD).fract() * replicas)
            .rem_euclid(replicas);
        let round = ((turns_per_ms * warm_capacity_ms - own_turn) / replicas).floor();
        let open_turns = (turns_per_ms
            * self.warm_up_fraction(worker.warm_up_start())
            * TURN_WINDOW_SHARE
            * rules.overload_time)
            .max(1.0);
        let open = turns_per_ms * warm_capacity_ms - (round * replicas + own_turn) <= open_turns;
        Some((round, round >= 0.0 && open))
    }

    /// Whether a job of this load (work times slots) may be sent now, given the worker's warm-up.
    fn fits_warm_up_budget(&self, worker: &Worker, load: f64) -> bool {
        let max_load = MAX_WARM_UP_JOB_SIZE * self.mean_work.ratio().unwrap_or(0.0);
        self.warm_up_turn(worker)
            .is_none_or(|(turn, open)| open && turn > worker.warm_up_turn && load <= max_load)
    }
}
