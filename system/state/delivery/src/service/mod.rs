//! State of one service: its instance of the decision module ([`Balancer`]), which is passed the messages granted to
//! this dispatcher and the ends of their attempts.
//!
//! Every service has a balancer of its own, since no worker of one service can take a message of another. The arrival
//! rate that a balancer estimates (p) is then that of the messages that its workers share, and a service that is down
//! does not delay others.

mod balancer;
mod settings;

use crate::credit_limit::{CreditLimit, LimitBounds};
use crate::fleet::{ConnectionShare, Fleet, ListedWorker};
use crate::health::Health;
use crate::interface::{AttemptId, Service, Target};
use crate::outcome::{AnswerKind, Interpretation, Verdict};
use crate::window::Window;
use fastrand::Rng;
use millrudder::{Balancer, Event, LearnedState, ListKind, Outcome, RequestId, WorkerId};
use millrudder_protocol::Address;
use settings::{module_load, settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) use settings::DispatcherContext;

/// How long (ms) a message may wait here until a worker has room. Then it is given back to its store, since another
/// dispatcher may have room.
const MAX_WAIT_MS: u64 = 200;
/// [`MAX_WAIT_MS`] of a service with a rate limit: each grant has used up a permit of the limit, which may be
/// needed in another second.
const RATE_LIMITED_MAX_WAIT_MS: u64 = 100;
/// [`MAX_WAIT_MS`] of an unavailable service, whose messages wait for the next probe: if one were given back at once,
/// the store would only grant the next one instead.
const UNAVAILABLE_MAX_WAIT_MS: u64 = 1500;

/// What the service decides in response to an input.
#[derive(Debug, PartialEq)]
pub(crate) enum Decision {
    Send {
        attempt: AttemptId,
        worker: WorkerId,
    },
    /// Return the lease to the store without an attempt.
    GiveBack {
        attempt: AttemptId,
        retry_after_ms: u32,
    },
    /// Close the idle connections to a worker.
    CloseIdle {
        address: Address,
    },
}

/// A message that is to be sent.
#[derive(Clone, Copy, Debug)]
struct WaitingMessage {
    attempt: AttemptId,
    /// When it is given back to its store, which may grant it to another dispatcher.
    give_back_at_ms: u64,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    request: RequestId,
    worker: WorkerId,
}

/// Number of messages and attempts of the service at this dispatcher when an attempt ended, that one included.
#[derive(Clone, Copy, Debug)]
struct Concurrency {
    /// Messages that wait or are in flight.
    messages: usize,
    /// Attempts in flight.
    in_flight: usize,
}

/// State of one service. Times are milliseconds on the caller's steady clock.
pub(crate) struct ServiceState {
    service: Service,
    /// The active configuration names the service.
    in_force: bool,
    /// Facts about this dispatcher, for the balancer's settings.
    dispatcher: DispatcherContext,
    /// An attempt has succeeded; see [`ServiceState::enable_warm_up`].
    has_succeeded: bool,
    balancer: Balancer,
    fleet: Fleet,
    health: Health,
    credit: CreditLimit,
    window: Window,
    /// The balancer is offered no message before this time, since it refused one; 0 if there is no pause.
    offers_paused_until_ms: u64,
    rng: Rng,
    next_request: RequestId,
    /// Messages that have not been offered to the balancer, oldest first: no worker has room.
    waiting: VecDeque<WaitingMessage>,
    /// Messages that the balancer has been offered and has not placed or refused yet.
    pending_requests: BTreeMap<RequestId, WaitingMessage>,
    /// Attempts whose result is not known yet.
    in_flight: BTreeMap<AttemptId, SentAttempt>,
    /// Timers of the balancer: due time and token.
    timers: BTreeSet<(u64, u64)>,
    /// Events that the balancer has not handled yet, in order.
    pending_events: VecDeque<Event>,
}

impl ServiceState {
    pub fn new(service: Service, dispatcher: DispatcherContext, seed: u64) -> Self {
        ServiceState {
            service,
            in_force: true,
            dispatcher,
            has_succeeded: false,
            balancer: Balancer::new(settings(dispatcher, false), seed),
            fleet: Fleet::default(),
            health: Health::default(),
            credit: CreditLimit::default(),
            window: Window::default(),
            offers_paused_until_ms: 0,
            rng: Rng::with_seed(seed),
            next_request: 0,
            waiting: VecDeque::new(),
            pending_requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_events: VecDeque::new(),
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.service.idempotent
    }

    /// Whether the active configuration names the service.
    pub fn is_in_force(&self) -> bool {
        self.in_force
    }

    /// Target of an attempt at this worker; `None` if the worker is not known any more.
    pub fn target(&self, number: WorkerId) -> Option<Target> {
        let worker = self.fleet.worker(number)?;
        let instance_id = worker.instance_id.clone();
        Some(Target { address: worker.address, instance_id, max_connections: self.fleet.connections() })
    }

    /// State that the balancer has learned about its workers.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.export()
    }

    /// Whether the service has no message here.
    pub fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.pending_requests.is_empty() && self.in_flight.is_empty()
    }

    /// Maximum number of leases that each store may grant to this dispatcher at one time.
    pub fn credit(&self) -> u32 {
        self.credit.limit(LimitBounds {
            attempt_capacity: self.fleet.attempt_capacity(),
            unavailable: self.health.is_unavailable(),
        })
    }

    /// Applies a new configuration of the service.
    pub fn set_service(
        &mut self,
        now: u64,
        service: Service,
        dispatcher: DispatcherContext,
        out: &mut Vec<Decision>,
    ) {
        self.service = service;
        self.fleet.set_static(now, self.service.static_endpoint);
        self.set_dispatcher(now, dispatcher, out);
    }

    /// Notes whether the active configuration names the service.
    pub fn set_in_force(&mut self, now: u64, in_force: bool, out: &mut Vec<Decision>) {
        self.in_force = in_force;
        if !in_force {
            self.fleet.set_static(now, None);
            self.push_list();
            self.run_balancer(now, out);
        }
    }

    /// Applies changed facts about the dispatchers, such as their number.
    pub fn set_dispatcher(&mut self, now: u64, dispatcher: DispatcherContext, out: &mut Vec<Decision>) {
        let max_connections = self.service.max_connections;
        self.fleet.set_share(ConnectionShare { max_connections, dispatchers: dispatcher.dispatchers });
        self.dispatcher = dispatcher;
        self.push_settings();
        self.push_list();
        self.run_balancer(now, out);
    }

    /// Applies a worker list. The capacity of a new worker is passed to the balancer as the free slots of a probe.
    pub fn set_workers(&mut self, now: u64, listed: &[ListedWorker<'_>], out: &mut Vec<Decision>) {
        let added = self.fleet.apply(now, listed);
        self.push_list();
        for number in added {
            let capacity = self.fleet.worker(number).and_then(|worker| worker.capacity());
            let Some(capacity) = capacity else { continue };
            let load = millrudder::Load { free_slots: Some(f64::from(capacity)), ..Default::default() };
            let (outcome, latency) = (Outcome::Ok, 0.0);
            self.pending_events.push_back(Event::Probed {
                worker: number,
                outcome,
                latency,
                load: Some(load),
            });
        }
        self.run_balancer(now, out);
    }

    /// Queues a complete worker list for the balancer.
    fn push_list(&mut self) {
        let entries = self.fleet.update_all();
        self.pending_events.push_back(Event::List { kind: ListKind::Replace, entries });
    }

    /// Queues a worker's entry for the balancer if it has changed.
    fn push_worker_update(&mut self, worker: WorkerId) {
        if let Some(entry) = self.fleet.update(worker) {
            self.pending_events.push_back(Event::List { kind: ListKind::Update, entries: vec![entry] });
        }
    }

    /// Takes a message that is to be sent to a worker of the service.
    pub fn offer(&mut self, now: u64, attempt: AttemptId, out: &mut Vec<Decision>) {
        let give_back_at_ms = now + self.max_wait_ms();
        self.waiting.push_back(WaitingMessage { attempt, give_back_at_ms });
        self.run_balancer(now, out);
    }

    /// Drops a message that is not to be sent any more; no effect if it has been sent.
    pub fn withdraw(&mut self, now: u64, attempt: AttemptId, out: &mut Vec<Decision>) {
        self.waiting.retain(|waiting| waiting.attempt != attempt);
        let pending = self.pending_requests.iter().find(|(_, waiting)| waiting.attempt == attempt);
        if let Some(id) = pending.map(|(id, _)| *id) {
            self.pending_requests.remove(&id);
            self.pending_events.push_back(Event::Lapsed { id });
        }
        self.run_balancer(now, out);
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        now: u64,
        attempt: AttemptId,
        interpretation: &Interpretation,
        latency_ms: f64,
        out: &mut Vec<Decision>,
    ) {
        let concurrency = Concurrency { messages: self.message_count(), in_flight: self.in_flight.len() };
        let Some(SentAttempt { request, worker }) = self.in_flight.remove(&attempt) else { return };
        self.fleet.on_end(worker);
        self.learn_from_attempt(now, worker, interpretation, concurrency);
        self.pending_events.push_back(Event::Outcome {
            id: request,
            attempt: 0,
            worker,
            outcome: interpretation.outcome,
            latency: latency_ms,
            closed: true,
            load: interpretation.load.map(module_load),
        });
        self.push_worker_update(worker);
        self.run_balancer(now, out);
    }

    /// Number of messages of the service at this dispatcher.
    fn message_count(&self) -> usize {
        self.waiting.len() + self.pending_requests.len() + self.in_flight.len()
    }

    /// Updates fleet, window, credit and health by the end of an attempt.
    fn learn_from_attempt(
        &mut self,
        now: u64,
        worker: WorkerId,
        interpretation: &Interpretation,
        concurrency: Concurrency,
    ) {
        match interpretation.answer_kind {
            AnswerKind::Misdirected => self.fleet.on_misdirected(now, worker),
            AnswerKind::Full => self.window.on_full(now, concurrency.in_flight),
            AnswerKind::Answered | AnswerKind::NoAnswer => {}
        }
        match interpretation.verdict {
            Verdict::Succeeded { .. } => self.on_success(now, concurrency),
            Verdict::Refused | Verdict::Failed => self.health.on_conclusive(),
            Verdict::NotRun | Verdict::Unknown if interpretation.answer_kind == AnswerKind::NoAnswer => {
                let connected = interpretation.outcome != Outcome::ConnectError;
                self.health.on_no_answer(now, connected);
            }
            Verdict::NotRun | Verdict::Unknown => self.health.on_inconclusive(now),
        }
    }

    fn on_success(&mut self, now: u64, concurrency: Concurrency) {
        self.health.on_success();
        self.window.on_success(now, concurrency.in_flight);
        if self.waiting.is_empty() {
            self.credit.on_success(concurrency.messages);
        }
        self.enable_warm_up();
    }

    /// Lets the balancer take warm-up into account, from the first success on. Before that it knows no speed of a
    /// worker of which it could assume a share, and would send a worker that warms up nothing at all.
    fn enable_warm_up(&mut self) {
        if !std::mem::replace(&mut self.has_succeeded, true) {
            self.push_settings();
        }
    }

    /// Queues the current settings for the balancer.
    fn push_settings(&mut self) {
        let settings = Box::new(settings(self.dispatcher, self.has_succeeded));
        self.pending_events.push_back(Event::Settings { settings, from: vec![Some(0)] });
    }

    /// Backoff (ms) of a message that was not run here.
    pub fn retry_after_ms(&mut self, now: u64) -> u32 {
        self.health.retry_after_ms(now, &mut self.rng)
    }

    /// Handles due timers, and gives back messages that have waited too long.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Decision>) {
        while let Some((due, token)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, token));
            self.pending_events.push_back(Event::Timer { token });
        }
        for worker in self.fleet.end_misdirected_pauses(now) {
            self.push_worker_update(worker);
        }
        self.run_balancer(now, out);
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        let timer = self.timers.first().map(|(due, _)| *due);
        let expiry = self.waiting.iter().map(|waiting| waiting.give_back_at_ms).min();
        let offer = self.next_offer_ms();
        [timer, expiry, offer, self.fleet.next_deadline_ms()].into_iter().flatten().min()
    }

    /// When a waiting message can be offered next without another input: at the end of a pause or at the next probe.
    fn next_offer_ms(&self) -> Option<u64> {
        if self.waiting.is_empty() || !self.fleet.has_any_room() {
            return None;
        }
        let pause = Some(self.offers_paused_until_ms).filter(|until| *until > 0);
        if !self.health.is_unavailable() {
            return pause;
        }
        let attempts_under_way = !self.in_flight.is_empty() || !self.pending_requests.is_empty();
        (!attempts_under_way).then(|| self.health.next_probe_ms().max(self.offers_paused_until_ms))
    }

    /// How long (ms) a message may wait here until a worker has room.
    fn max_wait_ms(&self) -> u64 {
        match (self.health.is_unavailable(), self.service.rate_per_s > 0.0) {
            (true, _) => UNAVAILABLE_MAX_WAIT_MS,
            (false, true) => RATE_LIMITED_MAX_WAIT_MS,
            (false, false) => MAX_WAIT_MS,
        }
    }
}
