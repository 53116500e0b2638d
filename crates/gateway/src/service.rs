//! A service of an environment, and the engines that some services run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;

/// A group of runners that do the same work.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Connections that one runner accepts from all instances together; an
    /// instance keeps far fewer.
    pub max_connections: u32,
    /// What its runners are, if they run models.
    pub engine: Option<Engine>,
}

/// Properties of the runners of a service that runs models.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Requests that one runner runs at once.
    pub slots: u32,
    /// Tokens that one runner's memory holds.
    pub kv_capacity: u64,
    /// Megabytes for weights and adapters on one runner.
    pub memory_mb: f64,
    /// Adapters that one runner holds at most.
    pub adapter_slots: usize,
    /// Loads from the weight store that may begin in a second, over all runners.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<id::Model, Model>,
}

/// One model of an engine.
#[derive(Clone, Debug)]
pub struct Model {
    /// Size of the weights, in megabytes.
    pub memory_mb: f64,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the runner's disk.
    pub disk_load: Duration,
    /// Time of a load from the runner's host memory.
    pub memory_load: Duration,
    /// Size of an adapter, in megabytes.
    pub adapter_mb: f64,
}
