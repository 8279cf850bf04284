//! The newest list of workers that a core machine knows.

use millrudder_protocol::control::WorkerList;
use millrudder_staleness::{CurrentWorkerList, WorkerListVersion};

/// The list of workers that is sent to dispatchers: this machine's own reading, or the one of another core machine.
///
/// It is not durable: the holder of the controller's lease reads the platform's list again.
#[derive(Default)]
pub struct KnownWorkerList {
    list: WorkerList,
    current: CurrentWorkerList,
}

impl KnownWorkerList {
    /// The list.
    pub fn list(&self) -> &WorkerList {
        &self.list
    }

    /// Adopts a list that this machine has read, if it is newer and was read under the lease that this machine holds
    /// (`lease` is its fencing token) or without any; returns whether it was adopted.
    pub fn adopt_own(&mut self, list: &WorkerList, lease: Option<u64>) -> bool {
        let is_adopted = self.current.adopt_own(WorkerListVersion::from(list), lease);
        if is_adopted {
            self.list = list.clone();
        }
        is_adopted
    }

    /// Adopts a list that another core machine has sent, if it is newer; returns whether it was adopted.
    pub fn adopt_from_peer(&mut self, list: WorkerList) -> bool {
        let is_adopted = self.current.adopt_received(WorkerListVersion::from(&list));
        if is_adopted {
            self.list = list;
        }
        is_adopted
    }
}
