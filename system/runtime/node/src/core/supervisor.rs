//! Keeps a core machine's state served, also after failures of its disk.

use crate::core::bootstrap::{find_founders, make_node, spawn_founder_watch, spawn_seed_watch, Founders};
use crate::core::event::Event;
use crate::core::host::{CoreHost, CoreHostConfig};
use crate::core::journal::{JournalReport, OpenedJournal};
use crate::error::RoleError;
use crate::reopening::reopen;
use millrudder_settings::Settings;
use millrudder_system_http::client::{Client, ClientLimits};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// What stays the same while the state is opened anew after a failure of the disk.
pub struct Supervisor {
    settings: Settings,
    folder: PathBuf,
    internal: SocketAddr,
    events: UnboundedSender<Event>,
    client: Client,
}

impl Supervisor {
    /// A core machine with its state in `folder`, which other processes reach at `internal`.
    pub fn new(
        settings: Settings,
        folder: PathBuf,
        internal: SocketAddr,
        events: UnboundedSender<Event>,
    ) -> Self {
        Supervisor { settings, folder, internal, events, client: Client::new(ClientLimits::default()) }
    }

    /// Serves the state on the disk. When the disk fails, this machine ends all its connections, and starts again from what
    /// the disk holds as soon as it takes writes again.
    ///
    /// # Errors
    /// The state on the disk cannot be used.
    pub async fn serve(
        &self,
        mut opened: OpenedJournal,
        mut queue: UnboundedReceiver<Event>,
    ) -> Result<(), RoleError> {
        loop {
            // Bounded by the commands to the disk's thread: a batch of these gets one report, or few.
            let (reports, mut reported) = unbounded_channel();
            let (mut host, founders) = self.make_host(opened, reports).await?;
            let seeds = self.settings.seeds.clone();
            let founder_watch =
                spawn_founder_watch(self.client.clone(), seeds, founders, self.events.clone());
            let seed_watch = spawn_seed_watch(self.client.clone(), host.seeds(), self.events.clone());
            let ended = host.run(&mut queue, &mut reported).await;
            drop((founder_watch, seed_watch));
            host.disconnect();
            // With it go the connections that this machine has opened: others must not take it for one that takes part.
            drop(host);
            let Err(error) = ended else { return Ok(()) };
            log::error!(error:%; "core machine fenced itself: disk error");
            let folder = self.folder.clone();
            let open = move || OpenedJournal::open(&folder)?.verify_writable();
            opened = reopen(open, &mut queue, &self.events).await;
        }
    }

    async fn make_host(
        &self,
        mut opened: OpenedJournal,
        reports: UnboundedSender<JournalReport>,
    ) -> Result<(CoreHost, Founders), RoleError> {
        let has_view = opened.state.as_ref().is_some_and(|state| state.view().is_some());
        let founders = match self.settings.bootstrap && !has_view {
            true => find_founders(&self.client, &self.settings.seeds).await,
            false => Founders::default(),
        };
        let node = make_node(&self.settings, self.internal, opened.state.take(), &founders)?;
        let mut host = CoreHost::new(CoreHostConfig {
            node,
            settings: self.settings.clone(),
            internal: self.internal,
            journal: opened.start(reports),
            client: self.client.clone(),
            events: self.events.clone(),
        });
        host.connect(&founders.found);
        Ok((host, founders))
    }
}
