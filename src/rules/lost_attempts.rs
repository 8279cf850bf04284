//! Attempts that are lost, and jobs that wait past their use.

use super::constants::*;
use super::{Balancer, TIMER_LOST};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Judges attempts lost (the job, its answer, or a worker that hangs) by notes that do not come: a
    /// started job's within a few progress times, else a first sign within some mean running times. Its slots
    /// are free; it is called off and sent again, or given up where that is not allowed.
    pub(super) fn watch(&mut self, out: &mut Vec<Action>) {
        let (mut lost, mut late, mut next) = (Vec::new(), Vec::new(), f64::INFINITY);
        let (mean_time, progress) = (self.mean_time(), self.progress());
        for (id, pending) in self.pending.iter().filter(|p| !p.1.ended && !p.1.parked) {
            if self.waits(*id, pending) {
                next = next.min(self.worthless_after(pending).max(self.now));
                if self.value(pending) <= 0.0 {
                    late.push(*id);
                    continue;
                }
            }
            let notes = LOST_REPORTS + f64::from(u32::from(!self.may_retry(pending)));
            for (k, at) in pending.open_attempts() {
                let Some(worker) = self.worker(at.worker) else { continue };
                let Some(flight) = worker.flight(*id, k) else { continue };
                let started = flight.started_at.is_some();
                let lag = 2.0 * self.pools[worker.pool].start_lag.min(mean_time);
                // Where starts are reported, one that does not come may wait in a deep queue, but not behind
                // later ones in a queue served in order.
                let passed =
                    self.settings.fifo && !started && worker.latest_started_send > flight.sent_at + lag;
                let patience = match (started, self.settings.reports_starts) {
                    (true, _) => notes * progress + lag,
                    (false, false) => notes * progress + lag + self.long_wait(),
                    (false, true) if passed => 0.0,
                    (false, true) => f64::INFINITY,
                };
                let due = flight.reported_at + patience;
                if due <= self.now {
                    lost.push((*id, k, at.worker, !started && !passed));
                } else {
                    next = next.min(due.min(self.now + mean_time.max(PARKED_CHECK_MS)));
                }
            }
        }
        for id in late {
            self.cancel_others(id, usize::MAX, out);
            self.answer(id, out);
        }
        for (id, k, to, silent) in lost {
            if let Some((i, flight)) = self.find(to).and_then(|i| Some((i, self.workers[i].take(id, k)?))) {
                if silent {
                    self.blame(i);
                }
                // It had counted as a late start: what is lost is no overload.
                if flight.started_at.is_none() && flight.start_due_at == f64::INFINITY {
                    self.adjust_price(-flight.weight);
                }
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            if self.settings.limits.cancel && self.may_retry(pending) {
                out.push(Action::Cancel { id, attempt: k });
            } else if pending.open_attempts().count() == 1 {
                self.answer(id, out);
            }
        }
        self.lost_timer = next.is_finite();
        if self.lost_timer {
            out.push(Action::Timer { token: TIMER_LOST, delay: (next - self.now).max(PARKED_CHECK_MS) });
        }
    }

    /// Each start is reported, and of none of this one: it waits in queues, past its use in the way of
    /// others.
    fn waits(&self, id: RequestId, pending: &Pending) -> bool {
        let begun = |(k, a): (usize, &Attempt)| {
            let flight = self.worker(a.worker).and_then(|w| w.flight(id, k));
            flight.is_none_or(|f| f.started_at.is_some())
        };
        let reports_queueing =
            self.settings.reports_starts && self.settings.limits.cancel && pending.class.latency_target > 0.0;
        // Running times are guesses till some have been seen.
        let seen = pending.request.class.and_then(|c| self.class_time.get(c)).map_or(0.0, |s| s.time);
        reports_queueing && seen >= SPEED_JOBS && !pending.open_attempts().any(begun)
    }

    /// Longer than jobs wait for their start.
    pub(super) fn long_wait(&self) -> f64 {
        self.mean_time() + LOST_STARTS * self.start_waits.rate().unwrap_or(self.mean_time())
    }
}
