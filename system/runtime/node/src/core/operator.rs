//! The operator's API over HTTP: `Config.Put`, `Config.Get`, `Retire.*`, and where this machine listens internally.

use crate::core::host::Event;
use crate::core::retire::{self, Progress};
use crate::locate;
use bytes::Bytes;
use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use millrudder_system_http::front::{handler, Handler, Request, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::timeout;

const IF_VERSION: HeaderName = HeaderName::from_static("x-if-version");
/// Callers move on after a second of silence; what is not known in time has no clear answer, and is told so.
const PATIENCE: Duration = Duration::from_millis(850);

/// What the operator asks the owner of the state.
#[derive(Debug)]
pub enum Order {
    Put {
        expected_version: u64,
        body: Bytes,
    },
    Get,
    /// Empties a storage machine.
    Retire {
        name: String,
    },
    /// How far that is.
    Retirement {
        name: String,
    },
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    Conflict {
        current: u64,
    },
    Invalid {
        reason: String,
    },
    Configuration {
        json: Vec<u8>,
    },
    /// No configuration was ever accepted.
    Nothing,
    /// No storage machine has this name, or none that is to be emptied.
    UnknownMachine,
    /// Fewer storage machines would remain than a shard has replicas.
    TooFewRemain,
    /// How far the emptying of a machine is.
    Retirement {
        progress: Progress,
    },
    /// This machine is cut off from the core, or ends; the order was not taken.
    NotServed,
}

/// Answers requests to the operator's address.
pub fn serve(internal: SocketAddr, events: UnboundedSender<Event>) -> Handler {
    handler(move |request: Request| {
        let events = events.clone();
        async move { answer(internal, &events, request).await }
    })
}

async fn answer(internal: SocketAddr, events: &UnboundedSender<Event>, request: Request) -> Response {
    let path = request.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/Config.Put") => put(events, request).await,
        (&Method::GET, "/Config.Get") => respond(ask(events, Order::Get).await),
        (&Method::GET, locate::PATH) => {
            let text = serde_json::to_vec(&locate::InternalAddress { internal }).unwrap_or_default();
            Response::json(StatusCode::OK, text)
        }
        (method, path) if retire::is_meant(path) => match retire::order(method, path) {
            Some(order) => respond(ask(events, order).await),
            None => Response::empty(StatusCode::METHOD_NOT_ALLOWED),
        },
        (_, "/Config.Put" | "/Config.Get" | locate::PATH) => Response::empty(StatusCode::METHOD_NOT_ALLOWED),
        _ => Response::empty(StatusCode::NOT_FOUND),
    }
}

async fn put(events: &UnboundedSender<Event>, request: Request) -> Response {
    let expected = request.header(&IF_VERSION).map_or(Ok(0), |text| text.trim().parse());
    let Ok(expected_version) = expected else {
        return refuse(StatusCode::BAD_REQUEST, "X-If-Version is not a number");
    };
    respond(ask(events, Order::Put { expected_version, body: request.body }).await)
}

async fn ask(events: &UnboundedSender<Event>, order: Order) -> Option<Outcome> {
    let (reply, answer) = oneshot::channel();
    events.send(Event::Operator { order, reply }).ok()?;
    timeout(PATIENCE, answer).await.ok()?.ok()
}

fn respond(outcome: Option<Outcome>) -> Response {
    match outcome {
        Some(Outcome::Accepted) => Response::empty(StatusCode::OK),
        Some(Outcome::Conflict { current }) => {
            refuse(StatusCode::PRECONDITION_FAILED, &format!("version {current} is current"))
        }
        Some(Outcome::Invalid { reason }) => refuse(StatusCode::BAD_REQUEST, &reason),
        Some(Outcome::Configuration { json }) => Response::json(StatusCode::OK, json),
        Some(Outcome::UnknownMachine) => refuse(StatusCode::NOT_FOUND, "no such machine"),
        Some(Outcome::TooFewRemain) => refuse(StatusCode::CONFLICT, "too few storage machines would remain"),
        Some(Outcome::Retirement { progress }) => Response::json(StatusCode::OK, progress.to_json()),
        Some(Outcome::NotServed) => come_again(
            StatusCode::SERVICE_UNAVAILABLE,
            "this machine cannot ask the core; another one may; nothing was done here",
        ),
        Some(Outcome::Nothing) => refuse(StatusCode::NOT_FOUND, "there is no configuration yet"),
        None => come_again(
            StatusCode::GATEWAY_TIMEOUT,
            "the core did not agree in time; the order may still come into force",
        ),
    }
}

fn come_again(status: StatusCode, reason: &str) -> Response {
    refuse(status, reason).with_header(RETRY_AFTER, HeaderValue::from_static("1"))
}

fn refuse(status: StatusCode, reason: &str) -> Response {
    let text = serde_json::json!({ "error": reason }).to_string();
    Response::json(status, text)
}
