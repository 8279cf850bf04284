//! A worker as the platform lists it.

use crate::address::WorkerAddress;
use millrudder_configuration::ServiceName;
use millrudder_settings::Zone;
use serde::{Deserialize, Deserializer};
use speedy::{Readable, Writable};
use std::time::Duration;

/// Maximum remaining warm-up that is accepted, so that sums stay in range.
const MAX_WARM_UP: Duration = Duration::from_secs(24 * 60 * 60);

/// `state` of a worker that takes requests.
const READY: &str = "ready";

millrudder_names::text_types! {
    /// Identity of a worker; each start has a new one.
    pub struct InstanceId;

    /// Version of a worker's software.
    pub struct SoftwareVersion;
}

/// Whether a worker takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum InstanceState {
    /// It takes requests.
    Ready,
    /// It shuts down and must get no more requests. Unknown states are read as this one.
    Draining,
}

impl<'de> Deserialize<'de> for InstanceState {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let state = String::deserialize(deserializer)?;
        Ok(if state == READY { Self::Ready } else { Self::Draining })
    }
}

/// A worker in the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Readable, Writable)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its identity.
    #[serde(rename = "instanceId")]
    pub id: InstanceId,
    /// Its service.
    #[serde(rename = "backend", deserialize_with = "service")]
    pub service: ServiceName,
    /// Where it listens.
    pub address: WorkerAddress,
    /// Its zone.
    pub zone: Zone,
    /// Version of its software; empty if not listed.
    #[serde(default)]
    pub version: SoftwareVersion,
    /// Requests that it handles at one time; at least 1.
    #[serde(default = "min_capacity", deserialize_with = "capacity")]
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: InstanceState,
    /// Remaining time, from the reading of the list, for which it is warming up after its start.
    #[serde(rename = "coldLeftMs", default, deserialize_with = "warm_up_left")]
    pub warm_up_left: Duration,
}

fn service<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ServiceName, D::Error> {
    String::deserialize(deserializer).map(ServiceName::from)
}

fn min_capacity() -> u32 {
    1
}

fn capacity<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let capacity = u32::deserialize(deserializer)?;
    Ok(capacity.max(min_capacity()))
}

fn warm_up_left<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let milliseconds = f64::deserialize(deserializer)?;
    let left = Duration::try_from_secs_f64(milliseconds.max(0.0) / 1_000.0).unwrap_or(MAX_WARM_UP);
    Ok(left.min(MAX_WARM_UP))
}
