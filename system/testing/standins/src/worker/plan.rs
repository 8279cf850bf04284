//! What a worker is like.

use super::{Behaviour, IdempotentTable};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::script::Script;
use bytes::Bytes;

/// What a worker is like.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// The service it belongs to.
    pub service: ServiceName,
    /// This incarnation; every start has its own.
    pub instance: InstanceId,
    /// Where it runs.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: String,
    /// Messages it runs at a time.
    pub capacity: usize,
    /// Messages that may wait for a slot.
    pub queue: usize,
    /// Connections it accepts; those beyond are reset.
    pub max_connections: usize,
    /// The path of its health checks.
    pub health_path: String,
    /// Idle connections are closed after so many seconds, which `Keep-Alive` tells; `None` keeps them open.
    pub keep_alive_seconds: Option<u32>,
    /// Whether its answers carry `X-Server-Load`.
    pub tells_load: bool,
    /// Whether a run goes on after its connection has closed.
    pub runs_on_after_close: bool,
    /// The table it shares with the other workers of an idempotent service.
    pub idempotent: Option<IdempotentTable>,
    /// Deliveries a second beyond which it answers 429; 0 means no limit.
    pub rate_per_second: f64,
    /// The body of a success.
    pub answer_body: Bytes,
    /// Which behaviour each delivery meets; workers that are started with clones share it.
    pub script: Script<Behaviour>,
}

impl WorkerPlan {
    /// A worker with the figures of a middling one, in the zone `zone-1`.
    pub fn new(service: impl Into<ServiceName>, instance: impl Into<InstanceId>) -> Self {
        Self {
            service: service.into(),
            instance: instance.into(),
            zone: ZoneName::from("zone-1"),
            version: "v1".to_owned(),
            capacity: 4,
            queue: 2,
            max_connections: 64,
            health_path: "/health".to_owned(),
            keep_alive_seconds: None,
            tells_load: true,
            runs_on_after_close: false,
            idempotent: None,
            rate_per_second: 0.0,
            answer_body: Bytes::from_static(b"the whole answer of the worker"),
            script: Script::default(),
        }
    }
}
