//! An environment as the operators want it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::route::Route;
use crate::service::Service;

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
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
    /// Version; only rises.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
}

impl Environment {
    /// Makes an environment with its routes in order of choice.
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

    /// The route of the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Services that run models.
    pub fn engines(&self) -> impl Iterator<Item = (&id::Service, &crate::service::Engine)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
    }
}
