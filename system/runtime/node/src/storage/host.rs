//! Owner of a store's state: one queue of events, one at a time.

use crate::clock::SteadyClock;
use crate::control_link::{report_freshness, ControlLink, Held};
use crate::error::RoleError;
use crate::mechanisms::Mechanisms;
use crate::storage::disk::{Disk, Opened, Report};
use crate::storage::filled::Filled;
use crate::storage::links::StoreLinks;
use millrudder_clock::Instant;
use millrudder_configuration::Configuration;
use millrudder_protocol::control::{FromCore, Registrant, ToCore};
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::store::{
    AcceptRejection, BetweenStores, FromDispatcher, ServiceRate, ToDispatcher, ToStore,
};
use millrudder_protocol::{Address, MessageId, RequestNumber, StoreId};
use millrudder_queue::{Config, ConnectionId, Input, Output, StoreNode};
use millrudder_settings::Settings;
use millrudder_staleness::StalenessTracker;
use millrudder_transport::{LinkEvent, Outbox};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::sleep_until;

/// Between two heartbeats to the core (ms); the core takes five missed ones for a death.
const HEARTBEAT_MS: u64 = 100;
/// Share of the process's memory that messages may take.
const MEMORY_SHARE: f64 = 0.5;
/// Share of the disk that live messages may take: the rest is garbage and what compaction needs.
const DISK_SHARE: f64 = 0.5;

/// What happens at a store.
pub enum Event {
    Inbound {
        connection: ConnectionId,
        outbox: Outbox,
        event: LinkEvent<ToStore>,
    },
    /// On a connection that this store opened.
    StoreLink {
        store: StoreId,
        event: LinkEvent<BetweenStores>,
    },
    Core(FromCore),
    Reload {
        file: PathBuf,
    },
    Leaving,
}

/// Who is at the other end of a connection that was opened to this store.
enum Inbound {
    /// It means this store, and has not said more.
    Caller,
    Dispatcher,
    Store {
        id: StoreId,
    },
}

/// Owns the state machine, the disk's queue and all connections.
pub struct StoreHost {
    clock: SteadyClock,
    node: StoreNode,
    disk: Disk,
    links: StoreLinks,
    inbound: BTreeMap<ConnectionId, Inbound>,
    /// Of all connections that were opened to this store.
    outboxes: BTreeMap<ConnectionId, Outbox>,
    control: ControlLink,
    held: Held,
    /// Since when what is held may be outdated.
    freshness: StalenessTracker,
    me: StoreId,
    filled: Filled,
    heartbeat_at: u64,
    /// Shards that this store leads, or hands over to a learner, as of its last heartbeat.
    needed: Rc<Cell<u32>>,
    /// Shards in which another store is being filled to take this one's place.
    handing_over: u32,
    /// The disk has no room for new messages.
    disk_short: bool,
    full_retry_after_ms: u32,
    /// Messages that were found lying though nothing held them back.
    strays: u64,
    output: Vec<Output>,
}

impl StoreHost {
    pub fn new(
        mut opened: Opened,
        settings: &Settings,
        mechanisms: Mechanisms,
        internal: SocketAddr,
        events: UnboundedSender<Event>,
        reports: UnboundedSender<Report>,
        needed: Rc<Cell<u32>>,
    ) -> Self {
        let me = opened.id;
        let seed = crate::clock::seed();
        let clock = SteadyClock::start();
        let records = std::mem::take(&mut opened.records);
        let zone = settings.zone.to_string();
        let config = config(settings, mechanisms, seed);
        let full_retry_after_ms = config.full_retry_after_ms;
        let node = StoreNode::new(config, me, crate::place::location(settings), 0, records.into_iter());
        let registrant = Registrant::Store {
            id: me,
            name: settings.node_name.to_string(),
            zone,
            address: Address(internal),
            bootstrap: settings.bootstrap,
        };
        let to_core = events.clone();
        let deliver = move |message| drop(to_core.send(Event::Core(message)));
        StoreHost {
            clock,
            node,
            disk: Disk::start(opened, reports),
            links: StoreLinks::new(me, events),
            inbound: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            control: ControlLink::start(clock, usize::MAX, registrant, settings.seeds.clone(), seed, deliver),
            held: Held::default(),
            freshness: StalenessTracker::default(),
            me,
            filled: Filled::default(),
            heartbeat_at: 0,
            needed,
            handing_over: 0,
            disk_short: false,
            full_retry_after_ms,
            strays: 0,
            output: Vec::new(),
        }
    }

    /// Ends all connections: what was said on them is not known any more.
    pub fn disconnect(&mut self) {
        for outbox in self.outboxes.values() {
            outbox.close();
        }
    }

    /// Works through events until the disk fails.
    ///
    /// # Errors
    /// The disk failed: nothing more can be promised.
    pub async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        reports: &mut UnboundedReceiver<Report>,
    ) -> Result<(), RoleError> {
        loop {
            let due = self.node.next_deadline().unwrap_or(u64::MAX).min(self.heartbeat_at);
            tokio::select! {
                biased;
                event = queue.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.take(event);
                }
                report = reports.recv() => {
                    let Some(report) = report else { return Ok(()) };
                    self.take_report(report)?;
                }
                () = sleep_until(self.clock.at_millis(due)) => {}
            }
            while let Ok(event) = queue.try_recv() {
                self.take(event);
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.clock.millis();
        if self.node.next_deadline().is_some_and(|due| due <= now) {
            self.give(Input::Tick);
        }
        if self.heartbeat_at <= now {
            self.heartbeat_at = now + HEARTBEAT_MS;
            let health = self.node.health(now);
            self.needed.set(health.primary_shards + self.handing_over);
            self.control.tell_all(&ToCore::Heartbeat { health: Some(health) });
            if let Some(shards) = self.filled.due(now) {
                self.control.tell_all(&ToCore::LearnerCaughtUp { shards });
            }
            report_freshness(self.freshness.poll(Instant::from_millis(now)));
        }
    }

    fn take_report(&mut self, report: Report) -> Result<(), RoleError> {
        match report {
            Report::Synced { ticket } => {
                self.give(Input::Synced { ticket });
                Ok(())
            }
            Report::Room { short } => {
                self.disk_short = short;
                log::warn!("{}", if short { "the disk is full" } else { "the disk has room again" });
                Ok(())
            }
            Report::Failed { error } => {
                self.give(Input::DiskFailed);
                Err(error.into())
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Inbound { connection, outbox, event } => self.on_inbound(connection, outbox, event),
            Event::StoreLink { store, event } => match event {
                LinkEvent::Opened => self.give(Input::StoreConnected { store }),
                LinkEvent::Message(message) => self.give(Input::Store { from: store, message }),
                LinkEvent::Closed(_) => self.give(Input::StoreClosed { store }),
            },
            Event::Core(message) => self.on_core(message),
            Event::Reload { file } => self.reload(&file),
            Event::Leaving => {
                self.give(Input::Leaving);
                self.heartbeat_at = 0;
            }
        }
    }

    fn on_inbound(&mut self, connection: ConnectionId, outbox: Outbox, event: LinkEvent<ToStore>) {
        match event {
            LinkEvent::Opened => {
                self.outboxes.insert(connection, outbox);
            }
            LinkEvent::Message(message) => self.on_inbound_message(connection, outbox, message),
            LinkEvent::Closed(_) => self.on_closed(connection, &outbox),
        }
    }

    fn on_inbound_message(&mut self, connection: ConnectionId, outbox: Outbox, message: ToStore) {
        let caller = self.inbound.get(&connection);
        match (message, caller) {
            (ToStore::Addressed { store }, None) if store == self.me => {
                self.inbound.insert(connection, Inbound::Caller);
            }
            // Meant for a store whose disk this machine had before, or garbage.
            (_, None) | (ToStore::Addressed { .. }, _) => outbox.close(),
            (ToStore::Dispatcher { message }, _) => {
                self.inbound.insert(connection, Inbound::Dispatcher);
                self.on_dispatcher(connection, message);
            }
            (ToStore::Store { message: BetweenStores::Hello { store, .. } }, _) => {
                self.inbound.insert(connection, Inbound::Store { id: store });
                self.links.accepted(store, outbox);
                self.give(Input::StoreConnected { store });
            }
            (ToStore::Store { message }, Some(Inbound::Store { id })) => {
                let from = *id;
                self.give(Input::Store { from, message });
            }
            (ToStore::Store { .. }, _) => {}
        }
    }

    fn on_dispatcher(&mut self, connection: ConnectionId, message: FromDispatcher) {
        match &message {
            FromDispatcher::Accept { request, id, .. } if self.is_full_for(*id) => {
                self.refuse(connection, *request);
            }
            _ => self.give(Input::Dispatcher { connection, message }),
        }
    }

    /// A message that is kept already may be accepted again.
    fn is_full_for(&self, id: MessageId) -> bool {
        self.disk_short && self.node.state_of(id).is_none()
    }

    fn refuse(&self, connection: ConnectionId, request: RequestNumber) {
        let reason = AcceptRejection::Full { retry_after_ms: self.full_retry_after_ms };
        self.tell_dispatcher(connection, &ToDispatcher::Rejected { request, reason });
    }

    fn on_closed(&mut self, connection: ConnectionId, outbox: &Outbox) {
        self.outboxes.remove(&connection);
        match self.inbound.remove(&connection) {
            Some(Inbound::Dispatcher) => self.give(Input::DispatcherClosed { connection }),
            Some(Inbound::Store { id }) if self.links.ended(id, outbox) => {
                self.give(Input::StoreClosed { store: id });
            }
            _ => {}
        }
    }

    fn on_core(&mut self, message: FromCore) {
        match message {
            FromCore::Placement { placement } if placement.epoch.0 > self.held.placement_epoch => {
                self.held.placement_epoch = placement.epoch.0;
                self.control.hold(self.held);
                self.links.follow(&placement);
                self.filled.follow(&placement, self.me);
                self.handing_over = handing_over(&placement, self.me);
                self.give(Input::Placement(placement));
                // The core learns at once which shards have gone.
                self.heartbeat_at = 0;
            }
            FromCore::Configuration { configuration }
                if configuration.version > self.held.configuration_version =>
            {
                self.held.configuration_version = configuration.version;
                self.control.hold(self.held);
                self.configure(&configuration.json);
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

    fn configure(&mut self, json: &[u8]) {
        match Configuration::from_json(json) {
            Ok(configuration) => self.give(Input::Rates(rates(&configuration))),
            Err(error) => log::error!("the configuration in force cannot be read: {error}"),
        }
    }

    fn give(&mut self, input: Input) {
        let mut output = std::mem::take(&mut self.output);
        self.node.handle(self.clock.millis(), input, &mut output);
        for action in output.drain(..) {
            self.carry_out(action);
        }
        self.output = output;
    }

    fn carry_out(&mut self, action: Output) {
        match action {
            Output::Append { ticket, record } => self.disk.append(ticket, record),
            Output::ToDispatcher { connection, message } => self.tell_dispatcher(connection, &message),
            Output::ToStore { store, message } => self.links.send(store, message),
            Output::CloseDispatcher { connection } => {
                if let Some(outbox) = self.outboxes.get(&connection) {
                    outbox.close();
                }
            }
            Output::CaughtUp { filled } => {
                self.filled.add(filled);
                self.heartbeat_at = 0;
            }
            Output::Stray { id, cause } => {
                self.strays += 1;
                log::warn!("{id} lay though nothing held it back ({cause:?}); {} so far", self.strays);
            }
            Output::Released { id } => self.disk.release(id),
        }
    }

    fn tell_dispatcher(&self, connection: ConnectionId, message: &ToDispatcher) {
        if let Some(outbox) = self.outboxes.get(&connection) {
            // One that is closed is told by its closing.
            let _ = outbox.send(message);
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

/// Shards in which another store is being filled to take the place of `store`.
fn handing_over(placement: &Placement, store: StoreId) -> u32 {
    let leaves = |shard: &&ShardEntry| shard.change.is_some_and(|change| change.leaves == Some(store));
    u32::try_from(placement.shards.iter().filter(leaves).count()).unwrap_or(u32::MAX)
}

fn config(settings: &Settings, mechanisms: Mechanisms, seed: u64) -> Config {
    let memory = settings.limits.memory_bytes as f64 * MEMORY_SHARE;
    let disk = settings.limits.disk_bytes as f64 * DISK_SHARE;
    let defaults = Config::default();
    Config {
        memory_bytes: memory as u64,
        disk_bytes: disk as u64,
        status_ttl_ms: settings.bounds.status_ttl.as_millis() as u64,
        seed,
        homes_per_receiver: homes(mechanisms.receiver_homes, defaults.homes_per_receiver),
        homes_per_service: homes(mechanisms.service_homes, defaults.homes_per_service),
        ..defaults
    }
}

/// Without the mechanism every dispatcher is a home.
fn homes(is_on: bool, homes: usize) -> usize {
    match is_on {
        true => homes,
        false => usize::MAX,
    }
}

fn rates(configuration: &Configuration) -> Vec<ServiceRate> {
    let limited = configuration.services().filter_map(|service| {
        let per_second = service.rate_per_second?;
        Some(ServiceRate { service: service.name.to_string(), per_second })
    });
    limited.collect()
}
