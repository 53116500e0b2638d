//! The leader of a shard: places replicas according to demand and creates the
//! orders for the runners.
//!
//! Every placement is committed as a row before its order is sent, and every
//! commit requires the current lease and renews it. A new leader takes over all
//! rows. An order of its predecessor may have been executed or may still arrive,
//! so it is sent again under the same id and its memory stays reserved.

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

/// Delay between marking a replica as not ready in the routes and unloading it.
pub const UNLOAD_GRACE: Duration = Duration::from_secs(1);
/// Longest time that a new leader waits for reports before it plans.
const FIRST_REPORTS_TIMEOUT: Duration = Duration::from_millis(1500);
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Input of [`Leader::step`].
pub struct Input<'a> {
    /// Current document.
    pub document: &'a Document,
    /// Last report of each runner.
    pub observations: &'a BTreeMap<id::Runner, Observation>,
    /// Demand by target.
    pub demands: &'a BTreeMap<Target, Demand>,
    /// Whether a former lease holder can send no more orders.
    pub is_gone: &'a (dyn Fn(&row::Former) -> bool + Sync),
}

/// An order for a runner, to be sent only while the lease is valid.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Runner that executes the order.
    pub runner: id::Runner,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Order to send.
    pub order: Order,
}

/// The leader of one shard: its lease, the replica rows and the orders sent.
#[derive(Debug)]
pub struct Leader {
    environment: String,
    clock: Arc<dyn Clock>,
    lease: Lease,
    replicas: BTreeMap<id::Replica, Placed>,
    usages: BTreeMap<Target, Usage>,
    budget: Budget,
    sent_at: BTreeMap<id::Order, Duration>,
    id_count: u64,
    opened_at: Duration,
}

/// Limits on loads from the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Concurrent loads.
    pub slots: u32,
    /// Loads started per second.
    pub per_second: f64,
}

impl Leader {
    /// Reads the shard's rows under a newly acquired lease.
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
        let budget = if lease.is_first() {
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
            sent_at: BTreeMap::new(),
            id_count: 0,
            opened_at: now,
        })
    }

    /// Lease under which orders are sent.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Replicas that have a row, by id.
    #[must_use]
    pub fn replicas(&self) -> &BTreeMap<id::Replica, Placed> {
        &self.replicas
    }

    /// Releases the lease.
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease was already lost or the table does not answer.
    pub async fn release(mut self) -> Result<()> {
        self.lease.release().await
    }

    /// Plans one round, commits it and returns the orders to send.
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease is lost; no more orders may be sent after that.
    pub async fn step(&mut self, input: &Input<'_>) -> Result<Vec<Dispatch>> {
        let now = self.clock.now();
        self.lease.prune_former(input.is_gone);
        self.record_usage(input, now);
        for placed in self.replicas.values_mut() {
            if let Some(seen) = input.observations.get(&placed.row.runner) {
                placed.observe(seen);
            }
        }
        let decisions = if self.can_plan(input, now) {
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

    /// Routes to the replicas of the shard, as sent to all instances.
    ///
    /// Replicas that accept no new requests are included as not ready while
    /// their runner reports, so that requests already running there can finish.
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
                let accepts_requests = placed.is_wanted() && !seen.report.leaving;
                let resident = seen.resident(&placed.row.replica);
                let adapters = resident.map_or_else(Vec::new, |r| r.adapters.clone());
                Some(peer::Route {
                    replica: placed.row.replica.clone(),
                    model: placed.row.model.clone(),
                    version: placed.row.version.clone(),
                    runner: placed.row.runner.clone(),
                    ready: accepts_requests && seen.is_ready(&placed.row.replica),
                    ready_in_ms: audit::millis(remaining_load_time(document, placed, now)),
                    adapters,
                })
            })
            .collect()
    }

    // A runner that has not reported yet may already have a replica ready, so a
    // new leader does not plan until every runner with a row has reported or the
    // timeout has passed.
    fn can_plan(&self, input: &Input<'_>, now: Duration) -> bool {
        now >= self.opened_at + FIRST_REPORTS_TIMEOUT
            || self.replicas.values().all(|placed| {
                let seen = input.observations.get(&placed.row.runner);
                seen.is_some_and(|seen| seen.requested_at >= self.opened_at)
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
                surplus_since: None,
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

    // A row is deleted once the runner reports the unload as finished and the
    // replica as absent, or once the document no longer lists the runner.
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
                self.sent_at.remove(&placed.row.load);
                self.sent_at
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

    // Fencing tokens never repeat, and the count never repeats under one token,
    // so ids are unique.
    fn next_id(&mut self, kind: &str) -> String {
        self.id_count += 1;
        format!("{kind}-{}-{}", self.lease.fencing(), self.id_count)
    }

    fn dispatches(&mut self, input: &Input<'_>) -> Vec<Dispatch> {
        let now = self.clock.now();
        let mut dispatches = Vec::new();
        for placed in self.replicas.values() {
            let Some(runner) = input.document.runners.get(&placed.row.runner) else {
                continue;
            };
            let Some(order) = self.outstanding_order(placed, input, now) else {
                continue;
            };
            let due = self
                .sent_at
                .get(&order.order)
                .is_none_or(|sent| now.saturating_sub(*sent) >= RESEND_INTERVAL);
            if !due {
                continue;
            }
            self.sent_at.insert(order.order.clone(), now);
            dispatches.push(Dispatch {
                runner: placed.row.runner.clone(),
                address: runner.address,
                order,
            });
        }
        dispatches
    }

    // The load order is sent until a report shows that the runner has received
    // it, even if the replica is to be unloaded: otherwise a delayed copy could
    // load the replica after the unload. Runners execute an order id only once,
    // so later copies have no effect. A restarted runner has lost the executed
    // ids and the last fencing token, so nothing is unloaded while a former
    // leader may still send its last order.
    fn outstanding_order(
        &self,
        placed: &Placed,
        input: &Input<'_>,
        now: Duration,
    ) -> Option<Order> {
        let seen = input.observations.get(&placed.row.runner)?;
        if !seen.is_fresh(now) {
            return None;
        }
        if !placed.is_confirmed(seen) {
            return Some(self.order(placed, Action::Load, &placed.row.load));
        }
        let unload = placed.row.unload.as_deref()?;
        let is_outstanding = !seen.has_finished(unload)
            && now.saturating_sub(placed.since) >= UNLOAD_GRACE
            && !self.lease.has_former_since(placed.row.fencing);
        is_outstanding.then(|| self.order(placed, Action::Unload, unload))
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

fn remaining_load_time(document: &Document, placed: &Placed, now: Duration) -> Duration {
    let Some(model) = document.models.get(&placed.row.model) else {
        return Duration::ZERO;
    };
    let elapsed = now.saturating_sub(placed.since);
    placement::load_time(model, placed.tier).saturating_sub(elapsed)
}
