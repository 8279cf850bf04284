//! Connections of a dispatcher or a store to core machines.
//!
//! Seeds are asked where they listen; what a core machine tells of the others is kept. A process is connected to as
//! many of them as it wants; a [`ConnectionPlanner`] chooses them.

mod seeds;

use crate::clock::SteadyClock;
use crate::core::ToCorePort;
use millrudder_clock::Instant;
use millrudder_protocol::control::{FromCore, Registrant, ToCore};
use millrudder_staleness::{ConnectionPlanner, ConnectionStep, StalenessChange};
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{LinkEvent, Outbox};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Connections are looked after this often, and when a core machine sends this process away.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// What this process has of the control state, told at each registration so that only news is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    pub configuration_version: u64,
    pub placement_epoch: u64,
}

impl Held {
    /// Nothing that `other` tells of is newer than this.
    pub fn covers(self, other: Held) -> bool {
        self.configuration_version >= other.configuration_version
            && self.placement_epoch >= other.placement_epoch
    }
}

/// Logs that what a process holds has grown old, or that this is over.
pub fn report_freshness(change: Option<StalenessChange>) {
    match change {
        Some(StalenessChange::Stale { age }) => {
            let age_ms = age.as_millis();
            log::warn!("no core machine has confirmed for {age_ms} ms what is held here");
        }
        Some(StalenessChange::Fresh { stale_for }) => {
            let was_old_for_ms = stale_for.as_millis();
            log::info!("what is held here is confirmed again, after {was_old_for_ms} ms");
        }
        None => {}
    }
}

struct Shared {
    clock: SteadyClock,
    plan: ConnectionPlanner,
    registrant: Registrant,
    held: Held,
    seeds: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Dialer>,
}

/// What the connections and their keeper share.
#[derive(Clone)]
struct Handle {
    shared: Rc<RefCell<Shared>>,
    /// A connection is to be replaced.
    refused: Rc<Notify>,
}

/// The connections; dropped, they end.
pub struct ControlLink {
    handle: Handle,
    keeper: tokio::task::JoinHandle<()>,
}

impl ControlLink {
    /// Connects to up to `most` core machines; `deliver` gets what they say.
    pub fn start<F>(
        clock: SteadyClock,
        most: usize,
        registrant: Registrant,
        seeds: Vec<SocketAddr>,
        seed: u64,
        deliver: F,
    ) -> Self
    where
        F: Fn(FromCore) + Clone + 'static,
    {
        let shared = Shared {
            clock,
            plan: ConnectionPlanner::new(most, seed),
            registrant,
            held: Held::default(),
            seeds,
            links: BTreeMap::new(),
        };
        let handle = Handle { shared: Rc::new(RefCell::new(shared)), refused: Rc::default() };
        let keeper = tokio::task::spawn_local(keep(handle.clone(), deliver));
        ControlLink { handle, keeper }
    }

    /// What is held from now on.
    pub fn hold(&self, held: Held) {
        self.handle.shared.borrow_mut().held = held;
    }

    /// Other seeds, from settings that were read again.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.handle.shared.borrow_mut().seeds = seeds;
    }

    /// Core machines that a core machine has told of.
    pub fn know(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut shared = self.handle.shared.borrow_mut();
        for address in addresses {
            shared.plan.add_address(address);
        }
    }

    /// Tells every core machine that is connected.
    pub fn tell_all(&self, message: &ToCore) {
        let message = ToCorePort::Client { message: message.clone() };
        for dialer in self.handle.shared.borrow().links.values() {
            // One that is closed is registered with again, and told then.
            let _ = dialer.outbox().send(&message);
        }
    }
}

impl Drop for ControlLink {
    fn drop(&mut self) {
        self.keeper.abort();
        self.handle.shared.borrow_mut().links.clear();
    }
}

impl Shared {
    /// Tells the plan what happened on the connection to an address.
    fn report(&mut self, address: SocketAddr, event: fn(&mut ConnectionPlanner, Instant, SocketAddr)) {
        event(&mut self.plan, Instant::from_millis(self.clock.millis()), address);
    }

    /// Asks every core machine that is connected whether what is held here is current.
    fn ask(&self) {
        let message =
            ToCorePort::Client { message: ToCore::StalenessCheck { sent_at_ms: self.clock.millis() } };
        for dialer in self.links.values() {
            // One that is closed is asked when it is open again.
            let _ = dialer.outbox().send(&message);
        }
    }

    /// Whether seeds may tell of core machines that are needed.
    fn wants_seeds(&self) -> bool {
        !self.plan.has_confirmed_connection() || self.plan.address_count() < self.seeds.len()
    }
}

async fn keep<F: Fn(FromCore) + Clone + 'static>(handle: Handle, deliver: F) {
    let asking = tokio::task::spawn_local(seeds::ask_for_more(handle.clone()));
    let _asking = AbortOnDrop(asking);
    loop {
        follow_plan(&handle, &deliver);
        handle.shared.borrow().ask();
        // Refused or not, the plan is asked again.
        let _ = timeout(LOOK_EVERY, handle.refused.notified()).await;
    }
}

/// Ends a task together with its owner.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn follow_plan<F: Fn(FromCore) + Clone + 'static>(handle: &Handle, deliver: &F) {
    let steps = {
        let mut shared = handle.shared.borrow_mut();
        let now = Instant::from_millis(shared.clock.millis());
        shared.plan.poll(now)
    };
    for step in steps {
        match step {
            ConnectionStep::Close(address) => drop(handle.shared.borrow_mut().links.remove(&address)),
            ConnectionStep::Open(address) => dial(handle, address, deliver.clone()),
        }
    }
}

fn dial<F: Fn(FromCore) + 'static>(handle: &Handle, address: SocketAddr, deliver: F) {
    let this = handle.clone();
    let report = move |outbox: &Outbox, event: LinkEvent<FromCore>| match event {
        LinkEvent::Opened => {
            this.shared.borrow_mut().report(address, ConnectionPlanner::handle_opened);
            register(&this.shared.borrow(), outbox);
        }
        LinkEvent::Closed(reason) => {
            log::info!("core machine {address} is lost: {reason}");
            this.shared.borrow_mut().report(address, ConnectionPlanner::handle_closed);
        }
        LinkEvent::Message(message) => {
            this.note(address, outbox, &message);
            deliver(message);
        }
    };
    let dialer = Dialer::start(address, report);
    handle.shared.borrow_mut().links.insert(address, dialer);
}

impl Handle {
    /// Takes note of what a message tells of the machine that sent it.
    fn note(&self, address: SocketAddr, outbox: &Outbox, message: &FromCore) {
        match message {
            FromCore::StalenessConfirmed { sent_at_ms, .. } => {
                let mut shared = self.shared.borrow_mut();
                let now = Instant::from_millis(shared.clock.millis());
                shared.plan.handle_confirmation(now, address, Instant::from_millis(*sent_at_ms));
            }
            FromCore::NoQuorum => {
                log::info!("core machine {address} has no majority");
                self.refuse(address);
            }
            FromCore::Redirect => {
                self.refuse(address);
                outbox.close();
            }
            _ => {}
        }
    }

    fn refuse(&self, address: SocketAddr) {
        self.shared.borrow_mut().report(address, ConnectionPlanner::handle_rejection);
        self.refused.notify_one();
    }
}

fn register(shared: &Shared, outbox: &Outbox) {
    let message = ToCore::Register {
        registrant: shared.registrant.clone(),
        configuration_version: shared.held.configuration_version,
        placement_epoch: shared.held.placement_epoch,
    };
    // Closed at once, it is opened anew.
    let _ = outbox.send(&ToCorePort::Client { message });
    let question = ToCore::StalenessCheck { sent_at_ms: shared.clock.millis() };
    let _ = outbox.send(&ToCorePort::Client { message: question });
}
