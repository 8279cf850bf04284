//! The role of a dispatcher: accepts clients' messages and has them stored, delivers the messages that stores grant to it,
//! and answers queries for any message.
//!
//! **State.** A dispatcher owns nothing durable: clients that wait, deliveries in flight, a cache of messages, and replicas
//! of the configuration, the placement and the list of workers. What it has promised to a client is durable in stores;
//! after a crash these grant its deliveries to other dispatchers.
//!
//! **Order.** A client is answered 202 only after stores have the message on their disks. A dispatcher is ready only after a
//! core machine has confirmed its control state. One that stops first says so at its readiness probe and to the
//! stores, then finishes clients' requests and the calls in flight, and waits until their results, and the withdrawals of
//! messages that it sent twice, are recorded.

mod active_configuration;
mod calls;
mod clients;
mod event;
mod front;
mod host;
mod message_cache;
mod readiness;
mod store_links;

use crate::error::RoleError;
use crate::listen::listen;
use crate::signals::Signals;
use crate::task::TaskGuard;
use active_configuration::SharedConfiguration;
use arc_swap::ArcSwap;
use event::Event;
use host::EdgeHost;
use millrudder_settings::Settings;
use millrudder_system_http::front::{serve, RequestLimits, ServerLimits, Stop, StopPlan};
use readiness::Readiness;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, Instant};

/// File descriptors that are not for clients' connections: stores, core machines, workers, files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// The fewest connections of clients that are worth serving.
const MIN_CLIENT_CONNECTIONS: usize = 64;
/// The platform probes readiness every second and needs two failures: for this long clients still connect.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(2300);
/// A stopping dispatcher ends so long before the platform ends the process by force.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// A stopping dispatcher looks this often whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves as a dispatcher until a signal asks the process to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: PathBuf, mut signals: Signals) -> Result<(), RoleError> {
    let front_address = settings.bind.front.ok_or(RoleError::MissingKey { key: "bindAddrs.front" })?;
    let readiness_address =
        settings.bind.readiness.ok_or(RoleError::MissingKey { key: "bindAddrs.readiness" })?;
    // Bounded by the connections of clients, each with one request, and by the credits and leases of stores.
    let (events, queue) = unbounded_channel();
    let configuration = SharedConfiguration::empty();
    let mut host = EdgeHost::new(&settings, configuration.clone(), events.clone());
    let readiness = host.readiness();

    let stop = Stop::new();
    let handler = front::serve(configuration.active, events.clone());
    let server_limits = client_limits(&settings);
    let server = serve(listen(front_address)?, server_limits, configuration.limits, handler, stop.clone());
    let server = tokio::task::spawn_local(server);
    let _probes = serve_probes(readiness_address, readiness.clone(), stop.clone())?;

    let grace = settings.bounds.grace;
    let stopped = async {
        signals.wait_for_stop(|| drop(events.send(Event::Reload { file: file.clone() }))).await;
        log::info!("shutting down, finishing requests and deliveries in flight");
        let finish_within = grace.saturating_sub(STOP_MARGIN);
        let deadline = Instant::now() + finish_within;
        stop.begin(StopPlan { accept_for: ACCEPT_WHILE_STOPPING.min(finish_within), finish_within });
        drop(events.send(Event::ShutdownRequested));
        let _ = server.await;
        wait_until_idle(&readiness, deadline).await;
    };
    tokio::select! {
        () = host.run(queue) => {}
        () = stopped => {}
    }
    Ok(())
}

fn client_limits(settings: &Settings) -> ServerLimits {
    let descriptors = settings.limits.file_descriptors as usize;
    let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CLIENT_CONNECTIONS);
    ServerLimits { max_connections, ..ServerLimits::default() }
}

/// Answers readiness probes until the guard is dropped.
fn serve_probes(address: SocketAddr, readiness: Readiness, stop: Stop) -> Result<TaskGuard, RoleError> {
    // From the signal on the answer is no, whatever events still wait for the host.
    let handler = millrudder_system_http::front::readiness(move || readiness.is_ready() && !stop.is_begun());
    let limits = Arc::new(ArcSwap::from_pointee(RequestLimits::default()));
    let server = serve(listen(address)?, ServerLimits::default(), limits, handler, Stop::new());
    Ok(TaskGuard::spawn_local(async move {
        let _ = server.await;
    }))
}

/// Waits until no call is in flight and all results and withdrawals are recorded, or until the deadline.
async fn wait_until_idle(readiness: &Readiness, deadline: Instant) {
    while !readiness.is_idle() && Instant::now() < deadline {
        sleep(IDLE_POLL_INTERVAL).await;
    }
}
