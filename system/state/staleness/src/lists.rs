//! Which list of workers counts at a core machine.

use crate::state::WorkerListVersion;

/// The number of the list that counts; it only grows.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentWorkerList {
    number: WorkerListVersion,
}

impl CurrentWorkerList {
    /// The list that counts.
    pub fn number(&self) -> WorkerListVersion {
        self.number
    }

    /// Takes a list that this machine has read. `lease` is the fencing number under which it may read now: what was
    /// read under a lease that is over does not count, since another machine may have read since.
    pub fn take_own(&mut self, list: WorkerListVersion, lease: Option<u64>) -> bool {
        let is_entitled = list.is_without_lease() || lease == Some(list.fencing);
        is_entitled && self.take_told(list)
    }

    /// Takes a list that another core machine has told. True if it counts from now on.
    pub fn take_told(&mut self, list: WorkerListVersion) -> bool {
        let is_newer = list > self.number;
        if is_newer {
            self.number = list;
        }
        is_newer
    }
}
