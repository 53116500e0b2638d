//! What the speaker of a data centre tells the others.

use std::collections::BTreeMap;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;

/// Prompt parts of one summary.
const MAX_KEPT: usize = 1024;

type Key = (id::Service, id::Model);

/// What instances of this data centre reported since the last summary.
#[derive(Debug, Default)]
pub struct Collector {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    demands: BTreeMap<Key, Total>,
    kept: Vec<mesh::Kept>,
}

#[derive(Debug, Default)]
struct Total {
    arrivals: u64,
    tokens: u64,
    objective_ms: u64,
    /// Waiting requests by instance, as reported last.
    waiting: BTreeMap<id::Instance, u64>,
}

impl Collector {
    /// Adds a report of `instance`.
    pub fn add(&self, instance: &str, status: &mesh::Status) {
        let mut inner = self.inner.lock();
        for demand in &status.demands {
            let key = (demand.service.clone(), demand.model.clone());
            let total = inner.demands.entry(key).or_default();
            total.arrivals += demand.arrivals;
            total.tokens += demand.tokens;
            total.objective_ms = demand.objective_ms;
            let waiting = total.waiting.entry(instance.to_owned()).or_default();
            *waiting = demand.waiting;
        }
        inner.kept.extend(status.kept.iter().cloned());
        let excess = inner.kept.len().saturating_sub(MAX_KEPT);
        inner.kept.drain(..excess);
    }

    /// Takes the requests and prompt parts reported since the last call.
    #[must_use]
    pub fn take(&self) -> (Vec<mesh::Demand>, Vec<mesh::Kept>) {
        let inner = std::mem::take(&mut *self.inner.lock());
        let demands = inner
            .demands
            .into_iter()
            .map(|((service, model), total)| mesh::Demand {
                service,
                model,
                arrivals: total.arrivals,
                tokens: total.tokens,
                waiting: total.waiting.values().sum(),
                objective_ms: total.objective_ms,
            });
        (demands.collect(), inner.kept)
    }
}
