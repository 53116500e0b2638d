//! State of one runner as the leader knows it from orders, reports and
//! registrations. Registrations arrive late, so the effect of an order is applied as
//! soon as the runner accepts it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use tokio::sync::Mutex;

use crate::call::Target;
use crate::order::{Action, Order, Report};
use crate::{id, planner};

/// Time for which freed memory is reserved for the model that needs it.
const RESERVATION_TTL: Duration = Duration::from_secs(8);
/// Time after an accepted order in which a report may still lack its effect.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Longest time for which a model drains before the runner is ordered to unload it,
/// which the runner does after the last request.
const MAX_DRAIN: Duration = Duration::from_millis(2500);
/// Shortest time between two queries to find out whether a runner responds.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without orders for a runner that still executes an order of a former
/// leader.
const BUSY_BLOCK: Duration = Duration::from_millis(600);

/// State of one runner that accepts orders.
#[derive(Clone, Debug)]
pub struct State {
    /// Service of the runner.
    pub service: id::Service,
    /// Address for requests and orders.
    pub address: SocketAddr,
    born_ms: u64,
    /// Number of orders that the runner has accepted; `None` until it reports it.
    pub sequence: Option<u64>,
    models: BTreeMap<id::Model, BTreeSet<id::Adapter>>,
    in_memory: BTreeSet<id::Model>,
    on_disk: BTreeSet<id::Model>,
    /// Model order in progress and the time of its acceptance.
    progress: Option<(Action, id::Model, Duration)>,
    /// Model order without a response, and the value that `sequence` has if the
    /// runner accepted it.
    unanswered: Option<(Action, id::Model, u64)>,
    reserved_for: Option<(id::Model, Duration)>,
    /// Model that is to be unloaded once its last request has ended, and when the drain
    /// started.
    draining: Option<(id::Model, Duration)>,
    accepted_at: Option<Duration>,
    /// Whether the last registration lacks a model that should be loaded.
    pub is_uncertain: bool,
    /// Time before which the runner gets no orders, because the outcome of one is
    /// unknown or the runner is being queried.
    pub blocked_until: Duration,
    /// Adapters that are unloaded once their last request has ended.
    unloading_adapters: BTreeSet<(id::Model, id::Adapter)>,
    /// Revision of the last registration.
    revision: u64,
    /// Time of the last request for each adapter that is or was loaded.
    last_used: BTreeMap<(id::Model, id::Adapter), Duration>,
    /// Time of the last query to find out whether the runner responds.
    probed_at: Option<Duration>,
    /// Locked while an order is sent, so that only one is on its way at a time.
    pub order_lock: Arc<Mutex<()>>,
}

impl State {
    /// Returns the state that `registration` describes.
    #[must_use]
    pub fn new(registration: &mesh::Registration, address: SocketAddr, now: Duration) -> Self {
        let mut state = Self {
            service: registration.service.clone(),
            address,
            born_ms: registration.born_ms,
            sequence: None,
            models: BTreeMap::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            progress: None,
            unanswered: None,
            reserved_for: None,
            draining: None,
            accepted_at: None,
            is_uncertain: false,
            blocked_until: Duration::ZERO,
            unloading_adapters: BTreeSet::new(),
            revision: 0,
            last_used: BTreeMap::new(),
            probed_at: None,
            order_lock: Arc::default(),
        };
        state.observe(registration, address, now);
        state
    }

    /// Updates the state from a registration. Once the runner has reported its
    /// count of orders, the listed models only complete the order in progress or
    /// make the state uncertain, because the list may be older than the last orders.
    pub fn observe(
        &mut self,
        registration: &mesh::Registration,
        address: SocketAddr,
        now: Duration,
    ) {
        if registration.born_ms != self.born_ms {
            *self = Self::new(registration, address, now);
            return;
        }
        self.address = address;
        if registration.revision <= self.revision {
            return;
        }
        self.revision = registration.revision;
        self.set_copies(&registration.in_memory, &registration.on_disk);
        if self.sequence.is_none() {
            self.set_models(&registration.models);
            return;
        }
        let is_listed = |model: &str| registration.models.iter().any(|held| held.name == model);
        match self.progress.clone() {
            Some((Action::Load, model, _)) if is_listed(&model) => {
                self.models.insert(model, BTreeSet::new());
                self.progress = None;
            }
            Some((Action::Unload, model, _)) if !is_listed(&model) => {
                self.models.remove(&model);
                self.progress = None;
            }
            Some(_) => {}
            None => self.is_uncertain = self.models.keys().any(|model| !is_listed(model)),
        }
    }

    /// Updates the state from the runner's response to a query.
    pub fn apply_report(&mut self, report: &Report, now: Duration) {
        let known = self.sequence;
        if known.is_some_and(|known| report.sequence < known) {
            return;
        }
        if report.busy && self.progress.is_none() {
            self.progress = self
                .unanswered
                .take_if(|(_, _, sequence)| *sequence == report.sequence)
                .map(|(action, model, _)| (action, model, now));
        }
        if report.busy && self.progress.is_none() {
            // The order in progress is one of a former leader; its model is not
            // known.
            self.blocked_until = now + BUSY_BLOCK;
            self.sequence = None;
            return;
        }
        self.sequence = Some(report.sequence);
        self.set_copies(&report.in_memory, &report.on_disk);
        let accepted = self.accepted_at.unwrap_or_default();
        let reflects_last_order = now.saturating_sub(accepted) > REPORT_LAG;
        let is_ahead = known.is_none_or(|known| report.sequence > known);
        if report.busy || !(reflects_last_order || is_ahead) {
            return;
        }
        self.progress = None;
        self.is_uncertain = false;
        self.set_models(&report.models);
        for (model, adapter) in &report.coming {
            if let Some(adapters) = self.models.get_mut(model) {
                adapters.insert(adapter.clone());
            }
        }
    }

    fn set_models(&mut self, models: &[mesh::Model]) {
        self.unloading_adapters.clear();
        self.models = models
            .iter()
            .map(|model| {
                let adapters = model.adapters.iter().cloned().collect();
                (model.name.clone(), adapters)
            })
            .collect();
    }

    fn set_copies(&mut self, in_memory: &[String], on_disk: &[String]) {
        self.in_memory = in_memory.iter().cloned().collect();
        self.on_disk = on_disk.iter().cloned().collect();
    }

    /// Records that it is not known whether the runner accepted `order`.
    pub fn record_unanswered(&mut self, order: &Order) {
        if order.adapter.is_none() {
            let sequence = order.sequence + 1;
            self.unanswered = Some((order.action, order.model.clone(), sequence));
        }
    }

    /// Records that the runner accepted `order`.
    pub fn record_accepted(&mut self, order: &Order, now: Duration) {
        self.advance(order, now);
        match (&order.adapter, order.action) {
            (None, action) => {
                if action == Action::Load {
                    self.reserved_for = None;
                }
                self.draining = None;
                self.progress = Some((action, order.model.clone(), now));
            }
            (Some(adapter), Action::Load) => self.add_adapter(&order.model, adapter, now),
            (Some(adapter), Action::Unload) => {
                let key = (order.model.clone(), adapter.clone());
                self.unloading_adapters.insert(key);
            }
        }
    }

    /// Records that the runner was already in the state that `order` leads to. The
    /// runner counts such an order if it unloads an adapter, but not if it loads
    /// one.
    pub fn record_unchanged(&mut self, order: &Order, now: Duration) {
        match (&order.adapter, order.action) {
            (Some(adapter), Action::Load) => self.add_adapter(&order.model, adapter, now),
            (Some(adapter), Action::Unload) => {
                self.advance(order, now);
                if let Some(adapters) = self.models.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
            (None, Action::Load) => {
                self.models.entry(order.model.clone()).or_default();
            }
            (None, Action::Unload) => {
                self.models.remove(&order.model);
            }
        }
    }

    fn advance(&mut self, order: &Order, now: Duration) {
        self.unanswered = None;
        self.sequence = self.sequence.max(Some(order.sequence + 1));
        self.accepted_at = Some(now);
    }

    fn add_adapter(&mut self, model: &str, adapter: &str, now: Duration) {
        let adapters = self.models.entry(model.to_owned()).or_default();
        adapters.insert(adapter.to_owned());
        self.touch_adapter(model, adapter, now);
    }

    /// Whether the runner executes a model order.
    #[must_use]
    pub fn has_order_in_progress(&self) -> bool {
        self.progress.is_some()
    }

    /// Whether a model order is in progress or any order is being sent.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.has_order_in_progress() || self.order_lock.try_lock().is_err()
    }

    /// Reserves the memory that an unload frees for `model`.
    pub fn reserve(&mut self, model: &str, now: Duration) {
        self.reserved_for = Some((model.to_owned(), now));
    }

    /// Starts to drain the model; returns whether it was not draining before.
    pub fn start_drain(&mut self, model: &str, now: Duration) -> bool {
        if self
            .draining
            .as_ref()
            .is_some_and(|(draining, _)| draining == model)
        {
            return false;
        }
        self.draining = Some((model.to_owned(), now));
        true
    }

    /// Whether the model has been draining for `MAX_DRAIN`.
    #[must_use]
    pub fn is_drain_over(&self, model: &str, now: Duration) -> bool {
        self.draining.as_ref().is_some_and(|(draining, since)| {
            draining == model && now.saturating_sub(*since) >= MAX_DRAIN
        })
    }

    /// Whether a model order has been in progress for longer than `limit`.
    #[must_use]
    pub fn is_overdue(&self, limit: Duration, now: Duration) -> bool {
        self.progress
            .as_ref()
            .is_some_and(|(_, _, since)| now.saturating_sub(*since) > limit)
    }

    /// Whether the model is loaded and not being unloaded.
    #[must_use]
    pub fn holds_model(&self, model: &str) -> bool {
        let unloading = matches!(
            &self.progress,
            Some((Action::Unload, unloaded, _)) if unloaded == model
        );
        self.models.contains_key(model) && !unloading
    }

    /// Returns the models that are loaded and not being unloaded.
    pub fn held_models(&self) -> impl Iterator<Item = &id::Model> {
        self.models.keys().filter(|model| self.holds_model(model))
    }

    /// Returns the loaded models without `model`, in the form that is sent to the peers.
    #[must_use]
    pub fn held_without(&self, runner: &str, model: &str) -> mesh::Held {
        let models = self.models.iter().filter(|(held, _)| *held != model);
        mesh::Held {
            runner: runner.to_owned(),
            born_ms: self.born_ms,
            models: models
                .map(|(name, adapters)| mesh::Model {
                    name: name.clone(),
                    version: 0,
                    adapters: adapters.iter().cloned().collect(),
                })
                .collect(),
        }
    }

    /// Starts a query to find out whether the runner responds; returns false if one
    /// was started lately.
    pub fn start_probe(&mut self, now: Duration) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Whether the adapter is loaded and not being unloaded.
    #[must_use]
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        let is_held = |adapters: &BTreeSet<_>| adapters.contains(adapter);
        self.models.get(model).is_some_and(is_held) && !self.unloading_adapters.contains(&key)
    }

    /// Whether the adapter is unloaded once its last request has ended.
    #[must_use]
    pub fn is_unloading_adapter(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        self.unloading_adapters.contains(&key)
    }

    /// Whether any adapter is unloaded once its last request has ended.
    #[must_use]
    pub fn has_unloading_adapter(&self) -> bool {
        !self.unloading_adapters.is_empty()
    }

    /// Records a request for the adapter, if it is loaded. Callers may name any other.
    pub fn touch_adapter(&mut self, model: &str, adapter: &str, now: Duration) {
        let is_held = |adapters: &BTreeSet<_>| adapters.contains(adapter);
        if self.models.get(model).is_some_and(is_held) {
            self.last_used
                .insert((model.to_owned(), adapter.to_owned()), now);
        }
    }

    /// Number of adapter slots in use, including adapters that are being unloaded.
    #[must_use]
    pub fn used_slots(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// The adapter without a request for the longest time, except those in use.
    #[must_use]
    pub fn least_recently_used_adapter(
        &self,
        in_use: &BTreeSet<Target>,
    ) -> Option<(id::Model, id::Adapter)> {
        let is_in_use = |(model, adapter): &(id::Model, id::Adapter)| {
            in_use.contains(&Target {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        };
        self.models
            .iter()
            .flat_map(|(model, adapters)| {
                adapters
                    .iter()
                    .map(move |adapter| (model.clone(), adapter.clone()))
            })
            .filter(|key| !self.unloading_adapters.contains(key) && !is_in_use(key))
            .min_by_key(|key| self.last_used.get(key).copied().unwrap_or_default())
    }

    /// Returns the state in the form that the planner uses.
    #[must_use]
    pub fn view(
        &self,
        requests: BTreeMap<id::Model, u64>,
        pending_tokens: u64,
        now: Duration,
    ) -> planner::Runner {
        let (mut loading, mut unloading) = (None, None);
        match &self.progress {
            Some((Action::Load, model, _)) => loading = Some(model.clone()),
            Some((Action::Unload, model, _)) => unloading = Some(model.clone()),
            None => {}
        }
        let reserved_for = self
            .reserved_for
            .as_ref()
            .filter(|(_, since)| now.saturating_sub(*since) < RESERVATION_TTL)
            .map(|(model, _)| model.clone());
        planner::Runner {
            models: self.models.keys().cloned().collect(),
            loading,
            unloading,
            draining: reserved_for
                .is_some()
                .then(|| self.draining.as_ref().map(|(model, _)| model.clone()))
                .flatten(),
            is_busy: self.progress.is_some()
                || self.sequence.is_none()
                || now < self.blocked_until
                || self.order_lock.try_lock().is_err(),
            in_memory: self.in_memory.clone(),
            on_disk: self.on_disk.clone(),
            requests,
            pending_tokens,
            reserved_for,
            is_limited: false,
        }
    }
}
