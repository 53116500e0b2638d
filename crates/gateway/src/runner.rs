//! One runner as the leader knows it, ahead of the runner's own registration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use tokio::sync::Mutex;

use crate::order::{Action, Order, Report};
use crate::{id, planner};

/// Time for which room is kept for the model that it was made for.
const RESERVATION: Duration = Duration::from_secs(8);
/// Age that a report may have.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time without orders while a former holder's order is carried out.
const BUSY_PAUSE: Duration = Duration::from_millis(600);

/// One runner under orders.
#[derive(Clone, Debug)]
pub struct State {
    /// Service that it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    born_ms: u64,
    /// Orders that the runner has accepted, once it was asked.
    pub sequence: Option<u64>,
    models: BTreeMap<id::Model, BTreeSet<id::Adapter>>,
    in_memory: BTreeSet<id::Model>,
    on_disk: BTreeSet<id::Model>,
    /// Model order in progress and since when.
    progress: Option<(Action, id::Model, Duration)>,
    /// Model order without an answer, and the count of orders if it was accepted.
    unanswered: Option<(Action, id::Model, u64)>,
    reserved_for: Option<(id::Model, Duration)>,
    accepted_at: Option<Duration>,
    /// Whether a registration lacks a model that should be there.
    pub is_doubtful: bool,
    /// No orders before this time, because the outcome of one is unknown.
    pub blocked_until: Duration,
    /// Adapters that go once their last request has ended.
    leaving: BTreeSet<(id::Model, id::Adapter)>,
    /// Version of the last registration.
    revision: u64,
    /// When each adapter was last asked for.
    used: BTreeMap<(id::Model, id::Adapter), Duration>,
    /// Held while an order is given, so that one follows the other.
    pub turn: Arc<Mutex<()>>,
}

impl State {
    /// Starts with what the runner registered.
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
            accepted_at: None,
            is_doubtful: false,
            blocked_until: Duration::ZERO,
            leaving: BTreeSet::new(),
            revision: 0,
            used: BTreeMap::new(),
            turn: Arc::default(),
        };
        state.observe(registration, address, now);
        state
    }

    /// Learns from a registration. Once the runner was asked, its registrations
    /// only tell that an order is done: they may be older than the last orders.
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
        self.adopt_copies(&registration.in_memory, &registration.on_disk);
        if self.sequence.is_none() {
            self.adopt(&registration.models);
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
            None => self.is_doubtful = self.models.keys().any(|model| !is_listed(model)),
        }
    }

    /// Learns from what the runner reported when asked.
    pub fn report(&mut self, report: &Report, now: Duration) {
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
            // An order of a former holder; what it loads is not known.
            self.blocked_until = now + BUSY_PAUSE;
            self.sequence = None;
            return;
        }
        self.sequence = Some(report.sequence);
        self.adopt_copies(&report.in_memory, &report.on_disk);
        let accepted = self.accepted_at.unwrap_or_default();
        let is_settled = now.saturating_sub(accepted) > REPORT_LAG;
        let is_ahead = known.is_none_or(|known| report.sequence > known);
        if report.busy || !(is_settled || is_ahead) {
            return;
        }
        self.progress = None;
        self.is_doubtful = false;
        self.adopt(&report.models);
        for (model, adapter) in &report.coming {
            if let Some(adapters) = self.models.get_mut(model) {
                adapters.insert(adapter.clone());
            }
        }
    }

    fn adopt(&mut self, models: &[mesh::Model]) {
        self.leaving.clear();
        self.models = models
            .iter()
            .map(|model| {
                let adapters = model.adapters.iter().cloned().collect();
                (model.name.clone(), adapters)
            })
            .collect();
    }

    fn adopt_copies(&mut self, in_memory: &[String], on_disk: &[String]) {
        self.in_memory = in_memory.iter().cloned().collect();
        self.on_disk = on_disk.iter().cloned().collect();
    }

    /// Records that it is not known whether the runner carries out `order`.
    pub fn doubt(&mut self, order: &Order) {
        if order.adapter.is_none() {
            let sequence = order.sequence + 1;
            self.unanswered = Some((order.action, order.model.clone(), sequence));
        }
    }

    /// Records that the runner carries out `order`.
    pub fn accept(&mut self, order: &Order, now: Duration) {
        self.advance(order, now);
        match (&order.adapter, order.action) {
            (None, action) => {
                if action == Action::Load {
                    self.reserved_for = None;
                }
                self.progress = Some((action, order.model.clone(), now));
            }
            (Some(adapter), Action::Load) => self.add_adapter(&order.model, adapter),
            (Some(adapter), Action::Unload) => {
                let key = (order.model.clone(), adapter.clone());
                self.leaving.insert(key);
            }
        }
    }

    /// Records that what `order` asks for holds. An unload that holds at once
    /// counts as an order; a load that does changes nothing.
    pub fn hold(&mut self, order: &Order, now: Duration) {
        match (&order.adapter, order.action) {
            (Some(adapter), Action::Load) => self.add_adapter(&order.model, adapter),
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

    fn add_adapter(&mut self, model: &str, adapter: &str) {
        let adapters = self.models.entry(model.to_owned()).or_default();
        adapters.insert(adapter.to_owned());
    }

    /// Whether a model order is in progress.
    #[must_use]
    pub fn is_in_order(&self) -> bool {
        self.progress.is_some()
    }

    /// Whether a model order is in progress, or any is being given.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.is_in_order() || self.turn.try_lock().is_err()
    }

    /// Keeps the room that an unload makes for `model`.
    pub fn reserve(&mut self, model: &str, now: Duration) {
        self.reserved_for = Some((model.to_owned(), now));
    }

    /// Whether a model order has been in progress for longer than `limit`.
    #[must_use]
    pub fn is_overdue(&self, limit: Duration, now: Duration) -> bool {
        self.progress
            .as_ref()
            .is_some_and(|(_, _, since)| now.saturating_sub(*since) > limit)
    }

    /// Whether it holds the model and is not unloading it.
    #[must_use]
    pub fn holds_model(&self, model: &str) -> bool {
        let unloading = matches!(
            &self.progress,
            Some((Action::Unload, leaving, _)) if leaving == model
        );
        self.models.contains_key(model) && !unloading
    }

    /// Whether it holds the adapter and is not unloading it.
    #[must_use]
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        let is_held = |adapters: &BTreeSet<_>| adapters.contains(adapter);
        self.models.get(model).is_some_and(is_held) && !self.leaving.contains(&key)
    }

    /// Whether the adapter goes once its last request has ended.
    #[must_use]
    pub fn is_leaving(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        self.leaving.contains(&key)
    }

    /// Whether any adapter does.
    #[must_use]
    pub fn has_leaving(&self) -> bool {
        !self.leaving.is_empty()
    }

    /// Notes that the adapter was asked for.
    pub fn use_adapter(&mut self, model: &str, adapter: &str, now: Duration) {
        self.used
            .insert((model.to_owned(), adapter.to_owned()), now);
    }

    /// Adapters that take a place, leaving ones too.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// The adapter that was asked for the longest time ago.
    #[must_use]
    pub fn oldest_adapter(&self) -> Option<(id::Model, id::Adapter)> {
        self.models
            .iter()
            .flat_map(|(model, adapters)| {
                adapters
                    .iter()
                    .map(move |adapter| (model.clone(), adapter.clone()))
            })
            .filter(|key| !self.leaving.contains(key))
            .min_by_key(|key| self.used.get(key).copied().unwrap_or_default())
    }

    /// The planner's view of the runner.
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
            .filter(|(_, since)| now.saturating_sub(*since) < RESERVATION)
            .map(|(model, _)| model.clone());
        planner::Runner {
            models: self.models.keys().cloned().collect(),
            loading,
            unloading,
            is_busy: self.progress.is_some()
                || self.sequence.is_none()
                || now < self.blocked_until
                || self.turn.try_lock().is_err(),
            adapters: self.adapters(),
            in_memory: self.in_memory.clone(),
            on_disk: self.on_disk.clone(),
            requests,
            pending_tokens,
            reserved_for,
        }
    }
}
