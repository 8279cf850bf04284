//! A dispatcher: takes clients' messages, has them kept, delivers what stores grant, answers for any message.

mod bodies;
mod calls;
mod front;
mod host;
mod routes;
mod store_links;

use crate::error::RoleError;
use crate::listen::listen;
use crate::signals::{Notice, Signals};
use arc_swap::{ArcSwap, ArcSwapOption};
use host::{EdgeHost, Event, Shown};
use millrudder_settings::Settings;
use millrudder_system_http::front::{readiness, serve, RequestLimits, ServerLimits, Stop, StopPlan};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, Instant};

/// Descriptors that are not for clients: stores, core machines, workers, files.
const OTHER_DESCRIPTORS: usize = 1200;
/// The fewest connections of clients that are worth serving.
const FEWEST_CONNECTIONS: usize = 64;
/// The platform asks every second and takes two misses for a no: so long clients still come.
const CLIENTS_COME: Duration = Duration::from_millis(2300);
/// What a stopping dispatcher leaves of the time that the platform gives it.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How often a stopping dispatcher looks whether all is done.
const STOP_LOOK: Duration = Duration::from_millis(20);

/// Serves as a dispatcher until told to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: PathBuf) -> Result<(), RoleError> {
    let front_address = settings.bind.front.ok_or(RoleError::MissingKey { key: "bindAddrs.front" })?;
    let readiness_address =
        settings.bind.readiness.ok_or(RoleError::MissingKey { key: "bindAddrs.readiness" })?;
    let mut signals = Signals::new()?;
    let (events, queue) = unbounded_channel();
    let in_force = Arc::new(ArcSwapOption::empty());
    let limits = Arc::new(ArcSwap::from_pointee(RequestLimits::default()));
    let mut host = EdgeHost::new(&settings, Arc::clone(&in_force), Arc::clone(&limits), events.clone());
    let shown = host.shown();

    let (stop, readiness_stop) = (Stop::new(), Stop::new());
    let connections = settings.limits.file_descriptors as usize;
    let server_limits = ServerLimits {
        max_connections: connections.saturating_sub(OTHER_DESCRIPTORS).max(FEWEST_CONNECTIONS),
        ..ServerLimits::default()
    };
    let handler = front::serve(in_force, events.clone());
    let server = serve(listen(front_address)?, server_limits, limits, handler, stop.clone());
    let server = tokio::task::spawn_local(server);
    let (ready, stopping) = (Rc::clone(&shown), stop.clone());
    let probe_limits = Arc::new(ArcSwap::from_pointee(RequestLimits::default()));
    tokio::task::spawn_local(serve(
        listen(readiness_address)?,
        ServerLimits::default(),
        probe_limits,
        // From the signal on, whatever events still wait for the state's owner.
        readiness(move || ready.ready.get() && !stopping.is_begun()),
        readiness_stop,
    ));

    let grace = settings.bounds.grace;
    let watched = async {
        loop {
            match signals.next().await {
                Notice::Stop => break,
                Notice::Reload => drop(events.send(Event::Reload { file: file.clone() })),
            }
        }
        log::info!("stopping: no new deliveries, clients' requests are finished");
        let finish_within = grace.saturating_sub(STOP_MARGIN);
        let deadline = Instant::now() + finish_within;
        stop.begin(StopPlan { accept_for: CLIENTS_COME.min(finish_within), finish_within });
        drop(events.send(Event::Leaving));
        let _ = server.await;
        finish(&shown, deadline).await;
    };
    tokio::select! {
        () = host.run(queue) => {}
        () = watched => {}
    }
    Ok(())
}

/// Waits until nothing is out at workers and all ends are recorded.
async fn finish(shown: &Rc<Shown>, deadline: Instant) {
    while !shown.idle.get() && Instant::now() < deadline {
        sleep(STOP_LOOK).await;
    }
}
