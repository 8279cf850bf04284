//! Clients' queries for the state or the bytes of a message.

use super::response::{problem, problem_for_now};
use crate::edge::event::Event;
use http::StatusCode;
use millrudder_intake::QueryResult;
use millrudder_protocol::MessageId;
use millrudder_system_http::front::Response;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

const STATE_PATH: &str = "/message/";
const BODY_PATH: &str = "/message-body/";

/// A request for the state or the bytes of a message.
pub(super) struct MessageQuery<'a> {
    /// The message's id, as the client wrote it.
    name: &'a str,
    /// The bytes are requested, not the state.
    body: bool,
}

impl<'a> MessageQuery<'a> {
    /// The query that a path asks for; `None` where it is another one's path.
    pub(super) fn parse(path: &'a str) -> Option<Self> {
        let state = path.strip_prefix(STATE_PATH).map(|name| MessageQuery { name, body: false });
        let query =
            state.or_else(|| path.strip_prefix(BODY_PATH).map(|name| MessageQuery { name, body: true }))?;
        let is_name = !query.name.is_empty() && !query.name.contains('/');
        is_name.then_some(query)
    }
}

/// Answers a query.
pub(super) async fn respond(query: MessageQuery<'_>, events: &UnboundedSender<Event>) -> Response {
    let Ok(id) = query.name.parse::<MessageId>() else {
        return problem(StatusCode::NOT_FOUND, "no message has this name");
    };
    let (reply, answer) = oneshot::channel();
    let sent = events.send(Event::Query { id, body: query.body, reply });
    let result = if sent.is_ok() { answer.await.ok() } else { None };
    if query.body {
        return respond_with_body(result);
    }
    respond_with_state(result)
}

fn respond_with_state(result: Option<QueryResult>) -> Response {
    match result {
        Some(QueryResult::Queued) => state_response(serde_json::json!({ "state": "queued" })),
        Some(QueryResult::Completed { signature }) => {
            state_response(serde_json::json!({ "state": "completed", "signature": signature }))
        }
        Some(QueryResult::DeadLetter) => state_response(serde_json::json!({ "state": "dead_letter" })),
        Some(QueryResult::Unknown) => problem(StatusCode::NOT_FOUND, "no message has this name"),
        Some(QueryResult::Body { .. } | QueryResult::Unavailable) | None => stores_unavailable(),
    }
}

/// The bytes of a message that is queued or dead; those of a completed one are not retained.
fn respond_with_body(result: Option<QueryResult>) -> Response {
    match result {
        Some(QueryResult::Body { body }) => Response::bytes(StatusCode::OK, body),
        Some(QueryResult::Completed { .. }) => {
            problem(StatusCode::NOT_FOUND, "the message has completed; its body is not kept")
        }
        Some(QueryResult::Unknown) => problem(StatusCode::NOT_FOUND, "no message has this name"),
        Some(QueryResult::Queued | QueryResult::DeadLetter | QueryResult::Unavailable) | None => {
            stores_unavailable()
        }
    }
}

fn stores_unavailable() -> Response {
    problem_for_now("the stores that know this message do not answer")
}

fn state_response(json: serde_json::Value) -> Response {
    Response::json(StatusCode::OK, json.to_string())
}
