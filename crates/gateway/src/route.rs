//! Routes of an environment, which assign requests to services.

use std::time::Duration;

use strum::{Display, EnumString};

use crate::id;

/// Semantics of the requests on a route, which decide how often one may run.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// The response is a stream of events; may run at most once unless resumable.
    Stream,
}

/// Share of a route's requests that one service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Service that gets the requests.
    pub service: id::Service,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Destination and limits of the requests under one path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, unique in the environment.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Semantics of its requests.
    pub kind: Kind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency objective: the time to the response, or to the first event
    /// of a stream.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub event_gap: Option<Duration>,
    /// Time without an event after which the caller of a stream disconnects.
    pub idle_timeout: Option<Duration>,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Services that share the requests.
    pub shares: Vec<Share>,
    /// Maximum number of times that one request may run.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed on another runner.
    pub resumable: bool,
}

impl Route {
    /// Selects the service for a request by weight; equal seeds select the same
    /// service. Returns `None` if the weights sum to zero.
    #[must_use]
    pub fn service(&self, seed: u64) -> Option<&id::Service> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = seed.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}
