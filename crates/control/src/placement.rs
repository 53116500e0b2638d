//! Decides which replicas are loaded and unloaded.
//!
//! Demand from all instances for one target becomes one decision. Cold targets
//! are loaded in the order of worth over load time, which minimises the weighted
//! sum of waiting times on one server (Smith, "Various optimizers for
//! single-stage production", 1956) and serves as a heuristic for several slots.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::document::{self, Document};
use almondbank_wire::order::Tier;
use almondbank_wire::{id, row};

use crate::budget;
use crate::demand::{Demand, Target};
use crate::idle;
use crate::observation::Observation;
use crate::round::Round;

const DISK_SPEEDUP: u32 = 4;
const MEMORY_SPEEDUP: u32 = 20;
const RUNNING_PER_SURPLUS: u64 = 4;

/// A replica with a row.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The row.
    pub row: row::Replica,
    /// When this leader decided it or first read it.
    pub since: Duration,
    /// Where its checkpoint came from.
    pub tier: Tier,
    /// Run of the runner that has shown that it received the load order.
    pub confirmed: Option<id::Incarnation>,
}

impl Placed {
    /// The model version.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            model: self.row.model.clone(),
            version: self.row.version.clone(),
        }
    }

    /// Records what a report shows of the load order.
    pub fn observe(&mut self, seen: &Observation) {
        let resident = seen.resident(&self.row.replica).is_some();
        if resident || seen.has_finished(&self.row.load) {
            self.confirmed = Some(seen.report.incarnation.clone());
        }
    }

    /// Whether the run of the runner that reports has received the load order.
    #[must_use]
    pub fn is_confirmed(&self, seen: &Observation) -> bool {
        self.confirmed.as_ref() == Some(&seen.report.incarnation)
    }

    /// Memory that counts from the row on, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.row.bytes.saturating_add(self.row.pool_bytes)
    }

    /// Whether the replica is to stay loaded.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        self.row.unload.is_none()
    }
}

/// How one target was used.
#[derive(Clone, Debug)]
pub struct Usage {
    /// When it was last used.
    pub last: Duration,
    /// Gaps between its uses.
    pub history: idle::History,
    /// Since when one replica fewer would have done.
    pub quiet_since: Option<Duration>,
}

/// All that a round of decisions looks at.
#[derive(Debug)]
pub struct View<'a> {
    /// Time of the round.
    pub now: Duration,
    /// Document in force.
    pub document: &'a Document,
    /// Replicas with rows.
    pub replicas: &'a BTreeMap<id::Replica, Placed>,
    /// Last reports of the runners.
    pub observations: &'a BTreeMap<id::Runner, Observation>,
    /// Demand by target.
    pub demands: &'a BTreeMap<Target, Demand>,
    /// Use by target.
    pub usages: &'a BTreeMap<Target, Usage>,
}

/// One decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Load a replica.
    Load(Load),
    /// Unload this replica.
    Unload(id::Replica),
}

/// A replica to be loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// Model version.
    pub target: Target,
    /// Runner that is to hold it.
    pub runner: id::Runner,
    /// Memory of the weights, in bytes.
    pub bytes: u64,
    /// Memory for adapters, in bytes.
    pub pool_bytes: u64,
    /// Where its checkpoint comes from.
    pub tier: Tier,
}

/// Time that a load takes from `tier`.
#[must_use]
pub fn load_time(model: &document::Model, tier: Tier) -> Duration {
    match tier {
        Tier::Remote => model.load_time,
        Tier::Disk => model.load_time / DISK_SPEEDUP,
        Tier::Memory => model.load_time / MEMORY_SPEEDUP,
    }
}

/// Decides one round.
#[must_use]
pub fn plan(view: &View<'_>, budget: &mut budget::Budget) -> Vec<Decision> {
    budget.refill(view.now);
    let mut round = Round::new(view);
    round.unload_unserved();
    round.unload_overdue();
    round.unload_again();
    round.shrink();
    round.load_cold(budget);
    round.decisions
}

/// Brings the use of each target up to date with one round's demand.
pub fn record_usage(
    usages: &mut BTreeMap<Target, Usage>,
    demands: &BTreeMap<Target, Demand>,
    replicas_ready: impl Fn(&Target) -> u64,
    now: Duration,
) {
    for (target, demand) in demands {
        if demand.is_idle() {
            continue;
        }
        let usage = usages.entry(target.clone()).or_insert_with(|| Usage {
            last: now,
            history: idle::History::default(),
            quiet_since: None,
        });
        let gap = now.saturating_sub(usage.last);
        if demand.arrivals > 0 && gap > idle::MIN_KEEP_ALIVE {
            usage.history.record(gap);
        }
        usage.last = now;
        let ready = replicas_ready(target);
        let load = demand.running + demand.waiting_total();
        let quiet = ready > 1 && load <= RUNNING_PER_SURPLUS * (ready - 1);
        usage.quiet_since = if quiet {
            usage.quiet_since.or(Some(now))
        } else {
            None
        };
    }
}
