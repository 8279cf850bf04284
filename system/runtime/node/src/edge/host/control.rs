//! Messages of core machines: placements, configurations, workers, confirmations.

use super::EdgeHost;
use crate::control_link::ControlUpdate;
use crate::edge::active_configuration::ActiveConfiguration;
use millrudder_delivery as delivery;
use millrudder_intake as intake;
use millrudder_protocol::control::FromCore;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::ShardId;
use std::sync::Arc;

impl EdgeHost {
    /// Handles a message of a core machine; parts of the state that are not newer than those adopted are dropped.
    pub(super) fn handle_core(&mut self, message: FromCore) {
        match self.control.handle(self.clock.now(), message) {
            Some(ControlUpdate::Placement(placement)) => self.follow_placement(placement),
            Some(ControlUpdate::Configuration(configuration)) => {
                self.follow_configuration(&configuration.json);
            }
            Some(ControlUpdate::Workers(list)) => self.handle_delivery(delivery::Input::Workers(list)),
            Some(ControlUpdate::DispatcherCount(count)) => {
                self.handle_delivery(delivery::Input::Dispatchers { count });
            }
            None => {}
        }
    }

    fn follow_placement(&mut self, placement: Placement) {
        let before = std::mem::replace(&mut self.placement, placement.clone());
        self.stores.follow(&placement);
        for store in self.stores.open_stores() {
            self.introduce(store);
        }
        for (number, entry) in placement.shards.iter().enumerate() {
            let Ok(number) = u16::try_from(number) else { break };
            let shard = ShardId(number);
            let is_unchanged = before.shard(shard).is_some_and(|old| old.primary == entry.primary);
            if !is_unchanged {
                self.handle_delivery(delivery::Input::Primary { shard, store: entry.primary });
            }
        }
        self.handle_intake(intake::Input::Placement(placement));
    }

    fn follow_configuration(&mut self, json: &[u8]) {
        let configuration = match ActiveConfiguration::from_json(json) {
            Ok(configuration) => Arc::new(configuration),
            Err(error) => {
                log::error!(error:%; "committed configuration unreadable");
                return;
            }
        };
        log::info!(configuration_version = configuration.version(); "configuration applied");
        self.control.adopt_configuration(configuration.version());
        self.configuration.limits.store(Arc::new(configuration.request_limits()));
        self.configuration.active.store(Some(Arc::clone(&configuration)));
        self.handle_delivery(delivery::Input::Services(configuration.services()));
        self.handle_delivery(delivery::Input::Routes(configuration));
    }
}
