//! The transport map: the list of workers as discovery tells it.

use serde::{Deserialize, Serialize};

/// A worker, numbered by the transport map.
pub type WorkerId = u32;

/// One line of the transport map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Its name.
    pub name: String,
    /// Its address; `None` where the list gives none that can be used.
    pub address: Option<std::net::SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Its cell.
    pub cell: i64,
    /// Its state.
    pub state: WorkerState,
    /// Its weight.
    pub weight: f64,
    /// Unix time in milliseconds; none: long ago.
    pub started_at: Option<f64>,
}

/// State of a worker by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It takes jobs.
    Active,
    /// It is draining.
    Leaving,
    /// It has left.
    Left,
}

/// A list of workers, or a change of it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListUpdate {
    /// Workers that are not named have left.
    pub whole: bool,
    /// Discovery's number of the map with these changes.
    pub generation: Option<u64>,
    /// Its entries.
    pub entries: Vec<WorkerEntry>,
}
