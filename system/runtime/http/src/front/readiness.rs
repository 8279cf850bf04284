//! The answer to the platform's readiness probes.

use http::{Method, StatusCode};

use super::message::{handler, Handler, Request, Response};

/// The path that the platform probes.
const READINESS_PATH: &str = "/readiness";

/// Answers `GET /readiness` with 200 while `is_ready` says so and else with 503; 404 for all else.
///
/// Serve it with a stop of its own that begins last: the platform is to read the 503 while the rest stops.
pub fn readiness(is_ready: impl Fn() -> bool + 'static) -> Handler {
    handler(move |request| {
        let status = status(&request, &is_ready);
        async move { Response::empty(status) }
    })
}

fn status(request: &Request, is_ready: &impl Fn() -> bool) -> StatusCode {
    if request.path() != READINESS_PATH {
        return StatusCode::NOT_FOUND;
    }
    if request.method != Method::GET && request.method != Method::HEAD {
        return StatusCode::METHOD_NOT_ALLOWED;
    }
    match is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
