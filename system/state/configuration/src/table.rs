//! Lookup of a request's route.

use crate::configuration::Configuration;
use crate::host::{normalize, HostName};
use crate::route::Route;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The routes of one configuration, indexed for lookup. It is immutable; share it by `Arc`.
#[derive(Clone, Debug)]
pub struct RouteTable {
    hosts: BTreeMap<HostName, HostRoutes>,
}

impl RouteTable {
    /// The table of a configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut routes: BTreeMap<HostName, Vec<Arc<Route>>> = BTreeMap::new();
        for route in configuration.routes() {
            routes.entry(route.host.clone()).or_default().push(Arc::clone(route));
        }
        let hosts = routes.into_iter().map(|(host, routes)| (host, HostRoutes::new(routes)));
        Self { hosts: hosts.collect() }
    }

    /// The route of a request: the one of its host with the longest prefix of its path.
    ///
    /// `host` is the `Host` header, whose port and case are ignored; `path` may have a query, which is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&*normalize(host))?;
        let end = path.find('?').unwrap_or(path.len());
        routes.find(&path[..end])
    }
}

/// Routes of one host, sorted by prefix.
#[derive(Clone, Debug)]
struct HostRoutes {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    route: Arc<Route>,
    /// The entry with the longest proper prefix of this entry's prefix.
    shorter: Option<usize>,
}

impl HostRoutes {
    fn new(mut routes: Vec<Arc<Route>>) -> Self {
        routes.sort_by(|one, other| one.path_prefix.cmp(&other.path_prefix));
        let mut host = Self { entries: Vec::with_capacity(routes.len()) };
        for route in routes {
            let shorter = host.longest_from(host.entries.len().checked_sub(1), &route.path_prefix);
            host.entries.push(Entry { route, shorter });
        }
        host
    }

    /// Everything that sorts between a prefix of `path` and `path` itself starts with that prefix. So the last entry that
    /// sorts up to `path` is the result, or has it in its chain of shorter ones.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let following = self.entries.partition_point(|entry| *entry.route.path_prefix <= *path);
        let found = self.longest_from(following.checked_sub(1), path)?;
        Some(&self.entries[found].route)
    }

    /// The first prefix of `path` in the chain of shorter ones that begins at `start`.
    fn longest_from(&self, start: Option<usize>, path: &str) -> Option<usize> {
        let mut candidate = start;
        while let Some(index) = candidate {
            let entry = &self.entries[index];
            if path.starts_with(&*entry.route.path_prefix) {
                return Some(index);
            }
            candidate = entry.shorter;
        }
        None
    }
}
