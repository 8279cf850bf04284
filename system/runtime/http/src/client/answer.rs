//! Answers, and the values of their headers.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, StatusCode};
use thiserror::Error;

use crate::headers;

/// A worker's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// `X-Response-Signature`.
    pub signature: Option<String>,
    /// Whether the worker states that it did not execute the request (`X-Not-Executed`).
    pub not_executed: bool,
    /// `X-Server-Load`, where it can be parsed.
    pub load: Option<ServerLoad>,
    /// Whether the body was received completely; if not, the answer was truncated.
    pub complete: bool,
    /// From the call to the answer's last byte.
    pub elapsed: Duration,
}

/// The answer to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// The status.
    pub status: StatusCode,
    /// `X-Instance-Id`.
    pub instance_id: Option<String>,
    /// `X-Server-Load`, where it can be parsed.
    pub load: Option<ServerLoad>,
    /// Whether the body was received completely; if not, the answer was truncated.
    pub complete: bool,
    /// From the call to the answer's last byte.
    pub elapsed: Duration,
}

/// An answer with its complete body.
#[derive(Debug, Clone)]
pub struct Fetched {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body, without its framing.
    pub body: Bytes,
}

/// The load that a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it executes.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can execute at one time.
    pub slots: u32,
}

/// The header is not three numbers joined by commas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not three numbers joined by commas")]
pub struct LoadError;

impl FromStr for ServerLoad {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<ServerLoad, LoadError> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().map_err(|_| LoadError));
        let mut next = || numbers.next().unwrap_or(Err(LoadError));
        let load = ServerLoad { running: next()?, waiting: next()?, slots: next()? };
        match numbers.next() {
            None => Ok(load),
            Some(_) => Err(LoadError),
        }
    }
}

/// The first value of a header, if it is visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The load in the headers.
pub(super) fn load(headers: &HeaderMap) -> Option<ServerLoad> {
    text(headers, &headers::SERVER_LOAD)?.parse().ok()
}

/// The idle time-out in the peer's `Keep-Alive` header.
pub(super) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let parameters = text(headers, &headers::KEEP_ALIVE)?.split(',');
    let mut named = parameters.filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = named.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
