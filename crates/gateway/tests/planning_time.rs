//! Processor time of a planning round.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_gateway::lag;
use almondbank_gateway::planner::{self, Demand, Runner, View};
use almondbank_gateway::service::{Engine, Model};

const MODELS: usize = 300;
const RUNNERS: usize = 200;
const MODELS_PER_RUNNER: usize = 30;
/// Processor time for one round of a build without optimizations, far above what it takes.
const MAX_TIME: Duration = Duration::from_secs(3);

fn names(runner: usize) -> BTreeSet<String> {
    (0..MODELS_PER_RUNNER)
        .map(|at| format!("m{}", (runner * 7 + at * 13) % MODELS))
        .collect()
}

fn engine() -> Engine {
    let model = Model {
        memory_mb: 7_000.0,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(400),
        memory_load: Duration::from_millis(300),
        adapters: 10,
        adapter_mb: 50.0,
    };
    Engine {
        slots: 64,
        kv_capacity: 250_000,
        memory_mb: 211_000.0,
        adapter_slots: 8,
        loads_per_second: 1.6,
        models: (0..MODELS)
            .map(|number| (format!("m{number}"), model.clone()))
            .collect(),
    }
}

fn runner(number: usize) -> Runner {
    let models = names(number);
    Runner {
        requests: models.iter().map(|model| (model.clone(), 5)).collect(),
        on_disk: models.clone(),
        models,
        pending_tokens: 50_000,
        ..Runner::default()
    }
}

// Other tasks of the instance wait for the round.
#[test]
fn a_round_with_many_overloaded_models_does_not_hold_the_processor_for_seconds() {
    let engine = engine();
    let demand = Demand {
        rate: 1.0,
        history: 1.0,
        tokens: 1e6,
        objective: Duration::from_millis(500),
        ..Demand::default()
    };
    let demands: BTreeMap<_, _> = engine
        .models
        .keys()
        .map(|model| (model.clone(), demand))
        .collect();
    let view = View {
        engine: &engine,
        runners: (0..RUNNERS)
            .map(|number| (format!("r{number}"), runner(number)))
            .collect(),
        demands,
        token_times: BTreeMap::new(),
        store_loads: 1,
    };
    let before = lag::processor_time();
    let decisions = planner::decide(&view);
    let used = lag::processor_time().saturating_sub(before);
    assert_eq!(decisions, []);
    assert!(used < MAX_TIME, "{used:?}");
}
