//! The role of a store: stores messages on its disk, orders them, grants their delivery to dispatchers.
//!
//! **State.** A store owns the replicas of the shards that the placement gives it: messages, their leases and their ends.
//! What must outlast a crash is durable in its record log ([`disk`]), as is the store's identity, which belongs to the disk
//! and not to the machine. Connections, the replica of the control state and the shards that it learns are
//! kept in memory only.
//!
//! **Order.** Nothing is acknowledged to a dispatcher or another store before the records that it rests on are reported as
//! synced; the state machine sees to that. After a failure of its disk the store closes all connections, so that other
//! stores take over its shards, and starts again from what the disk holds. A store that stops first waits until no shard
//! needs it.

mod caller;
mod catch_up;
mod disk;
mod drain;
mod event;
mod host;
mod links;
mod queue_config;
mod supervisor;

use crate::error::RoleError;
use crate::listen::{accept_internal, internal_address, listen, InternalPort};
use crate::mechanisms::Mechanisms;
use crate::signals::Signals;
use drain::DrainProgress;
use event::Event;
use millrudder_settings::Settings;
use std::path::PathBuf;
use std::time::Duration;
use supervisor::{open_disk, Supervisor};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, Instant};

/// A stopping store ends so long before the platform ends the process by force.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// A stopping store looks this often whether other stores have taken over its shards.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// After its last shard has gone a store still answers for this long: holders of leases report to it.
const DRAIN_LINGER: Duration = Duration::from_millis(300);

/// Serves as a store until a signal asks the process to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(
    settings: Settings,
    file: PathBuf,
    mut signals: Signals,
    mechanisms: Mechanisms,
) -> Result<(), RoleError> {
    let folder = settings.data_dir.clone().ok_or(RoleError::MissingKey { key: "dataDir" })?;
    let internal = internal_address(&settings, InternalPort::Storage);
    // Its bounds are those of `accept_internal`.
    let (events, queue) = unbounded_channel();
    let opened = open_disk(&folder, settings.limits.disk_bytes)?;
    let _acceptor = accept_internal(listen(internal)?, events.clone(), Event::Inbound);
    let grace = settings.bounds.grace;
    let drain = DrainProgress::unknown();
    let supervisor =
        Supervisor { settings, mechanisms, folder, internal, events: events.clone(), drain: drain.clone() };

    let stopped = async {
        signals.wait_for_stop(|| drop(events.send(Event::Reload { file: file.clone() }))).await;
        log::info!("shutting down, handing shards over to other stores");
        drop(events.send(Event::ShutdownRequested));
        let deadline = Instant::now() + grace.saturating_sub(STOP_MARGIN);
        while !drain.is_drained() && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        sleep(DRAIN_LINGER).await;
    };
    tokio::select! {
        () = supervisor.serve(opened, queue) => Ok(()),
        () = stopped => Ok(()),
    }
}
