//! Services of an environment, and the engines of those that run models.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::Target;
use crate::id;

/// A group of runners that serve the same requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, unique in the environment.
    pub name: id::Service,
    /// Path of a liveness check of its runners, if they have one.
    pub health_path: Option<String>,
    /// Maximum number of connections that one runner accepts from all instances
    /// together. An instance opens far fewer.
    pub max_connections: u32,
    /// Engine of its runners, if they run models.
    pub engine: Option<Engine>,
}

/// Properties of the runners of a service that runs models.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Number of requests that one runner runs concurrently.
    pub slots: u32,
    /// KV cache capacity of one runner, in tokens.
    pub kv_capacity: u64,
    /// Memory of one runner for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of adapters on one runner.
    pub adapter_slots: usize,
    /// Loads from the weight store that may start per second, over all runners.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<id::Model, Model>,
}

impl Engine {
    /// Returns the model and the adapter that `target` names, which was split at any slash. Names
    /// of models may have some.
    #[must_use]
    pub fn resolve(&self, target: Target) -> Target {
        let Some(adapter) = &target.adapter else {
            return target;
        };
        let name = format!("{}/{adapter}", target.model);
        if self.models.contains_key(&name) {
            return Target {
                model: name,
                adapter: None,
            };
        }
        let slashes = name.rmatch_indices('/');
        let mut splits = slashes.map(|(at, slash)| (&name[..at], &name[at + slash.len()..]));
        let known = splits.find(|(model, _)| self.models.contains_key(*model));
        known.map_or(target, |(model, adapter)| Target {
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
        })
    }
}

/// One model of an engine.
#[derive(Clone, Debug)]
pub struct Model {
    /// Size of the weights, in megabytes.
    pub memory_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load: Duration,
    /// Duration of a load from the runner's disk.
    pub disk_load: Duration,
    /// Duration of a load from the runner's host memory.
    pub memory_load: Duration,
    /// Number of its adapters.
    pub adapters: u32,
    /// Size of an adapter, in megabytes.
    pub adapter_mb: f64,
}
