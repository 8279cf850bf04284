//! Limits of the client.

use std::time::Duration;

/// Limits of the client's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// How long an idle connection stays in the pool where the peer's `Keep-Alive` names no time-out.
    pub default_idle: Duration,
    /// The longest that an idle connection stays in the pool, whatever the peer allows.
    pub max_idle: Duration,
    /// Bytes of an answer's status line and headers; an answer beyond it is garbled.
    pub max_header_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            connect_timeout: Duration::from_millis(500),
            user_timeout: Duration::from_secs(3),
            default_idle: Duration::from_secs(2),
            max_idle: Duration::from_secs(20),
            max_header_bytes: 16 * 1024,
        }
    }
}
