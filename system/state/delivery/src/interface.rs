//! What goes in and out of the delivery: inputs, outputs and their parts. Nothing here decides.
//!
//! Times are milliseconds on the caller's steady clock.

use crate::barriers::BarrierNumber;
use millrudder_protocol::control::WorkerList;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{FromDispatcher, ServiceCredit};
use millrudder_protocol::{Address, LeaseToken, MessageId, ShardId, StoreId};
use std::sync::Arc;

/// One try to send a message to a worker or a call-back to its receiver; never used again by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What an instance is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// This dispatcher's zone.
    pub zone: String,
    /// Of all random choices; different in each dispatcher.
    pub seed: u64,
    /// Dispatchers that share the workers, as far as known; [`Input::Dispatchers`] replaces it. Bounds the connections
    /// to each worker.
    pub dispatchers: u32,
    /// Price of sending a message into another zone, as a share of its worth.
    pub cross_zone_price: f64,
}

/// Where nobody tells: no dispatcher uses more than about a quarter of a worker's connections.
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

/// A service, as the configuration in force has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    /// Connections that one of its workers accepts from all callers.
    pub max_connections: u32,
    /// Common ceiling over all dispatchers, messages a second; 0: none.
    pub rate_per_s: f64,
    /// Its one worker, where it is on no list.
    pub static_endpoint: Option<Address>,
    /// Repeats of a message are harmless.
    pub idempotent: bool,
}

/// Where messages on a route go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Name of the service.
    pub service: Arc<str>,
    /// Of one attempt to deliver.
    pub timeout_ms: u32,
}

/// The routes in force.
pub trait Resolve: Send + Sync {
    /// The route of a message by the `Host` and the path (with its query) of its request.
    fn resolve(&self, host: &str, path: &str) -> Option<ResolvedRoute>;
}

/// A worker's `X-Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// A worker's answer; it repeated the message's `X-Request-Id`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// `X-Response-Signature`.
    pub signature: Option<String>,
    /// `X-Not-Executed` was there.
    pub not_executed: bool,
    pub load: Option<Load>,
    /// The whole body arrived.
    pub complete: bool,
    /// From the send to the answer's end.
    pub elapsed_ms: u32,
}

/// How an attempt to deliver ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Answer(Answer),
    /// No connection could be had.
    NotConnected,
    /// The connection was closed before one byte of the request left.
    ResetBeforeSent,
    /// The connection was closed after that, without a whole head of an answer.
    Reset,
    /// `answer_timeout_ms` is over (`connected`), or the time for a connection is (`!connected`: nothing was sent).
    TimedOut {
        connected: bool,
    },
    /// What came is no answer to this message.
    InvalidResponse,
}

/// How an attempt to call back ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBackResult {
    Answer {
        status: u16,
    },
    /// The connection was closed without an answer, as by a receiver that has too many of them.
    Reset,
    /// No answer: no connection, silence, what is no answer.
    Failed,
}

/// What happened.
#[derive(Clone)]
pub enum Input {
    /// All services of the configuration in force. Comes before the [`Input::Routes`] that name them.
    Services(Vec<Service>),
    /// The routes of the configuration in force.
    Routes(Arc<dyn Resolve>),
    /// The platform's list; an older one than the last is ignored.
    Workers(WorkerList),
    /// How many dispatchers share the workers now.
    Dispatchers {
        count: u32,
    },
    /// Whom to report to about messages of a shard from now on.
    Primary {
        shard: ShardId,
        store: StoreId,
    },
    /// A new connection to a store is ready: what it did not record yet is told again.
    Connected {
        store: StoreId,
    },
    /// A store's `Deliver`, with the body.
    Deliver {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        age_ms: u64,
        failed_attempts: u32,
        message: Arc<Message>,
    },
    /// A store's `CallBack`.
    CallBack {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        end: End,
        message: Arc<Message>,
    },
    Revoke {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
    },
    Recorded {
        id: MessageId,
        token: LeaseToken,
    },
    /// Answers [`Output::Send`], once; also after [`Output::CancelAttempt`], if it is known.
    AttemptEnded {
        attempt: AttemptId,
        result: AttemptResult,
    },
    /// Answers [`Output::SendCallBack`], once.
    CallBackResult {
        attempt: AttemptId,
        result: CallBackResult,
    },
    /// The machine stood still, its steady clock with it: what was granted before may be others' by now.
    ClockStalled,
    /// A store has answered [`Output::Barrier`].
    BarrierReached {
        store: StoreId,
        number: BarrierNumber,
    },
    /// SIGTERM: what has not been sent is given back, what is out goes on.
    ShuttingDown,
    /// The deadline is there.
    Tick,
}

/// The worker that an attempt goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub address: Address,
    /// For `X-Expect-Instance`; none at a static endpoint.
    pub instance_id: Option<String>,
    /// Connections that this dispatcher may have there at one time.
    pub max_connections: u32,
}

/// `state` in the body of a call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBackState {
    Completed,
    DeadLetter,
}

/// The fields of a call-back's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallBackBody {
    /// `instanceId`: the request's id.
    pub instance_id: String,
    pub state: CallBackState,
    /// Empty for a dead letter.
    pub signature: String,
}

/// A call-back URL, taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallBackUrl {
    pub address: Address,
    /// With its query.
    pub path: String,
}

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the message to the worker now, once; the end is told as [`Input::AttemptEnded`].
    Send {
        attempt: AttemptId,
        message: Arc<Message>,
        worker: Target,
        /// For a connection.
        connect_timeout_ms: u32,
        /// `X-Deadline-Ms`.
        timeout_ms: u32,
        /// From now to the end of the answer: a little longer than the worker has, so that its last answers are read.
        answer_timeout_ms: u32,
    },
    SendCallBack {
        attempt: AttemptId,
        url: CallBackUrl,
        body: CallBackBody,
        timeout_ms: u32,
    },
    /// Send to the store, if it is connected.
    Report {
        store: StoreId,
        message: FromDispatcher,
    },
    /// Ask the store for an answer on the connection there is now, which it gives after all that it has sent before.
    Barrier {
        store: StoreId,
        number: BarrierNumber,
    },
    /// Close the idle connections to a worker that drains or is gone.
    CloseIdle {
        address: Address,
    },
    /// Send to every store; one that connects gets [`Delivery::credits`](crate::Delivery::credits). A limit of 0: the
    /// list names no worker of the service that could take a message.
    Credits {
        credits: Vec<ServiceCredit>,
    },
    /// No answer is waited for any more: close the connection.
    CancelAttempt {
        attempt: AttemptId,
    },
}
