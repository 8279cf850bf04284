//! Attempts that are lost, and jobs that wait past their use.

use super::constants::*;
use super::{Balancer, TIMER_LOST_ATTEMPTS};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Judges attempts lost (the job, its answer, or a worker that hangs) by notes that do not come: a
    /// started job's within a few progress times, else a first sign within some mean running times. Its slots
    /// are free; it is called off and sent again, or given up where that is not allowed.
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
                // Where starts are reported, one that does not come may wait in a deep queue, but not behind
                // later ones in a queue served in order.
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
                // It had counted as a late start: what is lost is no overload.
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

    /// Each start is reported, and of none of this one: it waits in queues, past its use in the way of
    /// others.
    fn awaits_start(&self, id: RequestId, pending: &Pending) -> bool {
        let started_or_unknown = |(k, a): (usize, &Attempt)| {
            let flight = self.worker(a.worker).and_then(|w| w.find_unfinished(id, k));
            flight.is_none_or(|f| f.started_at.is_some())
        };
        let reports_queueing =
            self.settings.reports_starts && self.settings.limits.cancel && pending.class.latency_target > 0.0;
        // Running times are guesses till some have been seen.
        let samples =
            pending.request.class.and_then(|c| self.class_running_time.get(c)).map_or(0.0, |s| s.denominator);
        reports_queueing && samples >= SPEED_MEMORY_JOBS && !pending.open_attempts().any(started_or_unknown)
    }

    /// Longer than jobs wait for their start.
    pub(super) fn long_start_wait(&self) -> f64 {
        self.mean_running_time()
            + LOST_START_WAITS * self.start_waits.ratio().unwrap_or(self.mean_running_time())
    }
}
