//! A process's replica of the control state: which versions it has, and how stale they may be.

use super::connections::ControlLinkConfig;
use super::link::ControlLink;
use super::versions::AdoptedVersions;
use millrudder_clock::Instant;
use millrudder_protocol::control::{ConfigurationText, FromCore, ToCore, WorkerList};
use millrudder_protocol::placement::Placement;
use millrudder_settings::Settings;
use millrudder_staleness::{StalenessChange, StalenessTracker};
use std::path::Path;

/// A part of the control state that a host is to follow.
pub enum ControlUpdate {
    /// A placement of a later epoch.
    Placement(Placement),
    /// A configuration of a higher version.
    Configuration(ConfigurationText),
    /// The list of workers.
    Workers(WorkerList),
    /// The number of dispatchers.
    DispatcherCount(u32),
}

/// Connections to the core, the versions that this process has adopted, and since when these may be outdated.
///
/// Nothing of it is durable: a process that starts has version zero of everything and is sent all.
pub struct ControlReplica {
    link: ControlLink,
    adopted: AdoptedVersions,
    staleness: StalenessTracker,
}

impl ControlReplica {
    /// Starts to connect to core machines; `deliver` gets what they send.
    pub fn start<F>(config: ControlLinkConfig, deliver: F) -> Self
    where
        F: Fn(FromCore) + Clone + 'static,
    {
        ControlReplica {
            link: ControlLink::start(config, deliver),
            adopted: AdoptedVersions::default(),
            staleness: StalenessTracker::default(),
        }
    }

    /// Handles a message of a core machine; returns the part of the state that the host is to follow, if it is newer than
    /// what was adopted. A placement counts as adopted at once, a configuration by [`ControlReplica::adopt_configuration`].
    pub fn handle(&mut self, now: Instant, message: FromCore) -> Option<ControlUpdate> {
        match message {
            FromCore::Placement { placement } if placement.epoch.0 > self.adopted.placement_epoch => {
                self.adopted.placement_epoch = placement.epoch.0;
                self.link.set_adopted(self.adopted);
                Some(ControlUpdate::Placement(placement))
            }
            FromCore::Configuration { configuration }
                if configuration.version > self.adopted.configuration_version =>
            {
                Some(ControlUpdate::Configuration(configuration))
            }
            FromCore::Workers { list } => Some(ControlUpdate::Workers(list)),
            FromCore::DispatcherCount { count } => Some(ControlUpdate::DispatcherCount(count)),
            FromCore::StalenessConfirmed { configuration_version, placement_epoch, sent_at_ms } => {
                let newest = AdoptedVersions { configuration_version, placement_epoch };
                self.handle_confirmation(now, newest, Instant::from_millis(sent_at_ms));
                None
            }
            FromCore::CoreAddresses { addresses } => {
                self.link.add_core_machines(addresses.into_iter().map(|address| address.0));
                None
            }
            FromCore::Placement { .. } | FromCore::Configuration { .. } => None,
            // Handled by the connection.
            FromCore::NoQuorum | FromCore::Redirect => None,
        }
    }

    /// This process follows the configuration of this version from now on.
    pub fn adopt_configuration(&mut self, version: u64) {
        self.adopted.configuration_version = version;
        self.link.set_adopted(self.adopted);
    }

    /// A core machine has confirmed that `newest` was the newest state when this process asked, at `asked_at`. That says
    /// something of the replica only if it has these versions.
    fn handle_confirmation(&mut self, now: Instant, newest: AdoptedVersions, asked_at: Instant) {
        if self.adopted.covers(newest) {
            log_staleness(self.staleness.handle_confirmation(now, asked_at));
        }
    }

    /// Notices that the replica has become stale.
    pub fn poll_staleness(&mut self, now: Instant) {
        log_staleness(self.staleness.poll(now));
    }

    /// True once a core machine has confirmed the replica.
    pub fn was_confirmed(&self) -> bool {
        self.staleness.was_confirmed()
    }

    /// Sends a message to every core machine that is connected.
    pub fn send_all(&self, message: &ToCore) {
        self.link.send_all(message);
    }

    /// Reads the settings again; of these, only the seeds change before the next start.
    pub fn reload(&self, file: &Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.link.set_seeds(settings.seeds);
                log::info!("settings reloaded");
            }
            Err(error) => log::warn!(error:%; "settings not reloaded, the old ones stay active"),
        }
    }
}

fn log_staleness(change: Option<StalenessChange>) {
    match change {
        Some(StalenessChange::Stale { age }) => {
            let elapsed_ms = age.as_millis() as u64;
            log::warn!(elapsed_ms; "control state stale, no core machine has confirmed it");
        }
        Some(StalenessChange::Fresh { stale_for }) => {
            let elapsed_ms = stale_for.as_millis() as u64;
            log::info!(elapsed_ms; "control state fresh again");
        }
        None => {}
    }
}
