//! What becomes of a request: taken on or refused, sent, parked until a worker has capacity, given a second
//! copy, answered.

use super::constants::*;
use super::{finite_positive, Balancer, TIMER_HEDGE_BASE, TIMER_LOST_ATTEMPTS, TIMER_PARKED};
use crate::interface::*;
use crate::state::*;

impl Balancer {
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        let class = request.class.and_then(|c| self.settings.classes.get(c)).cloned().unwrap_or_default();
        let longest_work = finite_positive(Some(class.deadline)).unwrap_or(f64::MAX).min(1e9);
        let hint = finite_positive(request.hint).map(|h| h.min(longest_work));
        let work = hint.unwrap_or_else(|| self.expected_work(request.class, &class));
        let slots = finite_positive(Some(request.slots)).unwrap_or(1.0).max(1.0);
        self.arrivals.count(self.now, ARRIVAL_TIME_CONSTANT_MS);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(RETRY_BURST);
        self.mean_work.add(work * slots, 1.0, 200.0);
        let value = class.value * if self.settings.value_by_work { work } else { 1.0 };
        let quota_weight =
            if self.is_within_quota(request.tenant) { 1.0 } else { self.settings.over_quota_value };
        let value = value * quota_weight;
        self.mean_value.add(value, 1.0, 200.0);
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

    /// Traffic within its tenant's share: a tenant that sends no more than its share of what we see, or that
    /// has not used up our even part of its quota. What is beyond earns little (one tenant's burst).
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

    /// Overload that no dispatcher sees whole: each late start of ours raises the price that a unit of work
    /// must earn to be taken on, each arrival lowers it.
    pub(super) fn adjust_price(&mut self, late: f64) {
        self.log_price = (self.log_price + LOG_PRICE_STEP * late).clamp(MIN_LOG_PRICE, MAX_LOG_PRICE);
    }

    fn expected_work(&self, index: Option<usize>, class: &Class) -> f64 {
        let seen = index.and_then(|c| self.class_running_time.get(c)).and_then(|s| s.ratio());
        seen.or(self.mean_work.ratio()).or(finite_positive(Some(class.latency_target))).unwrap_or(1.0)
    }

    /// Sends a request that is not out, holds it, or gives its final answer.
    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        if pending.ended || pending.open_attempts().next().is_some() {
            return;
        }
        let left = pending.request.deadline - self.now - self.answer_margin();
        // One that never left here cost no worker anything.
        let retry = pending.attempts.iter().any(|a| a.outcome != Some(Outcome::Ignored));
        if !self.may_retry(pending) || left <= 0.0 || retry && self.retry_tokens < 1.0 {
            return self.refuse_or_fail(id, out);
        }
        match self.select_worker(id) {
            // Its group is gone: no list change brings it back in time. Nor does one end a ban.
            None if retry || !self.banned.is_empty() => self.refuse_or_fail(id, out),
            Some(Some(chosen)) => {
                self.retry_tokens -= f64::from(u32::from(retry));
                self.send(id, chosen, out);
            }
            _ => self.park(id, out),
        }
    }

    /// Rule 1: time before the client's deadline at which a parked request is answered, a look ahead.
    fn answer_margin(&self) -> f64 {
        PARKED_CHECK_MS.max(self.settings.period) + 2.0 * self.settings.period.max(0.0) + 1.0
    }

    /// Rule 2: is a further attempt allowed at all, given what the earlier ones may have done?
    pub(super) fn may_retry(&self, pending: &Pending) -> bool {
        match (pending.first_possible_run(), pending.class.effect) {
            _ if pending.attempts.len() >= pending.max_attempts => false,
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some(a), Effect::Deduplicated) => self.now < a.sent_at + pending.class.dedup_window,
        }
    }

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
            out.push(Action::Timer { token, delay: 3.0 * lag });
        }
    }

    /// A job that waits behind work of others gets a second copy (hedging) on a worker with room, where the
    /// class allows one and the price of its wasted work is below what it may save.
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

    /// Keeps a request until a worker can take it. Timers cannot be withdrawn: only one that looks at all
    /// parked requests is armed at a time, or they multiply with every look (timer flood).
    fn park(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !std::mem::replace(&mut pending.parked, true) {
            self.parked.push(id);
            self.arm_parked_timer(out);
        }
    }

    pub(super) fn arm_parked_timer(&mut self, out: &mut Vec<Action>) {
        if !self.parked_timer_armed && !self.parked.is_empty() {
            self.parked_timer_armed = true;
            out.push(Action::Timer { token: TIMER_PARKED, delay: PARKED_CHECK_MS.max(self.settings.period) });
        }
    }

    /// Sends what can be sent of the parked requests, the highest value first and the youngest of equals (the
    /// oldest are the least likely to be in time); answers those that waiting can only harm.
    pub(super) fn dispatch_parked(&mut self, check_all: bool, out: &mut Vec<Action>) {
        // Most events free nothing: look before sorting, stop after a few misses (CPU).
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
            if misses < 4 {
                self.pending.entry(id).and_modify(|p| p.parked = false);
                self.dispatch(id, out);
                misses += u32::from(out.len() == before);
            } else {
                self.parked.push(id);
            }
        }
    }

    /// Time that a job may wait for its start before it will probably be late.
    fn start_slack(&self, pending: &Pending) -> f64 {
        (pending.latency_target() - pending.work / self.fleet_speed.ratio_or_one()).max(0.0)
    }

    /// From then on an answer earns nothing. A late one that waited for as long as jobs run has no chance.
    pub(super) fn worthless_after(&self, pending: &Pending) -> f64 {
        let late = if pending.class.late_value > 0.0 { self.mean_running_time() } else { 0.0 };
        pending.arrived_at + self.start_slack(pending) + late
    }

    /// What an answer may still earn.
    pub(super) fn remaining_value(&self, pending: &Pending) -> f64 {
        match self.now - pending.arrived_at - self.start_slack(pending) {
            overdue if overdue <= 0.0 => pending.value,
            _ if self.now <= self.worthless_after(pending) => pending.value * pending.class.late_value,
            _ => 0.0,
        }
    }

    /// Rule 1 and 2: the final answer. BUSY is a promise that nothing happened or that repeats are harmless.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let (effect, dedup_scope) = (pending.class.effect, pending.class.dedup_scope);
        let repeats_are_harmless =
            effect == Effect::Idempotent || effect == Effect::Deduplicated && dedup_scope == DedupScope::All;
        if repeats_are_harmless || pending.first_possible_run().is_none() {
            // By our next arrivals the price or the queues may be down; longer, and what they ask is late.
            let (limits, wait) = (&self.settings.limits, 1.0 / self.arrival_rate.max(1e-3));
            let retry_after = if limits.retry_after { wait.min(limits.max_retry_after) } else { 0.0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish(id);
    }

    /// Calls off the other copies of a request of which one has started or been served.
    pub(super) fn cancel_others(&self, id: RequestId, except: usize, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        for (attempt, _) in pending.open_attempts().filter(|(k, _)| *k != except) {
            out.push(Action::Cancel { id, attempt });
        }
    }
}
