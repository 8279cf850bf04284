//! Owner of a core machine's state: one queue of events, one at a time.

mod commits;
mod inbound;
mod retiring;
mod serving;

use crate::clock::{time_of_day_ms, SteadyClock};
use crate::core::journal::{Journal, Report};
use crate::core::messages::ToCorePort;
use crate::core::operator::{Order, Outcome};
use crate::core::orders::{Orders, Step};
use crate::core::peers::Peers;
use crate::core::reader::{Reader, ReaderEvent};
use crate::core::registrants::Registrants;
use crate::error::RoleError;
use arc_swap::ArcSwap;
use millrudder_chain::{CoreNode, Input, NodeId, RequestId};
use millrudder_clock::Instant;
use millrudder_control_state::ControlState;
use millrudder_placement::{Input as PlacementInput, PlacementManager};
use millrudder_protocol::control::WorkerList;
use millrudder_settings::Settings;
use millrudder_staleness::{
    ClockStallDetector, ConnectionId, CurrentWorkerList, Input as GateInput, ReadBarrier, ReadNumber,
};
use millrudder_system_http::client::Client;
use millrudder_transport::{LinkEvent, Outbox};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Orders whose callers have gone are looked for this often.
const SWEEP: Duration = Duration::from_secs(1);

/// What happens at a core machine.
pub enum Event {
    Inbound {
        connection: ConnectionId,
        outbox: Outbox,
        event: LinkEvent<ToCorePort>,
    },
    PeerOpened {
        address: SocketAddr,
    },
    SeedFound {
        address: SocketAddr,
    },
    Operator {
        order: Order,
        reply: oneshot::Sender<Outcome>,
    },
    Reader(ReaderEvent),
    Reload {
        file: PathBuf,
    },
    /// This process is about to end.
    Leaving {
        done: oneshot::Sender<()>,
    },
}

/// Owns the replicated state machine, the placement manager, the reader and all connections.
pub struct CoreHost {
    clock: SteadyClock,
    standstill: ClockStallDetector,
    node: CoreNode<ControlState>,
    manager: PlacementManager,
    reader: Reader,
    orders: Orders,
    journal: Journal,
    peers: Peers,
    /// Connections that others have opened.
    inbound: BTreeMap<ConnectionId, Outbox>,
    /// Who opened which connection, of other core machines.
    peer_ids: BTreeMap<ConnectionId, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    registrants: Registrants,
    /// Decides what the registrants are told.
    gate: ReadBarrier,
    /// The read under way that confirms this machine's state.
    confirming: Option<Confirming>,
    /// Dispatchers that other core machines serve, by their connection.
    others_dispatchers: BTreeMap<ConnectionId, u32>,
    told_dispatchers: u32,
    workers: WorkerList,
    current_list: CurrentWorkerList,
    had_majority: bool,
    /// Versions that were taken note of when they came into force.
    followed_version: u64,
    followed_epoch: u64,
    followed_retiring: BTreeSet<String>,
    followed_excluded: BTreeSet<NodeId>,
    settings: Settings,
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    client: Client,
    swept: u64,
    /// Waits for the moment at which this process may end.
    leaving: Option<oneshot::Sender<()>>,
}

/// A read that confirms this machine's state.
struct Confirming {
    request_id: RequestId,
    round: ReadNumber,
}

impl CoreHost {
    pub fn new(
        node: CoreNode<ControlState>,
        settings: Settings,
        internal: SocketAddr,
        journal: Journal,
        client: Client,
        events: UnboundedSender<Event>,
    ) -> Self {
        let seed = crate::clock::seed();
        let catch_up_ms = settings.bounds.catch_up.as_millis() as u64;
        let mut manager = PlacementManager::new(settings.fault_tolerance.machines)
            .with_catch_up(Duration::from_millis(catch_up_ms))
            .with_layout(crate::place::layout(&settings));
        manager.handle(Instant::ORIGIN, PlacementInput::Committed(node.machine().placement().clone()));
        let clock = SteadyClock::start();
        CoreHost {
            standstill: ClockStallDetector::new(
                Instant::from_millis(clock.millis()),
                Duration::from_millis(time_of_day_ms()),
            ),
            clock,
            manager,
            reader: Reader::new(&settings, client.clone(), seed, events.clone()),
            orders: Orders::new(seed),
            journal,
            peers: Peers::new(node.id(), internal, events),
            inbound: BTreeMap::new(),
            peer_ids: BTreeMap::new(),
            addresses: BTreeMap::new(),
            registrants: Registrants::default(),
            gate: ReadBarrier::new(serving::numbers(node.machine(), &WorkerList::default())),
            confirming: None,
            others_dispatchers: BTreeMap::new(),
            told_dispatchers: 0,
            workers: WorkerList::default(),
            current_list: CurrentWorkerList::default(),
            had_majority: false,
            followed_version: node.machine().configuration().version,
            followed_epoch: node.machine().placement().epoch.0,
            followed_retiring: BTreeSet::new(),
            followed_excluded: BTreeSet::new(),
            seeds: Arc::new(ArcSwap::from_pointee(settings.seeds.clone())),
            settings,
            client,
            swept: 0,
            leaving: None,
            node,
        }
    }

    pub fn client(&self) -> Client {
        self.client.clone()
    }

    pub fn seeds(&self) -> Arc<ArcSwap<Vec<SocketAddr>>> {
        Arc::clone(&self.seeds)
    }

    /// Connects to these core machines, and to those of the view.
    pub fn know(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.peers.know(*address);
        }
        if let Some(view) = self.node.view().cloned() {
            self.know_view(&view);
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
        self.reader.read_once(self.clock.millis());
        self.follow_retirements();
        loop {
            let deadline = self.next_deadline();
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
                () = sleep_until(deadline) => {}
            }
            while let Ok(event) = queue.try_recv() {
                self.take(event);
            }
            if tokio::time::Instant::now() >= deadline {
                self.tick();
            }
            self.look_at_gate();
            self.carry_out();
            self.tell_departure();
        }
    }

    /// Tells once the core can do without this machine, after it was told to end.
    fn tell_departure(&mut self) {
        if self.leaving.is_some() && self.node.may_go(self.clock.micros()) {
            self.leaving.take().map(|done| done.send(()));
        }
    }

    /// Ends all connections: what was said on them is not known any more.
    pub fn disconnect(&mut self) {
        for outbox in self.inbound.values() {
            outbox.close();
        }
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let now = self.clock.millis();
        let node = self.clock.at_micros(self.node.next_deadline());
        let manager = self
            .manager
            .next_deadline(Instant::from_millis(now))
            .map(|due| self.clock.at_millis(due.as_millis()));
        let reader = self.reader.next_deadline().map(|due| self.clock.at_millis(due));
        let gate = self.gate.next_deadline().map(|due| self.clock.at_millis(due.as_millis()));
        [Some(node), manager, reader, gate].into_iter().flatten().min().unwrap_or(node)
    }

    fn tick(&mut self) {
        self.look_at_clocks();
        self.node.handle(self.clock.micros(), Input::Tick);
        self.manage(PlacementInput::Tick);
        let now = self.clock.millis();
        self.reader.tick(now);
        if now.saturating_sub(self.swept) >= SWEEP.as_millis() as u64 {
            self.swept = now;
            for request_id in self.orders.take_abandoned() {
                self.node.handle(self.clock.micros(), Input::Abandon { request_id });
            }
        }
    }

    fn take_report(&mut self, report: Report) -> Result<(), RoleError> {
        self.look_at_clocks();
        match report {
            Report::Persisted { token } => {
                self.node.handle(self.clock.micros(), Input::Persisted { token });
                Ok(())
            }
            Report::Failed { error } => Err(error.into()),
        }
    }

    /// After a standstill nothing that was confirmed before is known to be recent.
    fn look_at_clocks(&mut self) {
        if self
            .standstill
            .detect_stall(Instant::from_millis(self.clock.millis()), Duration::from_millis(time_of_day_ms()))
        {
            log::warn!("the machine has stood still: leases and contact are given up");
            self.node.handle(self.clock.micros(), Input::ClockStalled);
            self.guard(GateInput::ClockStalled);
            self.carry_out();
        }
    }

    fn take(&mut self, event: Event) {
        self.look_at_clocks();
        match event {
            Event::Inbound { connection, outbox, event } => self.on_inbound(connection, &outbox, event),
            Event::PeerOpened { address } => {
                let list = self.workers.clone();
                self.peers.send(address, &ToCorePort::Workers { list });
                let count = self.registrants.dispatchers();
                self.peers.send(address, &ToCorePort::Dispatchers { count });
                self.guard(GateInput::PeerOpened);
            }
            Event::SeedFound { address } => self.peers.know(address),
            Event::Operator { order, reply } => self.on_order(order, reply),
            Event::Reader(event) => {
                let now = self.clock.millis();
                if let Some(list) = self.reader.take(now, event) {
                    self.adopt_own_list(list);
                }
            }
            Event::Reload { file } => self.reload(&file),
            Event::Leaving { done } => {
                self.leaving = Some(done);
                self.guard(GateInput::ShuttingDown);
                self.node.handle(self.clock.micros(), Input::Leave);
            }
        }
    }

    fn on_order(&mut self, order: Order, reply: oneshot::Sender<Outcome>) {
        let open = self.gate.accepts_requests(Instant::from_millis(self.clock.millis()));
        let step = self.orders.take(order, reply, open);
        let now = self.clock.micros();
        match step {
            Step::Done => {}
            Step::Submit { request_id, command } => {
                self.node.handle(now, Input::Submit { request_id, command });
            }
            Step::Read { request_id } => self.node.handle(now, Input::Read { request_id }),
            Step::Retire { request_id, name } => self.submit_retire(request_id, name),
        }
    }

    fn reload(&mut self, file: &std::path::Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.seeds.store(Arc::new(settings.seeds.clone()));
                self.reader.configure(&settings);
                self.settings = settings;
                log::info!("{} reads its settings again", self.settings.node_name);
            }
            Err(error) => log::warn!("the settings stay as they were: {error}"),
        }
    }
}
