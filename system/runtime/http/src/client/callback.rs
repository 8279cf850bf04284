//! The URL that a call-back goes to.

use std::net::SocketAddr;
use std::str::FromStr;

use http::uri::{PathAndQuery, Scheme};
use http::Uri;
use thiserror::Error;

/// The port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// A plain `http` URL with an IP number as its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallbackUrl {
    /// The host and port.
    pub address: SocketAddr,
    /// The target of the request.
    pub path_and_query: PathAndQuery,
}

/// Why a URL cannot be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UrlError {
    /// It cannot be parsed, or names no host.
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
        let port = authority.port_u16().unwrap_or(DEFAULT_PORT);
        let path_and_query = parts.path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/"));
        Ok(CallbackUrl { address: SocketAddr::new(ip, port), path_and_query })
    }
}
