//! One request and its answer on a leased connection.

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{timeout_at, Instant};

use super::answer::keep_alive;
use super::connection::Unanswered;
use super::error::{FetchError, SendError};
use super::pool::Lease;

/// A request whose answer's head has been received. Dropping it closes the connection.
pub(super) struct Exchange {
    pub(super) head: Parts,
    body: Incoming,
    lease: Lease,
    deadline: Instant,
}

impl Exchange {
    /// Sends the request and waits for the answer's head.
    pub(super) async fn begin(
        mut lease: Lease,
        request: http::Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        match timeout_at(deadline, send(&mut lease, request)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let exchange = Exchange { head, body, lease, deadline };
                match exchange.head.status {
                    // No request asks for another protocol.
                    StatusCode::SWITCHING_PROTOCOLS => Err(exchange.reject()),
                    _ => Ok(exchange),
                }
            }
            Ok(Err(SendError::Garbled)) => {
                lease.quarantine();
                Err(SendError::Garbled)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => Err(SendError::TimedOut { sent: lease.has_sent() }),
        }
    }

    /// Rejects an answer that is another request's.
    pub(super) fn reject(mut self) -> SendError {
        self.lease.quarantine();
        SendError::Garbled
    }

    /// Reads the body and drops it; whether it was complete.
    pub(super) async fn drain(mut self) -> (Parts, bool) {
        let is_complete = matches!(timeout_at(self.deadline, drain(&mut self.body)).await, Ok(true));
        let head = self.finish(is_complete);
        (head, is_complete)
    }

    /// Reads the body.
    pub(super) async fn collect(mut self, max_bytes: usize) -> Result<(Parts, Bytes), FetchError> {
        let body = match timeout_at(self.deadline, collect(&mut self.body, max_bytes)).await {
            Ok(body) => body?,
            Err(_elapsed) => return Err(FetchError::Send(SendError::TimedOut { sent: true })),
        };
        Ok((self.finish(true), body))
    }

    /// Returns the connection to the pool if the answer was complete, else closes it.
    fn finish(self, is_complete: bool) -> Parts {
        if is_complete {
            self.lease.release(keep_alive(&self.head.headers));
        }
        self.head
    }
}

/// Sends the request; again on a new connection if a pooled one turns out closed before the request was sent.
async fn send(
    lease: &mut Lease,
    mut request: http::Request<Full<Bytes>>,
) -> Result<http::Response<Incoming>, SendError> {
    loop {
        let is_reused = lease.is_reused();
        match lease.connection().await?.send(request).await {
            Ok(response) => return Ok(response),
            Err(Unanswered::Failed(error)) => return Err(error),
            Err(Unanswered::NotSent(_)) if !is_reused => return Err(SendError::ResetBeforeSent),
            Err(Unanswered::NotSent(returned)) => {
                lease.discard();
                request = *returned;
            }
        }
    }
}

/// Reads the body; whether it was complete.
async fn drain(body: &mut Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

async fn collect(body: &mut Incoming, max_bytes: usize) -> Result<Bytes, FetchError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| FetchError::Truncated)?.into_data() else { continue };
        if collected.len() + data.len() > max_bytes {
            return Err(FetchError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
