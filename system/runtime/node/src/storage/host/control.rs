//! Messages of core machines, and heartbeats to them.

use super::StoreHost;
use crate::control_link::AdoptedVersions;
use crate::storage::queue_config::service_rates;
use millrudder_clock::Instant;
use millrudder_configuration::Configuration;
use millrudder_protocol::control::{FromCore, ToCore};
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::StoreId;
use millrudder_queue::Input;
use std::time::Duration;

/// Time between two heartbeats to the core, which takes a store for lost after five that it missed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

impl StoreHost {
    /// Handles a message of a core machine; parts of the state that are not newer than those adopted are dropped.
    pub(super) fn handle_core(&mut self, message: FromCore) {
        let adopted = self.control.adopted();
        match message {
            FromCore::Placement { placement } if placement.epoch.0 > adopted.placement_epoch => {
                self.follow_placement(placement);
            }
            FromCore::Configuration { configuration }
                if configuration.version > adopted.configuration_version =>
            {
                self.control.adopt_configuration(configuration.version);
                self.follow_configuration(&configuration.json);
            }
            FromCore::StalenessConfirmed { configuration_version, placement_epoch, sent_at_ms } => {
                let newest = AdoptedVersions { configuration_version, placement_epoch };
                let asked_at = Instant::from_millis(sent_at_ms);
                self.control.handle_confirmation(self.clock.now(), newest, asked_at);
            }
            FromCore::CoreAddresses { addresses } => self.control.add_core_machines(addresses),
            _ => {}
        }
    }

    fn follow_placement(&mut self, placement: Placement) {
        self.control.adopt_placement(placement.epoch.0);
        self.links.follow(&placement);
        self.catch_up.follow(&placement, self.local_id);
        self.handing_over = shards_handed_over(&placement, self.local_id);
        self.handle(Input::Placement(placement));
        // The core learns at once which shards have gone.
        self.request_heartbeat();
    }

    fn follow_configuration(&mut self, json: &[u8]) {
        match Configuration::from_json(json) {
            Ok(configuration) => self.handle(Input::Rates(service_rates(&configuration))),
            Err(error) => log::error!(error:%; "committed configuration unreadable"),
        }
    }

    /// Sends a heartbeat at the next turn.
    pub(super) fn request_heartbeat(&mut self) {
        self.heartbeat_at = Instant::ORIGIN;
    }

    /// Sends heartbeats and reports to the core, as they are due.
    pub(super) fn poll_heartbeat(&mut self, now: Instant) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        let health = self.node.health(now);
        self.drain.set_remaining(health.primary_shards + self.handing_over);
        self.control.send_all(&ToCore::Heartbeat { health: Some(health) });
        if let Some(shards) = self.catch_up.poll(now) {
            self.control.send_all(&ToCore::LearnerCaughtUp { shards });
        }
        self.control.poll_staleness(now);
    }
}

/// Shards in which another store is being filled to replace `store`.
fn shards_handed_over(placement: &Placement, store: StoreId) -> u32 {
    let leaves = |shard: &&ShardEntry| shard.change.is_some_and(|change| change.leaves == Some(store));
    u32::try_from(placement.shards.iter().filter(leaves).count()).unwrap_or(u32::MAX)
}
