//! Detects attempts that are lost, and jobs that wait for their start until an answer is worth nothing.

use super::constants::*;
use super::{Balancer, TIMER_LOST_ATTEMPTS};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Treats attempts as lost (the job or its answer was lost, or the worker hangs) when expected reports do
    /// not come: a progress report on a started job within a few progress intervals, a first report on any
    /// other within a few mean start waits. A lost attempt no longer counts at its worker. It is cancelled so
    /// that the request is sent again, or the request is answered where that is not allowed.
    pub(super) fn detect_lost_attempts(&mut self, out: &mut Vec<Action>) {
        let (mut lost, mut worthless, mut next_check) = (Vec::new(), Vec::new(), f64::INFINITY);
        let (mean_time, progress_interval) = (self.mean_running_time(), self.progress_interval());
        for (id, pending) in self.pending.iter().filter(|p| !p.1.ended && !p.1.parked) {
            if self.awaits_start(*id, pending) {
                next_check = next_check.min(self.worthless_after(pending).max(self.now));
                if self.remaining_value(pending) <= 0.0 {
                    worthless.push(*id);
                    continue;
                }
            }
            let intervals = LOST_PROGRESS_INTERVALS + f64::from(u32::from(!self.may_retry(pending)));
            for (k, at) in pending.open_attempts() {
                let Some(worker) = self.worker(at.worker) else { continue };
                let Some(flight) = worker.find_unfinished(*id, k) else { continue };
                let started = flight.started_at.is_some();
                let lag = 2.0 * self.pools[worker.pool].start_lag.min(mean_time);
                // Where starts are reported, a job without a report may still wait in a deep queue. Where
                // workers start jobs in order, it cannot wait behind jobs that were sent later.
                let overtaken =
                    self.settings.fifo && !started && worker.latest_started_send > flight.sent_at + lag;
                let timeout = match (started, self.settings.reports_starts) {
                    (true, _) => intervals * progress_interval + lag,
                    (false, false) => intervals * progress_interval + lag + self.long_start_wait(),
                    (false, true) if overtaken => 0.0,
                    (false, true) => f64::INFINITY,
                };
                let due = flight.reported_at + timeout;
                if due <= self.now {
                    lost.push((*id, k, at.worker, !started && !overtaken));
                } else {
                    next_check = next_check.min(due.min(self.now + mean_time.max(PARKED_CHECK_MS)));
                }
            }
        }
        for id in worthless {
            self.cancel_others(id, usize::MAX, out);
            self.refuse_or_fail(id, out);
        }
        for (id, k, worker, silent) in lost {
            if let Some((i, flight)) =
                self.position_of(worker).and_then(|i| Some((i, self.workers[i].remove(id, k)?)))
            {
                if silent {
                    self.eject_unresponsive(i);
                }
                // Takes back the late start that it counted as: a lost job is no sign of overload.
                if flight.started_at.is_none() && flight.start_due_at == f64::INFINITY {
                    self.adjust_price(-flight.late_weight);
                }
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            if self.settings.limits.cancel && self.may_retry(pending) {
                out.push(Action::Cancel { id, attempt: k });
            } else if pending.open_attempts().count() == 1 {
                self.refuse_or_fail(id, out);
            }
        }
        self.lost_timer_armed = next_check.is_finite();
        if self.lost_timer_armed {
            out.push(Action::Timer {
                token: TIMER_LOST_ATTEMPTS,
                delay: (next_check - self.now).max(PARKED_CHECK_MS),
            });
        }
    }

    /// Whether all attempts of a request still wait for their start, as far as reports show. Once its answer
    /// is worth nothing, such a request only delays others in the workers' queues.
    fn awaits_start(&self, id: RequestId, pending: &Pending) -> bool {
        let started_or_unknown = |(k, a): (usize, &Attempt)| {
            let flight = self.worker(a.worker).and_then(|w| w.find_unfinished(id, k));
            flight.is_none_or(|f| f.started_at.is_some())
        };
        let reports_queueing =
            self.settings.reports_starts && self.settings.limits.cancel && pending.class.latency_target > 0.0;
        // Running times are mere guesses until enough jobs of the class have been served.
        let samples =
            pending.request.class.and_then(|c| self.class_running_time.get(c)).map_or(0.0, |s| s.denominator);
        reports_queueing && samples >= SPEED_MEMORY_JOBS && !pending.open_attempts().any(started_or_unknown)
    }

    /// A time (ms) longer than jobs normally wait for their start.
    pub(super) fn long_start_wait(&self) -> f64 {
        self.mean_running_time()
            + LOST_START_WAITS * self.start_waits.ratio().unwrap_or(self.mean_running_time())
    }
}
