//! One call: receives its message within limits of size and time, passes it to the service, and writes the response as
//! fast as the client reads it.

use crate::connection_table::ConnectionHandle;
use crate::intake::InvalidField;
use crate::service::{ReceivedAt, MESSAGE_LIMIT};
use crate::{status, Shared};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Full};
use millrudder_exchange::clock::span;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tonic::body::Body;
use tonic::Status;
use tower_service::Service;

/// Concurrent calls to the health and reflection services on one connection.
const MAX_OTHER_CALLS: usize = 8;
const GRPC_CONTENT_TYPE: &str = "application/grpc";
/// The compression flag and the length before a message (gRPC over HTTP/2, "Length-Prefixed-Message").
const MESSAGE_PREFIX_BYTES: usize = 5;

pub const JOBS_SERVICE: &str = "millrudder.v1.Jobs";
pub const HEALTH_SERVICE: &str = "grpc.health.v1.Health";
pub const REFLECTION_SERVICE: &str = "grpc.reflection.v1.ServerReflection";
pub const REFLECTION_ALPHA_SERVICE: &str = "grpc.reflection.v1alpha.ServerReflection";

/// Serves one call, from its headers to the end of the response.
pub async fn serve(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: Arc<Shared>,
    handle: Arc<ConnectionHandle>,
) {
    let received_at = shared.clock.now();
    let is_job = service_of(&request) == JOBS_SERVICE;
    let mut guard = CallGuard::new(&shared, &handle, is_job);
    let response = tokio::select! {
        biased;
        // The client cancelled the call or disconnected. Dropping the future withdraws its job.
        _ = poll_fn(|cx| respond.poll_reset(cx)) => {
            shared.counters.grpc_cancelled.add();
            return;
        }
        response = answer(request, received_at, &shared, guard.other_calls) => response,
    };
    guard.answer_sent = write_response(response, respond, &shared).await;
}

/// Counts a call on its connection until dropped.
struct CallGuard<'a> {
    shared: &'a Shared,
    handle: &'a ConnectionHandle,
    is_job: bool,
    /// Calls to other services on the connection, this one included; 0 for a job.
    other_calls: usize,
    answer_sent: bool,
}

impl<'a> CallGuard<'a> {
    fn new(shared: &'a Shared, handle: &'a ConnectionHandle, is_job: bool) -> Self {
        let other_calls = if is_job {
            handle.job_started();
            0
        } else {
            handle.change_other_calls(1, shared.clock.now())
        };
        CallGuard { shared, handle, is_job, other_calls, answer_sent: false }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        if self.is_job {
            self.handle.job_ended(self.answer_sent, now);
        } else {
            self.handle.change_other_calls(-1, now);
        }
    }
}

/// The service's name in a path `/service/method`.
fn service_of<T>(request: &Request<T>) -> &str {
    request.uri().path().split('/').nth(1).unwrap_or_default()
}

/// Routes a call to its service.
async fn answer(
    request: Request<RecvStream>,
    received_at: f64,
    shared: &Shared,
    other_calls: usize,
) -> Response<Body> {
    let content = request.headers().get(http::header::CONTENT_TYPE).map(|v| v.as_bytes());
    if request.method() != http::Method::POST
        || !content.is_some_and(|c| c.starts_with(GRPC_CONTENT_TYPE.as_bytes()))
    {
        shared.counters.rejected_unknown.add();
        let (mut response, status) = (Response::new(Body::empty()), http::StatusCode::UNSUPPORTED_MEDIA_TYPE);
        *response.status_mut() = status;
        return response;
    }
    if other_calls > MAX_OTHER_CALLS {
        return Status::resource_exhausted("too many calls beside jobs on this connection").into_http();
    }
    let service = service_of(&request);
    if service == JOBS_SERVICE {
        return answer_job(request, received_at, shared).await;
    }
    let Some((_, other)) = shared.other_services.iter().find(|(name, _)| *name == service) else {
        shared.counters.rejected_unknown.add();
        return Status::unimplemented("unknown service").into_http();
    };
    other(request.map(RecvBody::boxed)).await
}

/// Receives a job's whole message before it is submitted, so that an unfinished call does not occupy a job's place.
async fn answer_job(request: Request<RecvStream>, received_at: f64, shared: &Shared) -> Response<Body> {
    let (mut parts, mut body) = request.into_parts();
    let received =
        tokio::time::timeout(span(shared.limits.request_time.ms()), receive_message(&mut body, shared)).await;
    match received {
        Ok(Ok(message)) => {
            parts.extensions.insert(ReceivedAt(received_at));
            let body = Body::new(Full::new(message));
            shared
                .jobs
                .clone()
                .call(Request::from_parts(parts, body))
                .await
                .unwrap_or_else(|never| match never {})
        }
        Ok(Err(status)) => status.into_http(),
        Err(_) => {
            shared.counters.grpc_too_slow.add();
            Status::deadline_exceeded("the call did not come whole in time").into_http()
        }
    }
}

/// Counts the bytes of one unfinished message against the front's budget until dropped.
struct ReceiveBudget<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl ReceiveBudget<'_> {
    /// Counts more bytes; false if the budget is exceeded.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.shared.bytes_receiving.fetch_add(bytes, Ordering::AcqRel);
        before + bytes <= self.shared.max_bytes_receiving
    }
}

impl Drop for ReceiveBudget<'_> {
    fn drop(&mut self) {
        self.shared.bytes_receiving.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Receives a call's body, with its length prefix.
async fn receive_message(body: &mut RecvStream, shared: &Shared) -> Result<Bytes, Status> {
    let mut receiving = ReceiveBudget { shared, bytes: 0 };
    let mut first = Bytes::new();
    let mut message: Option<BytesMut> = None;
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| Status::cancelled("broken off"))?;
        let _ = body.flow_control().release_capacity(data.len());
        if receiving.bytes + data.len() > MESSAGE_LIMIT + MESSAGE_PREFIX_BYTES {
            shared.counters.rejected_too_large.add();
            let reason = format!("the message is over {MESSAGE_LIMIT} bytes");
            return Err(status::invalid_field(&InvalidField { field: "body", reason }));
        }
        if !receiving.add(data.len()) {
            shared.counters.rejected_no_memory.add();
            return Err(status::unavailable("no memory for this call now", None));
        }
        match &mut message {
            None if first.is_empty() => first = data,
            None => {
                let mut whole = BytesMut::from(&first[..]);
                whole.extend_from_slice(&data);
                message = Some(whole);
            }
            Some(whole) => whole.extend_from_slice(&data),
        }
    }
    Ok(message.map_or(first, BytesMut::freeze))
}

/// Writes a response; true if all of it was sent.
async fn write_response(response: Response<Body>, mut respond: SendResponse<Bytes>, shared: &Shared) -> bool {
    let (parts, mut body) = response.into_parts();
    let headers_only = body.is_end_stream();
    let head = Response::from_parts(parts, ());
    let Ok(mut stream) = respond.send_response(head, headers_only) else { return false };
    if headers_only {
        return true;
    }
    loop {
        let frame = tokio::select! {
            biased;
            _ = poll_fn(|cx| stream.poll_reset(cx)) => {
                shared.counters.grpc_cancelled.add();
                return false;
            }
            frame = body.frame() => frame,
        };
        let sent = match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => send_data(&mut stream, data, shared).await,
                Err(frame) => match frame.into_trailers() {
                    Ok(trailers) => return stream.send_trailers(trailers).is_ok(),
                    Err(_) => true,
                },
            },
            None => return stream.send_data(Bytes::new(), true).is_ok(),
            Some(Err(_)) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                false
            }
        };
        if !sent {
            return false;
        }
    }
}

/// Sends data as the client's flow-control window allows. A client that does not open its window in time has the stream
/// reset.
async fn send_data(stream: &mut SendStream<Bytes>, mut data: Bytes, shared: &Shared) -> bool {
    let all = async {
        while !data.is_empty() {
            stream.reserve_capacity(data.len());
            match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(Ok(room)) => {
                    let part = data.split_to(room.min(data.len()));
                    if stream.send_data(part, false).is_err() {
                        return false;
                    }
                }
                _ => return false,
            }
        }
        true
    };
    match tokio::time::timeout(span(shared.limits.answer_time.ms()), all).await {
        Ok(sent) => sent,
        Err(_) => {
            shared.counters.grpc_stalled.add();
            stream.send_reset(Reason::CANCEL);
            false
        }
    }
}

/// A call's body as a stream, for services whose clients send several messages.
struct RecvBody(RecvStream);

impl RecvBody {
    fn boxed(stream: RecvStream) -> Body {
        Body::new(RecvBody(stream))
    }
}

impl http_body::Body for RecvBody {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        match ready!(self.0.poll_data(cx)) {
            Some(Ok(data)) => {
                let _ = self.0.flow_control().release_capacity(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None => Poll::Ready(None),
        }
    }
}
