//! Reports of one data centre, collected for its next summary.

use std::collections::BTreeMap;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;

/// Maximum number of cached prefix blocks in one summary.
const MAX_BLOCKS: usize = 1024;

type Key = (id::Service, id::Model);

/// Reports of the instances of this data centre since the last summary.
#[derive(Debug, Default)]
pub struct Collector {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    demands: BTreeMap<Key, Total>,
    blocks: Vec<mesh::Kept>,
}

#[derive(Debug, Default)]
struct Total {
    arrivals: u64,
    tokens: u64,
    objective_ms: u64,
    /// Waiting requests by instance, from its last report.
    waiting: BTreeMap<id::Instance, u64>,
}

impl Collector {
    /// Adds the demand and the cached prefix blocks that `instance` reports.
    pub fn add(&self, instance: &str, demands: &[mesh::Demand], kept: &[mesh::Kept]) {
        let mut inner = self.inner.lock();
        for demand in demands {
            let key = (demand.service.clone(), demand.model.clone());
            let total = inner.demands.entry(key).or_default();
            total.arrivals += demand.arrivals;
            total.tokens += demand.tokens;
            total.objective_ms = demand.objective_ms;
            let waiting = total.waiting.entry(instance.to_owned()).or_default();
            *waiting = demand.waiting;
        }
        inner.blocks.extend(kept.iter().cloned());
        let excess = inner.blocks.len().saturating_sub(MAX_BLOCKS);
        inner.blocks.drain(..excess);
    }

    /// Takes the demand and the cached prefix blocks reported since the last call.
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
        (demands.collect(), inner.blocks)
    }
}
