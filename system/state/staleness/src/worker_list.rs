//! The list of workers that is in force at a core machine.

use crate::versions::WorkerListVersion;

/// Version of the list in force; it only rises.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentWorkerList {
    version: WorkerListVersion,
}

impl CurrentWorkerList {
    /// Version of the list in force.
    pub fn version(&self) -> WorkerListVersion {
        self.version
    }

    /// Takes a list that this machine has read itself. True if it is in force from now on.
    ///
    /// `lease` is the fencing number under which this machine may read at present. A list that was read under a lease
    /// that has ended is rejected, since another machine may have read since.
    pub fn adopt_own(&mut self, list: WorkerListVersion, lease: Option<u64>) -> bool {
        let is_entitled = list.is_without_lease() || lease == Some(list.fencing);
        is_entitled && self.adopt_received(list)
    }

    /// Takes a list that another core machine has sent. True if it is in force from now on.
    pub fn adopt_received(&mut self, list: WorkerListVersion) -> bool {
        let is_newer = list > self.version;
        if is_newer {
            self.version = list;
        }
        is_newer
    }
}
