//! Keeps a store's state served, also after failures of its disk.

use crate::clock;
use crate::error::RoleError;
use crate::logging::LoggedStoreId;
use crate::mechanisms::Mechanisms;
use crate::reopening::reopen;
use crate::storage::disk::OpenedDisk;
use crate::storage::drain::DrainProgress;
use crate::storage::event::Event;
use crate::storage::host::{StoreHost, StoreHostConfig};
use millrudder_protocol::StoreId;
use millrudder_settings::Settings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// What stays the same while the disk is opened anew after a failure.
pub struct Supervisor {
    /// The process's settings.
    pub settings: Settings,
    /// The mechanisms that are on.
    pub mechanisms: Mechanisms,
    /// Where the record log lies.
    pub folder: PathBuf,
    /// Where this store listens for other processes.
    pub internal: SocketAddr,
    /// The queue that the host works through.
    pub events: UnboundedSender<Event>,
    /// How many shards still need this store.
    pub drain: DrainProgress,
}

impl Supervisor {
    /// Serves what is on the disk. When the disk fails, this store ends all its connections, so that others take over its
    /// shards, and starts again from what the disk holds as soon as it takes writes again.
    pub async fn serve(&self, mut opened: OpenedDisk, mut queue: UnboundedReceiver<Event>) {
        loop {
            // Bounded by the commands to the disk's thread: a batch of these gets one report, or few.
            let (reports, mut reported) = unbounded_channel();
            let mut host = StoreHost::new(StoreHostConfig {
                settings: &self.settings,
                mechanisms: self.mechanisms,
                internal: self.internal,
                opened,
                reports,
                events: self.events.clone(),
                drain: self.drain.clone(),
            });
            let ended = host.run(&mut queue, &mut reported).await;
            host.disconnect();
            drop(host);
            let Err(error) = ended else { return };
            log::error!(error:%; "store fenced itself: disk error");
            let (folder, disk_bytes) = (self.folder.clone(), self.settings.limits.disk_bytes);
            let open = move || open_disk(&folder, disk_bytes)?.verify_writable();
            opened = reopen(open, &mut queue, &self.events).await;
        }
    }
}

/// Opens the disk of a store, of which it uses `disk_bytes` at most; an empty one gets an identity.
///
/// # Errors
/// The folder cannot be used, or holds something else.
pub fn open_disk(folder: &Path, disk_bytes: u64) -> Result<OpenedDisk, RoleError> {
    // An identity is never zero.
    let new_id = StoreId(clock::random_seed() | 1);
    let opened = OpenedDisk::open(folder, disk_bytes, new_id)?;
    log::info!(store_id:% = LoggedStoreId(opened.id), records = opened.records.len(); "store opened");
    Ok(opened)
}
