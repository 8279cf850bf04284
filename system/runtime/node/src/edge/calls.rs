//! HTTP calls to workers and to receivers of call-backs.

use crate::edge::event::Event;
use bytes::Bytes;
use http::header::{HeaderName, HOST};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method};
use millrudder_clock::whole_millis;
use millrudder_delivery::{
    Answer, AttemptId, AttemptResult, CallBackBody, CallBackResult, CallBackState, CallBackUrl, Load, Target,
};
use millrudder_protocol::message::Message;
use millrudder_system_http::client::{self, Client, SendError, WorkerRequest};
use millrudder_system_http::headers;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;

/// Most connections to one receiver of call-backs: they accept few, from all dispatchers together.
const RECEIVER_CONNECTIONS: usize = 16;

/// Makes calls, each in a task of its own that ends by the call's time-out, and reports how they ended.
pub struct Calls {
    client: Client,
    events: UnboundedSender<Event>,
    /// Calls to workers that can be cancelled.
    in_flight: Rc<RefCell<BTreeMap<AttemptId, AbortHandle>>>,
}

/// A call to a worker.
pub struct WorkerCall {
    /// The attempt that it is made for.
    pub attempt: AttemptId,
    /// The message.
    pub message: Arc<Message>,
    /// The worker.
    pub worker: Target,
    /// The time that the worker is granted.
    pub timeout: Duration,
    /// How long its answer is waited for.
    pub wait: Duration,
}

/// A call to a receiver of call-backs.
pub struct CallBack {
    /// The attempt that it is made for.
    pub attempt: AttemptId,
    /// The receiver.
    pub url: CallBackUrl,
    /// The outcome that it is notified of.
    pub body: CallBackBody,
    /// How long its answer is waited for.
    pub timeout: Duration,
}

impl Calls {
    /// No calls yet; their ends are reported to `events`.
    pub fn new(client: Client, events: UnboundedSender<Event>) -> Self {
        Calls { client, events, in_flight: Rc::default() }
    }

    /// Sends a message to a worker.
    pub fn send(&self, call: WorkerCall) {
        let WorkerCall { attempt, message, worker, timeout, wait } = call;
        let Some(request) = request(&message, &worker, timeout) else {
            drop(self.events.send(Event::Attempted { attempt, result: AttemptResult::ResetBeforeSent }));
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        let in_flight = Rc::clone(&self.in_flight);
        let max_connections = worker.max_connections as usize;
        let target = client::Target { address: worker.address.0, max_connections };
        let call = tokio::task::spawn_local(async move {
            let answer = client.send(target, request, wait).await;
            in_flight.borrow_mut().remove(&attempt);
            drop(events.send(Event::Attempted { attempt, result: result(answer) }));
        });
        self.in_flight.borrow_mut().insert(attempt, call.abort_handle());
    }

    /// Notifies a receiver that a message has ended.
    pub fn call_back(&self, call: CallBack) {
        let CallBack { attempt, url, body, timeout } = call;
        let Ok(path) = url.path.parse::<PathAndQuery>() else {
            drop(self.events.send(Event::CalledBack { attempt, result: CallBackResult::Failed }));
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        let target = client::Target { address: url.address.0, max_connections: RECEIVER_CONNECTIONS };
        let body = call_back_json(&body);
        tokio::task::spawn_local(async move {
            let result = match client.post_json(target, path, body, timeout).await {
                Ok(status) => CallBackResult::Answer { status: status.as_u16() },
                Err(SendError::Reset | SendError::ResetBeforeSent) => CallBackResult::Reset,
                Err(_) => CallBackResult::Failed,
            };
            drop(events.send(Event::CalledBack { attempt, result }));
        });
    }

    /// Cancels a call to a worker; its connection closes.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(call) = self.in_flight.borrow_mut().remove(&attempt) {
            call.abort();
        }
    }

    /// Closes the connections to a worker that no call uses.
    pub fn close_idle(&self, address: std::net::SocketAddr) {
        self.client.close_idle(address);
    }
}

fn call_back_json(body: &CallBackBody) -> Bytes {
    let state = match body.state {
        CallBackState::Completed => "completed",
        CallBackState::DeadLetter => "dead_letter",
    };
    let json = serde_json::json!({
        "instanceId": body.instance_id,
        "state": state,
        "signature": body.signature,
    });
    Bytes::from(json.to_string())
}

/// The request as it arrived, with the headers that a worker needs; `None` where it cannot be written as one.
fn request(message: &Message, worker: &Target, timeout: Duration) -> Option<WorkerRequest> {
    let mut all = HeaderMap::with_capacity(message.headers.len() + 4);
    all.insert(HOST, HeaderValue::from_str(&message.host).ok()?);
    for header in &message.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        all.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    all.insert(headers::DEADLINE_MS, HeaderValue::from(whole_millis(timeout)));
    if let Some(instance) = &worker.instance_id {
        all.insert(headers::EXPECT_INSTANCE, HeaderValue::from_str(instance).ok()?);
    }
    Some(WorkerRequest {
        method: Method::from_bytes(message.method.as_bytes()).ok()?,
        path_and_query: message.path.parse().ok()?,
        headers: all,
        request_id: HeaderValue::from_str(&message.request_id).ok()?,
        body: Bytes::copy_from_slice(&message.body),
    })
}

fn result(answer: Result<client::Answer, SendError>) -> AttemptResult {
    match answer {
        Ok(answer) => AttemptResult::Answer(Answer {
            status: answer.status.as_u16(),
            signature: answer.signature,
            not_executed: answer.not_executed,
            load: answer.load.map(|load| Load {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
            }),
            complete: answer.complete,
            elapsed_ms: whole_millis(answer.elapsed),
        }),
        Err(SendError::NotConnected(_) | SendError::NoConnectionLeft) => AttemptResult::NotConnected,
        Err(SendError::ResetBeforeSent) => AttemptResult::ResetBeforeSent,
        Err(SendError::Reset) => AttemptResult::Reset,
        Err(SendError::TimedOut { sent }) => AttemptResult::TimedOut { connected: sent },
        Err(SendError::Garbled) => AttemptResult::InvalidResponse,
    }
}
