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

/// Failed deliveries after which a message is given up where the route names none.
const DEFAULT_RETRIES: u32 = 3;

/// How long a message is kept where the route does not tell.
const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What becomes of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They are messages: stored, acknowledged, and delivered later. Also where the kind is not given.
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
    /// What becomes of them.
    pub kind: RouteKind,
    /// Time for a single delivery; above 0.
    pub timeout: Duration,
    /// Time wanted until the client's answer; [`Route::timeout`] where none is given.
    pub target_latency: Duration,
    /// Time wanted from the first send to the start of a run; [`Route::timeout`] where none is given.
    pub target_start: Duration,
    /// 0 is the highest, also where none is given.
    pub priority: u32,
    /// Service that gets the requests; it is in the same configuration.
    pub service: ServiceName,
    /// Failed deliveries after which a message is given up, as it is written; see [`Route::attempts`].
    pub max_retries: u32,
    /// Whether messages with the same key run one after the other.
    pub fifo: bool,
    /// A message ends this long after it was sent first.
    pub retention: Duration,
    /// Whether the end of a message is told to a URL that the client names.
    pub callback: bool,
}

impl Route {
    /// After this many failed deliveries a message is given up: [`Route::max_retries`], but one at least, since
    /// a message is not given up before it was tried.
    pub fn attempts(&self) -> NonZeroU32 {
        NonZeroU32::new(self.max_retries).unwrap_or(NonZeroU32::MIN)
    }
}

impl TryFrom<messages::Route> for Route {
    type Error = ConfigurationError;

    fn try_from(message: messages::Route) -> Result<Self, ConfigurationError> {
        let name = RouteName::from(message.name);
        let check = Checker::new(Item::Route(name.clone()));
        let timeout = check.positive_span("timeoutMs", message.timeout_ms, MILLISECONDS)?;
        let host = HostName::new(&message.hostname);
        Ok(Self {
            host: host.ok_or_else(|| ConfigurationError::EmptyHost(name.clone()))?,
            name: check.name(name)?,
            path_prefix: check.path(PathKey::PathPrefix, message.path_prefix)?,
            kind: kind(message.route_type),
            timeout,
            target_latency: check.span_or(
                "targetLatencyMs",
                message.target_latency_ms,
                MILLISECONDS,
                timeout,
            )?,
            target_start: check.span_or("targetStartMs", message.target_start_ms, MILLISECONDS, timeout)?,
            priority: message.priority.unwrap_or(0),
            service: ServiceName::from(message.backend),
            max_retries: message.max_retries.unwrap_or(DEFAULT_RETRIES),
            fifo: message.fifo.unwrap_or(false),
            retention: check.span_or("retentionS", message.retention_s, SECONDS, DEFAULT_RETENTION)?,
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
