//! Why a configuration is invalid.

use crate::host::HostName;
use crate::names::{RouteName, ServiceName};
use derive_more::Display;
use std::net::AddrParseError;
use std::str::Utf8Error;
use thiserror::Error;

/// A part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Item {
    /// A route.
    #[display("route {_0}")]
    Route(RouteName),
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// The limits on requests.
    #[display("limits")]
    Limits,
}

/// A field with a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PathKey {
    /// `pathPrefix` of a route.
    #[display("pathPrefix")]
    PathPrefix,
    /// `healthCheckPath` of a service.
    #[display("healthCheckPath")]
    HealthCheckPath,
}

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The body is not UTF-8.
    #[error("the body is no UTF-8")]
    NotUtf8(#[from] Utf8Error),
    /// The body is not JSON, is truncated, continues after its end, lacks a field, or has one of another type.
    #[error("the body cannot be read in full: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// There are more routes than are accepted.
    #[error("{count} routes are too many, {max} are the most")]
    TooManyRoutes {
        /// Their number.
        count: usize,
        /// The maximum.
        max: usize,
    },
    /// There are more services than are accepted.
    #[error("{count} services are too many, {max} are the most")]
    TooManyServices {
        /// Their number.
        count: usize,
        /// The maximum.
        max: usize,
    },
    /// A route or service has an empty name.
    #[error("{0}: the name is empty")]
    EmptyName(Item),
    /// Two routes have one name.
    #[error("two routes have the name {0}")]
    DuplicateRoute(RouteName),
    /// Two services have one name.
    #[error("two services have the name {0}")]
    DuplicateService(ServiceName),
    /// A route leads to a service that is not in the configuration.
    #[error("route {route}: there is no service {service}")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} both have the host {host} and the prefix {path_prefix}")]
    DuplicateMatch {
        /// The route that comes first in the configuration.
        first: RouteName,
        /// The other.
        second: RouteName,
        /// Their host.
        host: HostName,
        /// Their prefix.
        path_prefix: Box<str>,
    },
    /// The host of a route is empty.
    #[error("route {0}: the host is empty")]
    EmptyHost(RouteName),
    /// A path does not start with `/`.
    #[error("{item}: {key} {path:?} does not start with a slash")]
    Path {
        /// The route or service.
        item: Item,
        /// The field.
        key: PathKey,
        /// Its value.
        path: Box<str>,
    },
    /// A number that must be above 0 is not.
    #[error("{item}: {key} must be above 0")]
    Zero {
        /// The route, or the limits.
        item: Item,
        /// The field.
        key: &'static str,
    },
    /// A number is below 0 or implausibly large.
    #[error("{item}: {key} cannot be {value}")]
    OutOfRange {
        /// The route or service, or the limits.
        item: Item,
        /// The field.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// The endpoint of a service is not an address with a port.
    #[error("service {service}: staticEndpoint {endpoint:?} is no address with a port")]
    Endpoint {
        /// The service.
        service: ServiceName,
        /// The endpoint as written.
        endpoint: Box<str>,
        /// Why it is invalid.
        #[source]
        source: AddrParseError,
    },
}
