//! One service: its instance of the decision module, fed with the messages granted here and the ends of attempts.
//!
//! Every service has an instance of its own, since no worker of one can take a message of another: p is then the
//! arrivals that its workers share, and a service that is down holds up no other.

mod module;
mod settings;

use crate::credit::{Bounds, Credit};
use crate::fleet::{Fleet, Listed, Share};
use crate::health::Health;
use crate::interface::{AttemptId, Service, Target};
use crate::outcome::{Reading, Sign, Verdict};
use crate::window::Window;
use fastrand::Rng;
use millrudder::{Balancer, Event, LearnedState, ListKind, Outcome, RequestId, WorkerId};
use millrudder_protocol::Address;
use settings::{report, settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) use settings::Site;

/// How long a message may wait here for room at a worker (ms); then another dispatcher may have some.
const HOLD_MS: u64 = 200;
/// With a common ceiling each grant has used a permit, which another second may want.
const HOLD_RATED_MS: u64 = 100;
/// At a dark service, messages wait for the next probe: given back at once, the next one would come instead.
const HOLD_DARK_MS: u64 = 1500;

/// What comes of an input.
#[derive(Debug, PartialEq)]
pub(crate) enum Decision {
    Send { attempt: AttemptId, worker: WorkerId },
    GiveBack { attempt: AttemptId, retry_after_ms: u32 },
    CloseIdle { address: Address },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    attempt: AttemptId,
    /// Then it is given back: its store may grant it to another dispatcher soon.
    until: u64,
}

#[derive(Clone, Copy, Debug)]
struct Placed {
    request: RequestId,
    worker: WorkerId,
}

/// What was here when an attempt ended, itself included.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    held: usize,
    out: usize,
}

/// One service.
pub(crate) struct ServiceState {
    service: Service,
    in_force: bool,
    site: Site,
    has_completed: bool,
    balancer: Balancer,
    fleet: Fleet,
    health: Health,
    credit: Credit,
    window: Window,
    /// The module refused a message lately: none is offered before this.
    paused_until: u64,
    dice: Rng,
    next_request: RequestId,
    /// No worker has room for them, oldest first.
    waiting: VecDeque<Waiting>,
    /// The module holds them.
    asked: BTreeMap<RequestId, Waiting>,
    out: BTreeMap<AttemptId, Placed>,
    /// The module's timers.
    timers: BTreeSet<(u64, u64)>,
    /// What the module is yet to be told, in order.
    events: VecDeque<Event>,
}

impl ServiceState {
    pub fn new(service: Service, site: Site, seed: u64) -> Self {
        ServiceState {
            service,
            in_force: true,
            site,
            has_completed: false,
            balancer: Balancer::new(settings(site, false), seed),
            fleet: Fleet::default(),
            health: Health::default(),
            credit: Credit::default(),
            window: Window::default(),
            paused_until: 0,
            dice: Rng::with_seed(seed),
            next_request: 0,
            waiting: VecDeque::new(),
            asked: BTreeMap::new(),
            out: BTreeMap::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.service.idempotent
    }

    /// The configuration in force names it.
    pub fn is_in_force(&self) -> bool {
        self.in_force
    }

    /// Where an attempt goes that the module placed.
    pub fn target(&self, number: WorkerId) -> Option<Target> {
        let worker = self.fleet.worker(number)?;
        let instance_id = worker.instance_id.clone();
        Some(Target { address: worker.address, instance_id, max_connections: self.fleet.connections() })
    }

    pub fn memory(&self) -> LearnedState {
        self.balancer.export()
    }

    /// Nothing of it is here.
    pub fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.asked.is_empty() && self.out.is_empty()
    }

    /// Messages granted to one store's dispatcher at the most.
    pub fn credit(&self) -> u32 {
        self.credit.limit(Bounds { room: self.fleet.room(), dark: self.health.is_dark() })
    }

    /// The configuration changed.
    pub fn set_service(&mut self, now: u64, service: Service, site: Site, out: &mut Vec<Decision>) {
        self.service = service;
        self.fleet.set_static(now, self.service.static_endpoint);
        self.set_site(now, site, out);
    }

    /// The configuration does not name it any more, or does again.
    pub fn set_in_force(&mut self, now: u64, in_force: bool, out: &mut Vec<Decision>) {
        self.in_force = in_force;
        if !in_force {
            self.fleet.set_static(now, None);
            self.show_all();
            self.run(now, out);
        }
    }

    /// The number of dispatchers changed.
    pub fn set_site(&mut self, now: u64, site: Site, out: &mut Vec<Decision>) {
        let max_connections = self.service.max_connections;
        self.fleet.set_share(Share { max_connections, dispatchers: site.dispatchers });
        self.site = site;
        self.tell_settings();
        self.show_all();
        self.run(now, out);
    }

    /// The workers that the list names for it.
    pub fn set_workers(&mut self, now: u64, listed: &[Listed<'_>], out: &mut Vec<Decision>) {
        let fresh = self.fleet.apply(now, listed);
        self.show_all();
        for number in fresh {
            let capacity = self.fleet.worker(number).and_then(|worker| worker.capacity());
            let Some(capacity) = capacity else { continue };
            let load = millrudder::Load { free_slots: Some(f64::from(capacity)), ..Default::default() };
            let (outcome, latency) = (Outcome::Ok, 0.0);
            self.events.push_back(Event::Probed { worker: number, outcome, latency, load: Some(load) });
        }
        self.run(now, out);
    }

    fn show_all(&mut self) {
        let entries = self.fleet.show_all();
        self.events.push_back(Event::List { kind: ListKind::Replace, entries });
    }

    fn show(&mut self, worker: WorkerId) {
        if let Some(entry) = self.fleet.show(worker) {
            self.events.push_back(Event::List { kind: ListKind::Update, entries: vec![entry] });
        }
    }

    /// A message is to go to a worker of it.
    pub fn offer(&mut self, now: u64, attempt: AttemptId, out: &mut Vec<Decision>) {
        let until = now + self.hold_ms();
        self.waiting.push_back(Waiting { attempt, until });
        self.run(now, out);
    }

    /// The message need not be sent any more; nothing happens if it was.
    pub fn withdraw(&mut self, now: u64, attempt: AttemptId, out: &mut Vec<Decision>) {
        self.waiting.retain(|waiting| waiting.attempt != attempt);
        let asked = self.asked.iter().find(|(_, waiting)| waiting.attempt == attempt);
        if let Some(id) = asked.map(|(id, _)| *id) {
            self.asked.remove(&id);
            self.events.push_back(Event::Lapsed { id });
        }
        self.run(now, out);
    }

    /// An attempt ended.
    pub fn end(
        &mut self,
        now: u64,
        attempt: AttemptId,
        reading: &Reading,
        latency_ms: f64,
        out: &mut Vec<Decision>,
    ) {
        let under_way = UnderWay { held: self.held(), out: self.out.len() };
        let Some(Placed { request, worker }) = self.out.remove(&attempt) else { return };
        self.fleet.on_end(worker);
        self.learn(now, worker, reading, under_way);
        self.events.push_back(Event::Outcome {
            id: request,
            attempt: 0,
            worker,
            outcome: reading.outcome,
            latency: latency_ms,
            closed: true,
            load: reading.load.map(report),
        });
        self.show(worker);
        self.run(now, out);
    }

    fn held(&self) -> usize {
        self.waiting.len() + self.asked.len() + self.out.len()
    }

    fn learn(&mut self, now: u64, worker: WorkerId, reading: &Reading, under_way: UnderWay) {
        match reading.sign {
            Sign::Misnamed => self.fleet.on_misnamed(now, worker),
            Sign::Full => self.window.on_full(now, under_way.out),
            Sign::Answered | Sign::Silent => {}
        }
        match reading.verdict {
            Verdict::Succeeded { .. } => self.on_success(now, under_way),
            Verdict::Refused | Verdict::Failed => self.health.on_useful(),
            Verdict::NotRun | Verdict::Unknown if reading.sign == Sign::Silent => {
                let connected = reading.outcome != Outcome::ConnectError;
                self.health.on_silence(now, connected);
            }
            Verdict::NotRun | Verdict::Unknown => self.health.on_useless(now),
        }
    }

    fn on_success(&mut self, now: u64, under_way: UnderWay) {
        self.health.on_success();
        self.window.on_success(now, under_way.out);
        if self.waiting.is_empty() {
            self.credit.on_success(under_way.held);
        }
        self.on_completion();
    }

    /// From the first completion on, coldness counts: before it the module knows no speed to take a share of, and
    /// would send a cold worker nothing at all.
    fn on_completion(&mut self) {
        if !std::mem::replace(&mut self.has_completed, true) {
            self.tell_settings();
        }
    }

    fn tell_settings(&mut self) {
        let settings = Box::new(settings(self.site, self.has_completed));
        self.events.push_back(Event::Settings { settings, from: vec![Some(0)] });
    }

    /// How long a message waits that was not run here (ms).
    pub fn retry_after(&mut self, now: u64) -> u32 {
        self.health.retry_after(now, &mut self.dice)
    }

    pub fn tick(&mut self, now: u64, out: &mut Vec<Decision>) {
        while let Some((due, token)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, token));
            self.events.push_back(Event::Timer { token });
        }
        for worker in self.fleet.readmit(now) {
            self.show(worker);
        }
        self.run(now, out);
    }

    pub fn next_deadline(&self) -> Option<u64> {
        let timer = self.timers.first().map(|(due, _)| *due);
        let expiry = self.waiting.iter().map(|waiting| waiting.until).min();
        let chance = self.next_chance();
        [timer, expiry, chance, self.fleet.next_deadline()].into_iter().flatten().min()
    }

    /// When time alone lets a waiting message be offered.
    fn next_chance(&self) -> Option<u64> {
        if self.waiting.is_empty() || !self.fleet.is_open() {
            return None;
        }
        let pause = Some(self.paused_until).filter(|until| *until > 0);
        if !self.health.is_dark() {
            return pause;
        }
        let under_way = !self.out.is_empty() || !self.asked.is_empty();
        (!under_way).then(|| self.health.next_probe().max(self.paused_until))
    }

    fn hold_ms(&self) -> u64 {
        match (self.health.is_dark(), self.service.rate_per_s > 0.0) {
            (true, _) => HOLD_DARK_MS,
            (false, true) => HOLD_RATED_MS,
            (false, false) => HOLD_MS,
        }
    }
}
