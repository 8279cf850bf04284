//! The client.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::response::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;

use super::answer::{load, text, Answer, Fetched, HealthAnswer};
use super::error::{FetchError, SendError};
use super::exchange::Exchange;
use super::limits::ClientLimits;
use super::pool::Pool;
use super::request::{build, Target, WorkerRequest};
use crate::headers;

/// Sends requests over pooled connections. Clones share the pool. Must be used inside a
/// [`tokio::task::LocalSet`]; dropping the future of a request closes its connection.
#[derive(Clone)]
pub struct Client {
    pool: Rc<Pool>,
}

impl Client {
    /// A client without connections.
    pub fn new(limits: ClientLimits) -> Client {
        Client { pool: Rc::new(Pool::new(limits)) }
    }

    /// Sends a request to a worker and reads its answer to the end. An answer whose body is truncated or does not end
    /// within `timeout` is not `complete`.
    ///
    /// # Errors
    /// See [`SendError`]; an answer that does not repeat the request's `X-Request-Id` is [`SendError::Garbled`].
    pub async fn send(
        &self,
        target: Target,
        request: WorkerRequest,
        timeout: Duration,
    ) -> Result<Answer, SendError> {
        let started = Instant::now();
        let request_id = request.request_id.clone();
        let exchange = self.begin(target, request.into_hyper(), started + timeout).await?;
        if exchange.head.headers.get(headers::REQUEST_ID) != Some(&request_id) {
            return Err(exchange.reject());
        }
        let (head, complete) = exchange.drain().await;
        Ok(answer(&head, complete, started.elapsed()))
    }

    /// Asks the worker at the target for its health.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn health(
        &self,
        target: Target,
        path_and_query: PathAndQuery,
        timeout: Duration,
    ) -> Result<HealthAnswer, SendError> {
        let started = Instant::now();
        let headers = own_headers(target.address);
        let request = build(Method::GET, path_and_query, headers, Bytes::new());
        let exchange = self.begin(target, request, started + timeout).await?;
        let (head, complete) = exchange.drain().await;
        Ok(health_answer(&head, complete, started.elapsed()))
    }

    /// Posts JSON, as call-backs are sent, and returns the status of the answer.
    ///
    /// # Errors
    /// See [`SendError`]; a truncated answer is none ([`SendError::Reset`]).
    pub async fn post_json(
        &self,
        target: Target,
        path_and_query: PathAndQuery,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StatusCode, SendError> {
        let mut headers = own_headers(target.address);
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let request = build(Method::POST, path_and_query, headers, body);
        let exchange = self.begin(target, request, Instant::now() + timeout).await?;
        match exchange.drain().await {
            (head, true) => Ok(head.status),
            (_, false) => Err(SendError::Reset),
        }
    }

    /// Fetches a resource with its body, of `max_bytes` at most.
    ///
    /// # Errors
    /// See [`FetchError`].
    pub async fn fetch(
        &self,
        target: Target,
        path_and_query: PathAndQuery,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Fetched, FetchError> {
        let headers = own_headers(target.address);
        let request = build(Method::GET, path_and_query, headers, Bytes::new());
        let exchange = self.begin(target, request, Instant::now() + timeout).await?;
        let (head, body) = exchange.collect(max_bytes).await?;
        Ok(Fetched { status: head.status, headers: head.headers, body })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Connections to an address that are open or being opened, idle ones included.
    pub fn connections(&self, address: SocketAddr) -> usize {
        self.pool.connections(address)
    }

    async fn begin(
        &self,
        target: Target,
        request: http::Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        let lease = self.pool.lease(target, request.headers().get(headers::REQUEST_ID))?;
        Exchange::begin(lease, request, deadline).await
    }
}

/// The headers of a request of the system's own.
fn own_headers(address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(2);
    let host = HeaderValue::try_from(address.to_string());
    headers.insert(header::HOST, host.unwrap_or(HeaderValue::from_static("")));
    headers
}

fn answer(head: &Parts, complete: bool, elapsed: Duration) -> Answer {
    Answer {
        status: head.status,
        signature: text(&head.headers, &headers::RESPONSE_SIGNATURE).map(str::to_owned),
        not_executed: head.headers.contains_key(headers::NOT_EXECUTED),
        load: load(&head.headers),
        complete,
        elapsed,
    }
}

fn health_answer(head: &Parts, complete: bool, elapsed: Duration) -> HealthAnswer {
    HealthAnswer {
        status: head.status,
        instance_id: text(&head.headers, &headers::INSTANCE_ID).map(str::to_owned),
        load: load(&head.headers),
        complete,
        elapsed,
    }
}
