//! Versions that tell which of two copies of the control state is newer.

use millrudder_protocol::control::WorkerList;

/// Identifies one connection to a core machine; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Version of a list of workers. Versions are ordered by fencing number first, then by count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerListVersion {
    /// Fencing number of the lease under which the list was read.
    pub fencing: u64,
    /// The reader's count of changes.
    pub number: u64,
}

impl WorkerListVersion {
    /// Fencing number of a list that was read while nobody held the lease; below those of all leases.
    pub const WITHOUT_LEASE: u64 = 0;

    /// Whether the list was read while nobody held the lease.
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
    /// Version of the configuration; 0 before the first.
    pub configuration_version: u64,
    /// Epoch of the placement; 0 before the first.
    pub placement_epoch: u64,
    /// Version of the list of workers.
    pub workers: WorkerListVersion,
}
