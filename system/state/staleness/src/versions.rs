//! Versions that determine which of two copies of the control state is newer.

use millrudder_protocol::control::WorkerList;

/// Identifies a connection to a core machine; IDs are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Version of a list of workers. Versions are ordered by fencing number first, then by count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerListVersion {
    /// Fencing number of the lease under which the list was read.
    pub fencing: u64,
    /// Number of changes that the reader has counted under this lease.
    pub number: u64,
}

impl WorkerListVersion {
    /// Fencing number of a list that was read while no machine held the lease. It is lower than that of any lease.
    pub const WITHOUT_LEASE: u64 = 0;

    /// Whether the list was read while no machine held the lease.
    pub fn is_without_lease(&self) -> bool {
        self.fencing == WorkerListVersion::WITHOUT_LEASE
    }
}

impl From<&WorkerList> for WorkerListVersion {
    fn from(list: &WorkerList) -> WorkerListVersion {
        WorkerListVersion { fencing: list.fencing, number: list.number }
    }
}

/// Versions of the parts of the control state that one process has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateVersions {
    /// Version of the configuration; 0 if there is none yet.
    pub configuration_version: u64,
    /// Epoch of the placement; 0 if there is none yet.
    pub placement_epoch: u64,
    /// Version of the list of workers.
    pub workers: WorkerListVersion,
}
