//! Storage machines that are retiring, or have retired.

use crate::command::{Reply, RetireRequest};
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
    /// Retires a machine if enough healthy ones remain. For a machine that is retiring already, adds core processes.
    pub fn retire(&mut self, placement: &Placement, request: &RetireRequest) -> Reply {
        if let Some(core_members) = self.machines.get_mut(&request.name) {
            core_members.extend(request.core_members.iter().copied());
            return Reply::Retiring;
        }
        let is_placed = placement.stores.iter().any(|store| store.name == request.name);
        if !is_placed && !request.is_registered {
            return Reply::RetireUnknownMachine;
        }
        let remains = |name: &&String| **name != request.name && !self.machines.contains_key(*name);
        let remaining: BTreeSet<&String> = request.healthy_machines.iter().filter(remains).collect();
        if remaining.len() < placement.target_replicas() {
            return Reply::RetireTooFewRemain;
        }
        self.machines.insert(request.name.clone(), request.core_members.iter().copied().collect());
        Reply::Retiring
    }

    /// The core processes on a machine; `None` if it is not retiring.
    pub fn core_members(&self, name: &str) -> Option<&BTreeSet<NodeId>> {
        self.machines.get(name)
    }

    /// Names of the machines.
    pub fn names(&self) -> BTreeSet<String> {
        self.machines.keys().cloned().collect()
    }
}
