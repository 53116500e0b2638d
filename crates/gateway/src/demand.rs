//! Requests of this instance by model, counted for its reports to the peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::environment::Environment;
use crate::id;

/// Minimum number of prompt tokens of one request that is reported to the peers at
/// once, before they choose runners for their own requests.
const URGENT_TOKENS: u64 = 2_000;

type Key = (id::Service, id::Model);

/// Counts requests between two reports.
#[derive(Debug, Default)]
pub struct Counter {
    models: Mutex<BTreeMap<Key, Count>>,
    urgent: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrivals: u64,
    tokens: u64,
    waiting: u64,
    objective: Duration,
}

/// A guard for a request that waits for a replica; the wait ends when it is
/// dropped.
#[derive(Debug)]
pub struct Waiting {
    counter: Arc<Counter>,
    key: Key,
}

impl Counter {
    /// Counts the arrival of a request for a model.
    pub fn record_arrival(&self, service: &str, model: &str, objective: Duration) {
        let mut models = self.models.lock();
        let key = (service.to_owned(), model.to_owned());
        let count = models.entry(key).or_insert(Count {
            objective,
            ..Count::default()
        });
        count.arrivals += 1;
        count.objective = count.objective.min(objective);
    }

    /// Counts the prompt tokens of one request that were sent to a runner for prefill.
    /// From `URGENT_TOKENS` tokens on, this is an urgent change.
    pub fn record_tokens(&self, service: &str, model: &str, tokens: u64) {
        let key = (service.to_owned(), model.to_owned());
        if let Some(count) = self.models.lock().get_mut(&key) {
            count.tokens += tokens;
        }
        if tokens >= URGENT_TOKENS {
            self.urgent.notify_waiters();
        }
    }

    /// Counts a request as waiting until the guard is dropped. This is an urgent
    /// change.
    #[must_use]
    pub fn start_wait(
        self: &Arc<Self>,
        service: &str,
        model: &str,
        objective: Duration,
    ) -> Waiting {
        let key = (service.to_owned(), model.to_owned());
        let mut models = self.models.lock();
        let count = models.entry(key.clone()).or_insert(Count {
            objective,
            ..Count::default()
        });
        count.waiting += 1;
        count.objective = count.objective.min(objective);
        drop(models);
        self.urgent.notify_waiters();
        Waiting {
            counter: Arc::clone(self),
            key,
        }
    }

    /// Waits for the next urgent change, which is to be reported to the peers and
    /// planned for at once.
    pub async fn urgent_change(&self) {
        self.urgent.notified().await;
    }

    /// Removes the counts of models for which `is_known` is false, unless requests wait for them.
    pub fn retain(&self, is_known: impl Fn(&str, &str) -> bool) {
        self.models
            .lock()
            .retain(|(service, model), count| count.waiting > 0 || is_known(service, model));
    }

    /// Takes the arrivals and tokens since the last call, with the number of requests
    /// that wait at present.
    #[must_use]
    pub fn take(&self) -> Vec<mesh::Demand> {
        let mut models = self.models.lock();
        models
            .iter_mut()
            .filter(|(_, count)| count.arrivals > 0 || count.tokens > 0 || count.waiting > 0)
            .map(|((service, model), count)| mesh::Demand {
                service: service.clone(),
                model: model.clone(),
                arrivals: std::mem::take(&mut count.arrivals),
                tokens: std::mem::take(&mut count.tokens),
                waiting: count.waiting,
                objective_ms: u64::try_from(count.objective.as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}

/// Returns the demand for the models of `environment`. Callers and peers of another version may
/// name any others.
#[must_use]
pub fn known(demands: &[mesh::Demand], environment: &Environment) -> Vec<mesh::Demand> {
    let is_known = |demand: &&mesh::Demand| environment.has_model(&demand.service, &demand.model);
    demands.iter().filter(is_known).cloned().collect()
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut models = self.counter.models.lock();
        if let Some(count) = models.get_mut(&self.key) {
            count.waiting = count.waiting.saturating_sub(1);
        }
    }
}
