//! What every stand-in needs of HTTP/1.1: header names, answers and one exchange on a connection of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error as StandardError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Header names of the protocol, in lower case as `hyper` wants them.
pub mod header {
    /// Names one try of a client; repeated by every answer of a worker.
    pub const REQUEST_ID: &str = "x-request-id";
    /// The name that the system gave a message.
    pub const MESSAGE_ID: &str = "x-message-id";
    /// A message is not to run before so many ms have passed since it was sent.
    pub const DELAY_MS: &str = "x-delay-ms";
    /// The thing that a message on a `fifo` route concerns.
    pub const ORDER_KEY: &str = "x-order-key";
    /// Where the end of a message is to be told.
    pub const CALLBACK_URL: &str = "x-callback-url";
    /// How long the caller gives, in ms.
    pub const DEADLINE_MS: &str = "x-deadline-ms";
    /// The worker incarnation that a delivery is meant for.
    pub const EXPECT_INSTANCE: &str = "x-expect-instance";
    /// The worker incarnation that answered.
    pub const INSTANCE_ID: &str = "x-instance-id";
    /// The stamp of the run that succeeded.
    pub const RESPONSE_SIGNATURE: &str = "x-response-signature";
    /// The worker has not run the message.
    pub const NOT_EXECUTED: &str = "x-not-executed";
    /// Running, waiting and slots of the worker, joined by commas.
    pub const SERVER_LOAD: &str = "x-server-load";
    /// The version that a configuration builds on.
    pub const IF_VERSION: &str = "x-if-version";
    /// After how many seconds an idle connection is closed (`timeout=N`).
    pub const KEEP_ALIVE: &str = "keep-alive";
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// A header's value, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        text(&self.headers, name)
    }
}

/// Why an exchange has brought no complete answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be made.
    #[error("cannot connect to {address}")]
    Connect {
        /// Whom the connection was meant for.
        address: SocketAddr,
        /// What the machine said.
        source: io::Error,
    },
    /// No complete answer came in time.
    #[error("{address} gave no complete answer within {bound:?}")]
    NoAnswer {
        /// Who was asked.
        address: SocketAddr,
        /// How long it was waited for.
        bound: Duration,
    },
    /// The connection ended, or carried something else than a complete answer.
    #[error("the connection to {address} broke")]
    Broken {
        /// Who was asked.
        address: SocketAddr,
        /// What broke it.
        source: hyper::Error,
    },
    /// The request could not be written as HTTP.
    #[error("the request is not valid HTTP")]
    Request(#[from] hyper::http::Error),
}

/// Sends a request on a new connection and reads its whole answer, within `bound`.
pub async fn exchange<B>(
    address: SocketAddr,
    request: Request<B>,
    bound: Duration,
) -> Result<Answer, ExchangeError>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn StandardError + Send + Sync>>,
{
    let answer = exchange_unbounded(address, request);
    tokio::time::timeout(bound, answer).await.map_err(|_| ExchangeError::NoAnswer { address, bound })?
}

async fn exchange_unbounded<B>(address: SocketAddr, request: Request<B>) -> Result<Answer, ExchangeError>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn StandardError + Send + Sync>>,
{
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|source| ExchangeError::Connect { address, source })?;
    let broken = |source| ExchangeError::Broken { address, source };
    let (mut requests, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
    let _connection = AbortOnDrop(tokio::spawn(async move {
        // Its failure reaches the caller as the failure of the request.
        let _ = connection.await;
    }));
    let (parts, body) = requests.send_request(request).await.map_err(broken)?.into_parts();
    let body = body.collect().await.map_err(broken)?.to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

/// A task that ends with its owner.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A header's value, if it is there and is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's value as a number.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// An answer with a status, no headers and no body.
pub(crate) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    with_body(status, Bytes::new())
}

/// An answer with a status and a body.
pub(crate) fn with_body(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = with_body(status, Bytes::from(body));
    set(&mut response, hyper::header::CONTENT_TYPE.as_str(), "application/json");
    response
}

/// Sets a header; a value that HTTP cannot carry is left out.
pub(crate) fn set(response: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
