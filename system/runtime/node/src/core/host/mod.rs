//! Host of a core machine's state machines: one queue of events, one at a time.
//!
//! The host routes each event to the part that it concerns and carries out the outputs:
//!
//! - [`inbound`]: messages of other core machines, dispatchers and stores;
//! - [`outputs`]: outputs of the replicated state machine, and placements that are proposed and committed;
//! - [`barrier`]: what registrants are sent, once a linearizable read has confirmed it;
//! - [`retirements`]: storage machines that are to be taken away;
//! - [`operator`]: requests of operators, and settings that are read again.

mod barrier;
mod inbound;
mod operator;
mod outputs;
mod retirements;

use crate::clock::{random_seed, time_of_day, SteadyClock};
use crate::core::confirmation::{state_versions, ConfirmingRead};
use crate::core::dispatcher_count::DispatcherCount;
use crate::core::event::Event;
use crate::core::followed::{FollowedRetirements, FollowedVersions};
use crate::core::journal::{Journal, JournalReport};
use crate::core::messages::ToCorePort;
use crate::core::operator::pending::PendingRequests;
use crate::core::peer_directory::PeerDirectory;
use crate::core::peers::Peers;
use crate::core::registrants::Registrants;
use crate::core::worker_list::KnownWorkerList;
use crate::core::worker_list_reader::WorkerListReader;
use crate::error::RoleError;
use crate::event_loop::{self, Wake};
use arc_swap::ArcSwap;
use millrudder_chain::{CoreNode, Input};
use millrudder_clock::Instant;
use millrudder_control_state::ControlState;
use millrudder_placement::{Input as PlacementInput, PlacementManager};
use millrudder_protocol::control::WorkerList;
use millrudder_settings::Settings;
use millrudder_staleness::{ClockStallDetector, ConnectionId, Input as BarrierInput, ReadBarrier};
use millrudder_system_http::client::Client;
use millrudder_transport::Outbox;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// What a [`CoreHost`] is made of.
pub struct CoreHostConfig {
    /// The replicated state machine, with the state that the disk held.
    pub node: CoreNode<ControlState>,
    /// The process's settings.
    pub settings: Settings,
    /// Where this machine listens for other processes.
    pub internal: SocketAddr,
    /// The disk.
    pub journal: Journal,
    /// Client for the platform's list of workers.
    pub client: Client,
    /// The queue that [`CoreHost::run`] works through.
    pub events: UnboundedSender<Event>,
}

/// Owns the replicated state machine, the placement manager, the reader of the platform's list and all connections.
pub struct CoreHost {
    clock: SteadyClock,
    clock_stalls: ClockStallDetector,
    node: CoreNode<ControlState>,
    journal: Journal,
    placement: PlacementManager,
    followed: FollowedVersions,
    retirements: FollowedRetirements,
    reader: WorkerListReader,
    workers: KnownWorkerList,
    operator_requests: PendingRequests,
    swept_at: Instant,
    peers: Peers,
    directory: PeerDirectory,
    /// Connections that others have opened.
    inbound: BTreeMap<ConnectionId, Outbox>,
    registrants: Registrants,
    dispatchers: DispatcherCount,
    /// Decides what the registrants are sent.
    barrier: ReadBarrier,
    confirming_read: Option<ConfirmingRead>,
    /// A majority has confirmed the state here of late.
    is_confirmed: bool,
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// Set once the process is asked to stop; sent to when it may end.
    shutdown: Option<oneshot::Sender<()>>,
}

impl CoreHost {
    /// A host that is connected to nobody yet.
    pub fn new(config: CoreHostConfig) -> Self {
        let CoreHostConfig { node, settings, internal, journal, client, events } = config;
        let seed = random_seed();
        let catch_up = Duration::from_millis(settings.bounds.catch_up.as_millis() as u64);
        let mut placement = PlacementManager::new(settings.fault_tolerance.machines)
            .with_catch_up(catch_up)
            .with_layout(crate::location::layout(&settings));
        placement.handle(Instant::ORIGIN, PlacementInput::Committed(node.machine().placement().clone()));
        let clock = SteadyClock::start();
        CoreHost {
            clock_stalls: ClockStallDetector::new(clock.now(), time_of_day()),
            clock,
            placement,
            followed: FollowedVersions::of(node.machine()),
            retirements: FollowedRetirements::default(),
            reader: WorkerListReader::new(&settings, client, seed, events.clone()),
            workers: KnownWorkerList::default(),
            operator_requests: PendingRequests::new(seed),
            swept_at: Instant::ORIGIN,
            journal,
            peers: Peers::new(node.id(), internal, events),
            directory: PeerDirectory::default(),
            inbound: BTreeMap::new(),
            registrants: Registrants::default(),
            dispatchers: DispatcherCount::default(),
            barrier: ReadBarrier::new(state_versions(node.machine(), &WorkerList::default())),
            confirming_read: None,
            is_confirmed: false,
            seeds: Arc::new(ArcSwap::from_pointee(settings.seeds)),
            shutdown: None,
            node,
        }
    }

    /// The operators' addresses of core machines, as of the settings that were read last.
    pub fn seeds(&self) -> Arc<ArcSwap<Vec<SocketAddr>>> {
        Arc::clone(&self.seeds)
    }

    /// Connects to these core machines, and to the voters of the view.
    pub fn connect(&mut self, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            self.peers.connect(*address);
        }
        if let Some(view) = self.node.view().cloned() {
            self.connect_voters(&view);
        }
    }

    /// Works through events until the disk fails or the queue ends.
    ///
    /// # Errors
    /// The disk failed: nothing more can be acknowledged.
    pub async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        reports: &mut UnboundedReceiver<JournalReport>,
    ) -> Result<(), RoleError> {
        self.reader.read_without_lease(self.clock.now());
        self.follow_retirements();
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
            if tokio::time::Instant::now() >= deadline {
                self.tick();
            }
            self.poll_barrier();
            self.carry_out_all();
            self.poll_departure();
        }
    }

    /// Ends the connections that others have opened: what was said on them counts no more.
    pub fn disconnect(&mut self) {
        for outbox in self.inbound.values() {
            outbox.close();
        }
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let now = self.clock.now();
        let node = self.clock.at(self.node.next_deadline());
        let placement = self.placement.next_deadline(now).map(|due| self.clock.at(due));
        let reader = self.reader.next_deadline().map(|due| self.clock.at(due));
        let barrier = self.barrier.next_deadline().map(|due| self.clock.at(due));
        [Some(node), placement, reader, barrier].into_iter().flatten().min().unwrap_or(node)
    }

    fn tick(&mut self) {
        self.check_clocks();
        self.node.handle(self.clock.precise_now(), Input::Tick);
        self.handle_placement(PlacementInput::Tick);
        let now = self.clock.now();
        self.reader.tick(now);
        self.sweep_abandoned(now);
    }

    fn handle_report(&mut self, report: JournalReport) -> Result<(), RoleError> {
        self.check_clocks();
        match report {
            JournalReport::Persisted { token } => {
                self.node.handle(self.clock.precise_now(), Input::Persisted { token });
                Ok(())
            }
            JournalReport::Failed { error } => Err(error.into()),
        }
    }

    /// After a stall of the clocks nothing that was confirmed before is known to be recent.
    fn check_clocks(&mut self) {
        if self.clock_stalls.detect_stall(self.clock.now(), time_of_day()) {
            log::warn!("clock stall detected, giving up leases and quorum contact");
            self.node.handle(self.clock.precise_now(), Input::ClockStalled);
            self.handle_barrier(BarrierInput::ClockStalled);
            self.carry_out_all();
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.check_clocks();
        match event {
            Event::Inbound(inbound) => self.handle_inbound(inbound),
            Event::PeerOpened { address } => self.handle_peer_opened(address),
            Event::FounderFound { address } => self.handle_founder_found(address),
            Event::SeedFound { address } => self.peers.connect(address),
            Event::Operator { request, reply } => self.handle_operator_request(request, reply),
            Event::WorkerListCall(call) => {
                if let Some(list) = self.reader.handle_call(self.clock.now(), call) {
                    self.adopt_own_list(list);
                }
            }
            Event::Reload { file } => self.reload(&file),
            Event::ShutdownRequested { done } => self.begin_shutdown(done),
        }
    }

    fn handle_founder_found(&mut self, address: SocketAddr) {
        self.node.handle(self.clock.precise_now(), Input::FounderFound { address: address.to_string() });
        self.peers.connect(address);
    }

    fn handle_peer_opened(&mut self, address: SocketAddr) {
        let list = self.workers.list().clone();
        self.peers.send(address, &ToCorePort::Workers { list });
        let count = self.registrants.dispatchers();
        self.peers.send(address, &ToCorePort::Dispatchers { count });
        self.handle_barrier(BarrierInput::PeerOpened);
    }

    fn begin_shutdown(&mut self, done: oneshot::Sender<()>) {
        self.shutdown = Some(done);
        self.handle_barrier(BarrierInput::ShuttingDown);
        self.node.handle(self.clock.precise_now(), Input::Leave);
    }

    /// Reports once the core can do without this machine, after it was asked to stop.
    fn poll_departure(&mut self) {
        if self.shutdown.is_some() && self.node.can_leave(self.clock.precise_now()) {
            self.shutdown.take().map(|done| done.send(()));
        }
    }
}
