//! A whole configuration, checked.

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

/// Most routes of a configuration: far above what deployments have, so that a spoilt body cannot fill the memory.
const MOST_ROUTES: usize = 65_536;

/// Most services of a configuration, for the same reason.
const MOST_SERVICES: usize = 65_536;

/// Everything the operator sets. Names of routes and of services are unique, every route's service is there, and
/// no two routes have the same host and prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    version: ConfigurationVersion,
    digest: ConfigurationDigest,
    routes: BTreeMap<RouteName, Arc<Route>>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    limits: RequestLimits,
}

impl Configuration {
    /// Reads the body as the operator sent it and checks all but the version, for which
    /// [`check_successor`](crate::check_successor) is there. The caller bounds the body's length.
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

    /// The configuration's number.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The digest of the body from which it was read.
    pub fn digest(&self) -> ConfigurationDigest {
        self.digest
    }

    /// Limits on what a client may send.
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

    /// The service of that name; always there for [`Route::service`] of this configuration's routes.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// The routes read so far, by host and prefix.
type Places = BTreeMap<(HostName, Box<str>), RouteName>;

fn services(
    backends: Vec<messages::Backend>,
) -> Result<BTreeMap<ServiceName, Arc<Service>>, ConfigurationError> {
    if backends.len() > MOST_SERVICES {
        return Err(ConfigurationError::TooManyServices { count: backends.len(), most: MOST_SERVICES });
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
    if messages.len() > MOST_ROUTES {
        return Err(ConfigurationError::TooManyRoutes { count: messages.len(), most: MOST_ROUTES });
    }
    let mut routes = BTreeMap::new();
    let mut places = Places::new();
    for message in messages {
        let route = Arc::new(Route::try_from(message)?);
        check_service(&route, services)?;
        check_place(&route, &mut places)?;
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

fn check_place(route: &Route, places: &mut Places) -> Result<(), ConfigurationError> {
    let place = (route.host.clone(), route.path_prefix.clone());
    let Some(first) = places.insert(place, route.name.clone()) else { return Ok(()) };
    Err(ConfigurationError::SamePlace {
        first,
        second: route.name.clone(),
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
    })
}
