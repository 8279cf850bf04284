//! Host of a dispatcher's state machines: one queue of events, one at a time.
//!
//! - [`clients`]: inputs and outputs of intake, on behalf of clients;
//! - [`deliveries`]: inputs and outputs of delivery;
//! - [`stores`]: connections to stores and their messages;
//! - [`control`]: messages of core machines.

mod clients;
mod control;
mod deliveries;
mod stores;

use crate::clock::{random_seed, time_of_day, SteadyClock};
use crate::control_link::{ControlLinkConfig, ControlReplica};
use crate::edge::active_configuration::SharedConfiguration;
use crate::edge::calls::Calls;
use crate::edge::clients::WaitingClients;
use crate::edge::event::Event;
use crate::edge::message_cache::MessageCache;
use crate::edge::readiness::Readiness;
use crate::edge::store_links::StoreLinks;
use millrudder_clock::Instant;
use millrudder_delivery::{self as delivery, Delivery};
use millrudder_intake::{self as intake, Intake};
use millrudder_protocol::control::Registrant;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::DispatcherId;
use millrudder_settings::Settings;
use millrudder_staleness::ClockStallDetector;
use millrudder_system_http::client::{Client, ClientLimits};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::sleep_until;

#[cfg(test)]
mod tests;

/// Core machines that a dispatcher is connected to: one may stop responding.
const MAX_CORE_CONNECTIONS: usize = 2;
/// Time between two pings to stores, which take a dispatcher for lost after three that they missed.
const PING_INTERVAL: Duration = Duration::from_millis(900);

/// Owns intake, delivery and all connections.
pub struct EdgeHost {
    clock: SteadyClock,
    clock_stalls: ClockStallDetector,
    local_id: DispatcherId,
    name: String,
    zone: String,
    intake: Intake,
    delivery: Delivery,
    clients: WaitingClients,
    calls: Calls,
    messages: MessageCache,
    stores: StoreLinks,
    ping_at: Instant,
    control: ControlReplica,
    placement: Placement,
    configuration: SharedConfiguration,
    is_shutting_down: bool,
    readiness: Readiness,
}

impl EdgeHost {
    /// A host that is connected to nobody yet.
    pub fn new(
        settings: &Settings,
        configuration: SharedConfiguration,
        events: UnboundedSender<Event>,
    ) -> Self {
        let seed = random_seed();
        let clock = SteadyClock::start();
        let (name, zone) = (settings.node_name.to_string(), settings.zone.to_string());
        let control = ControlLinkConfig {
            clock,
            max_connections: MAX_CORE_CONNECTIONS,
            registrant: Registrant::Dispatcher { name: name.clone(), zone: zone.clone() },
            seeds: settings.seeds.clone(),
            random_seed: seed,
        };
        let core_events = events.clone();
        let deliver = move |message| drop(core_events.send(Event::Core(message)));
        let delivery_configuration =
            delivery::Configuration { zone: zone.clone(), seed, ..delivery::Configuration::default() };
        EdgeHost {
            clock,
            clock_stalls: ClockStallDetector::new(clock.now(), time_of_day()),
            local_id: DispatcherId(seed),
            intake: Intake::new(crate::location::location(settings), seed),
            delivery: Delivery::new(delivery_configuration),
            clients: WaitingClients::default(),
            stores: StoreLinks::new(events.clone()),
            control: ControlReplica::start(control, deliver),
            calls: Calls::new(Client::new(ClientLimits::default()), events),
            messages: MessageCache::default(),
            ping_at: Instant::ORIGIN,
            placement: Placement::default(),
            configuration,
            is_shutting_down: false,
            readiness: Readiness::default(),
            name,
            zone,
        }
    }

    /// The readiness of this dispatcher, which the host keeps up to date.
    pub fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    /// Works through events until the queue ends.
    pub async fn run(&mut self, mut queue: UnboundedReceiver<Event>) {
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                biased;
                event = queue.recv() => {
                    let Some(event) = event else { return };
                    self.handle_event(event);
                }
                () = sleep_until(deadline) => {}
            }
            while let Ok(event) = queue.try_recv() {
                self.handle_event(event);
            }
            self.tick();
            self.update_readiness();
        }
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let delivery = self.delivery.next_deadline().map(Instant::from_millis);
        let deadlines = [self.intake.next_deadline(), delivery, Some(self.ping_at)];
        self.clock.at(deadlines.into_iter().flatten().min().unwrap_or(self.ping_at))
    }

    fn tick(&mut self) {
        self.check_clocks();
        let now = self.clock.now();
        if self.intake.next_deadline().is_some_and(|due| due <= now) {
            self.handle_intake(intake::Input::Tick);
        }
        if self.delivery.next_deadline().is_some_and(|due| due <= now.as_millis()) {
            self.handle_delivery(delivery::Input::Tick);
        }
        if self.ping_at <= now {
            self.ping_at = now + PING_INTERVAL;
            self.stores.send_all(&FromDispatcher::Ping);
        }
        self.control.poll_staleness(now);
    }

    /// After a stall of the clocks what has not been read yet may be outdated.
    fn check_clocks(&mut self) {
        if self.clock_stalls.detect_stall(self.clock.now(), time_of_day()) {
            log::warn!("clock stall detected, returning deliveries that were granted before");
            self.handle_delivery(delivery::Input::ClockStalled);
        }
    }

    /// A dispatcher whose control state has become stale goes on with it; one that has none that a core machine has
    /// confirmed does not begin.
    fn update_readiness(&self) {
        let has_state = self.configuration.active.load().is_some() && self.control.was_confirmed();
        let can_accept = has_state && self.stores.any_open();
        self.readiness.update(can_accept && !self.is_shutting_down, self.is_idle());
    }

    /// Whether nothing is owed that would be lost with this process.
    fn is_idle(&self) -> bool {
        let has_clients = self.clients.has_submissions();
        self.delivery.is_idle() && !has_clients && !self.intake.has_pending_withdrawals()
    }

    fn handle_event(&mut self, event: Event) {
        self.check_clocks();
        match event {
            Event::Submit { message, reply } => self.handle_submission(*message, reply),
            Event::Query { id, body, reply } => {
                let call = self.clients.add_query(reply);
                self.handle_intake(intake::Input::Query { call, id, with_body: body });
            }
            Event::Store { store, event } => self.handle_store_link(store, event),
            Event::Core(message) => self.handle_core(message),
            Event::Attempted { attempt, result } => {
                self.handle_delivery(delivery::Input::AttemptEnded { attempt, result });
            }
            Event::CalledBack { attempt, result } => {
                self.handle_delivery(delivery::Input::CallBackResult { attempt, result });
            }
            Event::Reload { file } => self.control.reload(&file),
            Event::ShutdownRequested => {
                self.is_shutting_down = true;
                self.stores.send_all(&FromDispatcher::ShuttingDown);
                self.handle_delivery(delivery::Input::ShuttingDown);
            }
        }
    }
}
