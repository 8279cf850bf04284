//! Host of a store's state machine: one queue of events, one at a time.
//!
//! - [`inbound`]: connections of dispatchers and other stores;
//! - [`control`]: messages of core machines, and heartbeats to them.

mod control;
mod inbound;

use crate::clock::{random_seed, SteadyClock};
use crate::control_link::{ControlLinkConfig, ControlReplica};
use crate::error::RoleError;
use crate::event_loop::{self, Wake};
use crate::mechanisms::Mechanisms;
use crate::storage::caller::Caller;
use crate::storage::catch_up::CatchUpReports;
use crate::storage::disk::{Disk, DiskReport, OpenedDisk};
use crate::storage::drain::DrainProgress;
use crate::storage::event::Event;
use crate::storage::links::StoreLinks;
use crate::storage::queue_config::queue_config;
use millrudder_clock::Instant;
use millrudder_protocol::control::Registrant;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::{Address, StoreId};
use millrudder_queue::{ConnectionId, Input, Output, StoreNode};
use millrudder_settings::Settings;
use millrudder_transport::{LinkEvent, Outbox};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// A store is connected to all core machines: the one that holds the controller's lease must get its heartbeats.
const MAX_CORE_CONNECTIONS: usize = usize::MAX;

/// What a [`StoreHost`] is made of.
pub struct StoreHostConfig<'a> {
    /// The process's settings.
    pub settings: &'a Settings,
    /// The mechanisms that are on.
    pub mechanisms: Mechanisms,
    /// Where this store listens for other processes.
    pub internal: SocketAddr,
    /// The disk and what it held.
    pub opened: OpenedDisk,
    /// Gets the disk's reports, which [`StoreHost::run`] works through.
    pub reports: UnboundedSender<DiskReport>,
    /// The queue that [`StoreHost::run`] works through.
    pub events: UnboundedSender<Event>,
    /// Is told how many shards still need this store.
    pub drain: DrainProgress,
}

/// Owns the state machine, the disk's queue and all connections.
pub struct StoreHost {
    clock: SteadyClock,
    node: StoreNode,
    disk: Disk,
    local_id: StoreId,
    /// Connections with other stores.
    links: StoreLinks,
    /// Who has opened which connection to this store.
    callers: BTreeMap<ConnectionId, Caller>,
    /// Sending ends of all connections that were opened to this store.
    outboxes: BTreeMap<ConnectionId, Outbox>,
    control: ControlReplica,
    catch_up: CatchUpReports,
    heartbeat_at: Instant,
    drain: DrainProgress,
    /// Shards in which another store catches up to replace this one.
    handing_over: u32,
    /// The disk has no space for new messages.
    is_disk_full: bool,
    /// When a client may come back that was refused because the disk is full, in milliseconds.
    full_retry_after_ms: u32,
    /// Orphaned messages that were found since the start.
    orphans: u64,
    /// Emptied after each input; kept to be used again.
    outputs: Vec<Output>,
}

impl StoreHost {
    /// A host of what a disk held, that is connected to nobody yet.
    pub fn new(config: StoreHostConfig<'_>) -> Self {
        let StoreHostConfig { settings, mechanisms, internal, mut opened, reports, events, drain } = config;
        let local_id = opened.id;
        let seed = random_seed();
        let clock = SteadyClock::start();
        let records = std::mem::take(&mut opened.records);
        let config = queue_config(settings, mechanisms, seed);
        let full_retry_after_ms = config.full_retry_after.as_millis() as u32;
        let location = crate::location::location(settings);
        let node = StoreNode::new(config, local_id, location, Instant::ORIGIN, records.into_iter());
        let control = ControlLinkConfig {
            clock,
            max_connections: MAX_CORE_CONNECTIONS,
            registrant: registrant(settings, local_id, internal),
            seeds: settings.seeds.clone(),
            random_seed: seed,
        };
        let core_events = events.clone();
        StoreHost {
            clock,
            node,
            disk: opened.start(reports),
            local_id,
            links: StoreLinks::new(local_id, events),
            callers: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            control: ControlReplica::start(control, move |message| {
                drop(core_events.send(Event::Core(message)))
            }),
            catch_up: CatchUpReports::default(),
            heartbeat_at: Instant::ORIGIN,
            drain,
            handing_over: 0,
            is_disk_full: false,
            full_retry_after_ms,
            orphans: 0,
            outputs: Vec::new(),
        }
    }

    /// Ends the connections that others have opened: what was said on them counts no more.
    pub fn disconnect(&mut self) {
        for outbox in self.outboxes.values() {
            outbox.close();
        }
    }

    /// Works through events until the disk fails or the queue ends.
    ///
    /// # Errors
    /// The disk failed: nothing more can be acknowledged.
    pub async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        reports: &mut UnboundedReceiver<DiskReport>,
    ) -> Result<(), RoleError> {
        loop {
            let deadline = self.next_deadline();
            match event_loop::wait(queue, reports, deadline).await {
                Wake::Event(event) => self.handle_event(event),
                Wake::Report(report) => self.handle_report(report)?,
                Wake::Deadline => {}
                Wake::Closed => return Ok(()),
            }
            while let Ok(event) = queue.try_recv() {
                self.handle_event(event);
            }
            self.tick();
        }
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let node = self.node.next_deadline().unwrap_or(self.heartbeat_at);
        // In whole milliseconds, as the clock is read.
        self.clock.at(Instant::from_millis(node.min(self.heartbeat_at).as_millis()))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.node.next_deadline().is_some_and(|due| due <= now) {
            self.handle(Input::Tick);
        }
        self.poll_heartbeat(now);
    }

    fn handle_report(&mut self, report: DiskReport) -> Result<(), RoleError> {
        match report {
            DiskReport::Synced { ticket } => {
                self.handle(Input::Synced { ticket });
                Ok(())
            }
            DiskReport::Space { is_short } => {
                self.is_disk_full = is_short;
                self.log_space();
                Ok(())
            }
            DiskReport::Failed { error } => {
                self.handle(Input::DiskFailed);
                Err(error.into())
            }
        }
    }

    fn log_space(&self) {
        match self.is_disk_full {
            true => log::warn!("disk full, refusing new messages"),
            false => log::info!("disk has space again, accepting new messages"),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Inbound(inbound) => self.handle_inbound(inbound),
            Event::StoreLink { store, event } => self.handle_store_link(store, event),
            Event::Core(message) => self.handle_core(message),
            Event::Reload { file } => self.control.reload(&file),
            Event::ShutdownRequested => {
                self.handle(Input::ShutdownRequested);
                self.request_heartbeat();
            }
        }
    }

    /// Something happened on a connection that this store opened to another one.
    fn handle_store_link(&mut self, store: StoreId, event: LinkEvent<BetweenStores>) {
        match event {
            LinkEvent::Opened => self.handle(Input::StoreConnected { store }),
            LinkEvent::Message(message) => self.handle(Input::Store { from: store, message }),
            LinkEvent::Closed(_) => self.handle(Input::StoreClosed { store }),
        }
    }

    /// Passes an input to the state machine and carries out its outputs.
    fn handle(&mut self, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.handle(self.clock.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.carry_out(output);
        }
        self.outputs = outputs;
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Append { ticket, record } => self.disk.append(ticket, record),
            Output::ToDispatcher { connection, message } => self.send_to_dispatcher(connection, &message),
            Output::ToStore { store, message } => self.links.send(store, message),
            Output::CloseDispatcher { connection } => self.close_connection(connection),
            Output::CaughtUp { shard } => {
                self.catch_up.add(shard);
                self.request_heartbeat();
            }
            Output::Orphaned { id, cause } => {
                self.orphans += 1;
                let total = self.orphans;
                log::warn!(message_id:% = id, cause:?, total; "orphaned message recovered");
            }
            Output::Released { id } => self.disk.release(id),
        }
    }
}

/// What a store registers as at core machines.
fn registrant(settings: &Settings, local_id: StoreId, internal: SocketAddr) -> Registrant {
    Registrant::Store {
        id: local_id,
        name: settings.node_name.to_string(),
        zone: settings.zone.to_string(),
        address: Address(internal),
        bootstrap: settings.bootstrap,
    }
}
