//! Requests and responses as a handler sees them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{self, HeaderName};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// A complete request.
///
/// Header values and the path share the buffer that the head was read into: copy what is retained for long. The body is
/// a copy of its own.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target, as sent.
    pub path_and_query: PathAndQuery,
    /// All headers.
    pub headers: HeaderMap,
    /// The body, without its framing.
    pub body: Bytes,
    /// The authority of a request line in absolute form, which takes precedence over `Host`.
    pub authority: Option<http::uri::Authority>,
}

impl Request {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.path_and_query.path()
    }

    /// The requested host, as sent, without its port; empty if none is named.
    pub fn host(&self) -> &str {
        match &self.authority {
            Some(authority) => authority.host(),
            None => without_port(self.header(&header::HOST).unwrap_or_default()),
        }
    }

    /// The first value of a header, if it is visible ASCII.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// `host` of `host:port`; the colons of a bracketed IPv6 address are its own.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// A complete response; its length is always sent.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// Headers besides those about the connection and the body's length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: StatusCode) -> Response {
        Response { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// A response with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response {
        let json = HeaderValue::from_static("application/json");
        Response::bytes(status, body).with_header(header::CONTENT_TYPE, json)
    }

    /// A response with a body of no stated type.
    pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Response {
        Response { status, headers: HeaderMap::new(), body: body.into() }
    }

    /// Sets a header, replacing any of that name.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Response {
        self.headers.insert(name, value);
        self
    }

    /// Asks the client to close the connection after this response, as the server does.
    pub fn closing(self) -> Response {
        self.with_header(header::CONNECTION, HeaderValue::from_static("close"))
    }
}

/// The response of a handler.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Answers requests.
pub type Handler = Rc<dyn Fn(Request) -> ResponseFuture>;

/// Makes a [`Handler`] of an async function.
pub fn handler<F, R>(function: F) -> Handler
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    Rc::new(move |request| Box::pin(function(request)))
}
