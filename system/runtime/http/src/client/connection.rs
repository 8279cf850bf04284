//! One connection of the client.

use std::cell::Cell;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::error::{ConnectFailure, SendError};
use super::limits::ClientLimits;
use crate::headers;
use crate::socket;
use crate::watched::{Observer, Watched};

/// The smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Latest requests of a connection that are remembered. A second answer to an older one meets another request before,
/// or an idle connection, and is recognized there.
const REMEMBERED_REQUESTS: usize = 16;

/// An open connection; dropping it closes it.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    /// Bytes that were written before the present request.
    written_before: u64,
    /// Hashes of the ids of its latest requests, the present one included.
    carried: VecDeque<u64>,
    task: AbortHandle,
}

/// Observes the bytes on a connection.
#[derive(Debug, Default)]
struct Traffic {
    /// Bytes that the operating system has taken to send.
    written: Cell<u64>,
    /// Whether a request is under way.
    is_in_use: Cell<bool>,
    /// Whether bytes came while no request was under way.
    has_unsolicited_bytes: Cell<bool>,
}

impl Observer for Traffic {
    fn on_read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && !self.is_in_use.get() {
            self.has_unsolicited_bytes.set(true);
        }
    }

    fn on_written(&self, count: usize) {
        self.written.set(self.written.get() + count as u64);
    }

    fn on_flushed(&self) {}
}

/// A request that was not answered.
pub(super) enum Unanswered {
    /// It was not sent and is returned.
    NotSent(Box<http::Request<Full<Bytes>>>),
    /// It may have been sent.
    Failed(SendError),
}

impl Connection {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, limits: &ClientLimits) -> Result<Connection, SendError> {
        let stream = match timeout(limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendError::NotConnected(connect_failure(&error))),
            Err(_elapsed) => return Err(SendError::NotConnected(ConnectFailure::TimedOut)),
        };
        socket::tune(&stream, limits.user_timeout)
            .map_err(|error| SendError::NotConnected(connect_failure(&error)))?;
        Connection::start(stream, limits).await
    }

    /// Starts HTTP on an open stream.
    async fn start(stream: TcpStream, limits: &ClientLimits) -> Result<Connection, SendError> {
        let traffic = Rc::new(Traffic::default());
        let io = TokioIo::new(Watched::new(stream, Rc::clone(&traffic)));
        let handshake = http1::Builder::new()
            .max_header_size(limits.max_header_bytes)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .handshake(io)
            .await;
        let (sender, connection) = handshake.map_err(|_| SendError::ResetBeforeSent)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "worker connection closed");
            }
        });
        let carried = VecDeque::with_capacity(REMEMBERED_REQUESTS);
        Ok(Connection { sender, traffic, written_before: 0, carried, task: task.abort_handle() })
    }

    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection is open and done with its last request.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the peer sent bytes while no request was under way.
    pub(super) fn has_unsolicited_bytes(&self) -> bool {
        self.traffic.has_unsolicited_bytes.get()
    }

    /// No request is under way any more.
    pub(super) fn mark_idle(&self) {
        self.traffic.is_in_use.set(false);
    }

    /// Whether the operating system has taken any byte of the present request.
    pub(super) fn has_sent(&self) -> bool {
        self.traffic.written.get() > self.written_before
    }

    /// Whether the request of this id is among the latest: a second answer to it may still come.
    pub(super) fn has_carried(&self, request_id: &HeaderValue) -> bool {
        self.carried.contains(&digest(request_id))
    }

    fn remember(&mut self, request_id: &HeaderValue) {
        if self.carried.len() == REMEMBERED_REQUESTS {
            self.carried.pop_front();
        }
        self.carried.push_back(digest(request_id));
    }

    /// Sends the request and waits for the answer's head.
    pub(super) async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Unanswered> {
        if self.sender.ready().await.is_err() {
            return Err(Unanswered::NotSent(Box::new(request)));
        }
        self.traffic.is_in_use.set(true);
        self.written_before = self.traffic.written.get();
        if let Some(request_id) = request.headers().get(headers::REQUEST_ID) {
            self.remember(request_id);
        }
        let mut error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if let Some(request) = error.take_message() {
            return Err(Unanswered::NotSent(Box::new(request)));
        }
        Err(Unanswered::Failed(classify(&error.into_error(), self.has_sent())))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn digest(request_id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// What hyper's error says of a request of which bytes were `sent` or not.
fn classify(error: &hyper::Error, sent: bool) -> SendError {
    if error.is_parse() {
        return SendError::Garbled;
    }
    match sent {
        true => SendError::Reset,
        false => SendError::ResetBeforeSent,
    }
}

fn connect_failure(error: &io::Error) -> ConnectFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => ConnectFailure::Refused,
        io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
        _ => ConnectFailure::Local,
    }
}
