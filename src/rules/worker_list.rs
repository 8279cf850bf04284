//! The worker list: when to call for it, how it changes the records of workers, and the workers that
//! operators eject.

use super::constants::*;
use super::{Balancer, TIMER_LIST};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Calls for the worker list after a random delay (exponential backoff with full jitter).
    ///
    /// Discovery answers calls one after another. If all dispatchers call at once and retry soon, each call
    /// waits until it times out, and nobody gets an answer. So calls are spread over the time that those of
    /// all dispatchers take, and over twice that after each further failure. The delay is at most
    /// `list_interval`, within which no change of the list counts as known.
    pub(super) fn request_list(&mut self, out: &mut Vec<Action>) {
        let list_interval = self.settings.rules.list_interval;
        let fleet_round_ms = LIST_CALL_MS * f64::from(self.settings.replicas.saturating_sub(1));
        let first_backoff =
            if self.list_failures == 0 { 0.0 } else { LIST_FIRST_BACKOFF_SHARE * list_interval };
        let max_delay = fleet_round_ms.max(first_backoff) * f64::from(1u32 << self.list_failures.min(9));
        let longest_backoff = (LIST_MAX_BACKOFF_SHARE * list_interval)
            .max(LIST_BACKOFF_ROUNDS * fleet_round_ms)
            .min(list_interval);
        let delay = max_delay.min(longest_backoff) * self.rng.0.f64();
        out.push(if delay > 0.0 { Action::Timer { token: TIMER_LIST, delay } } else { Action::Watch });
    }

    /// Applies a worker list, or a change of it, to the records.
    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            self.list_failures += 1;
            return self.request_list(out);
        }
        self.list_failures = 0;
        let (unlisted_stay_open, is_first_list) =
            (self.settings.rules.unlisted_stay_open, self.workers.is_empty());
        for entry in entries {
            let ready_at = entry.ready_at.filter(|t| t.is_finite());
            let pool = self.pool_of(entry.kind, entry.zone);
            let new_worker = |in_flight: Vec<InFlight>| Worker {
                pool,
                id: entry.worker,
                slots: in_flight.iter().map(|f| f.slots).sum(),
                cell: entry.cell,
                mode: entry.mode,
                ready_at,
                in_flight,
                in_current_list: true,
                listed_since: if is_first_list { f64::NEG_INFINITY } else { self.now },
                ..Worker::new()
            };
            match self.workers.binary_search_by_key(&entry.worker, |w| w.id) {
                Ok(i) if entry.mode == Mode::Gone => self.mark_unlisted(i, out),
                Ok(i) => {
                    let worker = &mut self.workers[i];
                    // Where only an entry that shows draining binds, it does so until a newer start is listed
                    // as ready, because outdated lists may name a drained worker as ready again.
                    let drain_persists = unlisted_stay_open && worker.mode == Mode::Draining;
                    if ready_at > worker.ready_at && (entry.mode == Mode::Ready || !drain_persists) {
                        // Restarted: nothing learned about the old process applies. Open attempts are kept,
                        // as their outcomes are still to come.
                        let (in_flight, restored) = (std::mem::take(&mut worker.in_flight), worker.restored);
                        *worker = Worker { restored, ..new_worker(in_flight) };
                    } else {
                        // The same process, or an outdated entry: keep what is known.
                        (worker.cell, worker.pool, worker.in_current_list) = (entry.cell, pool, true);
                        worker.mode = if drain_persists { Mode::Draining } else { entry.mode };
                        worker.unlisted_since = None;
                    }
                }
                Err(_) if entry.mode == Mode::Gone => {}
                Err(i) => self.workers.insert(i, new_worker(Vec::new())),
            }
            if entry.mode != Mode::Ready {
                self.close_idle_connections(entry.worker, out);
            }
        }
        for i in 0..self.workers.len() {
            if !std::mem::take(&mut self.workers[i].in_current_list) && kind != ListKind::Update {
                self.mark_unlisted(i, out);
            }
        }
        // Bounds memory: of the workers that have disappeared from the list, only the latest are kept.
        let mut unlisted_since: Vec<f64> = self.workers.iter().filter_map(|w| w.unlisted_since).collect();
        if unlisted_since.len() > MAX_UNLISTED_WORKERS {
            unlisted_since.sort_by(|a, b| b.total_cmp(a));
            self.workers.retain(|w| {
                w.unlisted_since.is_none_or(|t| t >= unlisted_since[MAX_UNLISTED_WORKERS])
                    || !w.in_flight.is_empty()
            });
        }
        self.refresh_due = true;
        self.dispatch_parked(false, out);
    }

    /// Handles a worker that is listed as gone or has disappeared from the list. Under `unlisted_stay_open`
    /// it stays in use, and the outcomes of its attempts decide.
    fn mark_unlisted(&mut self, i: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[i];
        if worker.unlisted_since.is_none() {
            (worker.unlisted_since, worker.listed_since) = (Some(self.now), self.now);
            if !self.settings.rules.unlisted_stay_open {
                worker.mode = Mode::Gone;
            }
            let id = worker.id;
            self.close_idle_connections(id, out);
        }
    }

    /// Operators eject a worker, or restore it. They eject workers to restart them, and lists report restarts
    /// seconds late, so a restored worker counts as warming up. Its earlier failures no longer count, and it
    /// gets a job soon.
    pub(super) fn on_ban(&mut self, id: WorkerId, on: bool, out: &mut Vec<Action>) {
        if on {
            self.banned.entry(id).or_insert(self.now);
            out.push(Action::CloseIdleConnections { worker: id });
        } else if let (Some(since), Some(i)) = (self.banned.remove(&id), self.position_of(id)) {
            let (worker, now) = (&mut self.workers[i], self.now);
            worker.restored_at = (worker.ready_at < Some(since)).then_some(now);
            (worker.failure_rate, worker.ejected_until, worker.restored, worker.cached_index) =
                (0.0, now, true, None);
            self.dispatch_parked(false, out);
        }
    }

    /// Rule 5: closes the idle connections to a worker that is not ready. This happens when the list reports
    /// it, and again whenever an attempt ends there, because its connection becomes idle only then; also if
    /// the record of the worker has been removed.
    pub(super) fn close_idle_connections(&self, id: WorkerId, out: &mut Vec<Action>) {
        if self.worker(id).is_none_or(|w| w.mode != Mode::Ready) {
            out.push(Action::CloseIdleConnections { worker: id });
        }
    }
}
