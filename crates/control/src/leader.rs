//! The leader of a shard: turns demand into rows, and rows into orders.
//!
//! Every placement is a row before it is an order, and every commit renews the
//! lease and requires it. A new leader inherits all rows: an open order may have
//! been carried out or may still arrive, so it is completed under the same id
//! and its memory stays counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::table::Table;
use almondbank_wire::document::Document;
use almondbank_wire::order::{Action, Order, Tier};
use almondbank_wire::{id, peer, row};

use crate::budget::Budget;
use crate::demand::{Demand, Target};
use crate::lease::Lease;
use crate::observation::Observation;
use crate::placement::{self, Decision, Placed, Usage};
use crate::{Result, audit, key};

/// Wait between telling instances that a replica leaves and unloading it.
pub const UNLOAD_GRACE: Duration = Duration::from_secs(1);
/// Longest wait of a new leader for the first reports.
const HEARING: Duration = Duration::from_millis(1500);
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// What a step of the leader looks at.
pub struct Input<'a> {
    /// Document in force.
    pub document: &'a Document,
    /// Last reports of the runners.
    pub observations: &'a BTreeMap<id::Runner, Observation>,
    /// Demand by target.
    pub demands: &'a BTreeMap<Target, Demand>,
    /// Whether a former holder can send nothing more.
    pub is_gone: &'a (dyn Fn(&row::Former) -> bool + Sync),
}

/// An order to be sent while the lease is valid.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Runner.
    pub runner: id::Runner,
    /// Its address.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// The leader of a shard.
#[derive(Debug)]
pub struct Leader {
    environment: String,
    clock: Arc<dyn Clock>,
    lease: Lease,
    replicas: BTreeMap<id::Replica, Placed>,
    usages: BTreeMap<Target, Usage>,
    budget: Budget,
    sent: BTreeMap<id::Order, Duration>,
    counter: u64,
    opened: Duration,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Loads at once.
    pub slots: u32,
    /// Loads begun in a second.
    pub per_second: f64,
}

impl Leader {
    /// Reads the shard's rows under a lease that was just taken.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or a row is malformed.
    pub async fn open(
        environment: &str,
        lease: Lease,
        table: &dyn Table,
        clock: Arc<dyn Clock>,
        store_limits: StoreLimits,
    ) -> Result<Self> {
        let rows = table.scan(&key::replicas(environment)).await?;
        let now = clock.now();
        let mut replicas = BTreeMap::new();
        for found in rows {
            let row: row::Replica = key::decode(&found.key, &found.value)?;
            let placed = Placed {
                since: now,
                tier: Tier::Remote,
                confirmed: None,
                row,
            };
            replicas.insert(placed.row.replica.clone(), placed);
        }
        let budget = if lease.fencing() == 1 {
            Budget::new(store_limits.slots, store_limits.per_second)
        } else {
            Budget::empty(store_limits.slots, store_limits.per_second, now)
        };
        Ok(Self {
            environment: environment.to_owned(),
            clock,
            lease,
            replicas,
            usages: BTreeMap::new(),
            budget,
            sent: BTreeMap::new(),
            counter: 0,
            opened: now,
        })
    }

    /// The lease under which orders are given.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Replicas with rows.
    #[must_use]
    pub fn replicas(&self) -> &BTreeMap<id::Replica, Placed> {
        &self.replicas
    }

    /// Gives the lease up.
    ///
    /// # Errors
    ///
    /// `NotLeader` if it was lost already or the table does not answer.
    pub async fn release(mut self) -> Result<()> {
        self.lease.release().await
    }

    /// Decides one round, commits it and returns the orders to send.
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease is lost; then nothing more may be sent.
    pub async fn step(&mut self, input: &Input<'_>) -> Result<Vec<Dispatch>> {
        let now = self.clock.now();
        self.lease.prune_former(input.is_gone);
        self.record_usage(input, now);
        for placed in self.replicas.values_mut() {
            if let Some(seen) = input.observations.get(&placed.row.runner) {
                placed.observe(seen);
            }
        }
        let decisions = if self.has_heard_all(input, now) {
            self.plan(input, now)
        } else {
            Vec::new()
        };
        let removed = self.confirmed_removals(input);
        if !decisions.is_empty() || !removed.is_empty() || self.lease.is_due() {
            self.commit(decisions, &removed).await?;
        }
        Ok(self.dispatches(input))
    }

    /// The view of the shard that instances route by.
    ///
    /// Replicas that take no new work are in it while their runner answers, so
    /// that requests that are there already are left to end.
    #[must_use]
    pub fn routes(
        &self,
        document: &Document,
        observations: &BTreeMap<id::Runner, Observation>,
    ) -> Vec<peer::Route> {
        let now = self.clock.now();
        self.replicas
            .values()
            .filter_map(|placed| {
                let seen = observations.get(&placed.row.runner)?;
                if !seen.is_fresh(now) {
                    return None;
                }
                let takes_work = placed.is_wanted() && !seen.report.leaving;
                let resident = seen.resident(&placed.row.replica);
                let adapters = resident.map_or_else(Vec::new, |r| r.adapters.clone());
                Some(peer::Route {
                    replica: placed.row.replica.clone(),
                    model: placed.row.model.clone(),
                    version: placed.row.version.clone(),
                    runner: placed.row.runner.clone(),
                    ready: takes_work && seen.is_ready(&placed.row.replica),
                    ready_in_ms: audit::millis(remaining(document, placed, now)),
                    adapters,
                })
            })
            .collect()
    }

    // A replica on a runner not heard yet may well be ready, so a new leader
    // decides nothing before it has heard every runner that has a row, or has
    // waited for it.
    fn has_heard_all(&self, input: &Input<'_>, now: Duration) -> bool {
        now >= self.opened + HEARING
            || self.replicas.values().all(|placed| {
                let seen = input.observations.get(&placed.row.runner);
                seen.is_some_and(|seen| seen.requested_at >= self.opened)
            })
    }

    fn record_usage(&mut self, input: &Input<'_>, now: Duration) {
        let replicas = &self.replicas;
        let ready = |target: &Target| {
            let ready = replicas.values().filter(|placed| {
                placed.row.model == target.model
                    && placed.row.version == target.version
                    && input
                        .observations
                        .get(&placed.row.runner)
                        .is_some_and(|seen| seen.is_ready(&placed.row.replica))
            });
            u64::try_from(ready.count()).unwrap_or(u64::MAX)
        };
        for placed in replicas.values() {
            self.usages.entry(placed.target()).or_insert_with(|| Usage {
                last: now,
                history: crate::idle::History::default(),
                quiet_since: None,
            });
        }
        placement::record_usage(&mut self.usages, input.demands, ready, now);
    }

    fn plan(&mut self, input: &Input<'_>, now: Duration) -> Vec<Decision> {
        let view = placement::View {
            now,
            document: input.document,
            replicas: &self.replicas,
            observations: input.observations,
            demands: input.demands,
            usages: &self.usages,
        };
        placement::plan(&view, &mut self.budget)
    }

    // A replica is gone once the runner reports the unload as finished and the
    // replica as absent, or once the document has dropped the runner.
    fn confirmed_removals(&self, input: &Input<'_>) -> Vec<id::Replica> {
        self.replicas
            .values()
            .filter(|placed| !placed.is_wanted())
            .filter(|placed| {
                if !input.document.runners.contains_key(&placed.row.runner) {
                    return true;
                }
                let seen = input.observations.get(&placed.row.runner);
                let unload = placed.row.unload.as_deref().unwrap_or_default();
                seen.is_some_and(|seen| {
                    seen.has_finished(unload)
                        && seen.resident(&placed.row.replica).is_none()
                        && placed.is_confirmed(seen)
                }) && !self.lease.has_former_since(placed.row.fencing)
            })
            .map(|placed| placed.row.replica.clone())
            .collect()
    }

    async fn commit(&mut self, decisions: Vec<Decision>, removed: &[id::Replica]) -> Result<()> {
        let now = self.clock.now();
        let changed: Vec<_> = decisions
            .into_iter()
            .filter_map(|decision| self.apply(decision, now))
            .collect();
        let mut transaction = self.lease.transaction();
        for placed in &changed {
            let key = key::replica(&self.environment, &placed.row.replica);
            transaction = transaction.put(key, key::encode(&placed.row));
        }
        for replica in removed {
            transaction = transaction.delete(key::replica(&self.environment, replica));
        }
        self.lease.commit(transaction).await?;
        for placed in changed {
            self.replicas.insert(placed.row.replica.clone(), placed);
        }
        for replica in removed {
            if let Some(placed) = self.replicas.remove(replica) {
                self.sent.remove(&placed.row.load);
                self.sent
                    .remove(placed.row.unload.as_deref().unwrap_or_default());
            }
        }
        Ok(())
    }

    fn apply(&mut self, decision: Decision, now: Duration) -> Option<Placed> {
        match decision {
            Decision::Load(load) => Some(Placed {
                row: row::Replica {
                    replica: self.next_id("replica"),
                    model: load.target.model,
                    version: load.target.version,
                    runner: load.runner,
                    bytes: load.bytes,
                    pool_bytes: load.pool_bytes,
                    load: self.next_id("load"),
                    unload: None,
                    fencing: self.lease.fencing(),
                },
                since: now,
                tier: load.tier,
                confirmed: None,
            }),
            Decision::Unload(replica) => {
                let mut placed = self.replicas.get(&replica)?.clone();
                placed.row.unload = Some(self.next_id("unload"));
                placed.since = now;
                Some(placed)
            }
        }
    }

    // Fencing numbers never repeat, and neither does the counter under one.
    fn next_id(&mut self, kind: &str) -> String {
        self.counter += 1;
        format!("{kind}-{}-{}", self.lease.fencing(), self.counter)
    }

    fn dispatches(&mut self, input: &Input<'_>) -> Vec<Dispatch> {
        let now = self.clock.now();
        let mut dispatches = Vec::new();
        for placed in self.replicas.values() {
            let Some(runner) = input.document.runners.get(&placed.row.runner) else {
                continue;
            };
            let Some(order) = self.open_order(placed, input, now) else {
                continue;
            };
            let due = self
                .sent
                .get(&order.order)
                .is_none_or(|sent| now.saturating_sub(*sent) >= RESEND_INTERVAL);
            if !due {
                continue;
            }
            self.sent.insert(order.order.clone(), now);
            dispatches.push(Dispatch {
                runner: placed.row.runner.clone(),
                address: runner.address,
                order,
            });
        }
        dispatches
    }

    // The load order stays open until the runner shows that it has received it,
    // also when the replica is to be unloaded: a copy of it that is still under
    // way would otherwise load the replica after the unload. Runners carry out
    // an order id once, so that a later copy has no effect. A restarted runner
    // knows neither old ids nor the fencing number that it last saw, so nothing
    // is unloaded while a former leader may still send its last order.
    fn open_order(&self, placed: &Placed, input: &Input<'_>, now: Duration) -> Option<Order> {
        let seen = input.observations.get(&placed.row.runner)?;
        if !seen.is_fresh(now) {
            return None;
        }
        if !placed.is_confirmed(seen) {
            return Some(self.order(placed, Action::Load, &placed.row.load));
        }
        let unload = placed.row.unload.as_deref()?;
        let open = !seen.has_finished(unload)
            && now.saturating_sub(placed.since) >= UNLOAD_GRACE
            && !self.lease.has_former_since(placed.row.fencing);
        open.then(|| self.order(placed, Action::Unload, unload))
    }

    fn order(&self, placed: &Placed, action: Action, order: &str) -> Order {
        Order {
            order: order.to_owned(),
            fencing: self.lease.fencing(),
            action,
            replica: placed.row.replica.clone(),
            model: placed.row.model.clone(),
            version: placed.row.version.clone(),
            bytes: placed.row.bytes,
            pool_bytes: placed.row.pool_bytes,
            adapter: None,
        }
    }
}

fn remaining(document: &Document, placed: &Placed, now: Duration) -> Duration {
    let Some(model) = document.models.get(&placed.row.model) else {
        return Duration::ZERO;
    };
    let elapsed = now.saturating_sub(placed.since);
    placement::load_time(model, placed.tier).saturating_sub(elapsed)
}
