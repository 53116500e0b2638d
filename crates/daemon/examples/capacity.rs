//! Measures how memory, message sizes and the processor time of single decisions grow
//! with the size of a deployment, and prints a linear fit for each.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondbank_control::budget::Budget;
use almondbank_control::demand::{self, Target};
use almondbank_control::observation::Observation;
use almondbank_control::placement::{self, Placed, View};
use almondbank_port::clock::{Clock, System};
use almondbank_serving::admission::{Controller, Limits, Request};
use almondbank_serving::ledger::{Begin, Ledger};
use almondbank_serving::prefix::Prefix;
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::fixture::{self, Model};
use almondbank_wire::document::{self, Document};
use almondbank_wire::order::Tier;
use almondbank_wire::rank::Rank;
use almondbank_wire::{codec, peer, row};

const RUNNERS: [usize; 4] = [10, 100, 1_000, 10_000];
const ADAPTERS: [usize; 4] = [100, 1_000, 9_000, 27_000];
const KEYS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const MODELS: usize = 570;
const ADMISSIONS: u32 = 100_000;

/// A measured value at one size.
struct Point {
    size: usize,
    value: f64,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the async runtime can be built");
    println!("| slope | at sizes | fit | residual |");
    println!("|---|---|---|---|");
    let mut many_models = Vec::new();
    let mut one_model = Vec::new();
    let mut rounds = Vec::new();
    let mut update = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in RUNNERS {
        let shard = Shard::new(size);
        rounds.push(point(size, shard.round_micros()));
        let routes = shard.routes();
        bytes.push(point(size, encoded_bytes(&routes)));
        let before = resident_kib();
        let controller = controller();
        let start = Instant::now();
        controller.update(routes);
        update.push(point(size, micros(start.elapsed())));
        memory.push(point(size, resident_kib() - before));
        many_models.push(point(
            size,
            runtime.block_on(admission_nanos(&controller, MODELS)),
        ));
        let single = controller_of_one_model(size);
        one_model.push(point(size, runtime.block_on(admission_nanos(&single, 1))));
    }
    print_fit("routing choice by runners, 570 models, ns", &many_models);
    print_fit("routing choice, one model on all runners, ns", &one_model);
    print_fit("placement round by runners, us", &rounds);
    print_fit("whole routes message by runners, bytes", &bytes);
    print_fit("taking a whole routes message by runners, us", &update);
    print_fit("routes held by runners, KiB", &memory);
    adapters();
    ledger();
    heartbeats();
}

fn adapters() {
    let (mut length, mut parse, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for size in ADAPTERS {
        let text = adapters_document(size);
        length.push(point(size, to_f64(text.len())));
        let before = resident_kib();
        let start = Instant::now();
        let parsed = document::parse(&text).expect("the document is valid");
        parse.push(point(size, micros(start.elapsed())));
        memory.push(point(size, resident_kib() - before));
        black_box(parsed);
    }
    print_fit("document by adapters, bytes", &length);
    print_fit("checking a document by adapters, us", &parse);
    print_fit("document held by adapters, KiB", &memory);
}

fn ledger() {
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for size in KEYS {
        let before = resident_kib();
        let ledger = Ledger::new(Duration::from_hours(1), usize::MAX);
        let start = Instant::now();
        for n in 0..size {
            let key = format!("caller/floorbook/book/entry-1-0123456789abcdef.{n}/key-{n}");
            let digest = "0".repeat(64);
            let begun = ledger.begin(&key, &digest, Duration::ZERO, Duration::ZERO);
            if let Begin::Run(guard) = begun {
                drop(guard);
            }
        }
        let nanos = micros(start.elapsed()) * 1_000.0 / to_f64(size);
        time.push(point(size, nanos));
        memory.push(point(size, resident_kib() - before));
        black_box(&ledger);
    }
    print_fit("ledger by keys, KiB", &memory);
    print_fit("a call in the ledger by keys, ns", &time);
}

fn heartbeats() {
    let mut bytes = Vec::new();
    for size in [1, 10, 100, 570] {
        let usage = (0..size)
            .map(|at| peer::Usage {
                model: format!("model-{at}"),
                version: "v1".to_owned(),
                arrivals: 100,
                running: 20,
                waiting: vec![peer::Waiting {
                    rank: 1,
                    count: 3,
                    budget_ms: 5_000,
                }],
            })
            .collect();
        let heartbeat = peer::Message::Heartbeat(peer::Heartbeat {
            revision: 70_000,
            leaving: false,
            keeper: 0,
            stepped_down: 0,
            usage,
        });
        bytes.push(point(size, to_f64(codec::encode(&heartbeat).len())));
    }
    print_fit("heartbeat by models in use at the instance, bytes", &bytes);
}

/// A shard in which every runner holds three replicas.
struct Shard {
    document: Document,
    replicas: BTreeMap<String, Placed>,
    observations: BTreeMap<String, Observation>,
}

impl Shard {
    fn new(size: usize) -> Self {
        let runners: Vec<_> = (0..size).map(runner).collect();
        let models: Vec<_> = (0..MODELS)
            .map(|at| Model::new(format!("model-{at}"), 30_000))
            .collect();
        let text = fixture::document("trial", &runners, &models, None);
        let document = document::parse(&text).expect("the document is valid");
        let mut replicas = BTreeMap::new();
        let mut observations = BTreeMap::new();
        for (at, runner) in runners.iter().enumerate() {
            let config = Config {
                memory_bytes: 100,
                checks_fencing: true,
                load_time: Duration::ZERO,
                cached: Vec::new(),
            };
            let mut engine = Engine::new(format!("{}-0", runner.name), config);
            for n in 0..3 {
                let placed = placed(at, n, &runner.name);
                let order = almondbank_wire::order::Order {
                    order: placed.row.load.clone(),
                    fencing: 1,
                    action: almondbank_wire::order::Action::Load,
                    replica: placed.row.replica.clone(),
                    model: placed.row.model.clone(),
                    version: placed.row.version.clone(),
                    bytes: placed.row.bytes,
                    pool_bytes: placed.row.pool_bytes,
                    adapter: None,
                };
                let _ = engine.order(&order, Duration::ZERO);
                replicas.insert(placed.row.replica.clone(), placed);
            }
            let observation = Observation {
                report: engine.report(Duration::ZERO),
                requested_at: Duration::ZERO,
            };
            observations.insert(runner.name.clone(), observation);
        }
        Self {
            document,
            replicas,
            observations,
        }
    }

    // Time of a placement round in which every model is in use and no order is needed.
    fn round_micros(&self) -> f64 {
        let usages: Vec<_> = (0..MODELS)
            .map(|at| peer::Usage {
                model: format!("model-{at}"),
                version: "v1".to_owned(),
                arrivals: 1,
                running: 1,
                waiting: Vec::new(),
            })
            .collect();
        let demands = demand::sum(usages.iter());
        let mut used = BTreeMap::new();
        placement::record_usage(&mut used, &demands, |_| 1, Duration::ZERO);
        let mut budget = Budget::new(4, 1.6);
        let start = Instant::now();
        let rounds = 3;
        for _ in 0..rounds {
            let view = View {
                now: Duration::ZERO,
                document: &self.document,
                replicas: &self.replicas,
                observations: &self.observations,
                demands: &demands,
                usages: &used,
            };
            black_box(placement::plan(&view, &mut budget));
        }
        micros(start.elapsed()) / f64::from(rounds)
    }

    fn routes(&self) -> peer::Routes {
        let replicas = self.replicas.values().map(|placed| peer::Route {
            replica: placed.row.replica.clone(),
            model: placed.row.model.clone(),
            version: placed.row.version.clone(),
            runner: placed.row.runner.clone(),
            ready: true,
            ready_in_ms: 0,
            adapters: vec!["adapter-1".to_owned()],
        });
        routes(replicas.collect(), self.observations.keys())
    }
}

fn runner(at: usize) -> fixture::Runner {
    fixture::Runner {
        name: format!("runner-{at}"),
        address: format!("10.{}.{}.{}:8000", at / 65_536, at / 256 % 256, at % 256)
            .parse()
            .expect("the address is valid"),
        memory_bytes: 100,
        slots: 64,
        checks_fencing: true,
    }
}

fn placed(at: usize, n: usize, runner: &str) -> Placed {
    let row = row::Replica {
        replica: format!("replica-1-{at}-{n}"),
        model: format!("model-{}", (at * 3 + n) % MODELS),
        version: "v1".to_owned(),
        runner: runner.to_owned(),
        bytes: 10,
        pool_bytes: 10,
        load: format!("load-1-{at}-{n}"),
        unload: None,
        fencing: 1,
    };
    Placed {
        row,
        since: Duration::ZERO,
        tier: Tier::Remote,
        confirmed: None,
    }
}

fn routes<'a>(
    replicas: Vec<peer::Route>,
    runners: impl Iterator<Item = &'a String>,
) -> peer::Routes {
    peer::Routes {
        fencing: 1,
        sequence: 1,
        replicas,
        credits: runners
            .map(|runner| peer::Credit {
                runner: runner.clone(),
                slots: 64,
            })
            .collect(),
    }
}

fn controller() -> Arc<Controller> {
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let limits = Limits {
        requests: 1_000,
        bytes: 1 << 20,
    };
    Arc::new(Controller::new(clock, limits))
}

fn controller_of_one_model(size: usize) -> Arc<Controller> {
    let runners: Vec<_> = (0..size).map(|at| runner(at).name).collect();
    let replicas = runners.iter().map(|runner| peer::Route {
        replica: format!("replica-of-{runner}"),
        model: "model-0".to_owned(),
        version: "v1".to_owned(),
        runner: runner.clone(),
        ready: true,
        ready_in_ms: 0,
        adapters: Vec::new(),
    });
    let controller = controller();
    controller.update(routes(replicas.collect(), runners.iter()));
    controller
}

// Time of one admission, including queue, credits and prefix index, and the release of the
// slot.
async fn admission_nanos(controller: &Arc<Controller>, models: usize) -> f64 {
    let requests: Vec<_> = (0..1_000)
        .map(|n| Request {
            target: Target {
                model: format!("model-{}", n % models.min(30)),
                version: "v1".to_owned(),
            },
            adapter: None,
            rank: Rank::First,
            deadline: Duration::from_hours(1),
            bytes: 100,
            prefix: Prefix::new("caller", &format!("question {n}")),
        })
        .collect();
    let start = Instant::now();
    for request in requests.iter().cycle().take(ADMISSIONS as usize) {
        let permit = controller.admit(request.clone()).await;
        drop(black_box(permit));
    }
    micros(start.elapsed()) * 1_000.0 / f64::from(ADMISSIONS)
}

fn adapters_document(size: usize) -> String {
    let mut models: Vec<_> = (0..MODELS)
        .map(|at| Model::new(format!("model-{at}"), 30_000))
        .collect();
    for at in 0..size {
        models[at % MODELS].adapters.push(format!("adapter-{at}"));
    }
    fixture::document("trial", &[runner(1)], &models, None)
}

fn encoded_bytes(routes: &peer::Routes) -> f64 {
    to_f64(codec::encode(&peer::Message::Routes(routes.clone())).len())
}

// Prints a least-squares line and the largest residual, in percent of the value.
fn print_fit(name: &str, points: &[Point]) {
    let count = to_f64(points.len());
    let mean_x = points.iter().map(|p| to_f64(p.size)).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|p| (to_f64(p.size) - mean_x) * (p.value - mean_y))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|p| (to_f64(p.size) - mean_x).powi(2))
        .sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|p| (p.value - intercept - slope * to_f64(p.size)).abs() / p.value.abs().max(1.0))
        .fold(0.0, f64::max);
    let values: Vec<_> = points
        .iter()
        .map(|p| format!("{}: {:.0}", p.size, p.value))
        .collect();
    println!(
        "| {name} | {} | {intercept:.1} + {slope:.4} n | {:.0} % |",
        values.join(", "),
        residual * 100.0
    );
}

fn point(size: usize, value: f64) -> Point {
    Point { size, value }
}

fn micros(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1e6
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0.0)
}
