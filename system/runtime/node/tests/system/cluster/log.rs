//! What the core machines tell in their logs of the state that they agree on.

use super::{Cluster, Part, BOUND};
use millrudder_protocol::StoreId;
use millrudder_system_standins::{eventually, Machine, Role};

/// Internal port of core machines, counted from the first free one of the machine.
const CORE_PORT: u16 = 2;

/// A placement of shards that came into force.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlacementLine {
    epoch: u64,
    replicas_to_fill: usize,
}

impl PlacementLine {
    fn read(line: &str) -> Option<Self> {
        let (_, rest) = line.split_once("placement ")?;
        let (epoch, rest) = rest.split_once(" is in force, ")?;
        let (replicas, _) = rest.split_once(" replicas are being filled")?;
        Some(PlacementLine { epoch: epoch.parse().ok()?, replicas_to_fill: replicas.parse().ok()? })
    }
}

/// A view of the core that came into force.
struct ViewLine {
    epoch: u64,
    members: Vec<String>,
}

impl ViewLine {
    fn read(line: &str) -> Option<Self> {
        let (_, rest) = line.split_once("view ")?;
        let (epoch, members) = rest.split_once(" of the core: ")?;
        let members = members.split_whitespace().map(str::to_owned).collect();
        Some(ViewLine { epoch: epoch.parse().ok()?, members })
    }
}

impl Cluster {
    /// Epoch of the newest placement.
    pub fn placement(&self) -> u64 {
        self.placements().last().map_or(0, |newest| newest.epoch)
    }

    /// Waits until replicas on an empty disk have joined after a placement, and all are filled.
    pub async fn fills_replicas(&self, after: u64) {
        let filled = eventually(BOUND, || {
            let placements = self.placements();
            let mut later = placements.iter().filter(|line| line.epoch > after);
            later.any(|line| line.replicas_to_fill > 0)
                && placements.last().is_some_and(|newest| newest.replicas_to_fill == 0)
        });
        assert!(filled.await.is_ok(), "replicas are not filled: {:?}", self.placements());
    }

    /// Waits until all core machines are members of the core's view.
    pub async fn core_is_whole(&self) {
        let machines = self.parts_of(Role::Core).into_iter().map(|part| &self.machines[part.machine]);
        let addresses: Vec<String> = machines.map(internal_address).collect();
        let whole = eventually(BOUND, || {
            let views = self.core_lines(ViewLine::read);
            let newest = views.iter().max_by_key(|view| view.epoch);
            newest.is_some_and(|view| addresses.iter().all(|address| view.members.contains(address)))
        });
        assert!(whole.await.is_ok(), "a core machine is not in the view");
    }

    fn placements(&self) -> Vec<PlacementLine> {
        let mut placements = self.core_lines(PlacementLine::read);
        placements.sort_unstable();
        placements
    }

    /// The identity of a store's disk.
    pub fn store_id(&self, part: Part) -> StoreId {
        let lines = self.log_of(part);
        let id = lines.iter().rev().find_map(|line| line.split_once(" on the disk of store "));
        let id = id.and_then(|(_, id)| u64::from_str_radix(id.trim(), 16).ok());
        StoreId(id.unwrap_or_else(|| panic!("{} does not tell its identity", self.name_of(part))))
    }

    /// Lines with a text that the dispatchers have written.
    pub fn edge_lines(&self, text: &str) -> usize {
        let logs = self.parts_of(Role::Edge).into_iter().map(|part| self.log_of(part));
        logs.flatten().filter(|line| line.contains(text)).count()
    }

    fn core_lines<T>(&self, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let logs = self.parts_of(Role::Core).into_iter().map(|part| self.log_of(part));
        logs.flatten().filter_map(|line| read(&line)).collect()
    }
}

fn internal_address(machine: &Machine) -> String {
    format!("{}:{}", machine.settings.ip, machine.settings.ephemeral_ports.first + CORE_PORT)
}
