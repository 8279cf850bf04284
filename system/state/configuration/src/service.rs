//! Services.

use crate::check::Checker;
use crate::error::{ConfigurationError, Item, PathKey};
use crate::messages;
use crate::names::ServiceName;
use std::net::SocketAddr;
use std::num::NonZeroU32;

/// Path of the health check where none is given.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// Connections that a worker accepts, where the number is absent or 0: few, since it resets those beyond its limit.
const DEFAULT_CONNECTIONS: NonZeroU32 = NonZeroU32::new(16).unwrap();

/// A service: workers, or a single endpoint, that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique in a configuration.
    pub name: ServiceName,
    /// Path of the health check; `/health` where none is given.
    pub health_check_path: Box<str>,
    /// Connections that one worker accepts, over all its callers.
    pub max_connections: NonZeroU32,
    /// Rate limit: requests per second over all dispatchers, above 0; `None` where there is none.
    pub rate_per_second: Option<f64>,
    /// Whether the service is idempotent: it answers a repeated request with its first success.
    pub idempotent: bool,
    /// The only endpoint; `None` where workers are discovered from the platform's list.
    pub static_endpoint: Option<SocketAddr>,
}

impl TryFrom<messages::Backend> for Service {
    type Error = ConfigurationError;

    fn try_from(message: messages::Backend) -> Result<Self, ConfigurationError> {
        let name = ServiceName::from(message.name);
        let check = Checker::new(Item::Service(name.clone()));
        let path = message.health_check_path.filter(|path| !path.is_empty());
        let path = path.unwrap_or_else(|| DEFAULT_HEALTH_CHECK_PATH.to_owned());
        let rate = check.non_negative("ratePerS", message.rate_per_s.unwrap_or(0.0))?;
        let connections = message.max_conns.and_then(NonZeroU32::new);
        Ok(Self {
            static_endpoint: endpoint(&name, message.static_endpoint)?,
            name: check.name(name)?,
            health_check_path: check.path(PathKey::HealthCheckPath, path)?,
            max_connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
            rate_per_second: (rate > 0.0).then_some(rate),
            idempotent: message.idempotent.unwrap_or(false),
        })
    }
}

fn endpoint(
    service: &ServiceName,
    endpoint: Option<String>,
) -> Result<Option<SocketAddr>, ConfigurationError> {
    let Some(endpoint) = endpoint else { return Ok(None) };
    let address = endpoint.parse().map_err(|source| ConfigurationError::Endpoint {
        service: service.clone(),
        endpoint: endpoint.into(),
        source,
    })?;
    Ok(Some(address))
}
