//! What the processes write to their logs of the state that they agree on.

use super::{Cluster, ClusterProcess, BOUND};
use millrudder_protocol::StoreId;
use millrudder_system_standins::{eventually, Machine, Role};
use std::net::SocketAddr;

/// Internal ports of storage and core machines, counted from the first free one of the machine.
const STORAGE_PORT: u16 = 1;
const CORE_PORT: u16 = 2;

/// The value of a key in a log line with this message; `None` on other lines.
fn value<'a>(line: &'a str, message: &str, key: &str) -> Option<&'a str> {
    let (_, pairs) = line.split_once(&format!("] {message}"))?;
    let (_, rest) = pairs.split_once(&format!(" {key}="))?;
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split_once('"').map(|(value, _)| value),
        None => rest.split_whitespace().next(),
    }
}

/// A placement of shards that was committed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlacementLine {
    epoch: u64,
    learners: usize,
}

impl PlacementLine {
    fn read(line: &str) -> Option<Self> {
        let epoch = value(line, "placement committed", "epoch")?;
        let learners = value(line, "placement committed", "learners")?;
        Some(PlacementLine { epoch: epoch.parse().ok()?, learners: learners.parse().ok()? })
    }
}

/// A view of the core that was agreed on.
struct ViewLine {
    epoch: u64,
    members: Vec<String>,
}

impl ViewLine {
    fn read(line: &str) -> Option<Self> {
        let epoch = value(line, "core view changed", "view")?;
        let members = value(line, "core view changed", "members")?;
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
            later.any(|line| line.learners > 0)
                && placements.last().is_some_and(|newest| newest.learners == 0)
        });
        assert!(filled.await.is_ok(), "replicas are not filled: {:?}", self.placements());
    }

    /// Waits until all core machines are members of the core's view.
    pub async fn core_is_complete(&self) {
        let machines =
            self.processes_of(Role::Core).into_iter().map(|process| &self.machines[process.machine]);
        let addresses: Vec<String> =
            machines.map(|machine| internal_address(machine, CORE_PORT).to_string()).collect();
        let complete = eventually(BOUND, || {
            let views = self.core_lines(ViewLine::read);
            let newest = views.iter().max_by_key(|view| view.epoch);
            newest.is_some_and(|view| addresses.iter().all(|address| view.members.contains(address)))
        });
        assert!(complete.await.is_ok(), "a core machine is not in the view");
    }

    fn placements(&self) -> Vec<PlacementLine> {
        let mut placements = self.core_lines(PlacementLine::read);
        placements.sort_unstable();
        placements
    }

    /// The identity of a store's disk.
    pub fn store_id(&self, process: ClusterProcess) -> StoreId {
        let lines = self.log_of(process);
        let id = lines.iter().rev().find_map(|line| value(line, "store opened", "store_id"));
        let id = id.and_then(|id| u64::from_str_radix(id, 16).ok());
        StoreId(id.unwrap_or_else(|| panic!("{} does not log its identity", self.name_of(process))))
    }

    /// Where a storage or core process listens for other processes of the system.
    pub fn internal_address_of(&self, process: ClusterProcess) -> SocketAddr {
        let port = if process.role == Role::Core { CORE_PORT } else { STORAGE_PORT };
        internal_address(&self.machines[process.machine], port)
    }

    /// Lines with a text that the dispatchers have written.
    pub fn edge_lines(&self, text: &str) -> usize {
        let logs = self.processes_of(Role::Edge).into_iter().map(|process| self.log_of(process));
        logs.flatten().filter(|line| line.contains(text)).count()
    }

    fn core_lines<T>(&self, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let logs = self.processes_of(Role::Core).into_iter().map(|process| self.log_of(process));
        logs.flatten().filter_map(|line| read(&line)).collect()
    }
}

fn internal_address(machine: &Machine, port: u16) -> SocketAddr {
    let Machine { settings, .. } = machine;
    let ip = settings.ip.to_string().parse().expect("an address");
    SocketAddr::new(ip, settings.ephemeral_ports.first + port)
}
