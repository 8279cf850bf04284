//! Requests that the client sends.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::HeaderValue;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri};
use http_body_util::Full;

use crate::headers;

/// The receiver of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// Connections that may be open to the address at one time, idle ones included.
    pub max_connections: usize,
}

/// A request to a worker. The headers must have `Host`; those about a connection or the framing of a body are not
/// sent. `X-Request-Id` is set from `request_id`.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// The method.
    pub method: Method,
    /// The target.
    pub path_and_query: PathAndQuery,
    /// The headers, `Host` among them.
    pub headers: HeaderMap,
    /// The request's id, which the answer must repeat.
    pub request_id: HeaderValue,
    /// The body.
    pub body: Bytes,
}

impl WorkerRequest {
    /// The request as hyper sends it.
    pub(super) fn into_hyper(self) -> http::Request<Full<Bytes>> {
        let mut headers = self.headers;
        headers::strip_per_connection(&mut headers);
        headers.insert(headers::REQUEST_ID, self.request_id);
        build(self.method, self.path_and_query, headers, self.body)
    }
}

/// A request in origin form.
pub(super) fn build(
    method: Method,
    path_and_query: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(path_and_query);
    *request.headers_mut() = headers;
    request
}
