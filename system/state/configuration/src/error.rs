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

/// A field that holds a path.
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
    /// The body is no text.
    #[error("the body is no UTF-8")]
    NotUtf8(#[from] Utf8Error),
    /// The body is no JSON, is cut short, goes on after its end, lacks a field, or has one of another kind.
    #[error("the body cannot be read in full: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// There are more routes than are accepted.
    #[error("{count} routes are too many, {most} are the most")]
    TooManyRoutes {
        /// How many there are.
        count: usize,
        /// The most that are accepted.
        most: usize,
    },
    /// There are more services than are accepted.
    #[error("{count} services are too many, {most} are the most")]
    TooManyServices {
        /// How many there are.
        count: usize,
        /// The most that are accepted.
        most: usize,
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
        /// What it names.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} both have the host {host} and the prefix {path_prefix}")]
    SamePlace {
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
        /// What it holds.
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
    /// A number is below 0 or too large to be meant.
    #[error("{item}: {key} cannot be {value}")]
    OutOfRange {
        /// The route or service, or the limits.
        item: Item,
        /// The field.
        key: &'static str,
        /// What it holds.
        value: f64,
    },
    /// The endpoint of a service is no address with a port.
    #[error("service {service}: staticEndpoint {endpoint:?} is no address with a port")]
    Endpoint {
        /// The service.
        service: ServiceName,
        /// What is given.
        endpoint: Box<str>,
        /// What is wrong with it.
        #[source]
        source: AddrParseError,
    },
}
