//! Messages of core machines, and heartbeats to them.

use super::StoreHost;
use crate::control_link::ControlUpdate;
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
        match self.control.handle(self.clock.now(), message) {
            Some(ControlUpdate::Placement(placement)) => self.follow_placement(placement),
            Some(ControlUpdate::Configuration(configuration)) => {
                self.control.adopt_configuration(configuration.version);
                self.follow_configuration(&configuration.json);
            }
            Some(ControlUpdate::Workers(_) | ControlUpdate::DispatcherCount(_)) | None => {}
        }
    }

    fn follow_placement(&mut self, placement: Placement) {
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

/// Shards in which another store catches up to replace `store`.
fn shards_handed_over(placement: &Placement, store: StoreId) -> u32 {
    let leaves = |shard: &&ShardEntry| shard.change.is_some_and(|change| change.leaves == Some(store));
    u32::try_from(placement.shards.iter().filter(leaves).count()).unwrap_or(u32::MAX)
}
