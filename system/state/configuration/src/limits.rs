//! Limits on requests of clients.

use crate::check::{Checker, MILLISECONDS};
use crate::error::{ConfigurationError, Item};
use crate::messages;
use std::time::Duration;

/// Limits on requests of clients. Fields that are absent from the configuration have the value of [`Default`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Request line and headers together, in bytes.
    pub max_header_bytes: u64,
    /// Body, in bytes.
    pub max_body_bytes: u64,
    /// Time from the first byte of a request to the end of its headers.
    pub header_timeout: Duration,
    /// Time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl TryFrom<messages::Limits> for RequestLimits {
    type Error = ConfigurationError;

    fn try_from(message: messages::Limits) -> Result<Self, ConfigurationError> {
        let check = Checker::new(Item::Limits);
        let default = Self::default();
        let duration = |key, value: Option<f64>, default| {
            value.map_or(Ok(default), |value| check.positive_duration(key, value, MILLISECONDS))
        };
        Ok(Self {
            max_header_bytes: message.max_header_bytes.unwrap_or(default.max_header_bytes),
            max_body_bytes: message.max_body_bytes.unwrap_or(default.max_body_bytes),
            header_timeout: duration("headerTimeoutMs", message.header_timeout_ms, default.header_timeout)?,
            idle_timeout: duration("idleTimeoutMs", message.idle_timeout_ms, default.idle_timeout)?,
        })
    }
}
