//! A route of an environment.

use std::time::Duration;

use strum::{Display, EnumString};

use crate::id;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a series of events; may run at most once unless resumable.
    Stream,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Service.
    pub service: id::Service,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Where the requests of one path prefix go, and how.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, unique in the environment.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the paths, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is kept without an answer.
    pub timeout: Duration,
    /// Latency objective: the time to the answer, or to the first event.
    pub objective: Duration,
    /// Longest pause between two events that still meets the objective.
    pub event_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services that take its requests.
    pub shares: Vec<Share>,
    /// Runners that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may be continued at another runner.
    pub resumable: bool,
}

impl Route {
    /// Picks the service for a request; equal seeds pick equally.
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

    /// Whether a request may run at more than one runner from its beginning.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}
