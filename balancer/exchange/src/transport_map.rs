//! The transport map: the list of workers as discovery tells it.

use serde::{Deserialize, Serialize};

/// A worker, numbered by the transport map.
pub type HopId = u32;

/// One line of the transport map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapEntry {
    pub name: String,
    pub address: Option<std::net::SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: i64,
    pub state: HopState,
    pub weight: f64,
    /// Unix time in milliseconds; none: long ago.
    pub started_at: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HopState {
    Active,
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MapNews {
    pub whole: bool,
    /// Discovery's number of the map with these changes.
    pub generation: Option<u64>,
    pub entries: Vec<MapEntry>,
}
