//! The course of a request: admission or refusal, sending, parking until a worker has capacity, hedging, and
//! the final answer.

use super::constants::*;
use super::{finite_positive, Balancer, TIMER_HEDGE_BASE, TIMER_LOST_ATTEMPTS, TIMER_PARKED};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Estimates the work and value of a new request, and admits it if its value is above the admission
    /// price.
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        let class = request.class.and_then(|c| self.settings.classes.get(c)).cloned().unwrap_or_default();
        let longest_work = finite_positive(Some(class.deadline)).unwrap_or(f64::MAX).min(MAX_WORK_MS);
        let hint = finite_positive(request.hint).map(|h| h.min(longest_work));
        let work = hint.unwrap_or_else(|| self.expected_work(request.class, &class));
        let slots = finite_positive(Some(request.slots)).unwrap_or(1.0).max(1.0);
        self.arrivals.count(self.now, ARRIVAL_TIME_CONSTANT_MS);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(RETRY_BURST);
        self.mean_work.add(work * slots, 1.0, REQUEST_MEMORY);
        let value = class.value * if self.settings.value_by_work { work } else { 1.0 };
        let quota_weight =
            if self.is_within_quota(request.tenant) { 1.0 } else { self.settings.over_quota_value };
        let value = value * quota_weight;
        self.mean_value.add(value, 1.0, REQUEST_MEMORY);
        let pending = Pending {
            request: Request { slots, ..request },
            class,
            max_attempts: self.settings.limits.max_attempts.max(1),
            work,
            value,
            quota_weight,
            arrived_at: self.now,
            ..Pending::default()
        };
        let relative_value =
            value / (work * slots) / (self.mean_value.ratio_or_one() / self.mean_work.ratio_or_one());
        self.pending.insert(id, pending);
        let tolerated = if self.settings.promise_weight > 0.0 {
            TOLERATED_LATE_SHARE_PROMISED
        } else {
            TOLERATED_LATE_SHARE
        };
        self.adjust_price(-tolerated * quota_weight);
        if self.log_price > MIN_LOG_PRICE
            && relative_value.ln() + LOG_PRICE_SPREAD * (self.rng.0.f64() - 0.5) < self.log_price
        {
            self.refuse_or_fail(id, out);
        } else {
            self.dispatch(id, out);
        }
    }

    /// Counts a request of a tenant, and returns whether it is within the tenant's quota: the tenant sends no
    /// more than its share of this dispatcher's traffic, or has not used up this dispatcher's part of its
    /// quota, which is divided evenly. Requests beyond that have little value, so that the burst of one
    /// tenant does not displace the others.
    fn is_within_quota(&mut self, tenant: Option<usize>) -> bool {
        let Some(t) = tenant.filter(|t| *t < self.tenants.len()) else { return true };
        let tenant_settings = &self.settings.tenants[t];
        let quota = tenant_settings.quota_per_s / 1000.0 / f64::from(self.settings.replicas.max(1));
        let (arrivals, unused_quota) = &mut self.tenants[t];
        let since = self.now - arrivals.at;
        arrivals.count(self.now, ARRIVAL_TIME_CONSTANT_MS);
        *unused_quota = (*unused_quota + quota * since)
            .min((quota * ARRIVAL_TIME_CONSTANT_MS).max(TENANT_BURST_REQUESTS));
        let within = arrivals.sum <= tenant_settings.share * self.arrivals.sum || *unused_quota >= 1.0;
        *unused_quota = (*unused_quota - 1.0).max(0.0);
        within
    }

    /// Responds to overload, which no dispatcher sees as a whole: each late start at this dispatcher raises
    /// the admission price, each arrival lowers it (`late` is then negative).
    pub(super) fn adjust_price(&mut self, late: f64) {
        self.log_price = (self.log_price + LOG_PRICE_STEP * late).clamp(MIN_LOG_PRICE, MAX_LOG_PRICE);
    }

    /// Expected work of a request without a hint (ms on a standard core).
    fn expected_work(&self, index: Option<usize>, class: &Class) -> f64 {
        let seen = index.and_then(|c| self.class_running_time.get(c)).and_then(|s| s.ratio());
        seen.or(self.mean_work.ratio()).or(finite_positive(Some(class.latency_target))).unwrap_or(1.0)
    }

    /// Sends a request that has no open attempt to a worker, parks it, or gives its final answer.
    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        if pending.ended || pending.open_attempts().next().is_some() {
            return;
        }
        let left = pending.request.deadline - self.now - self.answer_margin();
        // An attempt that was never sent cost no worker anything, so it uses up no retry.
        let retry = pending.attempts.iter().any(|a| a.outcome != Some(Outcome::Ignored));
        if !self.may_retry(pending) || left <= 0.0 || retry && self.retry_tokens < 1.0 {
            return self.refuse_or_fail(id, out);
        }
        match self.select_worker(id) {
            // No worker may take it: those within its deduplication scope are gone, or operators have ejected
            // the workers. A list change would not help in time.
            None if retry || !self.banned.is_empty() => self.refuse_or_fail(id, out),
            Some(Some(chosen)) => {
                self.retry_tokens -= f64::from(u32::from(retry));
                self.send(id, chosen, out);
            }
            _ => self.park(id, out),
        }
    }

    /// Rule 1: how long before the client's deadline a parked request is answered (ms), so that this happens
    /// at the last check before it.
    fn answer_margin(&self) -> f64 {
        PARKED_CHECK_MS.max(self.settings.period) + 2.0 * self.settings.period.max(0.0) + 1.0
    }

    /// Rule 2: whether a further attempt is allowed, given what the earlier ones may have done.
    pub(super) fn may_retry(&self, pending: &Pending) -> bool {
        match (pending.first_possible_run(), pending.class.effect) {
            _ if pending.attempts.len() >= pending.max_attempts => false,
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some(a), Effect::Deduplicated) => self.now < a.sent_at + pending.class.dedup_window,
        }
    }

    /// Sends a request to a worker, and arms the timers for lost attempts and for hedging.
    fn send(&mut self, id: RequestId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(i) = self.position_of(to) else { return };
        let turn = self.warm_up_turn(&self.workers[i]);
        let slack = self.pending.get(&id).map_or(0.0, |p| self.start_slack(p));
        let delay = PARKED_CHECK_MS.max(self.mean_running_time());
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let worker = &mut self.workers[i];
        let flight = pending.start_attempt(to, self.now);
        let first = flight.attempt == 0;
        worker.push(InFlight { start_due_at: self.now + LATE_START_SHARE * slack, ..flight });
        worker.warm_up_turn = turn.map_or(worker.warm_up_turn, |t| t.0);
        worker.restored = false;
        let lag = self.pools[worker.pool].start_lag;
        out.push(Action::Send { id, worker: to, timeout: 0.0 });
        if !std::mem::replace(&mut self.lost_timer_armed, true) {
            out.push(Action::Timer { token: TIMER_LOST_ATTEMPTS, delay });
        }
        let may_repeat = pending.class.effect != Effect::AtMostOnce && first;
        let may_hedge = self.settings.limits.hedging && self.settings.reports_starts;
        if may_hedge && may_repeat && lag.is_finite() {
            let token = TIMER_HEDGE_BASE.saturating_add(id);
            out.push(Action::Timer { token, delay: HEDGE_START_LAGS * lag });
        }
    }

    /// Hedges a job that waits behind the work of other dispatchers: sends a second copy to a worker with
    /// capacity, where the class allows that and the price of the work that is wasted is below the expected
    /// gain.
    pub(super) fn hedge(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let [Attempt { worker, outcome: None, .. }] = pending.attempts[..] else { return };
        let awaits_start = |w: &Worker| w.find_unfinished(id, 0).is_some_and(|f| f.started_at.is_none());
        let gain = HEDGE_SUCCESS_PROBABILITY * pending.value / self.mean_value.ratio_or_one().max(1e-9);
        let waste_price = self.settings.prices.waste * pending.work / self.mean_work.ratio_or_one();
        let late = self.now + self.answer_margin() >= pending.request.deadline || !self.parked.is_empty();
        let not_worth_it = pending.ended || late || waste_price >= gain || !self.may_retry(pending);
        if not_worth_it || !self.worker(worker).is_some_and(awaits_start) {
            return;
        }
        if let Some(to) = self.select_worker(id).flatten() {
            self.send(id, to, out);
        }
    }

    /// Keeps a request until a worker can take it. Timers cannot be cancelled, so only one timer for all
    /// parked requests is armed at a time; otherwise their number would grow with every check.
    fn park(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !std::mem::replace(&mut pending.parked, true) {
            self.parked.push(id);
            self.arm_parked_timer(out);
        }
    }

    /// Arms the timer that checks parked requests, if there are any and it is not armed.
    pub(super) fn arm_parked_timer(&mut self, out: &mut Vec<Action>) {
        if !self.parked_timer_armed && !self.parked.is_empty() {
            self.parked_timer_armed = true;
            out.push(Action::Timer { token: TIMER_PARKED, delay: PARKED_CHECK_MS.max(self.settings.period) });
        }
    }

    /// Sends the parked requests that workers can take: highest value first, and among equals the newest
    /// first, because the oldest are the least likely to be answered in time. Answers those that are worth
    /// nothing any more or near their deadline. With `check_all`, does so even if no worker has capacity.
    pub(super) fn dispatch_parked(&mut self, check_all: bool, out: &mut Vec<Action>) {
        // To save CPU time: most events free no capacity, so that is checked before sorting, and the search
        // stops after a few requests that no worker could take.
        let accepts = |w: &Worker| w.mode == Mode::Ready && w.ejected_until <= self.now && !self.is_full(w);
        if self.parked.is_empty() || !(check_all || self.workers.iter().any(accepts)) {
            return;
        }
        let mut parked: Vec<(f64, RequestId)> = Vec::with_capacity(self.parked.len());
        for id in std::mem::take(&mut self.parked) {
            let Some(pending) = self.pending.get(&id).filter(|p| p.parked && !p.ended) else { continue };
            let value = self.remaining_value(pending);
            if value <= 0.0 || pending.request.deadline - self.now <= self.answer_margin() {
                self.refuse_or_fail(id, out);
            } else {
                parked.push((value, id));
            }
        }
        parked.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut misses = 0;
        for (_, id) in parked {
            let before = out.len();
            if misses < MAX_PARKED_MISSES {
                self.pending.entry(id).and_modify(|p| p.parked = false);
                self.dispatch(id, out);
                misses += u32::from(out.len() == before);
            } else {
                self.parked.push(id);
            }
        }
    }

    /// How long after its arrival a job may start and still be expected to end within its latency target
    /// (ms).
    fn start_slack(&self, pending: &Pending) -> f64 {
        (pending.latency_target() - pending.work / self.fleet_speed.ratio_or_one()).max(0.0)
    }

    /// Time after which a waiting job is worth nothing. Where late answers have a value, a mean running time
    /// is added: a job that waits even longer has no chance.
    pub(super) fn worthless_after(&self, pending: &Pending) -> f64 {
        let late = if pending.class.late_value > 0.0 { self.mean_running_time() } else { 0.0 };
        pending.arrived_at + self.start_slack(pending) + late
    }

    /// Value that a request which has not started may still earn.
    pub(super) fn remaining_value(&self, pending: &Pending) -> f64 {
        match self.now - pending.arrived_at - self.start_slack(pending) {
            overdue if overdue <= 0.0 => pending.value,
            _ if self.now <= self.worthless_after(pending) => pending.value * pending.class.late_value,
            _ => 0.0,
        }
    }

    /// Rules 1 and 2: gives the final answer. A refusal (BUSY) promises that the job did not run or that
    /// repeating it is harmless; where that cannot be promised, the answer is a failure.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let (effect, dedup_scope) = (pending.class.effect, pending.class.dedup_scope);
        let repeats_are_harmless =
            effect == Effect::Idempotent || effect == Effect::Deduplicated && dedup_scope == DedupScope::All;
        if repeats_are_harmless || pending.first_possible_run().is_none() {
            // Advises to retry after the mean time between arrivals: by then the admission price or the
            // queues may be lower, and after a longer wait the client's own deadline may be too near.
            let (limits, wait) = (&self.settings.limits, 1.0 / self.arrival_rate.max(1e-3));
            let retry_after = if limits.retry_after { wait.min(limits.max_retry_after) } else { 0.0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish(id);
    }

    /// Cancels all open attempts of a request but one: that has started or was served, or it is `usize::MAX`.
    pub(super) fn cancel_others(&self, id: RequestId, except: usize, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        for (attempt, _) in pending.open_attempts().filter(|(k, _)| *k != except) {
            out.push(Action::Cancel { id, attempt });
        }
    }
}
