//! The URL that a call-back goes to: its only parser, for the process that accepts it and for those that call it.

use http::uri::{Authority, PathAndQuery, Scheme};
use http::Uri;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// The port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// A plain `http` URL with an IP number as its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallbackUrl {
    /// The host and port.
    pub address: SocketAddr,
    /// The target of the request; it begins with `/`.
    pub path_and_query: PathAndQuery,
}

/// Why a URL cannot be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UrlError {
    /// It cannot be parsed, names no host, or its port is not a number of 16 bits.
    #[error("not a URL")]
    Malformed,
    /// Its scheme is another one.
    #[error("not an http URL")]
    Scheme,
    /// Its host would have to be resolved.
    #[error("the host is not an IP number")]
    Host,
}

impl FromStr for CallbackUrl {
    type Err = UrlError;

    fn from_str(text: &str) -> Result<CallbackUrl, UrlError> {
        let uri: Uri = text.parse().map_err(|_| UrlError::Malformed)?;
        let parts = uri.into_parts();
        if parts.scheme != Some(Scheme::HTTP) {
            return Err(UrlError::Scheme);
        }
        let authority = parts.authority.ok_or(UrlError::Malformed)?;
        let host = authority.host().trim_start_matches('[').trim_end_matches(']');
        let ip = host.parse().map_err(|_| UrlError::Host)?;
        let address = SocketAddr::new(ip, port(&authority)?);
        Ok(CallbackUrl { address, path_and_query: target(parts.path_and_query)? })
    }
}

/// The port after the host, which may be absent or empty.
fn port(authority: &Authority) -> Result<u16, UrlError> {
    let host_and_port = authority.as_str().rsplit('@').next().unwrap_or_default();
    let after_host = host_and_port.strip_prefix(authority.host()).ok_or(UrlError::Malformed)?;
    match after_host.strip_prefix(':') {
        None | Some("") => Ok(DEFAULT_PORT),
        Some(digits) => digits.parse().map_err(|_| UrlError::Malformed),
    }
}

/// The target of the request (RFC 9112, section 3.2.1): an empty path is sent as `/`.
fn target(path_and_query: Option<PathAndQuery>) -> Result<PathAndQuery, UrlError> {
    match path_and_query {
        None => Ok(PathAndQuery::from_static("/")),
        Some(given) if given.as_str().starts_with('/') => Ok(given),
        Some(given) => format!("/{}", given.as_str()).parse().map_err(|_| UrlError::Malformed),
    }
}
