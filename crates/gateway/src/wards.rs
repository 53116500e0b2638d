//! All runners as the holder of the lease knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::book::Work;
use crate::gateway::Gateway;
use crate::order::{Action, Order, Report};
use crate::ward::Ward;
use crate::{id, planner};

/// Wards by runner.
#[derive(Debug, Default)]
pub(crate) struct Wards {
    inner: Mutex<BTreeMap<id::Runner, Ward>>,
}

/// An order before the holder's name and right are added.
pub(crate) struct Draft {
    pub(crate) address: SocketAddr,
    /// Orders that the runner has accepted.
    pub(crate) sequence: u64,
}

impl Wards {
    /// Learns from the registrations of `service`, and forgets runners that take
    /// no work.
    pub(crate) fn observe(&self, gateway: &Gateway, service: &str, now: Duration) {
        let mut wards = self.inner.lock();
        for runner in gateway.roster.usable(service, now) {
            let registration = &runner.registration;
            if let Some(ward) = wards.get_mut(runner.id()) {
                ward.observe(registration, runner.address, now);
            } else {
                let ward = Ward::new(registration, runner.address, now);
                wards.insert(runner.id().clone(), ward);
            }
        }
        wards.retain(|runner, _| gateway.roster.is_usable(runner, now));
    }

    /// What the planner sees of the runners of `service`.
    pub(crate) fn views(
        &self,
        gateway: &Gateway,
        service: &str,
        now: Duration,
    ) -> BTreeMap<id::Runner, planner::Runner> {
        let mut work: BTreeMap<id::Runner, Vec<(id::Model, Work)>> = BTreeMap::new();
        for ((runner, model), of_model) in gateway.book.by_model(now) {
            work.entry(runner).or_default().push((model, of_model));
        }
        let wards = self.inner.lock();
        wards
            .iter()
            .filter(|(_, ward)| ward.service == service)
            .filter(|(runner, _)| !gateway.health.is_ejected(runner, now))
            .map(|(runner, ward)| {
                let work = work.remove(runner).unwrap_or_default();
                let pending_tokens = work.iter().map(|(_, work)| work.pending_tokens).sum();
                let requests = work
                    .into_iter()
                    .map(|(model, work)| (model, work.requests()))
                    .collect();
                (runner.clone(), ward.view(requests, pending_tokens, now))
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
        let wards = self.inner.lock();
        wards
            .iter()
            .filter(|(_, ward)| ward.service == service)
            .filter(|(_, ward)| {
                ward.sequence.is_none()
                    || ward.is_doubtful
                    || ward.is_overdue(limit, now)
                    || (!registrations_arrive && ward.is_in_order())
            })
            .filter(|(_, ward)| now >= ward.blocked_until && ward.turn.try_lock().is_ok())
            .map(|(runner, _)| runner.clone())
            .collect()
    }

    /// Calls `read` with the ward of the runner, if there is one.
    pub(crate) fn read<T>(&self, runner: &str, read: impl FnOnce(&Ward) -> T) -> Option<T> {
        self.inner.lock().get(runner).map(read)
    }

    /// Calls `change` with the ward of the runner, if there is one.
    pub(crate) fn change<T>(&self, runner: &str, change: impl FnOnce(&mut Ward) -> T) -> Option<T> {
        self.inner.lock().get_mut(runner).map(change)
    }

    /// Gives no orders to the runner until then.
    pub(crate) fn block(&self, runner: &str, until: Duration) {
        self.change(runner, |ward| ward.blocked_until = until);
    }

    /// The lock that is held while the runner is given an order.
    pub(crate) fn turn(&self, runner: &str) -> Option<Arc<tokio::sync::Mutex<()>>> {
        self.read(runner, |ward| Arc::clone(&ward.turn))
    }

    /// What an order to the runner starts from, if its count of orders is known.
    pub(crate) fn draft(&self, runner: &str) -> Option<Draft> {
        self.read(runner, |ward| {
            Some(Draft {
                address: ward.address,
                sequence: ward.sequence?,
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
        let is_held = self.read(runner, |ward| match adapter {
            Some(adapter) => ward.holds_adapter(model, adapter),
            None => ward.holds_model(model),
        });
        is_held.is_some_and(|is_held| is_held == (action == Action::Load))
    }

    /// Records what became of an order.
    pub(crate) fn update(&self, order: &Order, change: impl FnOnce(&mut Ward, &Order)) {
        self.change(&order.runner, |ward| change(ward, order));
    }

    /// Learns from a report; returns what the runner holds if nothing is open.
    pub(crate) fn report(&self, runner: &str, report: Report, now: Duration) -> Option<mesh::Held> {
        let is_settled = self.change(runner, |ward| {
            ward.report(&report, now);
            !ward.is_in_order() && ward.sequence == Some(report.sequence)
        })?;
        is_settled.then(|| mesh::Held {
            runner: runner.to_owned(),
            born_ms: report.born_ms,
            models: report.models,
        })
    }
}
