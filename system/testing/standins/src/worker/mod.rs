//! A worker on loopback that runs messages and misbehaves as scripted.

mod behaviour;
mod delivery;
mod idempotency;
mod plan;
mod slots;

pub use behaviour::{Behaviour, NotExecuted};
pub use idempotency::IdempotentTable;
pub use plan::WorkerPlan;

use crate::arrival_log::ArrivalLog;
use crate::gate::Gate;
use crate::identity::InstanceId;
use crate::platform::{Instance, InstanceState};
use crate::rate::RateLimit;
use crate::script::Script;
use crate::server::{any_port, Server, ServerLimits};
use slots::Slots;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a worker answers to health checks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerHealth {
    /// 200.
    #[default]
    Well,
    /// 503: it is draining or failing. Deliveries are served nevertheless.
    Unwell,
}

/// What the connections of a worker share.
struct WorkerState {
    plan: WorkerPlan,
    arrival_log: ArrivalLog,
    work_gate: Gate,
    answer_gate: Gate,
    slots: Slots,
    rate: Mutex<RateLimit>,
    health: Mutex<WorkerHealth>,
}

/// A running worker. It ends, with all its connections, when it is dropped: that is how a test crashes it.
pub struct Worker {
    state: Arc<WorkerState>,
    server: Server,
}

impl Worker {
    /// Starts a worker on a free port of loopback.
    ///
    /// # Errors
    /// If the port cannot be opened.
    pub async fn start(plan: WorkerPlan, arrival_log: ArrivalLog) -> io::Result<Self> {
        Self::start_at(any_port(), plan, arrival_log).await
    }

    /// Starts a worker at an address, such as one that another worker has left.
    ///
    /// # Errors
    /// If the address cannot be opened.
    pub async fn start_at(
        address: SocketAddr,
        plan: WorkerPlan,
        arrival_log: ArrivalLog,
    ) -> io::Result<Self> {
        let limits = ServerLimits {
            max_connections: plan.max_connections,
            keep_alive: plan.keep_alive_seconds.map(|seconds| Duration::from_secs(seconds.into())),
        };
        let state = Arc::new(WorkerState {
            work_gate: Gate::new(),
            answer_gate: Gate::new(),
            slots: Slots::new(plan.capacity, plan.queue),
            rate: Mutex::new(RateLimit::new(plan.rate_per_second)),
            health: Mutex::default(),
            plan,
            arrival_log,
        });
        let server = Server::start(address, limits, state.clone()).await?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its incarnation.
    pub fn instance(&self) -> &InstanceId {
        &self.state.plan.instance
    }

    /// Which behaviour each delivery meets.
    pub fn script(&self) -> &Script<Behaviour> {
        &self.state.plan.script
    }

    /// Work ends only past this gate.
    pub fn work_gate(&self) -> &Gate {
        &self.state.work_gate
    }

    /// Late and second answers are sent only past this gate.
    pub fn answer_gate(&self) -> &Gate {
        &self.state.answer_gate
    }

    /// What it answers to health checks from now on.
    pub fn set_health(&self, health: WorkerHealth) {
        *self.state.health.lock().unwrap_or_else(PoisonError::into_inner) = health;
    }

    /// Messages that run now.
    pub fn running(&self) -> usize {
        self.state.slots.load().running
    }

    /// Messages that wait for a slot now.
    pub fn waiting(&self) -> usize {
        self.state.slots.load().waiting
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }

    /// Connections it has taken since its start.
    pub fn accepted_connections(&self) -> usize {
        self.server.accepted_connections()
    }

    /// Connections it has reset because there were too many.
    pub fn refused_connections(&self) -> usize {
        self.server.refused_connections()
    }

    /// Closes the connections that are idle now, and the busy ones after their answer.
    pub fn close_idle_connections(&self) {
        self.server.close_idle_connections();
    }

    /// How the platform's list shows it.
    pub fn listed(&self) -> Instance {
        let plan = &self.state.plan;
        Instance {
            instance_id: plan.instance.clone(),
            backend: plan.service.clone(),
            address: self.address(),
            zone: plan.zone.clone(),
            version: plan.version.clone(),
            capacity: plan.capacity,
            state: InstanceState::Ready,
            cold_left_ms: 0,
        }
    }
}
