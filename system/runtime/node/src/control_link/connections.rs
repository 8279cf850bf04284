//! The connections of a process to core machines, as a planner chooses them.

use super::versions::AdoptedVersions;
use crate::clock::SteadyClock;
use crate::core::ToCorePort;
use millrudder_clock::Instant;
use millrudder_protocol::control::{FromCore, Registrant, ToCore};
use millrudder_staleness::{ConnectionPlanner, ConnectionStep};
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{LinkEvent, Outbox};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// What [`CoreConnections`] are made of.
pub struct ControlLinkConfig {
    /// The process's clock: the moments that core machines confirm are its readings.
    pub clock: SteadyClock,
    /// Core machines to be connected to at the same time, at the most.
    pub max_connections: usize,
    /// What this process registers as.
    pub registrant: Registrant,
    /// Operators' addresses of core machines, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the planner's random choices.
    pub random_seed: u64,
}

struct Shared {
    clock: SteadyClock,
    planner: ConnectionPlanner,
    registrant: Registrant,
    adopted: AdoptedVersions,
    seeds: Vec<SocketAddr>,
    dialers: BTreeMap<SocketAddr, Dialer>,
}

/// The connections, shared among the tasks that maintain them and their own callbacks. Clones are the same.
#[derive(Clone)]
pub(super) struct CoreConnections {
    shared: Rc<RefCell<Shared>>,
    /// The planner is to be polled at once.
    replan: Rc<Notify>,
}

impl Shared {
    /// Tells the planner what happened on the connection to an address.
    fn report(&mut self, address: SocketAddr, event: fn(&mut ConnectionPlanner, Instant, SocketAddr)) {
        event(&mut self.planner, self.clock.now(), address);
    }

    fn send_all(&self, message: ToCore) {
        let message = ToCorePort::Client { message };
        for dialer in self.dialers.values() {
            // After a connection has closed, the registration on the next one makes up for it.
            let _ = dialer.outbox().send(&message);
        }
    }

    /// Asks a core machine to confirm that this process's replica is current.
    fn confirmation_request(&self) -> ToCore {
        ToCore::StalenessCheck { sent_at_ms: self.clock.millis() }
    }

    fn register(&self, outbox: &Outbox) {
        let registration = ToCore::Register {
            registrant: self.registrant.clone(),
            configuration_version: self.adopted.configuration_version,
            placement_epoch: self.adopted.placement_epoch,
        };
        // A connection that has closed already is opened anew, and registered on.
        let _ = outbox.send(&ToCorePort::Client { message: registration });
        let _ = outbox.send(&ToCorePort::Client { message: self.confirmation_request() });
    }
}

impl CoreConnections {
    /// No connections yet.
    pub(super) fn new(config: ControlLinkConfig) -> Self {
        let shared = Shared {
            clock: config.clock,
            planner: ConnectionPlanner::new(config.max_connections, config.random_seed),
            registrant: config.registrant,
            adopted: AdoptedVersions::default(),
            seeds: config.seeds,
            dialers: BTreeMap::new(),
        };
        CoreConnections { shared: Rc::new(RefCell::new(shared)), replan: Rc::default() }
    }

    /// The versions that are sent with the next registrations.
    pub(super) fn set_adopted(&self, adopted: AdoptedVersions) {
        self.shared.borrow_mut().adopted = adopted;
    }

    /// Other seeds, from settings that were read again.
    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.borrow_mut().seeds = seeds;
    }

    /// Addresses of seeds to be queried; none while the planner has what it needs.
    pub(super) fn needed_seeds(&self) -> Option<Vec<SocketAddr>> {
        let shared = self.shared.borrow();
        let is_needed =
            !shared.planner.has_confirmed_connection() || shared.planner.address_count() < shared.seeds.len();
        is_needed.then(|| shared.seeds.clone())
    }

    /// Adds the address of a core machine; false if it was known.
    pub(super) fn add_core_machine(&self, address: SocketAddr) -> bool {
        self.shared.borrow_mut().planner.add_address(address)
    }

    /// Sends a message to every core machine that is connected.
    pub(super) fn send_all(&self, message: &ToCore) {
        self.shared.borrow().send_all(message.clone());
    }

    /// Asks every core machine that is connected to confirm this process's replica.
    pub(super) fn request_confirmations(&self) {
        let shared = self.shared.borrow();
        shared.send_all(shared.confirmation_request());
    }

    /// Has the planner polled at once.
    pub(super) fn replan(&self) {
        self.replan.notify_one();
    }

    /// Waits until the planner is to be polled at once, or for `interval`.
    pub(super) async fn wait_to_replan(&self, interval: Duration) {
        // In time or not, the planner is polled.
        let _ = timeout(interval, self.replan.notified()).await;
    }

    /// Opens and closes connections as the planner asks; `deliver` gets what core machines send.
    pub(super) fn follow_plan<F: Fn(FromCore) + Clone + 'static>(&self, deliver: &F) {
        let steps = {
            let mut shared = self.shared.borrow_mut();
            let now = shared.clock.now();
            shared.planner.poll(now)
        };
        for step in steps {
            match step {
                ConnectionStep::Close(address) => drop(self.shared.borrow_mut().dialers.remove(&address)),
                ConnectionStep::Open(address) => self.dial(address, deliver.clone()),
            }
        }
    }

    /// Ends all connections; they keep their owner alive otherwise.
    pub(super) fn close_all(&self) {
        self.shared.borrow_mut().dialers.clear();
    }

    fn dial<F: Fn(FromCore) + 'static>(&self, address: SocketAddr, deliver: F) {
        let connections = self.clone();
        let report = move |outbox: &Outbox, event: LinkEvent<FromCore>| match event {
            LinkEvent::Opened => {
                connections.shared.borrow_mut().report(address, ConnectionPlanner::handle_opened);
                connections.shared.borrow().register(outbox);
            }
            LinkEvent::Closed(reason) => {
                log::info!(address:%, error:% = reason; "core machine connection lost");
                connections.shared.borrow_mut().report(address, ConnectionPlanner::handle_closed);
            }
            LinkEvent::Message(message) => {
                connections.inspect(address, outbox, &message);
                deliver(message);
            }
        };
        let dialer = Dialer::start(address, report);
        self.shared.borrow_mut().dialers.insert(address, dialer);
    }

    /// Tells the planner what a message says of the core machine that sent it.
    fn inspect(&self, address: SocketAddr, outbox: &Outbox, message: &FromCore) {
        match message {
            FromCore::StalenessConfirmed { sent_at_ms, .. } => {
                let mut shared = self.shared.borrow_mut();
                let now = shared.clock.now();
                shared.planner.handle_confirmation(now, address, Instant::from_millis(*sent_at_ms));
            }
            FromCore::NoQuorum => {
                log::info!(address:%; "core machine has no quorum");
                self.avoid(address);
            }
            FromCore::Redirect => {
                self.avoid(address);
                outbox.close();
            }
            // They say nothing of the core machine itself.
            FromCore::Configuration { .. }
            | FromCore::Placement { .. }
            | FromCore::Workers { .. }
            | FromCore::CoreAddresses { .. }
            | FromCore::DispatcherCount { .. } => {}
        }
    }

    /// Has the planner replace a core machine that refused this process.
    fn avoid(&self, address: SocketAddr) {
        self.shared.borrow_mut().report(address, ConnectionPlanner::handle_rejection);
        self.replan();
    }
}
