//! Decides which replicas are loaded and unloaded.
//!
//! The demand for a target is the sum over all instances. Targets are
//! loaded in descending order of weighted waiting requests over load time. That
//! order minimises the weighted sum of waiting times on one server (Smith,
//! "Various optimizers for single-stage production", 1956) and is a heuristic
//! for several slots.

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
const SCALE_DOWN_REQUESTS_PER_REPLICA: u64 = 4;

/// A replica that has a row.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Row as stored in the table.
    pub row: row::Replica,
    /// When this leader last decided on it, or first read its row.
    pub since: Duration,
    /// Tier that its checkpoint is loaded from.
    pub tier: Tier,
    /// Incarnation of the runner that has reported receipt of the load order.
    pub confirmed: Option<id::Incarnation>,
}

impl Placed {
    /// Model version of the replica.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            model: self.row.model.clone(),
            version: self.row.version.clone(),
        }
    }

    /// Records whether a report shows that the load order was received.
    pub fn observe(&mut self, seen: &Observation) {
        let resident = seen.resident(&self.row.replica).is_some();
        if resident || seen.has_finished(&self.row.load) {
            self.confirmed = Some(seen.report.incarnation.clone());
        }
    }

    /// Whether the reporting incarnation of the runner has received the load order.
    #[must_use]
    pub fn is_confirmed(&self, seen: &Observation) -> bool {
        self.confirmed.as_ref() == Some(&seen.report.incarnation)
    }

    /// Memory reserved as soon as the row is committed, in bytes.
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

/// Recent use of one target.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Time of the last use.
    pub last: Duration,
    /// Gaps between uses.
    pub history: idle::History,
    /// Since when one ready replica fewer would have been enough.
    pub surplus_since: Option<Duration>,
}

/// Input of [`plan`].
#[derive(Debug)]
pub struct View<'a> {
    /// Time of the round.
    pub now: Duration,
    /// Current document.
    pub document: &'a Document,
    /// Replicas that have a row, by id.
    pub replicas: &'a BTreeMap<id::Replica, Placed>,
    /// Last report of each runner.
    pub observations: &'a BTreeMap<id::Runner, Observation>,
    /// Demand by target.
    pub demands: &'a BTreeMap<Target, Demand>,
    /// Recent use by target.
    pub usages: &'a BTreeMap<Target, Usage>,
}

/// A change to the replicas of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Load a replica.
    Load(Load),
    /// Unload the replica with this id.
    Unload(id::Replica),
}

/// A replica to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// Model version.
    pub target: Target,
    /// Runner to load it on.
    pub runner: id::Runner,
    /// Memory of the weights, in bytes.
    pub bytes: u64,
    /// Memory reserved for adapters, in bytes.
    pub pool_bytes: u64,
    /// Tier that the checkpoint is loaded from.
    pub tier: Tier,
}

/// Expected duration of a load from `tier`.
#[must_use]
pub fn load_time(model: &document::Model, tier: Tier) -> Duration {
    match tier {
        Tier::Remote => model.load_time,
        Tier::Disk => model.load_time / DISK_SPEEDUP,
        Tier::Memory => model.load_time / MEMORY_SPEEDUP,
    }
}

/// Computes the decisions of one round.
#[must_use]
pub fn plan(view: &View<'_>, budget: &mut budget::Budget) -> Vec<Decision> {
    budget.refill(view.now);
    let mut round = Round::new(view);
    round.unload_unserved();
    round.unload_overdue();
    round.unload_reloaded();
    round.shrink();
    round.load_candidates(budget);
    round.decisions
}

/// Updates the usage of each target from the demand of one round.
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
            surplus_since: None,
        });
        let gap = now.saturating_sub(usage.last);
        if demand.arrivals > 0 && gap > idle::MIN_KEEP_ALIVE {
            usage.history.record(gap);
        }
        usage.last = now;
        let ready = replicas_ready(target);
        let load = demand.running + demand.waiting_total();
        let has_surplus = ready > 1 && load <= SCALE_DOWN_REQUESTS_PER_REPLICA * (ready - 1);
        usage.surplus_since = if has_surplus {
            usage.surplus_since.or(Some(now))
        } else {
            None
        };
    }
}
