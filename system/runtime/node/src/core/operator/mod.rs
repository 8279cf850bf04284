//! The operator's API over HTTP: `Config.Put`, `Config.Get`, `Retire.*`, and the address where this machine listens for
//! other processes.

pub mod pending;
pub mod request;
mod retirement;

use crate::core::event::Event;
use crate::seeds::{InternalAddress, INTERNAL_ADDRESS_PATH};
use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use millrudder_system_http::front::{handler, Handler, Request, Response};
use request::{OperatorRequest, OperatorResponse};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::timeout;

const IF_VERSION: HeaderName = HeaderName::from_static("x-if-version");
/// Callers turn to another machine after a second without a response; what is not known in time has no clear outcome, and
/// the response says so.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);

/// The handler of requests to the operator's address; `internal` is where this machine listens for other processes.
pub fn serve(internal: SocketAddr, events: UnboundedSender<Event>) -> Handler {
    handler(move |request: Request| {
        let events = events.clone();
        async move { answer(internal, &events, request).await }
    })
}

async fn answer(internal: SocketAddr, events: &UnboundedSender<Event>, request: Request) -> Response {
    let path = request.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/Config.Put") => put_configuration(events, request).await,
        (&Method::GET, "/Config.Get") => respond(ask(events, OperatorRequest::GetConfiguration).await),
        (&Method::GET, INTERNAL_ADDRESS_PATH) => {
            let text = serde_json::to_vec(&InternalAddress { internal }).unwrap_or_default();
            Response::json(StatusCode::OK, text)
        }
        (method, path) if retirement::is_retirement_path(path) => match retirement::parse(method, path) {
            Some(request) => respond(ask(events, request).await),
            None => Response::empty(StatusCode::METHOD_NOT_ALLOWED),
        },
        (_, "/Config.Put" | "/Config.Get" | INTERNAL_ADDRESS_PATH) => {
            Response::empty(StatusCode::METHOD_NOT_ALLOWED)
        }
        _ => Response::empty(StatusCode::NOT_FOUND),
    }
}

async fn put_configuration(events: &UnboundedSender<Event>, request: Request) -> Response {
    let expected = request.header(&IF_VERSION).map_or(Ok(0), |text| text.trim().parse());
    let Ok(expected_version) = expected else {
        return refuse(StatusCode::BAD_REQUEST, "X-If-Version is not a number");
    };
    respond(ask(events, OperatorRequest::PutConfiguration { expected_version, body: request.body }).await)
}

/// Asks the owner of the state; `None` where it gives no response in time.
async fn ask(events: &UnboundedSender<Event>, request: OperatorRequest) -> Option<OperatorResponse> {
    let (reply, answer) = oneshot::channel();
    events.send(Event::Operator { request, reply }).ok()?;
    timeout(RESPONSE_TIMEOUT, answer).await.ok()?.ok()
}

fn respond(response: Option<OperatorResponse>) -> Response {
    match response {
        Some(OperatorResponse::Accepted) => Response::empty(StatusCode::OK),
        Some(OperatorResponse::Conflict { current }) => {
            refuse(StatusCode::PRECONDITION_FAILED, &format!("version {current} is current"))
        }
        Some(OperatorResponse::Invalid { reason }) => refuse(StatusCode::BAD_REQUEST, &reason),
        Some(OperatorResponse::Configuration { json }) => Response::json(StatusCode::OK, json),
        Some(OperatorResponse::UnknownMachine) => refuse(StatusCode::NOT_FOUND, "no such machine"),
        Some(OperatorResponse::TooFewRemain) => {
            refuse(StatusCode::CONFLICT, "too few storage machines would remain")
        }
        Some(OperatorResponse::Retirement { progress }) => Response::json(StatusCode::OK, progress.to_json()),
        Some(OperatorResponse::Unavailable) => refuse_for_now(
            StatusCode::SERVICE_UNAVAILABLE,
            "this machine cannot ask the core; another one may; nothing was done here",
        ),
        Some(OperatorResponse::NoConfiguration) => {
            refuse(StatusCode::NOT_FOUND, "there is no configuration yet")
        }
        None => refuse_for_now(
            StatusCode::GATEWAY_TIMEOUT,
            "the core did not agree in time; the order may still come into force",
        ),
    }
}

fn refuse_for_now(status: StatusCode, reason: &str) -> Response {
    refuse(status, reason).with_header(RETRY_AFTER, HeaderValue::from_static("1"))
}

fn refuse(status: StatusCode, reason: &str) -> Response {
    let text = serde_json::json!({ "error": reason }).to_string();
    Response::json(status, text)
}
