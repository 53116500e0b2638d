//! Requests that all instances have in flight on each runner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::call::Target;
use crate::id;

/// Time after which the last report of a peer is ignored.
pub const REPORT_TTL: Duration = Duration::from_secs(4);

/// Requests in flight on one runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Number of requests without a first token.
    pub pending: u64,
    /// Prompt tokens of these requests that need prefill.
    pub pending_tokens: u64,
    /// Number of requests that have produced their first token.
    pub running: u64,
    /// KV cache tokens of all these requests.
    pub tokens: u64,
}

impl Work {
    /// Number of requests, pending or running.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.pending + self.running
    }

    fn add(&mut self, other: Self) {
        self.pending += other.pending;
        self.pending_tokens += other.pending_tokens;
        self.running += other.running;
        self.tokens += other.tokens;
    }
}

/// Requests in flight on all runners, from this instance and its peers.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

/// Runner, and the target of the requests as [`mesh::Load`] encodes it.
type Key = (id::Runner, String);

#[derive(Debug, Default)]
struct Inner {
    own: BTreeMap<Key, Work>,
    peers: BTreeMap<id::Instance, Report>,
    /// Last summaries of other data centres.
    data_centres: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    at: Duration,
    loads: BTreeMap<Key, Work>,
}

/// A guard for one request in flight, which removes the request when dropped.
#[derive(Debug)]
pub struct Guard {
    tracker: Arc<Tracker>,
    key: Key,
    prefill_tokens: u64,
    tokens: u64,
    is_decoding: bool,
}

impl Tracker {
    /// Adds a request with `prefill_tokens` prompt tokens that need prefill. It takes
    /// up at most `tokens` tokens of KV cache. `target` is `None` for a service without
    /// an engine.
    #[must_use]
    pub fn track(
        self: &Arc<Self>,
        runner: &str,
        target: Option<&Target>,
        prefill_tokens: u64,
        tokens: u64,
    ) -> Guard {
        let key = (runner.to_owned(), target.map_or_else(String::new, encode));
        let mut inner = self.inner.lock();
        let work = inner.own.entry(key.clone()).or_default();
        work.pending += 1;
        work.pending_tokens += prefill_tokens;
        work.tokens += tokens;
        Guard {
            tracker: Arc::clone(self),
            key,
            prefill_tokens,
            tokens,
            is_decoding: false,
        }
    }

    /// Replaces the last report of `instance`.
    pub fn set_peer(&self, instance: &str, loads: Vec<mesh::Load>, now: Duration) {
        let report = Report::new(loads, now);
        let mut inner = self.inner.lock();
        inner.peers.retain(|_, report| !report.is_expired(now));
        inner.peers.insert(instance.to_owned(), report);
    }

    /// Replaces the last summary of `data_centre`.
    pub fn set_data_centre(&self, data_centre: &str, loads: Vec<mesh::Load>, now: Duration) {
        let report = Report::new(loads, now);
        let mut inner = self.inner.lock();
        inner
            .data_centres
            .retain(|_, report| !report.is_expired(now));
        inner.data_centres.insert(data_centre.to_owned(), report);
    }

    /// Returns the work of all instances by runner.
    #[must_use]
    pub fn totals(&self, now: Duration) -> BTreeMap<id::Runner, Work> {
        let mut totals: BTreeMap<id::Runner, Work> = BTreeMap::new();
        for ((runner, _), work) in self.by_target(now) {
            totals.entry(runner).or_default().add(work);
        }
        totals
    }

    /// Returns the work of all instances by runner and model. The model is empty for a
    /// service without an engine.
    #[must_use]
    pub fn by_model(&self, now: Duration) -> BTreeMap<(id::Runner, id::Model), Work> {
        let mut totals: BTreeMap<_, Work> = BTreeMap::new();
        for ((runner, target), work) in self.by_target(now) {
            let model = decode(&target).model;
            totals.entry((runner, model)).or_default().add(work);
        }
        totals
    }

    /// Returns the models and adapters that have requests on `runner`.
    #[must_use]
    pub fn targets(&self, runner: &str, now: Duration) -> BTreeSet<Target> {
        let targets = self.by_target(now);
        let targets = targets.into_keys().filter(|(of, _)| of == runner);
        targets.map(|(_, target)| decode(&target)).collect()
    }

    fn by_target(&self, now: Duration) -> BTreeMap<Key, Work> {
        let inner = self.inner.lock();
        let mut totals = inner.own.clone();
        let reports = inner.peers.values().chain(inner.data_centres.values());
        for report in reports {
            report.add_to(&mut totals, now);
        }
        totals
    }

    /// Number of requests of this instance on `runner`.
    #[must_use]
    pub fn own_requests(&self, runner: &str) -> u64 {
        requests(&self.inner.lock().own, runner)
    }

    /// Number of requests of all instances on `runner`.
    #[must_use]
    pub fn all_requests(&self, runner: &str, now: Duration) -> u64 {
        let inner = self.inner.lock();
        let reports = inner.peers.values().chain(inner.data_centres.values());
        let recent = reports.filter(|report| !report.is_expired(now));
        let others: u64 = recent.map(|report| requests(&report.loads, runner)).sum();
        requests(&inner.own, runner) + others
    }

    /// Returns the work of this instance, as sent to its peers.
    #[must_use]
    pub fn own(&self) -> Vec<mesh::Load> {
        loads(&self.inner.lock().own)
    }

    /// Returns the work of this instance and of the peers that report to it
    /// directly, as sent to other data centres.
    #[must_use]
    pub fn local(&self, now: Duration) -> Vec<mesh::Load> {
        let inner = self.inner.lock();
        let mut totals = inner.own.clone();
        for report in inner.peers.values() {
            report.add_to(&mut totals, now);
        }
        loads(&totals)
    }
}

impl Report {
    fn new(loads: Vec<mesh::Load>, at: Duration) -> Self {
        let loads = loads.into_iter().map(|load| {
            let work = Work {
                pending: load.pending,
                pending_tokens: load.pending_tokens,
                running: load.running,
                tokens: load.tokens,
            };
            ((load.runner, load.model), work)
        });
        Self {
            at,
            loads: loads.collect(),
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) > REPORT_TTL
    }

    fn add_to(&self, totals: &mut BTreeMap<Key, Work>, now: Duration) {
        if self.is_expired(now) {
            return;
        }
        for (key, work) in &self.loads {
            totals.entry(key.clone()).or_default().add(*work);
        }
    }
}

// Number of requests on `runner`.
fn requests(work: &BTreeMap<Key, Work>, runner: &str) -> u64 {
    let first = (runner.to_owned(), String::new());
    let of_runner = work.range(first..).take_while(|(key, _)| key.0 == runner);
    of_runner.map(|(_, work)| work.requests()).sum()
}

fn loads(work: &BTreeMap<Key, Work>) -> Vec<mesh::Load> {
    work.iter()
        .map(|((runner, model), work)| mesh::Load {
            runner: runner.clone(),
            model: model.clone(),
            running: work.running,
            pending: work.pending,
            pending_tokens: work.pending_tokens,
            tokens: work.tokens,
        })
        .collect()
}

impl Guard {
    /// Records the first token of the request. Later calls have no effect.
    pub fn start_decoding(&mut self) {
        if std::mem::replace(&mut self.is_decoding, true) {
            return;
        }
        let mut inner = self.tracker.inner.lock();
        if let Some(work) = inner.own.get_mut(&self.key) {
            work.pending -= 1;
            work.pending_tokens -= self.prefill_tokens;
            work.running += 1;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut inner = self.tracker.inner.lock();
        let Some(work) = inner.own.get_mut(&self.key) else {
            return;
        };
        work.tokens -= self.tokens;
        if self.is_decoding {
            work.running -= 1;
        } else {
            work.pending -= 1;
            work.pending_tokens -= self.prefill_tokens;
        }
        if *work == Work::default() {
            inner.own.remove(&self.key);
        }
    }
}

// A model with a slash in its name ends at the last one.
fn encode(target: &Target) -> String {
    match &target.adapter {
        Some(adapter) => format!("{}/{adapter}", target.model),
        None if target.model.contains('/') => format!("{}/", target.model),
        None => target.model.clone(),
    }
}

fn decode(target: &str) -> Target {
    let (model, adapter) = target.rsplit_once('/').unwrap_or((target, ""));
    Target {
        model: model.to_owned(),
        adapter: (!adapter.is_empty()).then(|| adapter.to_owned()),
    }
}
