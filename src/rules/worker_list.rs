//! The worker list: when to ask for it, what it says of a worker, and the workers that operators take out.

use super::constants::*;
use super::{Balancer, TIMER_LIST};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Discovery answers one call after another. Where a fleet's come at once and soon again, each waits till
    /// it is given up, and nobody is answered any more: calls are spread over the time that the fleet's take,
    /// twice as long after each failure, with full jitter. Within `list_interval` no change counts as known.
    pub(super) fn ask(&mut self, out: &mut Vec<Action>) {
        let most = self.settings.rules.list_interval;
        let fleet = LIST_CALL_MS * f64::from(self.settings.replicas.saturating_sub(1));
        let least = if self.list_failures == 0 { 0.0 } else { LIST_FIRST_BACKOFF * most };
        let wait = fleet.max(least) * f64::from(1u32 << self.list_failures.min(9));
        let longest = (LIST_MAX_BACKOFF * most).max(LIST_ROUNDS * fleet).min(most);
        let delay = wait.min(longest) * self.rng.0.f64();
        out.push(if delay > 0.0 { Action::Timer { token: TIMER_LIST, delay } } else { Action::Watch });
    }

    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            self.list_failures += 1;
            return self.ask(out);
        }
        self.list_failures = 0;
        let (stays, first) = (self.settings.rules.unlisted_stay_open, self.workers.is_empty());
        for entry in entries {
            let ready_at = entry.ready_at.filter(|t| t.is_finite());
            let pool = self.pool_of(entry.kind, entry.zone);
            let fresh = |flights: Vec<InFlight>| Worker {
                pool,
                id: entry.worker,
                slots: flights.iter().map(|f| f.slots).sum(),
                cell: entry.cell,
                mode: entry.mode,
                ready_at,
                in_flight: flights,
                listed: true,
                listed_since: if first { f64::NEG_INFINITY } else { self.now },
                ..Worker::unknown()
            };
            match self.workers.binary_search_by_key(&entry.worker, |w| w.id) {
                Ok(i) if entry.mode == Mode::Gone => self.unlist(i, out),
                Ok(i) => {
                    let worker = &mut self.workers[i];
                    // A drain seen binds until a newer start is ready, where only draining does: older lists
                    // name drained workers again.
                    let binds = stays && worker.mode == Mode::Draining;
                    if ready_at > worker.ready_at && (entry.mode == Mode::Ready || !binds) {
                        // Restarted: nothing we learnt of the old process holds; attempts out get outcomes.
                        let (flights, put_back) = (std::mem::take(&mut worker.in_flight), worker.restored);
                        *worker = Worker { restored: put_back, ..fresh(flights) };
                    } else {
                        // The same process, or an older list of it: keep what we know.
                        (worker.cell, worker.pool, worker.listed) = (entry.cell, pool, true);
                        worker.mode = if binds { Mode::Draining } else { entry.mode };
                        worker.unlisted_since = None;
                    }
                }
                Err(_) if entry.mode == Mode::Gone => {}
                Err(i) => self.workers.insert(i, fresh(Vec::new())),
            }
            if entry.mode != Mode::Ready {
                self.release(entry.worker, out);
            }
        }
        for i in 0..self.workers.len() {
            if !std::mem::take(&mut self.workers[i].listed) && kind != ListKind::Update {
                self.unlist(i, out);
            }
        }
        // Bound on memory: of the workers that no list names any more, the latest few are kept.
        let mut dropped: Vec<f64> = self.workers.iter().filter_map(|w| w.unlisted_since).collect();
        if dropped.len() > MAX_UNLISTED {
            dropped.sort_by(|a, b| b.total_cmp(a));
            self.workers.retain(|w| {
                w.unlisted_since.is_none_or(|t| t >= dropped[MAX_UNLISTED]) || !w.in_flight.is_empty()
            });
        }
        self.renew_now = true;
        self.dispatch_parked(false, out);
    }

    /// A list that calls a live worker gone, or names it no more: where that does not bind, it stays and our
    /// own outcomes decide.
    fn unlist(&mut self, i: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[i];
        if worker.unlisted_since.is_none() {
            (worker.unlisted_since, worker.listed_since) = (Some(self.now), self.now);
            if !self.settings.rules.unlisted_stay_open {
                worker.mode = Mode::Gone;
            }
            let id = worker.id;
            self.release(id, out);
        }
    }

    /// A worker is taken out to be restarted: restored it is warming up, which lists say seconds later.
    /// What it did before holds no more, and its next job is soon.
    pub(super) fn on_ban(&mut self, id: WorkerId, on: bool, out: &mut Vec<Action>) {
        if on {
            self.banned.entry(id).or_insert(self.now);
            out.push(Action::Release { worker: id });
        } else if let (Some(since), Some(i)) = (self.banned.remove(&id), self.find(id)) {
            let (worker, now) = (&mut self.workers[i], self.now);
            worker.restored_at = (worker.ready_at < Some(since)).then_some(now);
            (worker.errors, worker.ejected_until, worker.restored, worker.index) = (0.0, now, true, None);
            self.dispatch_parked(false, out);
        }
    }

    /// Rule 5: closes the idle connections to a worker that is not ready, on the notice and again whenever an
    /// attempt of ours ends there, whose connection becomes idle only then; also if we forgot the worker.
    pub(super) fn release(&self, id: WorkerId, out: &mut Vec<Action>) {
        if self.worker(id).is_none_or(|w| w.mode != Mode::Ready) {
            out.push(Action::Release { worker: id });
        }
    }
}
