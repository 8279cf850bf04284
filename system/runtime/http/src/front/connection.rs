//! One connection of the server.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant, Sleep};

use super::body::{collect, BodyError};
use super::limits::{RequestLimits, ServerLimits};
use super::message::{Handler, Request, Response};
use super::phase::{ConnectionState, Phase};
use super::stop::Stop;
use crate::watched::Watched;

/// The smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// What all connections of a server share.
pub(super) struct Shared {
    pub(super) server_limits: ServerLimits,
    pub(super) request_limits: Arc<ArcSwap<RequestLimits>>,
    pub(super) handler: Handler,
    pub(super) stop: Stop,
    /// Whether new connections are no longer accepted: then even those close that never had a request.
    pub(super) closed_to_new: std::cell::Cell<bool>,
}

/// The request was not read completely, so there is no one to answer.
#[derive(Debug, Error)]
#[error("the request was truncated")]
struct TruncatedRequest;

/// Serves the connection until either side closes it, a phase takes too long or the stop has it closed.
pub(super) async fn drive(stream: TcpStream, state: Rc<ConnectionState>, shared: Rc<Shared>) {
    let service = service_fn(|request| answer(request, &state, &shared));
    let io = TokioIo::new(Watched::new(stream, Rc::clone(&state)));
    let limits = **shared.request_limits.load();
    let mut connection = pin!(builder(&limits).serve_connection(io, service));
    let mut timer = pin!(tokio::time::sleep(limits.idle_timeout.min(limits.header_timeout)));
    poll_fn(|context| {
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        state.register(context.waker());
        if state.must_close() || is_done_at_stop(&state, &shared) {
            return Poll::Ready(());
        }
        poll_deadline(timer.as_mut(), context, &state, &shared)
    })
    .await;
}

/// How hyper reads and writes a connection. Time-outs are enforced by this module.
fn builder(limits: &RequestLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .half_close(true)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false);
    builder
}

/// Whether the server stops and the connection has no request.
fn is_done_at_stop(state: &ConnectionState, shared: &Shared) -> bool {
    let is_idle = state.idle_since().is_some();
    is_idle && shared.stop.is_begun() && (state.is_used() || shared.closed_to_new.get())
}

/// Ready once the present phase has taken too long.
fn poll_deadline(
    mut timer: Pin<&mut Sleep>,
    context: &mut Context<'_>,
    state: &ConnectionState,
    shared: &Shared,
) -> Poll<()> {
    let limits = shared.request_limits.load();
    loop {
        let deadline = state.deadline(&limits, shared.server_limits.answer_timeout);
        if let Some(earlier) = deadline.filter(|deadline| *deadline < timer.deadline()) {
            timer.as_mut().reset(earlier);
        }
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let now = Instant::now();
        match deadline {
            Some(deadline) if deadline <= now => return Poll::Ready(()),
            Some(deadline) => timer.as_mut().reset(deadline),
            None => timer.as_mut().reset(now + limits.idle_timeout),
        }
    }
}

/// Reads the request's body, has the handler answer, and asks for a close if the server stops.
async fn answer(
    request: http::Request<Incoming>,
    state: &ConnectionState,
    shared: &Shared,
) -> Result<http::Response<Full<Bytes>>, TruncatedRequest> {
    state.enter(Phase::Body);
    let response = match read(request, state, shared).await {
        Ok(request) => {
            state.enter(Phase::Handling);
            handle(request, state, shared).await
        }
        Err(RequestError::Answered(status)) => Response::empty(status).closing(),
        Err(RequestError::Truncated) => return Err(TruncatedRequest),
    };
    state.enter(Phase::Answering);
    let response = if shared.stop.is_begun() { response.closing() } else { response };
    Ok(into_hyper(response))
}

/// Has the handler answer. Once it is abandoned the answer is 504, which promises nothing: a request that was read
/// completely gets a complete answer, also at the end of a stop.
async fn handle(request: Request, state: &ConnectionState, shared: &Shared) -> Response {
    let mut handling = (shared.handler)(request);
    poll_fn(|context| match handling.as_mut().poll(context) {
        Poll::Pending if state.is_abandoned() => {
            Poll::Ready(Response::empty(http::StatusCode::GATEWAY_TIMEOUT).closing())
        }
        polled => polled,
    })
    .await
}

/// Why a request does not reach the handler.
enum RequestError {
    /// It is answered with this status.
    Answered(http::StatusCode),
    /// It was truncated.
    Truncated,
}

/// Reads a request completely.
async fn read(
    request: http::Request<Incoming>,
    state: &ConnectionState,
    shared: &Shared,
) -> Result<Request, RequestError> {
    check_framing(state)?;
    let limits = shared.request_limits.load();
    let (parts, body) = request.into_parts();
    if parts.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(RequestError::Answered(http::StatusCode::BAD_REQUEST));
    }
    let uri = parts.uri.into_parts();
    let Some(path_and_query) = uri.path_and_query else {
        return Err(RequestError::Answered(http::StatusCode::BAD_REQUEST));
    };
    let drains_excess = !parts.headers.contains_key(header::EXPECT);
    let collecting = collect(body, limits.max_body_bytes, drains_excess);
    let body = match timeout(limits.body_timeout, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(rejection(&error)),
        Err(_elapsed) => return Err(RequestError::Answered(http::StatusCode::REQUEST_TIMEOUT)),
    };
    check_framing(state)?;
    let (method, headers) = (parts.method, parts.headers);
    Ok(Request { method, path_and_query, headers, body, authority: uri.authority })
}

/// Rejects a request that another HTTP implementation might frame otherwise.
fn check_framing(state: &ConnectionState) -> Result<(), RequestError> {
    match state.is_ambiguous() {
        true => Err(RequestError::Answered(http::StatusCode::BAD_REQUEST)),
        false => Ok(()),
    }
}

fn rejection(error: &BodyError) -> RequestError {
    log::debug!(error:%; "request rejected");
    match error {
        BodyError::TooLarge => RequestError::Answered(http::StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::Malformed => RequestError::Answered(http::StatusCode::BAD_REQUEST),
        BodyError::Truncated => RequestError::Truncated,
    }
}

fn into_hyper(response: Response) -> http::Response<Full<Bytes>> {
    let mut answer = http::Response::new(Full::new(response.body));
    *answer.status_mut() = response.status;
    *answer.headers_mut() = response.headers;
    answer
}
