//! Tests for the placement of models.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_gateway::planner::{self, Decision, Demand, Runner, Tier, View};
use almondbank_gateway::service::{Engine, Model};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MODELS_PER_RUNNER: usize = 3;
const MODEL_MB: f64 = 70_000.0;
const CASES: u64 = 2_000;
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

fn engine(models: usize) -> Engine {
    let model = Model {
        memory_mb: MODEL_MB,
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(400),
        memory_load: Duration::from_millis(300),
        adapters: 0,
        adapter_mb: 50.0,
    };
    Engine {
        slots: 64,
        kv_capacity: 250_000,
        memory_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_second: 1.6,
        models: (0..models)
            .map(|number| (format!("m{number}"), model.clone()))
            .collect(),
    }
}

fn runner_with(models: &[&str]) -> Runner {
    Runner {
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        on_disk: models.iter().map(|model| (*model).to_owned()).collect(),
        ..Runner::default()
    }
}

fn demand(rate: f64, waiting: u64, objective_ms: u64) -> Demand {
    Demand {
        rate,
        history: 0.0,
        tokens: 0.0,
        waiting,
        objective: Duration::from_millis(objective_ms),
        adapter_misses: 0.0,
    }
}

fn view<'a>(
    engine: &'a Engine,
    runners: &[(&str, Runner)],
    demands: &[(&str, Demand)],
) -> View<'a> {
    View {
        engine,
        runners: runners
            .iter()
            .map(|(name, runner)| ((*name).to_owned(), runner.clone()))
            .collect(),
        demands: demands
            .iter()
            .map(|(name, demand)| ((*name).to_owned(), *demand))
            .collect(),
        token_times: engine
            .models
            .keys()
            .map(|model| (model.clone(), Duration::from_micros(25)))
            .collect(),
        store_loads: 1,
    }
}

#[test]
fn a_missing_model_is_loaded_on_a_runner_with_a_copy() {
    let engine = engine(3);
    let mut with_copy = runner_with(&["m0"]);
    with_copy.on_disk.insert("m2".to_owned());
    let view = view(
        &engine,
        &[("r1", runner_with(&["m1"])), ("r2", with_copy)],
        &[("m2", demand(0.1, 1, 4000))],
    );
    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m2".to_owned(),
        tier: Tier::Disk,
    };
    assert_eq!(planner::decide(&view), [load]);
}

#[test]
fn the_store_is_not_used_while_a_busy_runner_has_a_copy() {
    let engine = engine(3);
    let mut with_copy = runner_with(&["m0"]);
    with_copy.on_disk.insert("m2".to_owned());
    with_copy.is_busy = true;
    let view = view(
        &engine,
        &[("r1", runner_with(&["m1"])), ("r2", with_copy)],
        &[("m2", demand(0.1, 1, 4000))],
    );
    assert_eq!(planner::decide(&view), []);
}

// A runner full of small models has no single one whose eviction makes room for a
// large model, which was then never loaded.
#[test]
fn several_small_models_are_evicted_for_a_large_one() {
    let mut engine = engine(4);
    for model in ["m0", "m1", "m2"] {
        engine.models.get_mut(model).unwrap().memory_mb = 65_000.0;
    }
    engine.memory_mb = 200_000.0;
    let mut runner = runner_with(&["m0", "m1", "m2"]);
    runner.on_disk.insert("m3".to_owned());
    let demands = [
        ("m0", demand(0.5, 0, 400)),
        ("m1", demand(0.1, 0, 400)),
        ("m2", demand(0.2, 0, 400)),
        ("m3", demand(0.1, 1, 400)),
    ];
    let unload = |model: &str| Decision::Unload {
        runner: "r1".to_owned(),
        model: model.to_owned(),
        successor: "m3".to_owned(),
    };
    let first = planner::decide(&view(&engine, &[("r1", runner.clone())], &demands));
    assert_eq!(first, [unload("m1")]);

    runner.models.remove("m1");
    runner.reserved_for = Some("m3".to_owned());
    let second = planner::decide(&view(&engine, &[("r1", runner.clone())], &demands));
    assert_eq!(second, [unload("m2")]);

    runner.models.remove("m2");
    let third = planner::decide(&view(&engine, &[("r1", runner)], &demands));
    let load = Decision::Load {
        runner: "r1".to_owned(),
        model: "m3".to_owned(),
        tier: Tier::Disk,
    };
    assert_eq!(third, [load]);
}

#[test]
fn a_hot_model_is_kept_if_two_idle_ones_make_enough_room() {
    let mut engine = engine(4);
    for model in ["m1", "m2"] {
        engine.models.get_mut(model).unwrap().memory_mb = 35_000.0;
    }
    engine.memory_mb = 141_000.0;
    let mut runner = runner_with(&["m0", "m1", "m2"]);
    runner.on_disk.insert("m3".to_owned());
    let demands = [
        ("m0", demand(5.0, 0, 400)),
        ("m1", demand(0.0, 0, 400)),
        ("m2", demand(0.0, 0, 400)),
        ("m3", demand(0.1, 1, 400)),
    ];
    let unload = Decision::Unload {
        runner: "r1".to_owned(),
        model: "m1".to_owned(),
        successor: "m3".to_owned(),
    };
    let decisions = planner::decide(&view(&engine, &[("r1", runner)], &demands));
    assert_eq!(decisions, [unload]);
}

// The model waited without end for a runner whose models are all waited for.
#[test]
fn the_store_is_used_if_the_runner_with_a_copy_cannot_make_room() {
    let engine = engine(5);
    let mut with_copy = runner_with(&["m0", "m1", "m3"]);
    with_copy.on_disk.insert("m2".to_owned());
    let view = view(
        &engine,
        &[("r1", runner_with(&["m4"])), ("r2", with_copy)],
        &[
            ("m0", demand(0.1, 1, 400)),
            ("m1", demand(0.1, 1, 400)),
            ("m2", demand(0.1, 1, 4000)),
            ("m3", demand(0.1, 1, 400)),
        ],
    );
    let load = Decision::Load {
        runner: "r1".to_owned(),
        model: "m2".to_owned(),
        tier: Tier::Store,
    };
    assert_eq!(planner::decide(&view), [load]);
}

#[test]
fn a_model_with_a_long_objective_is_evicted_first() {
    let engine = engine(4);
    let mut full = runner_with(&["m0", "m1", "m2"]);
    full.on_disk.insert("m3".to_owned());
    let view = view(
        &engine,
        &[("r1", full)],
        &[
            ("m0", demand(0.5, 0, 400)),
            ("m1", demand(0.9, 0, 4000)),
            ("m2", demand(0.6, 0, 600)),
            ("m3", demand(0.1, 1, 400)),
        ],
    );
    let unload = Decision::Unload {
        runner: "r1".to_owned(),
        model: "m1".to_owned(),
        successor: "m3".to_owned(),
    };
    assert_eq!(planner::decide(&view), [unload]);
}

#[test]
fn a_replica_with_running_requests_is_not_evicted() {
    let engine = engine(4);
    let mut full = runner_with(&["m0", "m1", "m2"]);
    full.on_disk.insert("m3".to_owned());
    full.requests.insert("m0".to_owned(), 5);
    full.requests.insert("m2".to_owned(), 5);
    let view = view(&engine, &[("r1", full)], &[("m3", demand(0.1, 1, 400))]);
    let decisions = planner::decide(&view);
    assert!(
        matches!(&decisions[..], [Decision::Unload { model, .. }] if model == "m1"),
        "{decisions:?}"
    );
}

#[test]
fn freed_memory_goes_to_the_model_that_it_is_reserved_for() {
    let engine = engine(5);
    let mut freed = runner_with(&["m0", "m1"]);
    freed.reserved_for = Some("m3".to_owned());
    freed.on_disk.insert("m3".to_owned());
    freed.on_disk.insert("m4".to_owned());
    let view = view(
        &engine,
        &[("r1", freed)],
        &[("m4", demand(9.0, 9, 400)), ("m3", demand(0.1, 1, 4000))],
    );
    let decisions = planner::decide(&view);
    assert!(
        matches!(&decisions[..], [Decision::Load { model, .. }] if model == "m3"),
        "{decisions:?}"
    );
}

#[test]
fn an_overloaded_model_gets_another_replica() {
    let engine = engine(4);
    let mut idle = runner_with(&["m1", "m2"]);
    idle.on_disk.insert("m0".to_owned());
    let busy = Demand {
        tokens: 20_000.0,
        ..demand(8.0, 0, 400)
    };
    let view = view(
        &engine,
        &[("r1", runner_with(&["m0", "m3"])), ("r2", idle)],
        &[("m0", busy)],
    );
    let decisions = planner::decide(&view);
    assert!(
        matches!(&decisions[..], [Decision::Load { runner, model, .. }]
            if runner == "r2" && model == "m0"),
        "{decisions:?}"
    );
}

/// A random state of a service.
#[derive(Clone, Debug)]
struct Case {
    runners: Vec<Runner>,
    demands: BTreeMap<String, Demand>,
    store_loads: usize,
}

const MODELS: usize = 8;

fn random_model(g: &mut Gen) -> String {
    format!("m{}", usize::arbitrary(g) % MODELS)
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let runners = (0..usize::arbitrary(g) % 5)
            .map(|_| {
                let held = usize::arbitrary(g) % (MODELS_PER_RUNNER + 1);
                let models: BTreeSet<_> = (0..held).map(|_| random_model(g)).collect();
                let mut runner = Runner {
                    is_busy: u8::arbitrary(g).is_multiple_of(4),
                    on_disk: (0..4).map(|_| random_model(g)).collect(),
                    pending_tokens: u64::from(u16::arbitrary(g)),
                    ..Runner::default()
                };
                if u8::arbitrary(g).is_multiple_of(4) && models.len() < MODELS_PER_RUNNER {
                    let loading = random_model(g);
                    runner.loading = Some(loading).filter(|model| !models.contains(model));
                    runner.is_busy |= runner.loading.is_some();
                }
                if u8::arbitrary(g).is_multiple_of(4) {
                    runner.reserved_for = Some(random_model(g));
                }
                runner.models = models;
                runner
            })
            .collect();
        let demands = (0..MODELS)
            .map(|number| {
                let demand = Demand {
                    rate: f64::from(u8::arbitrary(g)) / 20.0,
                    history: f64::from(u8::arbitrary(g)) / 40.0,
                    tokens: f64::from(u16::arbitrary(g)),
                    waiting: u64::from(u8::arbitrary(g) % 3),
                    objective: Duration::from_millis(u64::from(u16::arbitrary(g) % 6000)),
                    adapter_misses: f64::from(u8::arbitrary(g)) / 40.0,
                };
                (format!("m{number}"), demand)
            })
            .collect();
        Self {
            runners,
            demands,
            store_loads: usize::arbitrary(g) % 2,
        }
    }
}

// No load exceeds the memory of its runner, no runner gets two orders, busy runners
// get none, and the number of loads from the store is within its limit.
fn is_sound(case: Case) -> bool {
    let engine = engine(MODELS);
    let runners: BTreeMap<_, _> = case
        .runners
        .into_iter()
        .enumerate()
        .map(|(number, runner)| (format!("r{number}"), runner))
        .collect();
    let view = View {
        engine: &engine,
        runners: runners.clone(),
        demands: case.demands,
        token_times: BTreeMap::new(),
        store_loads: case.store_loads,
    };
    let mut ordered = BTreeSet::new();
    let mut store_loads = 0;
    for decision in planner::decide(&view) {
        let (name, is_valid) = match &decision {
            Decision::Load {
                runner,
                model,
                tier,
            } => {
                let state = &runners[runner];
                store_loads += usize::from(*tier == Tier::Store);
                let held = state.models.len() + usize::from(state.loading.is_some());
                (
                    runner,
                    held < MODELS_PER_RUNNER && !state.models.contains(model) && !state.is_busy,
                )
            }
            Decision::Unload { runner, model, .. } => {
                let state = &runners[runner];
                (runner, state.models.contains(model) && !state.is_busy)
            }
        };
        if !is_valid || !ordered.insert(name.clone()) {
            return false;
        }
    }
    store_loads <= case.store_loads
}

#[test]
fn no_decision_overcommits_a_runner() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(is_sound as fn(Case) -> bool);
}

// A model whose adapters are asked for more widely than one runner has slots.
#[test]
fn a_model_without_free_adapter_slots_gets_another_replica() {
    let engine = engine(3);
    let mut idle = runner_with(&["m1"]);
    idle.on_disk.insert("m0".to_owned());
    let runners = [("r1", runner_with(&["m0"])), ("r2", idle)];
    let mut wanted = demand(5.0, 0, 400);
    assert_eq!(
        planner::decide(&view(&engine, &runners, &[("m0", wanted)])),
        [Decision::Load {
            runner: "r1".to_owned(),
            model: "m2".to_owned(),
            tier: Tier::Store,
        }]
    );
    wanted.adapter_misses = 3.0;
    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m0".to_owned(),
        tier: Tier::Disk,
    };
    let decisions = planner::decide(&view(&engine, &runners, &[("m0", wanted)]));
    assert!(decisions.contains(&load), "{decisions:?}");
}

// A runner that unloads a model takes no orders for adapters until the last request for
// the model has ended, so it drains first; the next rounds stay with that model.
#[test]
fn a_draining_model_stays_the_one_to_unload_and_counts_as_no_replica() {
    let engine = engine(4);
    let mut runner = runner_with(&["m0", "m1", "m2"]);
    runner.on_disk.insert("m3".to_owned());
    runner.draining = Some("m1".to_owned());
    runner.reserved_for = Some("m3".to_owned());
    let mut other = runner_with(&[]);
    other.on_disk.insert("m1".to_owned());
    let demands = [
        ("m0", demand(0.0, 0, 400)),
        ("m1", demand(2.0, 1, 400)),
        ("m3", demand(0.1, 1, 400)),
    ];
    let decisions = planner::decide(&view(&engine, &[("r1", runner), ("r2", other)], &demands));
    let unload = Decision::Unload {
        runner: "r1".to_owned(),
        model: "m1".to_owned(),
        successor: "m3".to_owned(),
    };
    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m1".to_owned(),
        tier: Tier::Disk,
    };
    assert_eq!(decisions, [unload, load]);
}

// One request with a patient caller must not evict a model with many streams: the store
// is used, or another runner as soon as its order has ended.
#[test]
fn a_busy_model_is_not_evicted_for_a_single_request() {
    let engine = engine(4);
    let mut hot = runner_with(&["m0", "m1", "m2"]);
    hot.on_disk.insert("m3".to_owned());
    for model in ["m0", "m1", "m2"] {
        hot.requests.insert(model.to_owned(), 10);
    }
    let waiting = |count| {
        [
            ("m0", demand(5.0, 0, 400)),
            ("m1", demand(5.0, 0, 400)),
            ("m2", demand(5.0, 0, 400)),
            ("m3", demand(0.1, count, 4000)),
        ]
    };
    let alone = [("r1", hot.clone())];
    assert_eq!(planner::decide(&view(&engine, &alone, &waiting(1))), []);
    let unloads = planner::decide(&view(&engine, &alone, &waiting(20)));
    assert!(
        matches!(unloads[..], [Decision::Unload { .. }]),
        "{unloads:?}"
    );

    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m3".to_owned(),
        tier: Tier::Store,
    };
    let both = [("r1", hot), ("r2", runner_with(&[]))];
    assert_eq!(planner::decide(&view(&engine, &both, &waiting(1))), [load]);
}

// A load from the store made adapters of a hot model unavailable for six seconds.
#[test]
fn a_load_avoids_a_runner_whose_models_need_adapter_orders() {
    let mut engine = engine(3);
    engine.models.get_mut("m0").unwrap().adapters = 15;
    let runners = [("r1", runner_with(&["m0"])), ("r2", runner_with(&["m1"]))];
    let demands = [
        ("m0", demand(10.0, 0, 400)),
        ("m1", demand(10.0, 0, 400)),
        ("m2", demand(0.1, 1, 4000)),
    ];
    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m2".to_owned(),
        tier: Tier::Store,
    };
    assert_eq!(planner::decide(&view(&engine, &runners, &demands)), [load]);
}

// The only replica was lost while another one was being loaded from the store; the
// requests waited for that although a disk had a copy.
#[test]
fn a_copy_is_used_while_another_replica_is_loaded_from_the_store() {
    let engine = engine(3);
    let mut slow = runner_with(&["m0"]);
    slow.loading = Some("m2".to_owned());
    slow.is_busy = true;
    let mut with_copy = runner_with(&["m1"]);
    with_copy.on_disk.insert("m2".to_owned());
    let runners = [("r1", slow), ("r2", with_copy), ("r3", runner_with(&[]))];
    let load = Decision::Load {
        runner: "r2".to_owned(),
        model: "m2".to_owned(),
        tier: Tier::Disk,
    };
    let demands = [("m2", demand(1.0, 2, 400))];
    assert_eq!(planner::decide(&view(&engine, &runners, &demands)), [load]);
}

#[test]
fn another_replica_is_not_loaded_from_the_store_if_there_is_a_copy() {
    let engine = engine(2);
    let mut busy = runner_with(&["m1"]);
    busy.on_disk.insert("m0".to_owned());
    busy.is_busy = true;
    let runners = [
        ("r1", runner_with(&["m0"])),
        ("r2", busy),
        ("r3", runner_with(&[])),
    ];
    let mut overloaded = demand(5.0, 0, 400);
    overloaded.adapter_misses = 3.0;
    let demands = [("m0", overloaded)];
    assert_eq!(planner::decide(&view(&engine, &runners, &demands)), []);
}

#[test]
fn a_model_whose_only_replica_is_limited_is_loaded_on_another_runner() {
    let engine = engine(1);
    let limited = Runner {
        is_limited: true,
        ..runner_with(&["m0"])
    };
    let other = Runner {
        on_disk: BTreeSet::from(["m0".to_owned()]),
        ..Runner::default()
    };
    let runners = [("limited", limited), ("other", other)];
    let waited_for = view(&engine, &runners, &[("m0", demand(1.0, 2, 400))]);
    let load = Decision::Load {
        runner: "other".to_owned(),
        model: "m0".to_owned(),
        tier: Tier::Disk,
    };
    assert_eq!(planner::decide(&waited_for), [load]);
    let served = view(&engine, &runners, &[("m0", demand(1.0, 0, 400))]);
    assert_eq!(planner::decide(&served), []);
}
