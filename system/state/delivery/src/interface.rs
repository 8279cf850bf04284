//! Interface of the delivery state machine: its inputs and outputs and the types they consist of, without any logic.
//!
//! Times are milliseconds on the caller's steady clock.

use crate::barriers::BarrierNumber;
use millrudder_protocol::control::WorkerList;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{FromDispatcher, ServiceCredit};
use millrudder_protocol::{Address, LeaseToken, MessageId, ShardId, StoreId};
use std::sync::Arc;

/// Identifies one attempt to send a message to a worker or a call-back to its receiver. An instance of [`Delivery`]
/// never uses one twice.
///
/// [`Delivery`]: crate::Delivery
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Configuration of an instance, set once when it is created.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// This dispatcher's zone.
    pub zone: String,
    /// Seed of all random choices; differs between dispatchers.
    pub seed: u64,
    /// Assumed number of dispatchers that share the workers, until [`Input::Dispatchers`] replaces it. Limits the
    /// connections to each worker.
    pub dispatchers: u32,
    /// Price of sending a message into another zone, as a share of its worth.
    pub cross_zone_price: f64,
}

/// Number of dispatchers assumed by default: no dispatcher uses more than about a quarter of a worker's connections.
const DISPATCHERS_ASSUMED: u32 = 4;

impl Default for Configuration {
    fn default() -> Self {
        Configuration {
            zone: String::new(),
            seed: 0,
            dispatchers: DISPATCHERS_ASSUMED,
            cross_zone_price: 0.01,
        }
    }
}

/// A service in the active configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of the health check at its workers.
    pub health_path: String,
    /// Number of connections that one worker of the service accepts from all callers together.
    pub max_connections: u32,
    /// Rate limit in messages per second, for all dispatchers together; 0: none.
    pub rate_per_s: f64,
    /// Address of its only worker, if its workers are not in the worker list.
    pub static_endpoint: Option<Address>,
    /// Whether a message may run more than once without harm.
    pub idempotent: bool,
}

/// Where messages of a route are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Name of the service.
    pub service: Arc<str>,
    /// Time-out of one attempt to deliver, in milliseconds.
    pub timeout_ms: u64,
}

/// The routes of the active configuration.
pub trait Resolve: Send + Sync {
    /// Finds the route of a message by the `Host` and the path (with its query) of its request.
    fn resolve(&self, host: &str, path: &str) -> Option<ResolvedRoute>;
}

/// Load that a worker reports in `X-Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests in the worker's queue.
    pub waiting: u32,
    /// Requests that can run at one time.
    pub slots: u32,
}

/// A worker's answer that repeats the message's `X-Request-Id`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `X-Response-Signature`.
    pub signature: Option<String>,
    /// The answer has the header `X-Not-Executed`.
    pub not_executed: bool,
    /// Load of the worker, if it reported one.
    pub load: Option<Load>,
    /// The whole body arrived.
    pub complete: bool,
    /// Time from the send to the end of the answer, in milliseconds.
    pub elapsed_ms: u64,
}

/// Result of an attempt to deliver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The worker answered.
    Answer(Answer),
    /// No connection could be opened.
    NotConnected,
    /// The connection was closed before any byte of the request was sent.
    ResetBeforeSent,
    /// The connection was closed after a part of the request was sent, and before the head of an answer was complete.
    Reset,
    /// A time-out of [`Output::Send`] expired.
    TimedOut {
        /// `true`: `answer_timeout_ms` expired. `false`: `connect_timeout_ms` expired, and nothing was sent.
        connected: bool,
    },
    /// The received data is no valid answer to this message.
    InvalidResponse,
}

/// Result of an attempt to call back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBackResult {
    /// The receiver answered.
    Answer {
        /// HTTP status.
        status: u16,
    },
    /// The connection was closed without an answer, as a receiver with too many connections does.
    Reset,
    /// There was no connection, no answer in time, or no valid answer.
    Failed,
}

/// An event that the caller passes to the state machine.
#[derive(Clone)]
pub enum Input {
    /// All services of the active configuration. Must precede the [`Input::Routes`] that name them.
    Services(Vec<Service>),
    /// The routes of the active configuration.
    Routes(Arc<dyn Resolve>),
    /// The platform's worker list; ignored if it is older than the last one.
    Workers(WorkerList),
    /// The number of dispatchers that share the workers has changed.
    Dispatchers {
        /// The new number.
        count: u32,
    },
    /// A shard has a new primary, which reports on the shard's messages are sent to from now on.
    Primary { shard: ShardId, store: StoreId },
    /// A new connection to a store is ready: reports that it has not recorded yet are sent again.
    Connected { store: StoreId },
    /// A store granted the lease of a message (`Deliver`); the body is present.
    Deliver {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        /// Time since the message was received, in milliseconds.
        age_ms: u64,
        /// Attempts that have failed before.
        failed_attempts: u32,
        message: Arc<Message>,
    },
    /// A store granted the lease of a call-back (`CallBack`).
    CallBack {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        /// How the message ended.
        end: End,
        message: Arc<Message>,
    },
    /// A store revoked a lease: an attempt that has not started must not start.
    Revoke { store: StoreId, id: MessageId, token: LeaseToken },
    /// A store has recorded the end of a lease.
    Recorded { id: MessageId, token: LeaseToken },
    /// Result of [`Output::Send`]. Passed once; after [`Output::CancelAttempt`] only if there is a result.
    AttemptEnded { attempt: AttemptId, result: AttemptResult },
    /// Result of [`Output::SendCallBack`]; passed once.
    CallBackResult { attempt: AttemptId, result: CallBackResult },
    /// The machine was suspended, and its steady clock with it: leases granted before may have been granted to other
    /// dispatchers since.
    ClockStalled,
    /// A store has answered [`Output::Barrier`].
    BarrierReached { store: StoreId, number: BarrierNumber },
    /// The process is to stop (SIGTERM): messages that have not been sent are given back, attempts in flight go on.
    ShuttingDown,
    /// The deadline of [`Delivery::next_deadline`](crate::Delivery::next_deadline) is reached.
    Tick,
}

/// The worker that an attempt goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub address: Address,
    /// Value of `X-Expect-Instance`; `None` for a static endpoint.
    pub instance_id: Option<String>,
    /// Maximum number of connections from this dispatcher to the worker at one time.
    pub max_connections: u32,
}

/// Field `state` in the body of a call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBackState {
    Completed,
    DeadLetter,
}

/// The fields of a call-back's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallBackBody {
    /// Field `instanceId`: the id of the message's request.
    pub instance_id: String,
    pub state: CallBackState,
    /// The worker's signature; empty for a dead letter.
    pub signature: String,
}

/// A parsed call-back URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallBackUrl {
    pub address: Address,
    /// Path with its query.
    pub path: String,
}

/// An action that the caller carries out. Outputs must be carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the message to the worker now, and only once. The result is passed in as [`Input::AttemptEnded`].
    Send {
        attempt: AttemptId,
        message: Arc<Message>,
        worker: Target,
        /// Time-out for opening a connection, in milliseconds.
        connect_timeout_ms: u64,
        /// Time-out for the worker, in milliseconds: the value of `X-Deadline-Ms`.
        timeout_ms: u64,
        /// Time-out from now to the end of the answer, in milliseconds. A little longer than the worker's, so that
        /// answers that are sent just in time are still read.
        answer_timeout_ms: u64,
    },
    /// Send the call-back to the receiver now, and only once. The result is passed in as [`Input::CallBackResult`].
    SendCallBack {
        attempt: AttemptId,
        url: CallBackUrl,
        body: CallBackBody,
        /// Time-out from now to the end of the answer, in milliseconds.
        timeout_ms: u32,
    },
    /// Send the message to the store, if it is connected.
    Report { store: StoreId, message: FromDispatcher },
    /// Send a barrier to the store on the current connection. The store answers it after everything that it has sent
    /// before.
    Barrier { store: StoreId, number: BarrierNumber },
    /// Close the idle connections to a worker that is draining or gone.
    CloseIdle { address: Address },
    /// Send the limits to every store; a store that connects gets [`Delivery::credits`](crate::Delivery::credits).
    /// A limit of 0 means that this dispatcher shuts down.
    Credits { credits: Vec<ServiceCredit> },
    /// The answer is not awaited any more: close the connection.
    CancelAttempt { attempt: AttemptId },
}
