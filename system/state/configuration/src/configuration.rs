//! A complete, validated configuration.

use crate::digest::ConfigurationDigest;
use crate::error::ConfigurationError;
use crate::host::HostName;
use crate::limits::RequestLimits;
use crate::messages;
use crate::names::{RouteName, ServiceName};
use crate::object::Object;
use crate::route::Route;
use crate::service::Service;
use crate::version::ConfigurationVersion;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of routes: far above what deployments have, so that an invalid body cannot exhaust the memory.
const MAX_ROUTES: usize = 65_536;

/// Maximum number of services, for the same reason.
const MAX_SERVICES: usize = 65_536;

/// The operator's configuration. Names of routes and of services are unique, every route's service exists, and no two
/// routes have the same host and prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    version: ConfigurationVersion,
    digest: ConfigurationDigest,
    routes: BTreeMap<RouteName, Arc<Route>>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    limits: RequestLimits,
}

impl Configuration {
    /// Parses the body as the operator sent it and validates everything but the version, for which there is
    /// [`check_successor`](crate::check_successor). The caller limits the body's length.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn from_json(body: &[u8]) -> Result<Self, ConfigurationError> {
        let text = std::str::from_utf8(body)?;
        let Object(message) = serde_json::from_str::<Object<messages::Configuration>>(text)?;
        let services = services(message.backends)?;
        let routes = routes(message.routes, &services)?;
        let limits = message.limits.map(RequestLimits::try_from).transpose()?;
        Ok(Self {
            version: ConfigurationVersion(message.version),
            digest: ConfigurationDigest::of(body),
            routes,
            services,
            limits: limits.unwrap_or_default(),
        })
    }

    /// The configuration's version.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The digest of the body from which it was parsed.
    pub fn digest(&self) -> ConfigurationDigest {
        self.digest
    }

    /// Limits on requests of clients.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// All routes, by name.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Arc<Route>> {
        self.routes.values()
    }

    /// The route of that name.
    pub fn route(&self, name: &RouteName) -> Option<&Arc<Route>> {
        self.routes.get(name)
    }

    /// All services, by name.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The service of that name; always `Some` for [`Route::service`] of this configuration's routes.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// What a route matches.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RouteMatch {
    host: HostName,
    path_prefix: Box<str>,
}

/// Names of the routes parsed so far, by what they match.
type NamesByMatch = BTreeMap<RouteMatch, RouteName>;

fn services(
    backends: Vec<messages::Backend>,
) -> Result<BTreeMap<ServiceName, Arc<Service>>, ConfigurationError> {
    if backends.len() > MAX_SERVICES {
        return Err(ConfigurationError::TooManyServices { count: backends.len(), max: MAX_SERVICES });
    }
    let mut services = BTreeMap::new();
    for backend in backends {
        let service = Arc::new(Service::try_from(backend)?);
        let earlier = services.insert(service.name.clone(), service);
        if let Some(earlier) = earlier {
            return Err(ConfigurationError::DuplicateService(earlier.name.clone()));
        }
    }
    Ok(services)
}

fn routes(
    messages: Vec<messages::Route>,
    services: &BTreeMap<ServiceName, Arc<Service>>,
) -> Result<BTreeMap<RouteName, Arc<Route>>, ConfigurationError> {
    if messages.len() > MAX_ROUTES {
        return Err(ConfigurationError::TooManyRoutes { count: messages.len(), max: MAX_ROUTES });
    }
    let mut routes = BTreeMap::new();
    let mut names_by_match = NamesByMatch::new();
    for message in messages {
        let route = Arc::new(Route::try_from(message)?);
        check_service(&route, services)?;
        check_match(&route, &mut names_by_match)?;
        let earlier = routes.insert(route.name.clone(), route);
        if let Some(earlier) = earlier {
            return Err(ConfigurationError::DuplicateRoute(earlier.name.clone()));
        }
    }
    Ok(routes)
}

fn check_service(
    route: &Route,
    services: &BTreeMap<ServiceName, Arc<Service>>,
) -> Result<(), ConfigurationError> {
    if !services.contains_key(&route.service) {
        let (route, service) = (route.name.clone(), route.service.clone());
        return Err(ConfigurationError::UnknownService { route, service });
    }
    Ok(())
}

fn check_match(route: &Route, names_by_match: &mut NamesByMatch) -> Result<(), ConfigurationError> {
    let route_match = RouteMatch { host: route.host.clone(), path_prefix: route.path_prefix.clone() };
    let Some(first) = names_by_match.insert(route_match, route.name.clone()) else { return Ok(()) };
    Err(ConfigurationError::DuplicateMatch {
        first,
        second: route.name.clone(),
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
    })
}
