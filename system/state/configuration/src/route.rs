//! Routes.

use crate::check::{Checker, MILLISECONDS, SECONDS};
use crate::error::{ConfigurationError, Item, PathKey};
use crate::host::HostName;
use crate::messages;
use crate::names::{RouteName, ServiceName};
use std::num::NonZeroU32;
use std::time::Duration;

/// `routeType` of routes whose requests are stored and delivered later.
const DEFERRED: &str = "deferred";

/// Failed deliveries after which a message is dead-lettered, where the route names no number.
const DEFAULT_RETRIES: u32 = 3;

/// Retention of messages where the route names none.
const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// How a route's requests are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They are messages: stored, acknowledged, and delivered later. The default.
    Deferred,
    /// A kind that this system does not serve, by its name in the configuration.
    Other(Box<str>),
}

/// Requests of one host below one path, and how they are to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Unique in a configuration.
    pub name: RouteName,
    /// Host of the requests.
    pub host: HostName,
    /// Start of the paths of the requests.
    pub path_prefix: Box<str>,
    /// How they are handled.
    pub kind: RouteKind,
    /// Time-out of a single delivery; above 0.
    pub timeout: Duration,
    /// Latency target of the client's answer; [`Route::timeout`] where none is given.
    pub target_latency: Duration,
    /// Target time from the first send to the start of a run; [`Route::timeout`] where none is given.
    pub target_start: Duration,
    /// Priority; 0, the default, is the highest.
    pub priority: u32,
    /// Service that gets the requests; it is in the same configuration.
    pub service: ServiceName,
    /// Failed deliveries after which a message is dead-lettered, as written; see [`Route::max_attempts`].
    pub max_retries: u32,
    /// Whether messages with the same key run one after the other.
    pub fifo: bool,
    /// Time after a message was first sent after which it ends.
    pub retention: Duration,
    /// Whether the end of a message is reported to a URL that the client names.
    pub callback: bool,
}

impl Route {
    /// Failed deliveries after which a message is dead-lettered: [`Route::max_retries`], but at least one, since a message
    /// is not dead-lettered before its first attempt.
    pub fn max_attempts(&self) -> NonZeroU32 {
        NonZeroU32::new(self.max_retries).unwrap_or(NonZeroU32::MIN)
    }
}

impl TryFrom<messages::Route> for Route {
    type Error = ConfigurationError;

    fn try_from(message: messages::Route) -> Result<Self, ConfigurationError> {
        let name = RouteName::from(message.name);
        let check = Checker::new(Item::Route(name.clone()));
        let timeout = check.positive_duration("timeoutMs", message.timeout_ms, MILLISECONDS)?;
        let host = HostName::new(&message.hostname);
        Ok(Self {
            host: host.ok_or_else(|| ConfigurationError::EmptyHost(name.clone()))?,
            name: check.name(name)?,
            path_prefix: check.path(PathKey::PathPrefix, message.path_prefix)?,
            kind: kind(message.route_type),
            timeout,
            target_latency: check.duration_or(
                "targetLatencyMs",
                message.target_latency_ms,
                MILLISECONDS,
                timeout,
            )?,
            target_start: check.duration_or(
                "targetStartMs",
                message.target_start_ms,
                MILLISECONDS,
                timeout,
            )?,
            priority: message.priority.unwrap_or(0),
            service: ServiceName::from(message.backend),
            max_retries: message.max_retries.unwrap_or(DEFAULT_RETRIES),
            fifo: message.fifo.unwrap_or(false),
            retention: check.duration_or("retentionS", message.retention_s, SECONDS, DEFAULT_RETENTION)?,
            callback: message.callback.unwrap_or(false),
        })
    }
}

fn kind(route_type: Option<String>) -> RouteKind {
    match route_type {
        Some(other) if other != DEFERRED => RouteKind::Other(other.into()),
        _ => RouteKind::Deferred,
    }
}
