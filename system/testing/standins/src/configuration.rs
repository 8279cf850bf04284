//! Configurations as the operator sends them, valid ones and invalid ones.

use crate::identity::ServiceName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The version of a configuration; 0 stands for none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A route of a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` it is picked by.
    pub hostname: String,
    /// The beginning of the paths it is picked by.
    pub path_prefix: String,
    /// `deferred` where requests are messages.
    pub route_type: String,
    /// For a single delivery, in ms.
    pub timeout_ms: u64,
    /// For the 202, in ms.
    pub target_latency_ms: u64,
    /// 0 is the highest.
    pub priority: u32,
    /// The service that runs its messages.
    pub backend: ServiceName,
    /// A message ends with so many 500s.
    pub max_retries: u32,
    /// Whether messages carry an order key.
    pub fifo: bool,
    /// A message ends so long after it was sent, in seconds.
    pub retention_s: f64,
    /// Whether the end of a message is told to a receiver.
    pub callback: bool,
    /// For the start of a run, in ms.
    pub target_start_ms: u64,
}

impl Route {
    /// A route whose messages have no order and no call-back.
    pub fn plain(name: &str, hostname: &str, path_prefix: &str, backend: &str) -> Self {
        Self {
            name: name.to_owned(),
            hostname: hostname.to_owned(),
            path_prefix: path_prefix.to_owned(),
            route_type: "deferred".to_owned(),
            timeout_ms: 2000,
            target_latency_ms: 120,
            priority: 2,
            backend: ServiceName::from(backend),
            max_retries: 4,
            fifo: false,
            retention_s: 90.0,
            callback: false,
            target_start_ms: 1000,
        }
    }

    /// With messages in order for each order key.
    pub fn fifo(mut self) -> Self {
        self.fifo = true;
        self
    }

    /// With call-backs.
    pub fn callback(mut self) -> Self {
        self.callback = true;
        self
    }

    /// With another time-out for a single delivery.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout_ms = timeout.as_millis() as u64;
        self
    }

    /// With another number of failed attempts after which a message ends.
    pub fn with_max_retries(mut self, max_retries: u32) -> Self {
        self.max_retries = max_retries;
        self
    }

    /// With another time after which a message ends.
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention_s = retention.as_secs_f64();
        self
    }

    /// With another priority.
    pub fn with_priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }
}

/// A service of a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path of its workers' health checks.
    pub health_check_path: String,
    /// Connections that each of its workers accepts.
    pub max_conns: usize,
    /// `h1`.
    pub protocol: String,
    /// Whether connections are encrypted.
    pub tls: bool,
    /// Messages a second from all dispatchers together; 0 means no limit.
    pub rate_per_s: f64,
    /// Whether repeats are answered from a table.
    pub idempotent: bool,
    /// Always false here.
    pub pull: bool,
    /// The address of a single endpoint that is on no list.
    pub static_endpoint: Option<SocketAddr>,
}

impl Service {
    /// A service whose workers are on the platform's list.
    pub fn listed(name: &str) -> Self {
        Self {
            name: ServiceName::from(name),
            health_check_path: "/health".to_owned(),
            max_conns: 64,
            protocol: "h1".to_owned(),
            tls: false,
            rate_per_s: 0.0,
            idempotent: false,
            pull: false,
            static_endpoint: None,
        }
    }

    /// A service that is a single endpoint, on no list.
    pub fn single_endpoint(name: &str, address: SocketAddr, rate_per_s: f64) -> Self {
        Self { static_endpoint: Some(address), rate_per_s, ..Self::listed(name) }
    }

    /// Whose workers share a table of ids.
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Whose workers accept so many connections each.
    pub fn with_max_connections(mut self, max_conns: usize) -> Self {
        self.max_conns = max_conns;
        self
    }
}

/// What dispatchers bear of their clients.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// Of all headers together.
    pub max_header_bytes: u64,
    /// Of a body.
    pub max_body_bytes: u64,
    /// For the headers to arrive, in ms.
    pub header_timeout_ms: u64,
    /// For a connection without a request, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// What is wrong with an invalid configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    /// The body ends in the middle.
    CutShort,
    /// The body is no JSON.
    NotJson,
    /// The first route names a service that is not there.
    UnknownService,
    /// Two routes have the same host and prefix.
    DuplicateRoute,
    /// The first route's `timeoutMs` is 0.
    ZeroTimeout,
}

impl Defect {
    /// Every defect.
    pub const ALL: [Defect; 5] = [
        Defect::CutShort,
        Defect::NotJson,
        Defect::UnknownService,
        Defect::DuplicateRoute,
        Defect::ZeroTimeout,
    ];
}

/// A configuration as it is sent: its version and the bytes of its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The JSON body.
    pub body: Bytes,
}

/// Makes configurations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationBuilder {
    version: ConfigurationVersion,
    routes: Vec<Route>,
    #[serde(rename = "backends")]
    services: Vec<Service>,
    limits: Limits,
}

impl ConfigurationBuilder {
    /// A configuration without routes and services.
    pub fn new(version: u64) -> Self {
        Self { version: ConfigurationVersion(version), ..Self::default() }
    }

    /// The same under another version.
    pub fn with_version(mut self, version: u64) -> Self {
        self.version = ConfigurationVersion(version);
        self
    }

    /// With a route, in place of one of the same name.
    pub fn route(mut self, route: Route) -> Self {
        self.routes.retain(|known| known.name != route.name);
        self.routes.push(route);
        self
    }

    /// Without the route of that name.
    pub fn without_route(mut self, name: &str) -> Self {
        self.routes.retain(|route| route.name != name);
        self
    }

    /// With a service, in place of one of the same name.
    pub fn service(mut self, service: Service) -> Self {
        self.services.retain(|known| known.name != service.name);
        self.services.push(service);
        self
    }

    /// With limits.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// The configuration as it is sent.
    ///
    /// # Errors
    /// If a number in it cannot be written as JSON.
    pub fn build(&self) -> Result<Configuration, serde_json::Error> {
        let body = Bytes::from(serde_json::to_vec(self)?);
        Ok(Configuration { version: self.version, body })
    }

    /// The configuration as it is sent, with something wrong in it.
    ///
    /// # Errors
    /// If a number in it cannot be written as JSON.
    pub fn build_with(&self, defect: Defect) -> Result<Configuration, serde_json::Error> {
        let mut spoilt = self.clone();
        match defect {
            Defect::UnknownService => spoilt.change_first(|route| route.backend = "no-such-service".into()),
            Defect::ZeroTimeout => spoilt.change_first(|route| route.timeout_ms = 0),
            Defect::DuplicateRoute => spoilt.repeat_first(),
            Defect::CutShort | Defect::NotJson => {}
        }
        let mut configuration = spoilt.build()?;
        match defect {
            Defect::CutShort => configuration.body.truncate(configuration.body.len() / 2),
            Defect::NotJson => configuration.body = Bytes::from_static(b"version: none of it JSON"),
            _ => {}
        }
        Ok(configuration)
    }

    fn change_first(&mut self, change: impl FnOnce(&mut Route)) {
        self.routes.first_mut().map(change);
    }

    fn repeat_first(&mut self) {
        let Some(first) = self.routes.first() else { return };
        let repeated = Route { name: format!("{}-again", first.name), ..first.clone() };
        self.routes.push(repeated);
    }
}
