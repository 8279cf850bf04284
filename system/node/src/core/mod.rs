//! A core machine: the replicated control state, the operator's API, the reader of the platform's list.

mod host;
mod journal;
mod messages;
mod operator;
mod orders;
mod peers;
mod reader;
mod registrants;

pub use messages::ToCorePort;

use crate::clock;
use crate::error::RoleError;
use crate::listen::{internal_address, listen, InternalPort};
use crate::locate;
use crate::signals::{Notice, Signals};
use arc_swap::ArcSwap;
use host::{CoreHost, Event};
use millrudder_chain::{CoreConfig, CoreNode, DurableState, LeaseConfig, Role};
use millrudder_contact::ConnectionId;
use millrudder_control_state::ControlState;
use millrudder_protocol::frame::MAX_CONTENT_BYTES;
use millrudder_settings::Settings;
use millrudder_system_http::client::{Client, ClientLimits};
use millrudder_system_http::front::{self, RequestLimits, ServerLimits, Stop, StopPlan};
use millrudder_transport::{listener, LinkEvent, Outbox};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Largest body of an order, in bytes: a configuration of ten thousand routes. It goes to the other core machines and
/// to dispatchers in one frame each; a larger one would be taken and never get any further.
const MOST_ORDER_BYTES: usize = MAX_CONTENT_BYTES / 2;
/// Pause between two rounds of questions to seeds.
const SEEDS_AGAIN: Duration = Duration::from_millis(200);
/// How long a stopping machine still answers operators.
const STOP_WITHIN: Duration = Duration::from_millis(1500);
/// It takes part in the core until that can do without it, or until this long before it is ended by force.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Pauses between tries to use a disk that has failed.
const REOPEN_FIRST: Duration = Duration::from_millis(500);
const REOPEN_LONGEST: Duration = Duration::from_secs(4);
/// One role for all that one core machine does for all of them.
pub const CONTROLLER: &str = "controller";

/// Serves as a core machine until told to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: PathBuf) -> Result<(), RoleError> {
    let folder = settings.data_dir.clone().ok_or(RoleError::MissingKey { key: "dataDir" })?;
    let control =
        settings.bind.control_plane.ok_or(RoleError::MissingKey { key: "bindAddrs.controlPlane" })?;
    let internal = internal_address(&settings, InternalPort::Core);
    let mut signals = Signals::new()?;
    let (events, queue) = unbounded_channel();
    let opened = journal::open(&folder)?;

    let stop = Stop::new();
    let limits = RequestLimits { max_body_bytes: MOST_ORDER_BYTES, ..RequestLimits::default() };
    let limits = Arc::new(ArcSwap::from_pointee(limits));
    let handler = operator::serve(internal, events.clone());
    let server = front::serve(listen(control)?, ServerLimits::default(), limits, handler, stop.clone());
    let server = tokio::task::spawn_local(server);
    accept_internal(listen(internal)?, events.clone());

    let grace = settings.bounds.grace;
    let machine = Machine { settings, folder, control, internal, events: events.clone() };
    let watched = async {
        loop {
            match signals.next().await {
                Notice::Stop => break,
                Notice::Reload => drop(events.send(Event::Reload { file: file.clone() })),
            }
        }
        log::info!("stopping");
        let longest = grace.saturating_sub(STOP_MARGIN);
        let (done, needed_no_more) = oneshot::channel();
        drop(events.send(Event::Leaving { done }));
        stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within: STOP_WITHIN.min(longest) });
        let (_, needed_no_more) = tokio::join!(server, timeout(longest, needed_no_more));
        if needed_no_more.is_err() {
            log::warn!("stops although the core may still need this machine");
        }
    };
    tokio::select! {
        ended = machine.serve(opened, queue) => ended,
        () = watched => Ok(()),
    }
}

/// What stays the same while the state is opened anew after a failure of the disk.
struct Machine {
    settings: Settings,
    folder: PathBuf,
    control: SocketAddr,
    internal: SocketAddr,
    events: UnboundedSender<Event>,
}

impl Machine {
    /// Serves the state on the disk. When the disk fails, this machine falls silent and begins afresh with what the
    /// disk holds, as soon as it takes writes again.
    async fn serve(
        &self,
        mut opened: journal::Opened,
        mut queue: UnboundedReceiver<Event>,
    ) -> Result<(), RoleError> {
        let client = Client::new(ClientLimits::default());
        loop {
            let founds = self.settings.bootstrap && opened.state.is_none();
            let seeds = find_seeds(&client, &self.settings, self.control, self.internal, founds).await;
            let node = make_node(&self.settings, self.internal, opened.state, &seeds)?;
            let (reports, mut reported) = unbounded_channel();
            let journal = journal::Journal::start(opened.store, reports);
            let settings = self.settings.clone();
            let mut host =
                CoreHost::new(node, settings, self.internal, journal, client.clone(), self.events.clone());
            host.know(&seeds);
            let seed_watch = spawn_seed_watch(&host, self.events.clone());
            let ended = host.run(&mut queue, &mut reported).await;
            seed_watch.abort();
            host.disconnect();
            let Err(error) = ended else { return Ok(()) };
            log::error!("this machine falls silent: {error}");
            opened = self.reopen().await;
        }
    }

    /// Waits until the disk holds a state and takes writes.
    async fn reopen(&self) -> journal::Opened {
        let mut pause = REOPEN_FIRST;
        loop {
            sleep(pause).await;
            pause = (pause * 2).min(REOPEN_LONGEST);
            match journal::open(&self.folder).and_then(journal::Opened::proven) {
                Ok(opened) => return opened,
                Err(error) => log::warn!("the disk cannot be used yet: {error}"),
            }
        }
    }
}

fn accept_internal(listener: tokio::net::TcpListener, events: UnboundedSender<Event>) {
    let mut next = 0;
    tokio::task::spawn_local(listener::accept(listener, move |_peer| {
        next += 1;
        let connection = ConnectionId(next);
        let events = events.clone();
        move |outbox: &Outbox, event: LinkEvent<ToCorePort>| {
            let outbox = outbox.clone();
            drop(events.send(Event::Inbound { connection, outbox, event }));
        }
    }));
}

/// Internal addresses of the machines that the settings name. A machine that has never been part of a core waits for
/// all of them, since it may be about to found one; others go on with those that answer.
async fn find_seeds(
    client: &Client,
    settings: &Settings,
    control: SocketAddr,
    internal: SocketAddr,
    founding: bool,
) -> Vec<SocketAddr> {
    loop {
        let mut found = Vec::new();
        for seed in &settings.seeds {
            if *seed == control {
                found.push(internal);
            } else if let Some(address) = locate::internal_address(client, *seed).await {
                found.push(address);
            }
        }
        if !founding || found.len() == settings.seeds.len() {
            return found;
        }
        sleep(SEEDS_AGAIN).await;
    }
}

/// Asks seeds that did not answer again now and then, for a machine that knows too few others.
fn spawn_seed_watch(host: &CoreHost, events: UnboundedSender<Event>) -> JoinHandle<()> {
    let (client, seeds) = (host.client(), host.seeds());
    tokio::task::spawn_local(async move {
        let mut pause = SEEDS_AGAIN;
        loop {
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_secs(5));
            for seed in seeds.load().iter() {
                if let Some(address) = locate::internal_address(&client, *seed).await {
                    drop(events.send(Event::SeedFound { address }));
                }
            }
        }
    })
}

fn make_node(
    settings: &Settings,
    internal: SocketAddr,
    state: Option<DurableState>,
    seeds: &[SocketAddr],
) -> Result<CoreNode<ControlState>, RoleError> {
    let mut config = CoreConfig::new(internal.to_string());
    config.minimum_members = minimum_members(settings, seeds.len());
    config.voters = voters(settings);
    config.roles = vec![Role(CONTROLLER.to_owned())];
    config.lease = LeaseConfig::default();
    if settings.bootstrap && state.is_none() && seeds.contains(&internal) {
        config.founders = seeds.iter().map(SocketAddr::to_string).collect();
    }
    Ok(CoreNode::new(config, state, clock::seed(), 0)?)
}

/// Members of the smallest view: one more than may be lost, as far as there are so many.
fn minimum_members(settings: &Settings, seeds: usize) -> usize {
    let wanted = settings.fault_tolerance.machines as usize + 1;
    wanted.min(seeds.max(1))
}

/// Core machines that vote, as far as there are so many: those that are left after the losses are the majority.
fn voters(settings: &Settings) -> usize {
    2 * settings.fault_tolerance.machines as usize + 1
}
