//! A receiver of call-backs, which may be slow, fail or stay silent.

use crate::client::{MessageState, MessageStatus};
use crate::controlled_stream::ConnectionControl;
use crate::gate::Gate;
use crate::http;
use crate::identity::RequestId;
use crate::script::Script;
use crate::server::{any_port, CloseConnection, Handler, Server, ServerLimits, ServerResponse};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a receiver is like.
#[derive(Clone, Copy, Debug)]
pub struct ReceiverPlan {
    /// Connections it accepts; those beyond are reset.
    pub max_connections: usize,
}

impl Default for ReceiverPlan {
    fn default() -> Self {
        Self { max_connections: 64 }
    }
}

/// What a receiver does with a call-back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReceiverBehaviour {
    /// 200 where the call-back tells an end, else 400.
    #[default]
    Accept,
    /// 400: it does not know the id.
    DenyId,
    /// 500.
    Fail,
    /// No answer; the connection stays open.
    StaySilent,
    /// Closes the connection without an answer.
    Close,
    /// Accepts, once the call-back has passed the receiver's gate.
    Slow,
}

/// A call-back as it arrived.
#[derive(Clone, Debug)]
pub struct Callback {
    /// Time since the receiver's start.
    pub at: Duration,
    /// The path it was sent to.
    pub path: String,
    /// `instanceId`, if the body could be read.
    pub request_id: Option<RequestId>,
    /// The state it tells, if the body could be read.
    pub status: Option<MessageStatus>,
    /// The body as it came.
    pub body: Bytes,
    /// The status it was answered with, once it was.
    pub answered: Option<u16>,
}

/// The body of a call-back.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CallbackBody {
    instance_id: RequestId,
    #[serde(flatten)]
    status: MessageStatus,
}

struct ReceiverState {
    began: Instant,
    script: Script<ReceiverBehaviour>,
    gate: Gate,
    callbacks: Mutex<Vec<Callback>>,
}

/// A running receiver; it ends, with all its connections, when it is dropped.
pub struct CallbackReceiver {
    state: Arc<ReceiverState>,
    server: Server,
}

impl CallbackReceiver {
    /// Starts a receiver on a free port of loopback.
    ///
    /// # Errors
    /// If the port cannot be opened.
    pub async fn start(plan: ReceiverPlan) -> io::Result<Self> {
        Self::start_at(any_port(), plan).await
    }

    /// Starts a receiver at an address, such as one where a receiver was down.
    ///
    /// # Errors
    /// If the address cannot be opened.
    pub async fn start_at(address: SocketAddr, plan: ReceiverPlan) -> io::Result<Self> {
        let state = Arc::new(ReceiverState {
            began: Instant::now(),
            script: Script::default(),
            gate: Gate::new(),
            callbacks: Mutex::default(),
        });
        let limits = ServerLimits { max_connections: plan.max_connections, keep_alive: None };
        let server = Server::start(address, limits, state.clone()).await?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A URL for `X-Callback-Url`; `path` begins with `/`.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address())
    }

    /// Which behaviour each call-back meets, by the id it tells.
    pub fn script(&self) -> &Script<ReceiverBehaviour> {
        &self.state.script
    }

    /// Slow call-backs are answered only past this gate.
    pub fn gate(&self) -> &Gate {
        &self.state.gate
    }

    /// All call-backs in the order of arrival.
    pub fn callbacks(&self) -> Vec<Callback> {
        self.state.lock().clone()
    }

    /// The call-backs that tell of one request, in the order of arrival.
    pub fn callbacks_of(&self, request: &RequestId) -> Vec<Callback> {
        let mut callbacks = self.callbacks();
        callbacks.retain(|callback| callback.request_id.as_ref() == Some(request));
        callbacks
    }

    /// Whether a call-back of a request was accepted.
    pub fn has_accepted(&self, request: &RequestId) -> bool {
        self.callbacks_of(request).iter().any(|callback| callback.answered == Some(StatusCode::OK.as_u16()))
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
}

impl Handler for ReceiverState {
    async fn answer(self: Arc<Self>, request: Request<Incoming>, _: ConnectionControl) -> ServerResponse {
        if request.method() != Method::POST {
            return Ok(http::empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.map_err(|_| CloseConnection)?.to_bytes();
        let callback = self.read(path, body);
        let id = callback.request_id.as_ref().map_or_else(String::new, ToString::to_string);
        let tells_end = callback.tells_end();
        let index = self.enter(callback);
        let status = match self.script.take(&id) {
            ReceiverBehaviour::Accept => accept_or_deny(tells_end),
            ReceiverBehaviour::DenyId => StatusCode::BAD_REQUEST,
            ReceiverBehaviour::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            ReceiverBehaviour::StaySilent => return std::future::pending().await,
            ReceiverBehaviour::Close => return Err(CloseConnection),
            ReceiverBehaviour::Slow => {
                self.gate.pass().await;
                accept_or_deny(tells_end)
            }
        };
        if let Some(callback) = self.lock().get_mut(index) {
            callback.answered = Some(status.as_u16());
        }
        Ok(http::empty(status))
    }
}

fn accept_or_deny(tells_end: bool) -> StatusCode {
    match tells_end {
        true => StatusCode::OK,
        false => StatusCode::BAD_REQUEST,
    }
}

impl Callback {
    fn tells_end(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.state != MessageState::Queued)
    }
}

impl ReceiverState {
    fn read(&self, path: String, body: Bytes) -> Callback {
        let told: Option<CallbackBody> = serde_json::from_slice(&body).ok();
        let (request_id, status) = told.map(|told| (told.instance_id, told.status)).unzip();
        Callback { at: self.began.elapsed(), path, request_id, status, body, answered: None }
    }

    fn enter(&self, callback: Callback) -> usize {
        let mut callbacks = self.lock();
        callbacks.push(callback);
        callbacks.len() - 1
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Callback>> {
        self.callbacks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
