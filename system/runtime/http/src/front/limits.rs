//! Limits of the server.

use std::time::Duration;

/// Limits of one request; they come with the configuration and may change while the server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of request line and headers; beyond it, and beyond 100 headers, the answer is 431.
    pub max_header_bytes: usize,
    /// Bytes of the body; beyond it the answer is 413.
    pub max_body_bytes: usize,
    /// From the first byte of a request to the end of its headers; then the connection is closed.
    pub header_timeout: Duration,
    /// From the headers to the end of the body; then the answer is 408.
    pub body_timeout: Duration,
    /// How long a connection may stay without a request; then it is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Limits of the server as a whole; fixed while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections open at one time; beyond it the connection that is idle for the longest is closed, and if none
    /// is idle the new one.
    pub max_connections: usize,
    /// How long a client may take to read an answer; then the connection is closed.
    pub answer_timeout: Duration,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 1_000,
            answer_timeout: Duration::from_secs(10),
            user_timeout: Duration::from_secs(5),
        }
    }
}
