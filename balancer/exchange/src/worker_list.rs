//! The worker list as discovery reports it.

use serde::{Deserialize, Serialize};

/// Number of a worker in the core's worker table.
pub type WorkerId = u32;

/// One worker in the worker list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub name: String,
    /// Address; `None` if the list has no usable one.
    pub address: Option<std::net::SocketAddr>,
    /// Name of the zone that it runs in.
    pub zone: String,
    /// Name of its machine type.
    pub kind: String,
    /// Number of its cell, a group of workers that may share the detection of duplicates.
    pub cell: i64,
    /// Life-cycle state.
    pub state: WorkerState,
    /// Relative weight.
    pub weight: f64,
    /// Start of the worker (Unix time, ms); `None` means long ago.
    pub started_at: Option<f64>,
}

/// Life-cycle state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Accepts jobs.
    Active,
    /// Is draining: gets no new jobs.
    Leaving,
    /// Has left the worker list.
    Left,
}

/// A full worker list, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListUpdate {
    /// A full list: workers that are not named have left.
    pub whole: bool,
    /// Discovery's generation number of the list after these changes.
    pub generation: Option<u64>,
    /// All workers, or the changed ones.
    pub entries: Vec<WorkerEntry>,
}
