//! Storage machines that are to be emptied, or were.

use crate::command::{Reply, RetireOrder};
use millrudder_chain::NodeId;
use millrudder_protocol::placement::Placement;
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};

/// Machines by `nodeName`, each with the core processes on it. A name stays: its machine never gets shards again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Retirements {
    machines: BTreeMap<String, BTreeSet<NodeId>>,
}

impl Retirements {
    pub fn begin(&mut self, placement: &Placement, order: &RetireOrder) -> Reply {
        if let Some(core) = self.machines.get_mut(&order.name) {
            core.extend(order.core.iter().copied());
            return Reply::Retiring;
        }
        let has_place = placement.stores.iter().any(|store| store.name == order.name);
        if !has_place && !order.is_known {
            return Reply::RetireUnknown;
        }
        let stays = |name: &&String| **name != order.name && !self.machines.contains_key(*name);
        let remaining: BTreeSet<&String> = order.well.iter().filter(stays).collect();
        if remaining.len() < placement.target_replicas() {
            return Reply::RetireTooFew;
        }
        self.machines.insert(order.name.clone(), order.core.iter().copied().collect());
        Reply::Retiring
    }

    pub fn core_of(&self, name: &str) -> Option<&BTreeSet<NodeId>> {
        self.machines.get(name)
    }

    pub fn names(&self) -> BTreeSet<String> {
        self.machines.keys().cloned().collect()
    }
}
