//! Every decision of the library. Types, events and actions are in `src/interface.rs`, the records it keeps
//! in `src/state.rs`.
//!
//! Ordinary path: `handle(Request)` -> `place` -> `pick`, which takes the able, ready worker whose Whittle
//! index at its present count of our jobs is highest. The rest keeps the four rules and handles failures.

pub(crate) mod memory;
mod records;

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Estimates are renewed this often (ms); of a table, the entry that is read (all cost 100 us a request).
const RENEW_MS: f64 = 500.0;
/// ... and after this many requests of ours at the earliest: hundreds of dispatchers have one a second each.
const RENEW_REQUESTS: f64 = 4.0;
/// The larger of p and the q's in one step: small enough that p < 1 and q <= 1 with room.
const STEP_SHARE: f64 = 0.1;
/// DESIGN: a q this near to p is moved to the edge, since (15) divides by q - p.
const GAP: f64 = 0.05;
/// Served jobs that a worker's speed estimate remembers; its kind's counts for `PRIOR_JOBS` more.
const SPEED_JOBS: f64 = 16.0;
const PRIOR_JOBS: f64 = 2.0;
/// Time constant of our arrival rate (ms).
const ARRIVAL_MS: f64 = 5000.0;
/// Share of our part of a cold worker's budget that is used: sizes are estimates.
const COLD_SAFETY: f64 = 0.6;
/// Further tries may be this share of first tries, plus a small burst (retry budget).
const RETRY_SHARE: f64 = 0.2;
const RETRY_BURST: f64 = 10.0;
/// A failing worker is left alone for this long times the share of its latest outcomes that failed.
const EJECT_MAX_MS: f64 = 8000.0;
/// A worker that makes jobs late by their running time alone is left alone like one that fails, once it is
/// slower than this share of its kind.
const SLOW_SHARE: f64 = 0.4;
/// Held requests are looked at again this often (ms), besides on every outcome and list change.
const HELD_LOOK_MS: f64 = 20.0;
/// A job that waits longer for its start than this share of a mean running time met a full worker.
const KNEE_WAIT: f64 = 0.25;
/// Chance taken for a second copy to save a job that waits: what its price is set against.
const HEDGE_GAIN: f64 = 0.07;
/// One served job's speed is believed up to this multiple of what was known: hints may lie.
const HINT_TRUST: f64 = 4.0;
/// Errors count once they are this share of a worker's latest outcomes: stray ones do not.
const ERROR_SHARE: f64 = 0.25;
const ERROR_WEIGHT: f64 = 0.1;
/// So long after a sign of life a failed connection counts as a stray error.
const ALIVE_MS: f64 = 1000.0;
/// Indices nearer than this (relative) are a tie where our own counts tell little: hundreds of dispatchers
/// would pick the same fastest worker.
const SPREAD: f64 = 0.25;
/// Share of jobs that may start late before less is taken on, also where a miss costs more than a refusal;
/// the price's step (log) for each, its bounds (in mean worths of a unit of work), its spread over requests.
const LATE_BORNE: f64 = 0.3;
const LATE_PROMISED: f64 = 0.1;
const PRICE_STEP: f64 = 0.25;
const PRICE_LEAST: f64 = -2.5;
const PRICE_MOST: f64 = 2.0;
const PRICE_SPREAD: f64 = 1.0;
/// A delay inside the slack loses nothing: a crossing must save this many times the delay that it costs.
const CROSS: f64 = 4.0;
/// A start is late once this share of the job's slack has passed.
const LATE_SHARE: f64 = 0.8;
/// Load reports that a pool's mean remembers, and how fast one worker's fades to that mean (ms).
const HEARD_REPORTS: f64 = 8.0;
const HEARD_MS: f64 = 1000.0;
/// Lost (see `watch`): a started job without a note for this many of the times between two; one without any
/// after this many mean waits for a start, of the latest `WAITS`.
const LOST_NOTES: f64 = 1.6;
const LOST_STARTS: f64 = 6.0;
const WAITS: f64 = 64.0;
/// Of more workers than we hear of so often while the news is fresh, we keep to a part.
const BLIND: f64 = 0.5;
/// Workers at the least among which one of many dispatchers chooses.
const NEAR: f64 = 20.0;
/// Jobs of ours that one to which we could not connect would have had meanwhile.
const RESTS: f64 = 2.0;
/// First requests of a tenant that count as within its share.
const TENANT_BURST: f64 = 5.0;
/// One that fails before any sign of life is left alone for this many times `EJECT_MAX_MS`.
const UNPROVEN: f64 = 2.0;
/// So many of our jobs reset at a worker at once, with none left, are its process that died.
const CRASH: u32 = 3;
/// What one dispatcher's call for the list takes of discovery at the most (ms), and how many rounds of the
/// fleet's calls one of us waits after failures; as shares of `ask_within`, the first wait and the longest.
const LIST_CALL_MS: f64 = 20.0;
const LIST_FLEETS: f64 = 8.0;
const LIST_AGAIN: f64 = 1.0 / 128.0;
const LIST_MOST: f64 = 0.25;
/// Workers kept that no list names any more.
const KEPT: usize = 1000;
/// How long a turn at a cold worker lasts, as a share of the budget's window; the largest job then, in means.
const TURN_SHARE: f64 = 0.25;
const COLD_JOB: f64 = 2.0;
/// Above any index: the next job goes to a worker that operators have put back.
const PUT_BACK: f64 = 1e300;

/// Equation (15) with C = 1 and without pD, which `pick` adds where refusal is possible. `n` may lie between
/// whole counts. Finite and non-increasing for any n: past e^600 the power goes on with its exponent.
pub fn whittle_index(p: f64, q: f64, n: f64) -> f64 {
    let q = if (q - p).abs() >= GAP * p {
        q
    } else if q < p || p * (1.0 + GAP) > 1.0 {
        p * (1.0 - GAP)
    } else {
        p * (1.0 + GAP)
    };
    let gap = q - p;
    let linear = p * p * (1.0 - p) / (gap * gap) - p * (1.0 - q) / gap - n * p / gap;
    let coefficient = p * p * p * (1.0 - p) / (q * gap * gap);
    let r = p * (1.0 - q) / (q * (1.0 - p));
    let log = n * r.max(f64::MIN_POSITIVE).ln() + coefficient.ln();
    if log <= 600.0 {
        linear - log.exp()
    } else {
        linear - 600f64.exp() * (log / 600.0)
    }
}

/// One dispatcher's decisions.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: Dice,
    now: f64,
    workers: Vec<Worker>,
    kinds: BTreeMap<Option<u32>, Kind>,
    pools: Vec<Pool>,
    pending: BTreeMap<RequestId, Pending>,
    held: Vec<RequestId>,
    held_timer: bool,
    /// Mean running time by class, for jobs without a hint.
    class_time: Vec<Speed>,
    all_speed: Speed,
    mean_work: Speed,
    /// How long jobs wait for their start.
    waits: Speed,
    mean_worth: Speed,
    arrivals: f64,
    arrivals_at: f64,
    /// By tenant: arrivals lately, what is left of our part of its quota, when that was reckoned.
    tenants: Vec<(f64, f64, f64)>,
    began: Option<f64>,
    renewed_at: f64,
    renew_now: bool,
    /// Arrivals a millisecond, and the length of a step, as the index uses them.
    rate: f64,
    step: f64,
    /// How far indices are ties: none where we hold a job at each worker, `SPREAD` where one of hundreds.
    spread: f64,
    /// A timer is armed at which attempts are judged lost.
    watching: bool,
    retry_tokens: f64,
    /// What a unit of work must earn to be taken on (log, in means).
    price: f64,
    list_failures: u32,
    /// Workers out by hand, and since when: apart from lists, restarts and what we keep of a worker.
    banned: BTreeMap<WorkerId, f64>,
}

const TIMER_LIST: u64 = 0;
const TIMER_HELD: u64 = 1;
const TIMER_WATCH: u64 = 2;
/// From here on one a request, for its second copy.
const TIMER_REQUEST: u64 = 3;

fn positive(x: Option<f64>) -> Option<f64> {
    x.filter(|x| x.is_finite() && *x > 0.0)
}

impl Balancer {
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { self.now.max(now) } else { self.now };
        if self.began.is_none() {
            self.began = Some(self.now);
            self.arrivals_at = self.now;
            if self.settings.list_by_ask {
                self.ask(out);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::First { .. } => {}
            Event::Progress { id, attempt, .. } => self.on_note(id, attempt),
            Event::Probed { worker, load, .. } => self.on_load(worker, load),
            Event::Lapsed { id } => self.end(id),
            Event::Ban { worker, on } => self.on_ban(worker, on, out),
            Event::Settings { settings, from } => self.on_settings(*settings, &from),
            Event::Timer { token } => self.on_timer(token, out),
            Event::Started { id, attempt } => {
                self.on_note(id, attempt);
                self.cancel_others(id, attempt, out);
                self.try_held(false, out);
            }
            Event::Outcome { id, attempt, worker, outcome, latency, closed, load } => {
                self.on_load(worker, load);
                if self.settle(id, attempt, worker, outcome, latency) {
                    self.release(worker, out);
                    self.go_on(id, closed.then_some(attempt), out);
                }
            }
        }
    }

    /// Discovery answers one call after another. Where a fleet's come at once and soon again, each waits till
    /// it is given up, and nobody is answered any more: calls are spread over the time that the fleet's take,
    /// twice as long after each failure, with full jitter. Within `ask_within` no change counts as told.
    fn ask(&mut self, out: &mut Vec<Action>) {
        let most = self.settings.rules.ask_within;
        let fleet = LIST_CALL_MS * f64::from(self.settings.replicas.saturating_sub(1));
        let least = if self.list_failures == 0 { 0.0 } else { LIST_AGAIN * most };
        let wait = fleet.max(least) * f64::from(1u32 << self.list_failures.min(9));
        let longest = (LIST_MOST * most).max(LIST_FLEETS * fleet).min(most);
        let delay = wait.min(longest) * self.rng.0.f64();
        out.push(if delay > 0.0 { Action::Timer { token: TIMER_LIST, delay } } else { Action::Watch });
    }

    fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Unavailable {
            self.list_failures += 1;
            return self.ask(out);
        }
        self.list_failures = 0;
        let (stays, first) = (self.settings.rules.dropped_stay_open, self.workers.is_empty());
        for entry in entries {
            let ready_at = entry.ready_at.filter(|t| t.is_finite());
            let place = (entry.kind, entry.zone);
            let pool = self.pools.iter().position(|p| (p.kind, p.zone) == place).unwrap_or(self.pools.len());
            if pool == self.pools.len() {
                self.pools.push(Pool::new(entry.kind, entry.zone));
            }
            let fresh = |flights: Vec<Flight>| Worker {
                pool,
                id: entry.worker,
                slots: flights.iter().map(|f| f.slots).sum(),
                cell: entry.cell,
                mode: entry.mode,
                ready_at,
                flights,
                listed: true,
                since: if first { f64::NEG_INFINITY } else { self.now },
                ..Worker::unknown()
            };
            match self.workers.binary_search_by_key(&entry.worker, |w| w.id) {
                Ok(i) if entry.mode == Mode::Gone => self.drop_from_list(i, out),
                Ok(i) => {
                    let worker = &mut self.workers[i];
                    // A drain seen binds until a newer start is ready, where only draining does: older lists
                    // name drained workers again.
                    let binds = stays && worker.mode == Mode::Draining;
                    if ready_at > worker.ready_at && (entry.mode == Mode::Ready || !binds) {
                        // Restarted: nothing we learnt of the old process holds; attempts out get outcomes.
                        let (flights, put_back) = (std::mem::take(&mut worker.flights), worker.put_back);
                        *worker = Worker { put_back, ..fresh(flights) };
                    } else {
                        // The same process, or an older list of it: keep what we know.
                        (worker.cell, worker.pool, worker.listed) = (entry.cell, pool, true);
                        worker.mode = if binds { Mode::Draining } else { entry.mode };
                        worker.dropped = None;
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
                self.drop_from_list(i, out);
            }
        }
        // Bound on memory: of the workers that no list names any more, the latest few are kept.
        let mut dropped: Vec<f64> = self.workers.iter().filter_map(|w| w.dropped).collect();
        if dropped.len() > KEPT {
            dropped.sort_by(|a, b| b.total_cmp(a));
            self.workers.retain(|w| w.dropped.is_none_or(|t| t >= dropped[KEPT]) || !w.flights.is_empty());
        }
        self.renew_now = true;
        self.try_held(false, out);
    }

    /// A list that calls a live worker gone, or names it no more: where that does not bind, it stays and our
    /// own outcomes decide.
    fn drop_from_list(&mut self, i: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[i];
        if worker.dropped.is_none() {
            (worker.dropped, worker.since) = (Some(self.now), self.now);
            if !self.settings.rules.dropped_stay_open {
                worker.mode = Mode::Gone;
            }
            let id = worker.id;
            self.release(id, out);
        }
    }

    /// A worker is taken out to be restarted: put back it is cold, which lists tell seconds later. What it
    /// did before holds no more, and its next job is soon.
    fn on_ban(&mut self, id: WorkerId, on: bool, out: &mut Vec<Action>) {
        if on {
            self.banned.entry(id).or_insert(self.now);
            out.push(Action::Release { worker: id });
        } else if let (Some(since), Some(i)) = (self.banned.remove(&id), self.find(id)) {
            let (worker, now) = (&mut self.workers[i], self.now);
            let restarted = worker.ready_at.is_some_and(|at| at >= since);
            worker.returned = if restarted { None } else { Some(now) };
            (worker.errors, worker.hold_until, worker.put_back, worker.index) = (0.0, now, true, None);
            self.try_held(false, out);
        }
    }

    /// Rule 5: closes the idle connections to a worker that is not ready, on the notice and again whenever an
    /// attempt of ours ends there, whose connection becomes idle only then; also if we forgot the worker.
    fn release(&self, id: WorkerId, out: &mut Vec<Action>) {
        if self.worker(id).is_none_or(|w| w.mode != Mode::Ready) {
            out.push(Action::Release { worker: id });
        }
    }

    fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        let class = request.class.and_then(|c| self.settings.classes.get(c)).cloned().unwrap_or_default();
        let longest = positive(Some(class.deadline)).unwrap_or(f64::MAX).min(1e9);
        let work = positive(request.hint)
            .map(|h| h.min(longest))
            .unwrap_or_else(|| self.class_work(request.class, &class));
        let slots = positive(Some(request.slots)).unwrap_or(1.0).max(1.0);
        let fade = (-(self.now - self.arrivals_at) / ARRIVAL_MS).exp();
        self.arrivals = self.arrivals * fade + 1.0;
        self.arrivals_at = self.now;
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        self.mean_work.add(work * slots, 1.0, 200.0);
        let worth = class.worth * if self.settings.worth_by_work { work } else { 1.0 };
        let stake = if self.in_share(request.tenant) { 1.0 } else { self.settings.over_share_worth };
        let worth = worth * stake;
        self.mean_worth.add(worth, 1.0, 200.0);
        let pending = Pending {
            request: Request { slots, ..request },
            class,
            most_attempts: self.settings.limits.max_attempts.max(1),
            work,
            worth,
            stake,
            arrived: self.now,
            ..Pending::default()
        };
        let earns = worth / (work * slots) / (self.mean_worth.mean() / self.mean_work.mean());
        self.pending.insert(id, pending);
        let borne = if self.settings.kept_promises > 0.0 { LATE_PROMISED } else { LATE_BORNE };
        self.judge(-borne * stake);
        if self.price > PRICE_LEAST && earns.ln() + PRICE_SPREAD * (self.rng.0.f64() - 0.5) < self.price {
            self.answer(id, out);
        } else {
            self.place(id, out);
        }
    }

    /// Traffic within its tenant's share: a tenant that sends no more than its share of what we see, or that
    /// has not used up our even part of its quota. What is beyond earns little (one tenant's burst).
    fn in_share(&mut self, tenant: Option<usize>) -> bool {
        let replicas = f64::from(self.settings.replicas.max(1));
        let Some(t) = tenant.filter(|t| *t < self.tenants.len()) else { return true };
        let conf = &self.settings.tenants[t];
        let quota = conf.quota_per_s / 1000.0 / replicas;
        let (seen, unused, at) = &mut self.tenants[t];
        let since = self.now - std::mem::replace(at, self.now);
        *seen = *seen * (-since / ARRIVAL_MS).exp() + 1.0;
        *unused = (*unused + quota * since).min((quota * ARRIVAL_MS).max(TENANT_BURST));
        let within = *seen <= conf.share * self.arrivals || *unused >= 1.0;
        *unused = (*unused - 1.0).max(0.0);
        within
    }

    /// Overload that no dispatcher sees whole: each late start of ours raises the price that a unit of work
    /// must earn to be taken on, each arrival lowers it.
    fn judge(&mut self, late: f64) {
        self.price = (self.price + PRICE_STEP * late).clamp(PRICE_LEAST, PRICE_MOST);
    }

    /// Time that a job may wait for its start before it will probably be late.
    fn slack(&self, pending: &Pending) -> f64 {
        let class = &pending.class;
        let run = pending.work / self.all_speed.mean();
        (class.aim + class.stretch * pending.work - run).max(0.0)
    }

    fn class_work(&self, index: Option<usize>, class: &Class) -> f64 {
        let seen = index.and_then(|c| self.class_time.get(c)).and_then(|s| s.rate());
        seen.or(self.mean_work.rate()).or(positive(Some(class.aim))).unwrap_or(1.0)
    }

    /// Sends a request that is not out, holds it, or gives its final answer.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let out_now = pending.attempts.iter().any(|a| a.outcome.is_none());
        if pending.ended || out_now {
            return;
        }
        let left = pending.request.deadline - self.now - self.margin();
        // One that never left here cost no worker anything.
        let retry = pending.attempts.iter().any(|a| a.outcome != Some(Outcome::Ignored));
        if !self.may_send_again(pending) || left <= 0.0 || retry && self.retry_tokens < 1.0 {
            self.answer(id, out);
            return;
        }
        match self.pick(id) {
            // Its group is gone: no list change brings it back in time. Nor does one end a ban.
            None if retry || !self.banned.is_empty() => self.answer(id, out),
            Some(Some(chosen)) => {
                self.retry_tokens -= f64::from(u32::from(retry));
                self.send(id, chosen, out);
            }
            _ => self.hold(id, out),
        }
    }

    /// Rule 1: time before the client's deadline at which a held request is answered, a look ahead.
    fn margin(&self) -> f64 {
        HELD_LOOK_MS.max(self.settings.period) + 2.0 * self.settings.period.max(0.0) + 1.0
    }

    /// Rule 2: is a further attempt allowed at all, given what the earlier ones may have done?
    fn may_send_again(&self, pending: &Pending) -> bool {
        if pending.attempts.len() >= pending.most_attempts {
            return false;
        }
        let first = pending.attempts.iter().find(|a| a.may_have_run());
        match (first, pending.class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some(a), Effect::Deduplicated) => self.now < a.sent + pending.class.window,
        }
    }

    fn send(&mut self, id: RequestId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(i) = self.find(to) else { return };
        let turn = self.turn(&self.workers[i]);
        let slack = self.pending.get(&id).map_or(0.0, |p| self.slack(p));
        let delay = HELD_LOOK_MS.max(self.mean_time());
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let worker = &mut self.workers[i];
        pending.held = false;
        let attempt = pending.attempts.len();
        let longest = pending.class.aim + pending.class.stretch * pending.work;
        pending.attempts.push(Attempt { worker: to, sent: self.now, outcome: None });
        worker.push(Flight {
            request: id,
            attempt,
            slots: pending.request.slots,
            work: pending.work,
            sent: self.now,
            noted: self.now,
            due: self.now + LATE_SHARE * slack,
            longest: if pending.class.aim > 0.0 { longest } else { f64::INFINITY },
            stake: pending.stake,
            ..Flight::default()
        });
        worker.cold_turn = turn.map_or(worker.cold_turn, |t| t.0);
        worker.put_back = false;
        let lag = self.pools[worker.pool].lag;
        out.push(Action::Send { id, worker: to, timeout: 0.0 });
        if !std::mem::replace(&mut self.watching, true) {
            out.push(Action::Timer { token: TIMER_WATCH, delay });
        }
        let repeats = pending.class.effect != Effect::AtMostOnce && attempt == 0;
        let copies = self.settings.limits.second_copies && self.settings.tells_start;
        if copies && repeats && lag.is_finite() {
            let token = TIMER_REQUEST.saturating_add(id);
            out.push(Action::Timer { token, delay: 3.0 * lag });
        }
    }

    /// Longer than jobs wait for their start.
    fn long_wait(&self) -> f64 {
        self.mean_time() + LOST_STARTS * self.waits.rate().unwrap_or(self.mean_time())
    }

    /// Judges attempts lost (the job, its answer, or a worker that hangs) by notes that do not come: a
    /// started job's within a few progress times, else a first sign within some mean running times. Its slots
    /// are free; it is called off and sent again, or given up where that is not allowed.
    fn watch(&mut self, out: &mut Vec<Action>) {
        let (mut lost, mut late, mut next) = (Vec::new(), Vec::new(), f64::INFINITY);
        let (mean_time, progress) = (self.mean_time(), self.progress());
        for (id, pending) in self.pending.iter().filter(|p| !p.1.ended && !p.1.held) {
            if self.waits(*id, pending) {
                next = next.min(self.in_vain(pending).max(self.now));
                if self.value(pending) <= 0.0 {
                    late.push(*id);
                    continue;
                }
            }
            let notes = LOST_NOTES + f64::from(u32::from(!self.may_send_again(pending)));
            for (k, at) in pending.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                let Some(worker) = self.worker(at.worker) else { continue };
                let Some(flight) = worker.flight(*id, k) else { continue };
                let started = flight.started.is_some();
                let lag = 2.0 * self.pools[worker.pool].lag.min(mean_time);
                // Where starts are told, one that does not come may wait in a deep queue, but not behind
                // later ones in a queue served in order.
                let passed = self.settings.fifo && !started && worker.passed > flight.sent + lag;
                let patience = match (started, self.settings.tells_start) {
                    (true, _) => notes * progress + lag,
                    (false, false) => notes * progress + lag + self.long_wait(),
                    (false, true) if passed => 0.0,
                    (false, true) => f64::INFINITY,
                };
                let due = flight.noted + patience;
                if due <= self.now {
                    lost.push((*id, k, at.worker, !started && !passed));
                } else {
                    next = next.min(due.min(self.now + mean_time.max(HELD_LOOK_MS)));
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
                if flight.started.is_none() && flight.due == f64::INFINITY {
                    self.judge(-flight.stake);
                }
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            if self.settings.limits.cancel && self.may_send_again(pending) {
                out.push(Action::Cancel { id, attempt: k });
            } else if pending.attempts.iter().filter(|a| a.outcome.is_none()).count() == 1 {
                self.answer(id, out);
            }
        }
        self.watching = next.is_finite();
        if self.watching {
            out.push(Action::Timer { token: TIMER_WATCH, delay: (next - self.now).max(HELD_LOOK_MS) });
        }
    }

    /// A worker that fails is left alone, longer the more of its latest outcomes failed.
    fn blame(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.errors += ERROR_WEIGHT * (1.0 - worker.errors);
        self.set_aside(i, EJECT_MAX_MS);
    }

    /// One that is full for about as long as one of its jobs runs, at the most.
    fn set_aside(&mut self, i: usize, most: f64) {
        let worker = &mut self.workers[i];
        let share = if worker.unproven() { UNPROVEN } else { worker.errors };
        worker.hold_until = self.now + most * share;
    }

    /// A job that waits behind work of others gets a second copy (hedging) on a worker with room, where the
    /// class allows one and the price of its wasted work is below what it may save.
    fn hedge(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let [Attempt { worker, outcome: None, .. }] = pending.attempts[..] else { return };
        let waits = |w: &Worker| w.flight(id, 0).is_some_and(|f| f.started.is_none());
        if pending.ended || !self.worker(worker).is_some_and(waits) {
            return;
        }
        let gain = HEDGE_GAIN * pending.worth / self.mean_worth.mean().max(1e-9);
        let price = self.settings.prices.waste * pending.work / self.mean_work.mean();
        let late = self.now + self.margin() >= pending.request.deadline || !self.held.is_empty();
        if late || price >= gain || !self.may_send_again(pending) {
            return;
        }
        if let Some(to) = self.pick(id).flatten() {
            self.send(id, to, out);
        }
    }

    /// Calls off the other copies of a request of which one has started or been served.
    fn cancel_others(&self, id: RequestId, but: usize, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        for (attempt, a) in pending.attempts.iter().enumerate() {
            if attempt != but && a.outcome.is_none() {
                out.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Keeps a request until a worker can take it. Timers cannot be withdrawn: only one that looks at all
    /// held requests is armed at a time, or they multiply with every look (timer flood).
    fn hold(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !std::mem::replace(&mut pending.held, true) {
            self.held.push(id);
            self.arm_held(out);
        }
    }

    fn arm_held(&mut self, out: &mut Vec<Action>) {
        if !self.held_timer && !self.held.is_empty() {
            self.held_timer = true;
            out.push(Action::Timer { token: TIMER_HELD, delay: HELD_LOOK_MS.max(self.settings.period) });
        }
    }

    /// Sends what can be sent of the held requests, the most worth first and the youngest of equals (the
    /// oldest are the least likely to be in time); answers those that waiting can only harm.
    fn try_held(&mut self, sweep: bool, out: &mut Vec<Action>) {
        // Most events free nothing: look before sorting, stop after a few misses (CPU).
        let now = self.now;
        let takes = |b: &Self, w: &Worker| w.mode == Mode::Ready && w.hold_until <= now && !b.full(w);
        if self.held.is_empty() || !(sweep || self.workers.iter().any(|w| takes(self, w))) {
            return;
        }
        let mut held: Vec<(f64, RequestId)> = Vec::with_capacity(self.held.len());
        for id in std::mem::take(&mut self.held) {
            let Some(pending) = self.pending.get(&id).filter(|p| p.held && !p.ended) else { continue };
            let value = self.value(pending);
            if value <= 0.0 || pending.request.deadline - now <= self.margin() {
                self.answer(id, out);
            } else {
                held.push((value, id));
            }
        }
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut misses = 0;
        for (_, id) in held {
            let before = out.len();
            if misses < 4 {
                self.pending.entry(id).and_modify(|p| p.held = false);
                self.place(id, out);
                misses += u32::from(out.len() == before);
            } else {
                self.held.push(id);
            }
        }
    }

    /// From then on an answer earns nothing. A late one that waited for as long as jobs run has no chance.
    fn in_vain(&self, pending: &Pending) -> f64 {
        let late = if pending.class.late_worth > 0.0 { self.mean_time() } else { 0.0 };
        pending.arrived + self.slack(pending) + late
    }

    /// What an answer may still earn.
    fn value(&self, pending: &Pending) -> f64 {
        match self.now - pending.arrived - self.slack(pending) {
            over if over <= 0.0 => pending.worth,
            _ if self.now <= self.in_vain(pending) => pending.worth * pending.class.late_worth,
            _ => 0.0,
        }
    }

    /// Told of each start, and of none of this one: it waits in queues, past its use in the way of others.
    fn waits(&self, id: RequestId, pending: &Pending) -> bool {
        let begun = |(k, a): (usize, &Attempt)| {
            let flight = self.worker(a.worker).and_then(|w| w.flight(id, k));
            a.outcome.is_none() && flight.is_none_or(|f| f.started.is_some())
        };
        let told = self.settings.tells_start && self.settings.limits.cancel && pending.class.aim > 0.0;
        // Running times are guesses till some have been seen.
        let seen = pending.request.class.and_then(|c| self.class_time.get(c)).map_or(0.0, |s| s.time);
        told && seen >= SPEED_JOBS && !pending.attempts.iter().enumerate().any(begun)
    }

    /// A worker at the count where its completions stop rising for us: a job of ours waits there, and more
    /// would only wait behind it (seconds of queue, all late).
    fn full(&self, worker: &Worker) -> bool {
        let lag = 4.0 * self.pools[worker.pool].lag + 2.0 * self.settings.period;
        let room = worker.slots < self.pools[worker.pool].cores;
        // A worker heard of since has not started it for so long that it was lost: no queue.
        let lost = self.now - self.long_wait();
        let waits = |f: &Flight| {
            let kept = f.sent >= lost || worker.sign <= f.sent;
            f.started.is_none() && f.ghost_until.is_none() && kept && (!room || self.now - f.sent > lag)
        };
        let past_knee = worker.slots >= worker.knee + 1.0;
        self.settings.tells_start && (past_knee || worker.flights.iter().any(waits))
    }

    fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        match token {
            TIMER_LIST => out.push(Action::Watch),
            TIMER_WATCH => self.watch(out),
            TIMER_HELD => {
                self.held_timer = false;
                self.try_held(true, out);
                self.arm_held(out);
            }
            _ => self.hedge(token - TIMER_REQUEST, out),
        }
    }

    /// Rule 1 and 2: the final answer. BUSY is a promise that nothing happened or that repeats are harmless.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let (effect, group) = (pending.class.effect, pending.class.group);
        let harmless = effect == Effect::Idempotent || effect == Effect::Deduplicated && group == Group::All;
        if harmless || !pending.attempts.iter().any(|a| a.may_have_run()) {
            // By our next arrivals the price or the queues may be down; longer, and what they ask is late.
            let (limits, wait) = (&self.settings.limits, 1.0 / self.rate.max(1e-3));
            let retry_after = if limits.retry_after { wait.min(limits.max_retry_after) } else { 0.0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.end(id);
    }

    fn on_note(&mut self, id: RequestId, attempt: usize) {
        let Some(at) = self.pending.get(&id).and_then(|p| p.attempts.get(attempt)) else { return };
        let (mean_time, now, mut late) = (self.mean_time(), self.now, 0.0);
        let start = now - positive(Some(self.note_delay())).unwrap_or(0.0);
        let Some(i) = self.find(at.worker) else { return };
        let worker = &mut self.workers[i];
        if let Some(f) = worker.flights.iter_mut().find(|f| f.request == id && f.attempt == attempt) {
            (f.noted, worker.sign) = (now, now);
            if f.started.is_none() {
                f.started = Some(start.max(f.sent));
                if start > std::mem::replace(&mut f.due, f64::INFINITY) {
                    late = f.stake;
                }
                worker.passed = worker.passed.max(f.sent);
                let (took, slots) = ((start - f.sent).max(0.0), f.slots);
                let lag = &mut self.pools[worker.pool].lag;
                if self.settings.tells_start {
                    *lag = lag.min(took);
                }
                self.waits.add(took, 1.0, WAITS);
                if took > lag.min(mean_time) * 2.0 + mean_time * KNEE_WAIT {
                    worker.knee = (worker.slots - slots).max(0.0);
                } else if worker.slots >= worker.knee {
                    worker.knee += slots / worker.knee.max(1.0);
                }
            }
        }
        let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
        kind.cores = kind.cores.max(worker.running());
        self.judge(late);
    }

    /// After an outcome: the request is closed by it, or needs a further attempt or its final answer.
    fn go_on(&mut self, id: RequestId, closed_by: Option<usize>, out: &mut Vec<Action>) {
        if let Some(attempt) = closed_by {
            self.cancel_others(id, attempt, out);
            self.end(id);
        }
        match self.pending.get(&id) {
            Some(pending) if !pending.ended => self.place(id, out),
            _ => self.end(id),
        }
        self.try_held(false, out);
    }

    /// A load report: late and noisy, so it fades to what is heard of the worker's pool.
    fn on_load(&mut self, from: WorkerId, load: Option<Load>) {
        let (Some(load), Some(i)) = (load, self.find(from)) else { return };
        let mean_time = self.mean_time();
        let kind = self.kinds.entry(self.pools[self.workers[i].pool].kind).or_default();
        kind.cores = kind.cores.max(load.free_slots.unwrap_or(0.0).min(64.0));
        // Errors that others met there are as good as our own.
        let errors = load.errors_per_s.unwrap_or(0.0) * mean_time / 1000.0;
        let failing = errors / (errors + kind.cores.max(1.0));
        if (ERROR_SHARE..=1.0).contains(&failing) {
            self.workers[i].errors = failing.max(self.workers[i].errors);
        }
        let busy = load.busy.or(load.free_slots.map(|free| 1.0 - free / kind.cores.max(1.0)));
        let Some(slots) = load.in_flight.or(busy.map(|b| b * kind.cores)) else { return };
        if slots.is_finite() {
            self.workers[i].heard = Some((self.now, (slots - self.workers[i].slots).max(0.0)));
            self.workers[i].index = None;
            kind.heard.add(slots.max(0.0), 1.0, HEARD_REPORTS);
            self.pools[self.workers[i].pool].heard.add(slots.max(0.0), 1.0, HEARD_REPORTS);
        }
    }

    /// Books an outcome on its request and worker; false if it is not a first one.
    fn settle(&mut self, id: RequestId, hop: usize, from: WorkerId, outcome: Outcome, latency: f64) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let class = pending.request.class;
        match pending.attempts.get_mut(hop) {
            Some(at) if at.outcome.is_none() && at.worker == from => at.outcome = Some(outcome),
            _ => return false,
        }
        let mean_time = self.mean_time();
        let Some(at) = self.find(from) else { return true };
        let cold = self.cold_share(self.workers[at].start()) < 1.0;
        let worker = &mut self.workers[at];
        let Some(mut flight) = worker.take(id, hop) else { return true };
        worker.errors *= 1.0 - ERROR_WEIGHT;
        let answers = matches!(outcome, Outcome::Ok | Outcome::Failed | Outcome::QueueFull);
        worker.sign = if answers { self.now } else { worker.sign };
        let (mut late, mut slow) = (0.0, false);
        match outcome {
            Outcome::Ok => {
                let time = flight.started.map_or(latency, |start| self.now - start);
                slow = time > flight.longest && !cold;
                let rate = worker.speed.rate().or(self.all_speed.rate()).unwrap_or(1.0);
                let work = flight.work.min(HINT_TRUST * rate * time);
                if time.is_finite() && time > 0.0 && !cold {
                    worker.speed.add(work, time, SPEED_JOBS);
                    let kind = self.kinds.entry(self.pools[worker.pool].kind).or_default();
                    kind.speed.add(work, time, SPEED_JOBS * 4.0);
                    self.all_speed.add(work, time, SPEED_JOBS * 8.0);
                    if let Some(seen) = class.and_then(|c| self.class_time.get_mut(c)) {
                        seen.add(time, 1.0, SPEED_JOBS * 8.0);
                    }
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {
                // The work may go on: count it as still there for about as long again as a job takes.
                flight.ghost_until = Some(self.now + mean_time);
                let silent = outcome == Outcome::TimedOut && worker.sign < flight.sent;
                worker.push(flight);
                if silent {
                    self.blame(at);
                }
            }
            Outcome::Ignored => {}
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::ResetByPeer => {
                // One that fails fast is always the emptiest: left alone, longer each time.
                worker.errors += ERROR_WEIGHT;
                let full = outcome == Outcome::QueueFull;
                late = if full && hop == 0 && flight.due.is_finite() { flight.stake } else { 0.0 };
                let crashed = outcome == Outcome::ResetByPeer && worker.reset(self.now) >= CRASH;
                let stray = match outcome {
                    Outcome::Failed | Outcome::ResetByPeer => !crashed,
                    // One that has just answered is there: the way to it broke.
                    Outcome::ConnectError => self.now - worker.sign < ALIVE_MS,
                    _ => false,
                };
                if stray && worker.errors < ERROR_SHARE {
                    return true;
                }
                if crashed && worker.flights.is_empty() {
                    // Its process died. It comes back cold before a list tells so, and fell over again.
                    (worker.ready_at, worker.since) = (Some(self.now), self.now);
                }
                self.set_aside(at, if full { mean_time } else { EJECT_MAX_MS });
                if outcome == Outcome::ConnectError {
                    // It may be gone, which lists tell late: till some of our jobs would have met it.
                    let part = self.workers.iter().filter(|w| w.near && w.mode == Mode::Ready).count();
                    let rest = (RESTS * part as f64 / self.rate.max(1e-9)).min(EJECT_MAX_MS);
                    self.workers[at].hold_until = self.workers[at].hold_until.max(self.now + rest);
                }
            }
        }
        if slow {
            self.leave_slow(at);
        }
        self.judge(late);
        true
    }

    /// Its estimate alone still draws a job whenever the others are busy, and each comes late.
    fn leave_slow(&mut self, i: usize) {
        let worker = &self.workers[i];
        let share = self.speed(worker) / self.pools[worker.pool].speed;
        // Under overload what it still serves in time counts.
        if share < SLOW_SHARE && self.price <= PRICE_LEAST && self.held.is_empty() {
            self.workers[i].hold_until = self.now + EJECT_MAX_MS * (1.0 - share);
        }
    }

    fn mean_time(&self) -> f64 {
        self.mean_work.mean() / self.all_speed.mean()
    }

    /// Share of its capacity that a worker has at least, from its last start.
    fn cold_share(&self, ready_at: Option<f64>) -> f64 {
        let rules = &self.settings.rules;
        let age = ready_at.map_or(f64::INFINITY, |at| (self.now - at).max(0.0) / rules.cold);
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
    }

    /// Work a millisecond of one core of a warm worker, from served work only; its kind's mean stands before.
    fn speed(&self, worker: &Worker) -> f64 {
        let kind = self.pools[worker.pool].speed;
        let prior = PRIOR_JOBS * self.mean_work.mean();
        // Jobs that overstay count before they end: a stalled worker yields no outcomes to learn from.
        let own = worker.flights.iter().filter(|f| f.ghost_until.is_none());
        let over =
            own.filter_map(|f| f.started.map(|s| (self.now - s - f.work / kind).max(0.0))).sum::<f64>();
        (worker.speed.work + prior) / (worker.speed.time + prior / kind + over)
    }

    /// Where news of few workers is fresh, we keep to a part of the fleet in each zone: handshakes and what
    /// is learnt of a worker then serve many jobs. The part are whole cells, which repeats may not leave, by
    /// rendezvous hash of our number: all of us together cover the fleet, and changes move few.
    fn draw_near(&mut self) {
        let (me, classes) = (u64::from(self.settings.me) << 32, &self.settings.classes);
        let cells = classes.iter().any(|c| c.effect == Effect::Deduplicated && c.group == Group::Cell);
        let whole = self.settings.replicas < 2 || classes.iter().any(|c| c.kind.is_some());
        let part = if whole { f64::INFINITY } else { (self.rate * HEARD_MS / BLIND).max(NEAR) };
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
                    self.workers[*i].near = near;
                    // One that is set aside keeps its place, and another is drawn beside it.
                    taken += f64::from(u8::from(self.workers[*i].hold_until <= self.now));
                }
            }
        }
    }

    /// Renews what the index of every worker rests on.
    fn renew(&mut self) {
        let since = self.now - self.renewed_at;
        let often = (RENEW_REQUESTS / self.rate.max(1e-9)).clamp(RENEW_MS, ARRIVAL_MS);
        if since < often && !std::mem::take(&mut self.renew_now) {
            return;
        }
        let since = since.min(ARRIVAL_MS);
        let (now, mean_time, mean_work) = (self.now, self.mean_time(), self.mean_work.mean());
        self.renewed_at = now;
        let seen = (now - self.began.unwrap_or(now)).max(self.settings.period.max(1.0));
        let fade = (-(now - self.arrivals_at) / ARRIVAL_MS).exp();
        self.rate = self.arrivals * fade / (ARRIVAL_MS * (1.0 - (-seen / ARRIVAL_MS).exp()));
        let mut fastest = self.rate.max(1e-9);
        // Without start notes the first of progress tells, a while later.
        let (mut late, told) = (0.0, self.note_delay());
        let mut ours = BTreeMap::<Option<u32>, (f64, f64)>::new();
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            if worker.mode == Mode::Ready {
                fastest = fastest.max(self.speed(worker) / mean_work);
                let sum = ours.entry(self.pools[worker.pool].kind).or_default();
                *sum = (sum.0 + worker.slots, sum.1 + 1.0);
            }
            let worker = &mut self.workers[i];
            worker.flights.retain(|f| f.ghost_until.is_none_or(|t| t > now));
            worker.slots = worker.flights.iter().map(|f| f.slots).sum();
            for f in worker.flights.iter_mut().filter(|f| now > f.due + told && f.ghost_until.is_none()) {
                f.due = f64::INFINITY;
                late += f.stake;
            }
            worker.knee += since / mean_time;
            worker.index = None;
            let overstays =
                |f: &Flight| f.started.is_some_and(|s| now - s > f.longest) && f.ghost_until.is_none();
            if worker.flights.iter().any(overstays) && self.cold_share(self.workers[i].start()) >= 1.0 {
                self.leave_slow(i);
            }
        }
        self.judge(late);
        self.draw_near();
        self.step = STEP_SHARE / fastest;
        let replicas = f64::from(self.settings.replicas.max(1));
        let mut most = if replicas > 1.0 { 0.0 } else { 1.0f64 };
        for (kind, (slots, workers)) in ours {
            let kind = self.kinds.entry(kind).or_default();
            kind.usual += (slots / workers - kind.usual) * (since / ARRIVAL_MS).min(1.0);
            most = most.max(kind.usual);
        }
        self.spread = SPREAD * (1.0 - most).max(0.0);
        for pool in &mut self.pools {
            let kind = self.kinds.entry(pool.kind).or_default();
            pool.speed = kind.speed.rate().unwrap_or(self.all_speed.mean());
            pool.cores = kind.cores.max(1.0);
            pool.others = match pool.heard.rate().or(kind.heard.rate()) {
                Some(all) => (all - kind.usual).max(0.0),
                None => (replicas - 1.0) * kind.usual,
            };
            let speed = (pool.speed / mean_work * self.step).min(1.0);
            pool.index = whittle_index(self.rate.max(1e-9) * self.step, speed, pool.others / pool.cores);
        }
    }

    /// The entry of a worker's table at its present count, by core: our jobs there, and those of the others:
    /// by its pool's load reports, or else as many of each as we have on a mean worker of its kind (pooled,
    /// as our count at one is 0 or 1 among hundreds of us). Only the holder of a turn sends to a cold worker.
    fn index(&self, worker: &Worker) -> f64 {
        let rate = self.rate.max(1e-9);
        let warm = self.cold_share(worker.start());
        let speed = self.speed(worker) * warm / self.mean_work.mean();
        let pool = &self.pools[worker.pool];
        // Nothing of our own to tell it by: at 200 workers most are like that, and the exponentials cost.
        if worker.flights.is_empty() && worker.speed.time == 0.0 && worker.heard.is_none() && warm >= 1.0 {
            return pool.index;
        }
        let mut count = worker.slots + if warm < 1.0 { 0.0 } else { pool.others };
        if let (Some((at, slots)), true) = (worker.heard, self.settings.replicas > 1) {
            count += (slots - pool.others) * (-(self.now - at) / HEARD_MS).exp();
        }
        whittle_index(rate * self.step, (speed * self.step).min(1.0), count / pool.cores)
    }

    /// Highest index over workers that are ready, able, allowed by the effect rules and within the cold
    /// budget. Workers that are set aside count only if no other is left, those outside our part if none in
    /// it has room. None: there is no such worker, full or not.
    fn pick(&mut self, id: RequestId) -> Option<Option<WorkerId>> {
        self.renew();
        let pending = self.pending.get(&id)?;
        let bound = pending.attempts.iter().find(|a| a.may_have_run()).map(|a| a.worker);
        let bound = match (bound, pending.class.effect) {
            (Some(w), Effect::Deduplicated) if pending.class.group != Group::All => {
                let w = self.worker(w)?;
                Some((self.pools[w.pool].zone, w.cell, pending.class.group))
            }
            _ => None,
        };
        let last = pending.attempts.last().map(|a| a.worker);
        let rate = self.rate;
        let class = &pending.class;
        let aim = class.aim + class.stretch * pending.work;
        let (worth, mean_worth) = (pending.worth, self.mean_worth.mean());
        // A crossing costs its price: as blocking costs pD, with D the delay that loses as much worth.
        let cross = CROSS * rate * self.settings.prices.cross_zone * aim * mean_worth / worth.max(1e-9);
        // Full ones are waited for, or every overload would send its rest to workers known to fail.
        let (zone, kind, load) = (self.settings.zone, class.kind, pending.work * pending.request.slots);
        let (mut others, mut any) = (false, false);
        let mut scan = Vec::with_capacity(self.workers.len());
        for i in 0..self.workers.len() {
            let worker = &self.workers[i];
            let pool = &self.pools[worker.pool];
            let listed = worker.mode == Mode::Ready && !self.banned.contains_key(&worker.id);
            let able = listed && (kind.is_none() || kind == pool.kind);
            let in_group = match bound {
                None => true,
                Some((zone, _, Group::Zone)) => pool.zone == zone,
                Some((_, cell, _)) => worker.cell == cell,
            };
            if !able || !in_group {
                continue;
            }
            any = true;
            let set_aside = worker.hold_until > self.now || Some(worker.id) == last;
            others |= !set_aside;
            let tried = worker.unproven() && !worker.flights.is_empty();
            if tried || self.full(worker) || !self.cold_room(worker, load) {
                continue;
            }
            let price = if pool.zone == zone { 0.0 } else { cross };
            let index = worker.index.unwrap_or_else(|| self.index(worker));
            // One that was put back shows what it is by a job, however poor its index was.
            let first = if worker.put_back { PUT_BACK } else { 0.0 };
            // A cold one is anybody's whose turn it is; a part that is full or set aside whole, no bound.
            let far = !worker.near && !worker.put_back && self.cold_share(worker.start()) >= 1.0;
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

    /// Rule 4, each dispatcher alone: dispatchers take turns at a cold worker, one job a turn. Turns come at
    /// the pace at which mean jobs fill a share of the budget; each of us holds one in `replicas`. It stays
    /// open for a while, for dispatchers with little traffic; what that adds to a window is off the pace.
    /// So the sum over all is bounded however uneven traffic is. Gives our last turn, and whether it is open.
    fn turn(&self, worker: &Worker) -> Option<(f64, bool)> {
        let rules = &self.settings.rules;
        let start = worker.start().filter(|at| rules.cold > 0.0 && self.now < at + rules.cold)?;
        let age = (self.now - start).max(0.0);
        let warm = self.all_speed.rate().map_or(0.0, |_| self.pools[worker.pool].speed);
        let job = self.mean_work.rate().filter(|w| *w > 0.0)? / (warm * self.pools[worker.pool].cores);
        let pace = COLD_SAFETY * rules.fall_multiple / (job * (1.0 + TURN_SHARE));
        let done = rules.cold_from * age + (1.0 - rules.cold_from) * age * age / (2.0 * rules.cold);
        let replicas = f64::from(self.settings.replicas.max(1));
        let place =
            (f64::from(self.settings.me) + (start * 0.618_034).fract() * replicas).rem_euclid(replicas);
        let round = ((pace * done - place) / replicas).floor();
        let width = (pace * self.cold_share(worker.start()) * TURN_SHARE * rules.fall).max(1.0);
        let open = pace * done - (round * replicas + place) <= width;
        Some((round, round >= 0.0 && open))
    }

    fn cold_room(&self, worker: &Worker, load: f64) -> bool {
        let most = COLD_JOB * self.mean_work.rate().unwrap_or(0.0);
        self.turn(worker).is_none_or(|(turn, open)| open && turn > worker.cold_turn && load <= most)
    }
}
