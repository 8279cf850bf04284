//! The current worker list of a core machine.

use crate::versions::WorkerListVersion;

/// Tracks the version of the current worker list, which only increases.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentWorkerList {
    version: WorkerListVersion,
}

impl CurrentWorkerList {
    /// Version of the current list.
    pub fn version(&self) -> WorkerListVersion {
        self.version
    }

    /// Offers a list that this machine has read itself; returns whether it becomes the current one.
    ///
    /// `lease` is the fencing number of the lease under which this machine may currently read. A list that was read
    /// under a lease that has ended is rejected, since another machine may have read a newer one since.
    pub fn adopt_own(&mut self, list: WorkerListVersion, lease: Option<u64>) -> bool {
        let is_entitled = list.is_without_lease() || lease == Some(list.fencing);
        is_entitled && self.adopt_received(list)
    }

    /// Offers a list that another core machine has sent; returns whether it becomes the current one.
    pub fn adopt_received(&mut self, list: WorkerListVersion) -> bool {
        let is_newer = list > self.version;
        if is_newer {
            self.version = list;
        }
        is_newer
    }
}
