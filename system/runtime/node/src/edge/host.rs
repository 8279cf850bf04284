//! Owner of a dispatcher's state: one queue of events, one at a time.

use crate::clock::{self, SteadyClock};
use crate::control_link::{report_freshness, ControlLink, Held};
use crate::edge::bodies::Bodies;
use crate::edge::calls::Calls;
use crate::edge::front::Submitted;
use crate::edge::routes::InForce;
use crate::edge::store_links::StoreLinks;
use arc_swap::{ArcSwap, ArcSwapOption};
use millrudder_clock::Instant;
use millrudder_delivery as delivery;
use millrudder_delivery::{AttemptId, AttemptResult, CallBackResult, Delivery};
use millrudder_intake as intake;
use millrudder_intake::{AcceptAnswer, CallNumber, Intake, QueryResult, Submission};
use millrudder_protocol::control::{FromCore, Registrant};
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, ShardId, StoreId};
use millrudder_settings::Settings;
use millrudder_staleness::{ClockStallDetector, StalenessTracker};
use millrudder_system_http::client::{Client, ClientLimits};
use millrudder_system_http::front::RequestLimits;
use millrudder_transport::LinkEvent;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Core machines that a dispatcher is connected to: one may fall silent.
const CORE_LINKS: usize = 2;
/// Stores take a dispatcher that is silent for three of these (ms) for gone.
const PING_MS: u64 = 900;

/// What happens at a dispatcher.
pub enum Event {
    Submit { submitted: Box<Submitted>, reply: oneshot::Sender<AcceptAnswer> },
    Query { id: MessageId, body: bool, reply: oneshot::Sender<QueryResult> },
    Store { store: StoreId, event: LinkEvent<ToDispatcher> },
    Core(FromCore),
    Attempted { attempt: AttemptId, result: AttemptResult },
    CalledBack { attempt: AttemptId, result: CallBackResult },
    Reload { file: PathBuf },
    Leaving,
}

/// What other parts of the process may know of the owner's state.
#[derive(Default)]
pub struct Shown {
    /// It can take messages.
    pub ready: Cell<bool>,
    /// Nothing is out at a worker or waits for its record.
    pub idle: Cell<bool>,
}

/// A client that waits for its 202.
struct Waiting {
    reply: oneshot::Sender<AcceptAnswer>,
    message: Arc<Message>,
    arrived: u64,
}

/// Owns intake, delivery and all connections.
pub struct EdgeHost {
    clock: SteadyClock,
    standstill: ClockStallDetector,
    me: DispatcherId,
    name: String,
    zone: String,
    intake: Intake,
    delivery: Delivery,
    stores: StoreLinks,
    control: ControlLink,
    calls: Calls,
    bodies: Bodies,
    held: Held,
    /// Since when what is held may be outdated.
    freshness: StalenessTracker,
    placement: Placement,
    in_force: Arc<ArcSwapOption<InForce>>,
    limits: Arc<ArcSwap<RequestLimits>>,
    submissions: BTreeMap<CallNumber, Waiting>,
    /// When messages that are kept but not delivered yet arrived here.
    queries: BTreeMap<CallNumber, oneshot::Sender<QueryResult>>,
    next_call: u64,
    ping_at: u64,
    leaving: bool,
    shown: Rc<Shown>,
}

impl EdgeHost {
    pub fn new(
        settings: &Settings,
        in_force: Arc<ArcSwapOption<InForce>>,
        limits: Arc<ArcSwap<RequestLimits>>,
        events: UnboundedSender<Event>,
    ) -> Self {
        let seed = clock::seed();
        let clock = SteadyClock::start();
        let (name, zone) = (settings.node_name.to_string(), settings.zone.to_string());
        let registrant = Registrant::Dispatcher { name: name.clone(), zone: zone.clone() };
        let to_core = events.clone();
        let deliver = move |message| drop(to_core.send(Event::Core(message)));
        let configuration =
            delivery::Configuration { zone: zone.clone(), seed, ..delivery::Configuration::default() };
        EdgeHost {
            clock,
            standstill: ClockStallDetector::new(
                Instant::from_millis(clock.millis()),
                Duration::from_millis(clock::time_of_day_ms()),
            ),
            me: DispatcherId(seed),
            intake: Intake::new(crate::place::location(settings), seed),
            delivery: Delivery::new(configuration),
            stores: StoreLinks::new(events.clone()),
            control: ControlLink::start(clock, CORE_LINKS, registrant, settings.seeds.clone(), seed, deliver),
            calls: Calls::new(Client::new(ClientLimits::default()), events),
            bodies: Bodies::default(),
            held: Held::default(),
            freshness: StalenessTracker::default(),
            placement: Placement::default(),
            in_force,
            limits,
            submissions: BTreeMap::new(),
            queries: BTreeMap::new(),
            next_call: 0,
            ping_at: 0,
            leaving: false,
            shown: Rc::default(),
            name,
            zone,
        }
    }

    pub fn shown(&self) -> Rc<Shown> {
        Rc::clone(&self.shown)
    }

    /// Works through events for ever.
    pub async fn run(&mut self, mut queue: UnboundedReceiver<Event>) {
        loop {
            let deadlines = [self.intake.next_deadline(), self.delivery.next_deadline(), Some(self.ping_at)];
            let due = deadlines.into_iter().flatten().min().unwrap_or(self.ping_at);
            tokio::select! {
                biased;
                event = queue.recv() => {
                    let Some(event) = event else { return };
                    self.take(event);
                }
                () = sleep_until(self.clock.at_millis(due)) => {}
            }
            while let Ok(event) = queue.try_recv() {
                self.take(event);
            }
            self.tick();
            self.show();
        }
    }

    /// After a standstill what lies unread may be outdated.
    fn look_at_clocks(&mut self) {
        if self.standstill.detect_stall(
            Instant::from_millis(self.clock.millis()),
            Duration::from_millis(clock::time_of_day_ms()),
        ) {
            log::warn!("the machine has stood still: what stores granted before is given back");
            self.give_delivery(delivery::Input::ClockStalled);
        }
    }

    fn tick(&mut self) {
        self.look_at_clocks();
        let now = self.clock.millis();
        if self.intake.next_deadline().is_some_and(|due| due <= now) {
            self.give_intake(intake::Input::Tick);
        }
        if self.delivery.next_deadline().is_some_and(|due| due <= now) {
            self.give_delivery(delivery::Input::Tick);
        }
        if self.ping_at <= now {
            self.ping_at = now + PING_MS;
            self.stores.send_all(&FromDispatcher::Ping);
        }
        report_freshness(self.freshness.poll(Instant::from_millis(now)));
    }

    /// A dispatcher whose state has grown old goes on with it; one that has none a majority confirmed does not begin.
    fn show(&self) {
        let has_state = self.in_force.load().is_some() && self.freshness.was_confirmed();
        let can_take = has_state && self.stores.any_open();
        self.shown.ready.set(can_take && !self.leaving);
        self.shown.idle.set(self.delivery.idle() && self.submissions.is_empty());
    }

    fn take(&mut self, event: Event) {
        self.look_at_clocks();
        match event {
            Event::Submit { submitted, reply } => self.on_submit(*submitted, reply),
            Event::Query { id, body, reply } => {
                let call = self.new_call();
                self.queries.insert(call, reply);
                self.give_intake(intake::Input::Query { call, id, body });
            }
            Event::Store { store, event } => self.on_store(store, event),
            Event::Core(message) => self.on_core(message),
            Event::Attempted { attempt, result } => {
                self.give_delivery(delivery::Input::Attempt { attempt, result });
            }
            Event::CalledBack { attempt, result } => {
                self.give_delivery(delivery::Input::CallBackResult { attempt, result });
            }
            Event::Reload { file } => self.reload(&file),
            Event::Leaving => {
                self.leaving = true;
                self.stores.send_all(&FromDispatcher::ShuttingDown);
                self.give_delivery(delivery::Input::Leaving);
            }
        }
    }

    fn new_call(&mut self) -> CallNumber {
        self.next_call += 1;
        CallNumber(self.next_call)
    }

    fn on_submit(&mut self, submitted: Submitted, reply: oneshot::Sender<AcceptAnswer>) {
        let now = self.clock.millis();
        let call = self.new_call();
        let message = Arc::new(submitted.message);
        self.submissions.insert(call, Waiting { reply, message: Arc::clone(&message), arrived: now });
        let submission = Submission {
            message: Message::clone(&message),
            place: submitted.place,
            deadline: now + submitted.answer_within.as_millis() as u64,
        };
        self.give_intake(intake::Input::Submit { call, submission: Box::new(submission) });
    }

    fn on_store(&mut self, store: StoreId, event: LinkEvent<ToDispatcher>) {
        match event {
            LinkEvent::Opened => {
                self.greet(store);
                self.give_intake(intake::Input::StoreConnected { store });
                self.give_delivery(delivery::Input::Connected { store });
            }
            LinkEvent::Closed(reason) => {
                log::info!("store {:x} is lost: {reason}", store.0);
                self.stores.closed(store);
                self.give_intake(intake::Input::StoreClosed { store });
            }
            LinkEvent::Message(message) => self.on_store_message(store, message),
        }
    }

    /// Says who this is, which leases of that store's shards it holds, and how much it can take.
    fn greet(&mut self, store: StoreId) {
        self.stores.opened(store);
        let mine = |shard: ShardId| self.placement.shard(shard).is_some_and(|entry| entry.primary == store);
        let hello = FromDispatcher::Hello {
            dispatcher: self.me,
            name: self.name.clone(),
            zone: self.zone.clone(),
            epoch: self.placement.epoch,
            active_leases: self.delivery.held(mine),
            in_doubt: self.intake.in_doubt(mine),
        };
        self.stores.send(store, hello);
        let credits = self.delivery.credits();
        self.stores.send(store, FromDispatcher::Credits { credits });
        if self.leaving {
            self.stores.send(store, FromDispatcher::ShuttingDown);
        }
    }

    fn on_store_message(&mut self, store: StoreId, message: ToDispatcher) {
        match message {
            ToDispatcher::Deliver { id, token, age_ms, failed_attempts, message } => {
                if self.is_of_former_primary(id, token) {
                    return;
                }
                if let Some(message) = self.body_of(store, id, token, message) {
                    let deliver =
                        delivery::Input::Deliver { store, id, token, age_ms, failed_attempts, message };
                    self.give_delivery(deliver);
                }
            }
            ToDispatcher::CallBack { id, token, end, message } => {
                if let Some(message) = self.body_of(store, id, token, message) {
                    self.give_delivery(delivery::Input::CallBack { store, id, token, end, message });
                }
            }
            ToDispatcher::Revoke { id, token } => {
                self.give_delivery(delivery::Input::Revoke { store, id, token });
            }
            // What a former primary says does not count: the present one waits for the report.
            ToDispatcher::Recorded { id, token } if self.is_primary(store, id.shard) => {
                self.give_delivery(delivery::Input::Recorded { id, token });
            }
            ToDispatcher::BarrierReached { number } => {
                let number = delivery::BarrierNumber(number);
                self.give_delivery(delivery::Input::BarrierReached { store, number });
            }
            ToDispatcher::Recorded { .. } | ToDispatcher::Welcome { .. } | ToDispatcher::Pong => {}
            ToDispatcher::Accepted { .. }
            | ToDispatcher::Rejected { .. }
            | ToDispatcher::Withdrawn { .. }
            | ToDispatcher::State { .. } => {
                self.give_intake(intake::Input::FromStore { store, message });
            }
        }
        self.give_intake(intake::Input::Heard { store });
    }

    fn is_primary(&self, store: StoreId, shard: ShardId) -> bool {
        self.placement.shard(shard).is_some_and(|entry| entry.primary == store)
    }

    /// A grant of a primary that has been replaced since: the present one may have granted the message anew.
    fn is_of_former_primary(&self, id: MessageId, token: LeaseToken) -> bool {
        self.placement.shard(id.shard).is_some_and(|entry| token.epoch() < entry.term)
    }

    /// The message that a store grants: as sent, or as kept here; else the store is asked for it.
    fn body_of(
        &mut self,
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        message: Option<Box<Message>>,
    ) -> Option<Arc<Message>> {
        if let Some(message) = message {
            return Some(Arc::new(*message));
        }
        let kept = self.bodies.get(id);
        if kept.is_none() {
            self.stores.send(store, FromDispatcher::NeedBody { id, token });
        }
        kept
    }

    fn on_core(&mut self, message: FromCore) {
        match message {
            FromCore::Placement { placement } if placement.epoch > self.placement.epoch => {
                self.held.placement_epoch = placement.epoch.0;
                self.control.hold(self.held);
                self.follow(placement);
            }
            FromCore::Configuration { configuration }
                if configuration.version > self.held.configuration_version =>
            {
                self.configure(&configuration.json);
            }
            FromCore::Workers { list } => self.give_delivery(delivery::Input::Workers(list)),
            FromCore::DispatcherCount { count } => {
                self.give_delivery(delivery::Input::Dispatchers { count });
            }
            FromCore::StalenessConfirmed { configuration_version, placement_epoch, sent_at_ms } => {
                let confirmed = Held { configuration_version, placement_epoch };
                if self.held.covers(confirmed) {
                    let now = self.clock.millis();
                    report_freshness(
                        self.freshness
                            .handle_confirmation(Instant::from_millis(now), Instant::from_millis(sent_at_ms)),
                    );
                }
            }
            FromCore::CoreAddresses { addresses } => {
                self.control.know(addresses.into_iter().map(|address| address.0));
            }
            _ => {}
        }
    }

    fn follow(&mut self, placement: Placement) {
        let before = std::mem::replace(&mut self.placement, placement.clone());
        self.stores.follow(&placement);
        for store in self.stores.open() {
            self.greet(store);
        }
        for (number, entry) in placement.shards.iter().enumerate() {
            let Ok(number) = u16::try_from(number) else { break };
            let shard = ShardId(number);
            let unchanged = before.shard(shard).is_some_and(|old| old.primary == entry.primary);
            if !unchanged {
                self.give_delivery(delivery::Input::Primary { shard, store: entry.primary });
            }
        }
        self.give_intake(intake::Input::Placement(placement));
    }

    fn configure(&mut self, json: &[u8]) {
        let in_force = match InForce::read(json) {
            Ok(in_force) => Arc::new(in_force),
            Err(error) => {
                log::error!("the configuration in force cannot be read: {error}");
                return;
            }
        };
        log::info!("configuration {} is in force here", in_force.version);
        self.held.configuration_version = in_force.version;
        self.control.hold(self.held);
        self.limits.store(Arc::new(in_force.request_limits()));
        self.in_force.store(Some(Arc::clone(&in_force)));
        self.give_delivery(delivery::Input::Services(in_force.services()));
        self.give_delivery(delivery::Input::Routes(in_force));
    }

    fn give_intake(&mut self, input: intake::Input) {
        let mut output = Vec::new();
        self.intake.handle(self.clock.millis(), input, &mut output);
        for action in output {
            match action {
                intake::Output::ToStore { store, message } => {
                    if let FromDispatcher::Withdraw { id } = &message {
                        log::debug!("store {:x} was slow: {id} is withdrawn there", store.0);
                    }
                    self.stores.send(store, message);
                }
                intake::Output::Answered { call, answer } => self.on_answered(call, answer),
                intake::Output::Deliver { store, id, token, call: _ } => self.on_granted(store, id, token),
                intake::Output::Known { call, result } => {
                    if let Some(reply) = self.queries.remove(&call) {
                        // The caller may have gone.
                        let _ = reply.send(result);
                    }
                }
            }
        }
    }

    fn on_answered(&mut self, call: CallNumber, answer: AcceptAnswer) {
        let Some(waiting) = self.submissions.remove(&call) else { return };
        if let AcceptAnswer::Kept { id } = answer {
            self.bodies.put(self.clock.millis(), id, waiting.message);
            log::debug!("{id} is kept after {} ms", self.clock.millis() - waiting.arrived);
        }
        // The client may have gone; the message is kept all the same.
        let _ = waiting.reply.send(answer);
    }

    /// The store that has just kept a message lets it be delivered from here.
    fn on_granted(&mut self, store: StoreId, id: MessageId, token: LeaseToken) {
        if self.is_of_former_primary(id, token) {
            return;
        }
        if let Some(message) = self.body_of(store, id, token, None) {
            let deliver =
                delivery::Input::Deliver { store, id, token, age_ms: 0, failed_attempts: 0, message };
            self.give_delivery(deliver);
        }
    }

    fn give_delivery(&mut self, input: delivery::Input) {
        let mut output = Vec::new();
        self.delivery.handle(self.clock.millis(), input, &mut output);
        for action in output {
            match action {
                delivery::Output::Send { attempt, message, worker, timeout_ms, wait_ms, .. } => {
                    self.calls.send(attempt, &message, &worker, timeout_ms, wait_ms);
                }
                delivery::Output::SendCallBack { attempt, url, body, timeout_ms } => {
                    self.calls.call_back(attempt, url, &body, timeout_ms);
                }
                delivery::Output::Report { store, message } => self.stores.send(store, message),
                delivery::Output::Barrier { store, number } => {
                    self.stores.send(store, FromDispatcher::Barrier { number: number.0 });
                }
                delivery::Output::CloseIdle { address } => self.calls.close_idle(address.0),
                delivery::Output::Credits { credits } => {
                    self.stores.send_all(&FromDispatcher::Credits { credits });
                }
                delivery::Output::CancelAttempt { attempt } => self.calls.cancel(attempt),
            }
        }
    }

    fn reload(&mut self, file: &Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.control.set_seeds(settings.seeds);
                log::info!("settings are read again");
            }
            Err(error) => log::warn!("the settings stay as they were: {error}"),
        }
    }
}
