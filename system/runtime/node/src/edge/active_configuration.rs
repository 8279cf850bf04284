//! The active configuration, as intake, delivery and the front need it.

use arc_swap::{ArcSwap, ArcSwapOption};
use millrudder_clock::whole_millis;
use millrudder_configuration::{Configuration, ConfigurationError, Route, RouteKind, RouteTable};
use millrudder_delivery::{Resolve, ResolvedRoute, Service};
use millrudder_protocol::message::Message;
use millrudder_protocol::Address;
use millrudder_system_http::front::RequestLimits;
use std::sync::Arc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time-out of a request's body, beyond that of its headers.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The configuration that this dispatcher follows.
pub struct ActiveConfiguration {
    version: u64,
    configuration: Configuration,
    table: RouteTable,
}

impl ActiveConfiguration {
    /// Parses a configuration that the core has committed.
    ///
    /// # Errors
    /// The text is no configuration; the core accepts none that is not.
    pub fn from_json(json: &[u8]) -> Result<Self, ConfigurationError> {
        let configuration = Configuration::from_json(json)?;
        let table = RouteTable::new(&configuration);
        Ok(ActiveConfiguration { version: configuration.version().0, configuration, table })
    }

    /// The version that its author has given it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request that is stored as a message and delivered later.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path).filter(|route| route.kind == RouteKind::Deferred)
    }

    /// Whether the route's service has a common rate limit, so that all its messages are placed in one shard.
    pub fn has_rate_limit(&self, route: &Route) -> bool {
        self.configuration.service(&route.service).is_some_and(|service| service.rate_per_second.is_some())
    }

    /// The services, as delivery needs them.
    pub fn services(&self) -> Vec<Service> {
        let services = self.configuration.services().map(|service| Service {
            name: service.name.to_string(),
            health_path: service.health_check_path.to_string(),
            max_connections: service.max_connections.get(),
            rate_per_s: service.rate_per_second.unwrap_or(0.0),
            static_endpoint: service.static_endpoint.map(Address),
            idempotent: service.idempotent,
        });
        services.collect()
    }

    /// The limits of clients' requests. A body that no message has room for is too large, whatever the configuration says.
    pub fn request_limits(&self) -> RequestLimits {
        let limits = self.configuration.limits();
        RequestLimits {
            max_header_bytes: saturating_usize(limits.max_header_bytes),
            max_body_bytes: saturating_usize(limits.max_body_bytes).min(Message::MAX_ENCODED_BYTES),
            header_timeout: limits.header_timeout,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: limits.idle_timeout,
        }
    }
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

impl Resolve for ActiveConfiguration {
    fn resolve(&self, host: &str, path: &str) -> Option<ResolvedRoute> {
        let path = path.split('?').next().unwrap_or(path);
        let route = self.route(host, path)?;
        let timeout_ms = whole_millis(route.timeout);
        Some(ResolvedRoute { service: Arc::from(&*route.service), timeout_ms })
    }
}

/// What the host shares with the server of clients' requests.
#[derive(Clone)]
pub struct SharedConfiguration {
    /// The active configuration; `None` before there is one.
    pub active: Arc<ArcSwapOption<ActiveConfiguration>>,
    /// The limits of clients' requests.
    pub limits: Arc<ArcSwap<RequestLimits>>,
}

impl SharedConfiguration {
    /// No configuration, and the default limits.
    pub fn empty() -> Self {
        SharedConfiguration {
            active: Arc::new(ArcSwapOption::empty()),
            limits: Arc::new(ArcSwap::from_pointee(RequestLimits::default())),
        }
    }
}
