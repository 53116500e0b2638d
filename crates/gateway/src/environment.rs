//! Routes, services and limits as the operators configure them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::route::Route;
use crate::service::Service;

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of an environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Version, which only increases.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
}

impl Environment {
    /// Creates an environment; sorts the routes so that the longest prefix
    /// matches first.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<id::Service, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            routes: by_host,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the services that run models, with their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&id::Service, &crate::service::Engine)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
    }
}
