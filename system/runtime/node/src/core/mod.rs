//! A core machine: the replicated control state, the operator's API, the reader of the platform's list.

mod host;
mod journal;
mod messages;
mod operator;
mod orders;
mod peers;
mod reader;
mod registrants;
mod retire;

pub use messages::ToCorePort;

use crate::clock;
use crate::error::RoleError;
use crate::listen::{internal_address, listen, InternalPort};
use crate::locate;
use crate::signals::{Notice, Signals};
use arc_swap::ArcSwap;
use host::{CoreHost, Event};
use millrudder_chain::{CoreConfig, CoreNode, DurableState, LeaseConfig, Role};
use millrudder_control_state::ControlState;
use millrudder_protocol::frame::MAX_CONTENT_BYTES;
use millrudder_settings::Settings;
use millrudder_staleness::ConnectionId;
use millrudder_system_http::client::{Client, ClientLimits};
use millrudder_system_http::front::{self, RequestLimits, ServerLimits, Stop, StopPlan};
use millrudder_transport::{listener, LinkEvent, Outbox};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Largest body of an order, in bytes: a configuration of ten thousand routes. It goes to the other core machines and
/// to dispatchers in one frame each; a larger one would be taken and never get any further.
const MOST_ORDER_BYTES: usize = MAX_CONTENT_BYTES / 2;
/// Pause between two rounds of questions to seeds.
const SEEDS_AGAIN: Duration = Duration::from_millis(200);
/// The same once they have been asked for long.
const SEEDS_LONGEST: Duration = Duration::from_secs(5);
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
    let machine = Machine { settings, folder, internal, events: events.clone() };
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
            let founders = if founds { self.find_founders(&client).await } else { Vec::new() };
            let node = make_node(&self.settings, self.internal, opened.state, &founders)?;
            let (reports, mut reported) = unbounded_channel();
            let journal = journal::Journal::start(opened.store, reports);
            let settings = self.settings.clone();
            let mut host =
                CoreHost::new(node, settings, self.internal, journal, client.clone(), self.events.clone());
            host.know(&founders);
            let seed_watch = spawn_seed_watch(&host, self.events.clone());
            let ended = host.run(&mut queue, &mut reported).await;
            seed_watch.abort();
            host.disconnect();
            let Err(error) = ended else { return Ok(()) };
            log::error!("this machine falls silent: {error}");
            opened = self.reopen().await;
        }
    }

    /// Internal addresses of all machines that the settings name, once all of them answer: this machine has never been
    /// part of a core, and is about to found one with them.
    async fn find_founders(&self, client: &Client) -> Vec<SocketAddr> {
        let mut found = BTreeSet::new();
        loop {
            let mut answers = ask_seeds(client, &self.settings.seeds);
            while let Some(answer) = answers.join_next().await {
                found.extend(answer.ok().flatten());
            }
            if found.len() >= self.settings.seeds.len() {
                return found.into_iter().collect();
            }
            sleep(SEEDS_AGAIN).await;
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

/// Asks the seeds where they listen, at once and then now and then: each that answers is reported. A machine that has
/// been part of a core knows the others from its disk, and does not wait for them.
fn spawn_seed_watch(host: &CoreHost, events: UnboundedSender<Event>) -> JoinHandle<()> {
    let (client, seeds) = (host.client(), host.seeds());
    tokio::task::spawn_local(async move {
        let mut pause = SEEDS_AGAIN;
        loop {
            let mut answers = ask_seeds(&client, &seeds.load());
            while let Some(answer) = answers.join_next().await {
                if let Ok(Some(address)) = answer {
                    drop(events.send(Event::SeedFound { address }));
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(SEEDS_LONGEST);
        }
    })
}

/// Asks all seeds at once: a silent one does not hold the others up.
fn ask_seeds(client: &Client, seeds: &[SocketAddr]) -> JoinSet<Option<SocketAddr>> {
    let mut questions = JoinSet::new();
    for seed in seeds {
        let (client, seed) = (client.clone(), *seed);
        questions.spawn_local(async move { locate::internal_address(&client, seed).await });
    }
    questions
}

fn make_node(
    settings: &Settings,
    internal: SocketAddr,
    state: Option<DurableState>,
    founders: &[SocketAddr],
) -> Result<CoreNode<ControlState>, RoleError> {
    let mut config = CoreConfig::new(internal.to_string());
    let view = state.as_ref().and_then(|state| state.view());
    let founding = Some(founders.len()).filter(|_| !founders.is_empty());
    config.minimum_members = settings.smallest_core(view.map(|view| view.members.len()).or(founding));
    config.voters = voters(settings);
    config.roles = vec![Role(CONTROLLER.to_owned())];
    config.lease = LeaseConfig::default();
    if settings.bootstrap && state.is_none() && founders.contains(&internal) {
        config.founders = founders.iter().map(SocketAddr::to_string).collect();
    }
    Ok(CoreNode::new(config, state, clock::seed(), 0)?)
}

/// Core machines that vote, as far as there are so many: those that are left after the losses are the majority.
fn voters(settings: &Settings) -> usize {
    2 * settings.fault_tolerance.machines as usize + 1
}
