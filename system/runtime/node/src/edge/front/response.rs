//! Responses that tell a client why it does not get what it asked for.

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use millrudder_system_http::front::Response;

/// Where a request was refused before any store was asked, clients come back after this many seconds.
const RETRY_AFTER_S: &str = "1";

/// A response with a reason as JSON.
pub(super) fn problem(status: StatusCode, reason: &str) -> Response {
    Response::json(status, serde_json::json!({ "error": reason }).to_string())
}

/// A response of status 503: the client may send the same again in a second.
pub(super) fn problem_for_now(reason: &str) -> Response {
    let response = problem(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.with_header(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S))
}
