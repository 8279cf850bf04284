//! The configuration in force, as intake, delivery and the front need it.

use millrudder_configuration::{Configuration, ConfigurationError, Route, RouteKind, RouteTable};
use millrudder_delivery::{Resolve, ResolvedRoute, Service};
use millrudder_protocol::Address;
use millrudder_system_http::front::RequestLimits;
use std::sync::Arc;
use std::time::Duration;

/// Beyond its headers' time, a body may take so long.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A configuration, read.
pub struct InForce {
    pub version: u64,
    configuration: Configuration,
    table: RouteTable,
}

impl InForce {
    /// # Errors
    /// The text is no configuration: a core machine never lets one come into force.
    pub fn read(json: &[u8]) -> Result<Self, ConfigurationError> {
        let configuration = Configuration::from_json(json)?;
        let table = RouteTable::new(&configuration);
        Ok(InForce { version: configuration.version().0, configuration, table })
    }

    /// The route of a request whose messages are kept and delivered.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path).filter(|route| route.kind == RouteKind::Deferred)
    }

    /// A service has a common ceiling, so that all its messages lie in one shard.
    pub fn has_ceiling(&self, route: &Route) -> bool {
        self.configuration.service(&route.service).is_some_and(|service| service.rate_per_second.is_some())
    }

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

    pub fn request_limits(&self) -> RequestLimits {
        let limits = self.configuration.limits();
        RequestLimits {
            max_header_bytes: limits.max_header_bytes as usize,
            max_body_bytes: limits.max_body_bytes as usize,
            header_timeout: limits.header_timeout,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: limits.idle_timeout,
        }
    }
}

impl Resolve for InForce {
    fn resolve(&self, host: &str, path: &str) -> Option<ResolvedRoute> {
        let path = path.split('?').next().unwrap_or(path);
        let route = self.route(host, path)?;
        let timeout_ms = route.timeout.as_millis() as u32;
        Some(ResolvedRoute { service: Arc::from(&*route.service), timeout_ms })
    }
}
