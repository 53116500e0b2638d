//! Routes, services and limits as the operators configure them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::route::Route;
use crate::service::{Engine, Service};
use crate::tenant::Directory;

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
    /// Tenants, if callers need keys.
    pub tenants: Option<Directory>,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
    /// Shortest objective for the gap between two events, by service.
    event_gaps: BTreeMap<id::Service, Duration>,
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
        let event_gaps = event_gaps(&routes);
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
            tenants: None,
            routes: by_host,
            event_gaps,
        }
    }

    /// Sets the tenants, whose keys callers need from then on.
    #[must_use]
    pub fn with_tenants(mut self, tenants: Directory) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the shortest objective for the gap between two events on the routes of
    /// `service`, if any is set.
    #[must_use]
    pub fn event_gap(&self, service: &str) -> Option<Duration> {
        self.event_gaps.get(service).copied()
    }

    /// Returns the engine of `service`, if it runs models.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Whether `service` runs models and has this one.
    #[must_use]
    pub fn has_model(&self, service: &str, model: &str) -> bool {
        let engine = self.engine(service);
        engine.is_some_and(|engine| engine.models.contains_key(model))
    }

    /// Returns the services that run models, with their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&id::Service, &Engine)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
    }
}

fn event_gaps(routes: &[Route]) -> BTreeMap<id::Service, Duration> {
    let mut gaps: BTreeMap<id::Service, Duration> = BTreeMap::new();
    for route in routes {
        for share in &route.shares {
            if let Some(gap) = route.event_gap {
                let shortest = gaps.entry(share.service.clone()).or_insert(gap);
                *shortest = gap.min(*shortest);
            }
        }
    }
    gaps
}
