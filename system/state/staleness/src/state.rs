//! Numbers that tell which of two copies of the control state is newer.

use millrudder_protocol::control::WorkerList;

/// One connection to a core machine; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Number of a list of workers: the fencing number of its reader's lease, then the reader's count of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerListVersion {
    pub fencing: u64,
    pub number: u64,
}

impl WorkerListVersion {
    /// Below every fencing number of a lease: a list that was read while nobody held one.
    pub const WITHOUT_LEASE: u64 = 0;

    /// Whether it was read while nobody held a lease.
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
    /// 0 before the first configuration.
    pub configuration_version: u64,
    /// 0 before the first placement.
    pub placement_epoch: u64,
    pub workers: WorkerListVersion,
}
