//! A storage machine: keeps messages on its disk, orders them, grants their delivery.

mod disk;
mod filled;
mod host;
mod links;

use crate::clock;
use crate::error::RoleError;
use crate::listen::{internal_address, listen, InternalPort};
use crate::mechanisms::Mechanisms;
use crate::signals::{Notice, Signals};
use host::{Event, StoreHost};
use millrudder_protocol::store::ToStore;
use millrudder_protocol::StoreId;
use millrudder_queue::ConnectionId;
use millrudder_settings::Settings;
use millrudder_transport::{listener, LinkEvent, Outbox};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, Instant};

/// What a stopping store leaves of the time that the platform gives it.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// How often a stopping store looks whether others have taken its shards and places.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Pauses between tries to use a disk that has failed.
const REOPEN_FIRST: Duration = Duration::from_millis(500);
const REOPEN_LONGEST: Duration = Duration::from_secs(4);
/// After its last shard has gone a store still answers for a moment: holders of leases report to it.
const STOP_LINGER: Duration = Duration::from_millis(300);

/// Serves as a storage machine until told to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: PathBuf, mechanisms: Mechanisms) -> Result<(), RoleError> {
    let folder = settings.data_dir.clone().ok_or(RoleError::MissingKey { key: "dataDir" })?;
    let internal = internal_address(&settings, InternalPort::Storage);
    let mut signals = Signals::new()?;
    let (events, queue) = unbounded_channel();
    let opened = open(&folder, &settings)?;
    accept(listen(internal)?, events.clone());
    let grace = settings.bounds.grace;
    let needed = Rc::new(Cell::new(u32::MAX));
    let machine = Machine {
        settings,
        mechanisms,
        folder,
        internal,
        events: events.clone(),
        needed: Rc::clone(&needed),
    };

    let watched = async {
        loop {
            match signals.next().await {
                Notice::Stop => break,
                Notice::Reload => drop(events.send(Event::Reload { file: file.clone() })),
            }
        }
        log::info!("stopping: shards go to other stores");
        drop(events.send(Event::Leaving));
        let deadline = Instant::now() + grace.saturating_sub(STOP_MARGIN);
        while needed.get() > 0 && Instant::now() < deadline {
            sleep(STOP_LOOK).await;
        }
        sleep(STOP_LINGER).await;
    };
    tokio::select! {
        () = machine.serve(opened, queue) => Ok(()),
        () = watched => Ok(()),
    }
}

fn open(folder: &Path, settings: &Settings) -> Result<disk::Opened, RoleError> {
    let opened = disk::open(folder, settings.limits.disk_bytes, StoreId(clock::seed() | 1))?;
    log::info!("{} records on the disk of store {:x}", opened.records.len(), opened.id.0);
    Ok(opened)
}

/// What stays the same while the disk is opened anew after a failure.
struct Machine {
    settings: Settings,
    mechanisms: Mechanisms,
    folder: PathBuf,
    internal: SocketAddr,
    events: UnboundedSender<Event>,
    /// Shards that this store leads, or hands over to a learner.
    needed: Rc<Cell<u32>>,
}

impl Machine {
    /// Serves what is on the disk. When the disk fails, this store falls silent, so that others take its shards, and
    /// begins afresh with what the disk holds, as soon as it takes writes again.
    async fn serve(&self, mut opened: disk::Opened, mut queue: UnboundedReceiver<Event>) {
        loop {
            let (reports, mut reported) = unbounded_channel();
            let needed = Rc::clone(&self.needed);
            let mut host = StoreHost::new(
                opened,
                &self.settings,
                self.mechanisms,
                self.internal,
                self.events.clone(),
                reports,
                needed,
            );
            let ended = host.run(&mut queue, &mut reported).await;
            host.disconnect();
            drop(host);
            let Err(error) = ended else { return };
            log::error!("this store falls silent: {error}");
            opened = self.reopen().await;
        }
    }

    /// Waits until the disk can be read and takes writes.
    async fn reopen(&self) -> disk::Opened {
        let mut pause = REOPEN_FIRST;
        loop {
            sleep(pause).await;
            pause = (pause * 2).min(REOPEN_LONGEST);
            match open(&self.folder, &self.settings).and_then(disk::Opened::proven) {
                Ok(opened) => return opened,
                Err(error) => log::warn!("the disk cannot be used yet: {error}"),
            }
        }
    }
}

fn accept(listener: TcpListener, events: UnboundedSender<Event>) {
    let mut next = 0;
    tokio::task::spawn_local(listener::accept(listener, move |_peer| {
        next += 1;
        let connection = ConnectionId(next);
        let events = events.clone();
        move |outbox: &Outbox, event: LinkEvent<ToStore>| {
            let outbox = outbox.clone();
            drop(events.send(Event::Inbound { connection, outbox, event }));
        }
    }));
}
