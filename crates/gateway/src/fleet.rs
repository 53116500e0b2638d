//! State of all runners as the leader knows it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::health::Health;
use crate::in_flight::{Tracker, Work};
use crate::notices::Notices;
use crate::order::{Action, Order, Report};
use crate::registry::Registry;
use crate::runner::State;
use crate::{id, planner};

/// Longest time for which requests wait for a replica on a runner that turns them away,
/// rather than for another replica.
const MAX_CLOSED_REPLICA: Duration = Duration::from_secs(1);

/// State of the runners by id.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    inner: Mutex<BTreeMap<id::Runner, State>>,
}

/// What the planner's input depends on beside the runners' own state.
pub(crate) struct Sources<'a> {
    pub(crate) in_flight: &'a Tracker,
    pub(crate) health: &'a Health,
    pub(crate) notices: &'a Notices,
}

/// Destination and sequence number for the next order to a runner.
pub(crate) struct Draft {
    pub(crate) address: SocketAddr,
    /// Number of orders that the runner has accepted.
    pub(crate) sequence: u64,
}

impl Fleet {
    /// Updates the runners of `service` from their registrations, and removes all
    /// runners that accept no new work.
    pub(crate) fn observe(&self, registry: &Registry, service: &str, now: Duration) {
        let mut runners = self.inner.lock();
        for runner in registry.usable(service, now) {
            let registration = &runner.registration;
            if let Some(state) = runners.get_mut(runner.id()) {
                state.observe(registration, runner.address, now);
            } else {
                let state = State::new(registration, runner.address, now);
                runners.insert(runner.id().clone(), state);
            }
        }
        runners.retain(|runner, _| registry.is_usable(runner, now));
    }

    /// Returns the planner's input for the runners of `service` that are not
    /// ejected.
    pub(crate) fn views(
        &self,
        sources: &Sources<'_>,
        service: &str,
        now: Duration,
    ) -> BTreeMap<id::Runner, planner::Runner> {
        let mut work: BTreeMap<id::Runner, Vec<(id::Model, Work)>> = BTreeMap::new();
        for ((runner, model), of_model) in sources.in_flight.by_model(now) {
            work.entry(runner).or_default().push((model, of_model));
        }
        let runners = self.inner.lock();
        runners
            .iter()
            .filter(|(_, state)| state.service == service)
            .filter(|(runner, _)| !sources.health.is_ejected(runner, now))
            .map(|(runner, state)| {
                let work = work.remove(runner).unwrap_or_default();
                let pending_tokens = work.iter().map(|(_, work)| work.pending_tokens).sum();
                let requests = work
                    .into_iter()
                    .map(|(model, work)| (model, work.requests()))
                    .collect();
                let view = planner::Runner {
                    is_limited: sources.notices.is_limited(runner)
                        || sources.notices.closed_for(runner, now) > MAX_CLOSED_REPLICA,
                    ..state.view(requests, pending_tokens, now)
                };
                (runner.clone(), view)
            })
            .collect()
    }

    /// Returns the runners of `service` to query: those whose state is uncertain or
    /// not known, or whose order has been in progress for longer than `limit`. If
    /// this instance does not follow the store, all with an order in progress.
    /// Omits runners that are blocked or that an order is being sent to.
    pub(crate) fn uncertain(
        &self,
        service: &str,
        limit: Duration,
        follows_store: bool,
        now: Duration,
    ) -> Vec<id::Runner> {
        let runners = self.inner.lock();
        runners
            .iter()
            .filter(|(_, state)| state.service == service)
            .filter(|(_, state)| {
                state.sequence.is_none()
                    || state.is_uncertain
                    || state.is_overdue(limit, now)
                    || (!follows_store && state.has_order_in_progress())
            })
            .filter(|(_, state)| now >= state.blocked_until && state.order_lock.try_lock().is_ok())
            .map(|(runner, _)| runner.clone())
            .collect()
    }

    /// Returns the runners of `service` that hold a model for which `is_waited_for`
    /// returns true and that were not returned lately.
    pub(crate) fn start_probes(
        &self,
        service: &str,
        is_waited_for: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Vec<id::Runner> {
        let mut runners = self.inner.lock();
        runners
            .iter_mut()
            .filter(|(_, state)| state.service == service)
            .filter(|(_, state)| state.held_models().any(|model| is_waited_for(model)))
            .filter_map(|(runner, state)| state.start_probe(now).then(|| runner.clone()))
            .collect()
    }

    /// Returns the models of the runner without `model`, as sent to the peers.
    pub(crate) fn held_without(&self, runner: &str, model: &str) -> Option<mesh::Held> {
        self.read(runner, |state| state.held_without(runner, model))
    }

    /// Calls `read` with the state of the runner, if it is known.
    pub(crate) fn read<T>(&self, runner: &str, read: impl FnOnce(&State) -> T) -> Option<T> {
        self.inner.lock().get(runner).map(read)
    }

    /// Calls `write` with the state of the runner, if it is known.
    pub(crate) fn write<T>(&self, runner: &str, write: impl FnOnce(&mut State) -> T) -> Option<T> {
        self.inner.lock().get_mut(runner).map(write)
    }

    /// Prevents orders to the runner before `until`.
    pub(crate) fn block(&self, runner: &str, until: Duration) {
        self.write(runner, |state| state.blocked_until = until);
    }

    /// The lock that is held while an order is sent to the runner.
    pub(crate) fn order_lock(&self, runner: &str) -> Option<Arc<tokio::sync::Mutex<()>>> {
        self.read(runner, |state| Arc::clone(&state.order_lock))
    }

    /// Returns the draft of an order, if the runner's count of orders is known.
    pub(crate) fn draft(&self, runner: &str) -> Option<Draft> {
        self.read(runner, |state| {
            Some(Draft {
                address: state.address,
                sequence: state.sequence?,
            })
        })
        .flatten()
    }

    /// Whether the runner is in the state that `action` leads to.
    pub(crate) fn holds(
        &self,
        runner: &str,
        action: Action,
        model: &str,
        adapter: Option<&str>,
    ) -> bool {
        let is_held = self.read(runner, |state| match adapter {
            Some(adapter) => state.holds_adapter(model, adapter),
            None => state.holds_model(model),
        });
        is_held.is_some_and(|is_held| is_held == (action == Action::Load))
    }

    /// Applies the outcome of an order to the state of its runner.
    pub(crate) fn update(&self, order: &Order, write: impl FnOnce(&mut State, &Order)) {
        self.write(&order.runner, |state| write(state, order));
    }

    /// Applies a report; returns the runner's models if the report is current and
    /// no model order is in progress.
    pub(crate) fn apply_report(
        &self,
        runner: &str,
        report: Report,
        now: Duration,
    ) -> Option<mesh::Held> {
        let is_current = self.write(runner, |state| {
            state.apply_report(&report, now);
            !state.has_order_in_progress() && state.sequence == Some(report.sequence)
        })?;
        is_current.then(|| mesh::Held {
            runner: runner.to_owned(),
            born_ms: report.born_ms,
            models: report.models,
        })
    }
}
