//! All runners as the holder of the lease knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::gateway::Gateway;
use crate::in_flight::Work;
use crate::order::{Action, Order, Report};
use crate::runner::State;
use crate::{id, planner};

/// States by runner.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    inner: Mutex<BTreeMap<id::Runner, State>>,
}

/// An order before the holder's name and right are added.
pub(crate) struct Draft {
    pub(crate) address: SocketAddr,
    /// Orders that the runner has accepted.
    pub(crate) sequence: u64,
}

impl Fleet {
    /// Learns from the registrations of `service`, and forgets runners that take
    /// no work.
    pub(crate) fn observe(&self, gateway: &Gateway, service: &str, now: Duration) {
        let mut runners = self.inner.lock();
        for runner in gateway.registry.usable(service, now) {
            let registration = &runner.registration;
            if let Some(state) = runners.get_mut(runner.id()) {
                state.observe(registration, runner.address, now);
            } else {
                let state = State::new(registration, runner.address, now);
                runners.insert(runner.id().clone(), state);
            }
        }
        runners.retain(|runner, _| gateway.registry.is_usable(runner, now));
    }

    /// What the planner sees of the runners of `service`.
    pub(crate) fn views(
        &self,
        gateway: &Gateway,
        service: &str,
        now: Duration,
    ) -> BTreeMap<id::Runner, planner::Runner> {
        let mut work: BTreeMap<id::Runner, Vec<(id::Model, Work)>> = BTreeMap::new();
        for ((runner, model), of_model) in gateway.in_flight.by_model(now) {
            work.entry(runner).or_default().push((model, of_model));
        }
        let runners = self.inner.lock();
        runners
            .iter()
            .filter(|(_, state)| state.service == service)
            .filter(|(runner, _)| !gateway.health.is_ejected(runner, now))
            .map(|(runner, state)| {
                let work = work.remove(runner).unwrap_or_default();
                let pending_tokens = work.iter().map(|(_, work)| work.pending_tokens).sum();
                let requests = work
                    .into_iter()
                    .map(|(model, work)| (model, work.requests()))
                    .collect();
                (runner.clone(), state.view(requests, pending_tokens, now))
            })
            .collect()
    }

    /// Runners of `service` that are to be asked what they hold: those not known,
    /// in doubt, or busy for longer than `limit`; while registrations do not
    /// arrive, all that carry out an order.
    pub(crate) fn doubtful(
        &self,
        service: &str,
        limit: Duration,
        registrations_arrive: bool,
        now: Duration,
    ) -> Vec<id::Runner> {
        let runners = self.inner.lock();
        runners
            .iter()
            .filter(|(_, state)| state.service == service)
            .filter(|(_, state)| {
                state.sequence.is_none()
                    || state.is_doubtful
                    || state.is_overdue(limit, now)
                    || (!registrations_arrive && state.is_in_order())
            })
            .filter(|(_, state)| now >= state.blocked_until && state.turn.try_lock().is_ok())
            .map(|(runner, _)| runner.clone())
            .collect()
    }

    /// Calls `read` with the state of the runner, if there is one.
    pub(crate) fn read<T>(&self, runner: &str, read: impl FnOnce(&State) -> T) -> Option<T> {
        self.inner.lock().get(runner).map(read)
    }

    /// Calls `change` with the state of the runner, if there is one.
    pub(crate) fn change<T>(
        &self,
        runner: &str,
        change: impl FnOnce(&mut State) -> T,
    ) -> Option<T> {
        self.inner.lock().get_mut(runner).map(change)
    }

    /// Gives no orders to the runner until then.
    pub(crate) fn block(&self, runner: &str, until: Duration) {
        self.change(runner, |state| state.blocked_until = until);
    }

    /// The lock that is held while the runner is given an order.
    pub(crate) fn turn(&self, runner: &str) -> Option<Arc<tokio::sync::Mutex<()>>> {
        self.read(runner, |state| Arc::clone(&state.turn))
    }

    /// What an order to the runner starts from, if its count of orders is known.
    pub(crate) fn draft(&self, runner: &str) -> Option<Draft> {
        self.read(runner, |state| {
            Some(Draft {
                address: state.address,
                sequence: state.sequence?,
            })
        })
        .flatten()
    }

    /// Whether the runner is as `action` would make it.
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

    /// Records what became of an order.
    pub(crate) fn update(&self, order: &Order, change: impl FnOnce(&mut State, &Order)) {
        self.change(&order.runner, |state| change(state, order));
    }

    /// Learns from a report; returns what the runner holds if nothing is open.
    pub(crate) fn report(&self, runner: &str, report: Report, now: Duration) -> Option<mesh::Held> {
        let is_settled = self.change(runner, |state| {
            state.report(&report, now);
            !state.is_in_order() && state.sequence == Some(report.sequence)
        })?;
        is_settled.then(|| mesh::Held {
            runner: runner.to_owned(),
            born_ms: report.born_ms,
            models: report.models,
        })
    }
}
