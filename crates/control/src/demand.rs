//! Demand for models, summed over all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::rank::Rank;
use almondbank_wire::{id, peer};

/// A version of a model.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Id of the model.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
}

/// Waiting requests of one rank for one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waiting {
    /// Number of requests.
    pub count: u64,
    /// Time left until the earliest deadline.
    pub budget: Duration,
}

/// Demand for one target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Requests that arrived since the previous heartbeat of each instance.
    pub arrivals: u64,
    /// Requests running on runners.
    pub running: u64,
    /// Waiting requests, by rank.
    pub waiting: BTreeMap<Rank, Waiting>,
}

impl Demand {
    /// Number of waiting requests of all ranks.
    #[must_use]
    pub fn waiting_total(&self) -> u64 {
        self.waiting.values().map(|waiting| waiting.count).sum()
    }

    /// Whether there are no arrivals, no running and no waiting requests.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.arrivals == 0 && self.running == 0 && self.waiting_total() == 0
    }

    /// Adds the usage that one instance reports.
    pub fn add(&mut self, usage: &peer::Usage) {
        self.arrivals += usage.arrivals;
        self.running += usage.running;
        for waiting in &usage.waiting {
            let Ok(rank) = Rank::try_from(waiting.rank) else {
                continue;
            };
            let budget = Duration::from_millis(waiting.budget_ms);
            let sum = self.waiting.entry(rank).or_default();
            sum.budget = if sum.count == 0 {
                budget
            } else {
                sum.budget.min(budget)
            };
            sum.count += waiting.count;
        }
    }
}

/// Sums the usage reports of all instances, by target.
pub fn sum<'a>(usages: impl Iterator<Item = &'a peer::Usage>) -> BTreeMap<Target, Demand> {
    let mut demands: BTreeMap<Target, Demand> = BTreeMap::new();
    for usage in usages {
        let target = Target {
            model: usage.model.clone(),
            version: usage.version.clone(),
        };
        demands.entry(target).or_default().add(usage);
    }
    demands
}
