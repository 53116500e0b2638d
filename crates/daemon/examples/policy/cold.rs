//! Order of loads when ten models are cold at once, compared with the optimal order
//! and with first come, first served.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_control::budget::Budget;
use almondbank_control::demand::{Demand, Target, Waiting};
use almondbank_control::observation::Observation;
use almondbank_control::placement::{self, Decision, Placed, View};
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::fixture::{self, Model};
use almondbank_wire::document::{self, Document};
use almondbank_wire::order::{Action, Order};
use almondbank_wire::rank::{self, Rank};
use almondbank_wire::row;

use crate::random::Generator;
use crate::table::Row;

const MODELS: usize = 10;
const SLOTS: usize = 4;
const LOADS_PER_SECOND: f64 = 1.6;
const WEIGHTS: [f64; 3] = [100.0, 10.0, 1.0];
const TICK: Duration = Duration::from_millis(50);
const SEEDS: [u64; 3] = [1, 2, 3];

struct Job {
    /// Load time, in seconds.
    load: f64,
    /// Weight of the rank times the number of waiting requests.
    weight: f64,
    rank: Rank,
    count: u64,
}

pub fn measure() -> Vec<Row> {
    SEEDS.iter().map(|seed| row(*seed)).collect()
}

fn row(seed: u64) -> Row {
    let mut random = Generator::new(seed);
    let jobs: Vec<_> = (0..MODELS).map(|_| job(&mut random)).collect();
    let planned = cost(&jobs, &ready_times(&jobs));
    let order: Vec<_> = (0..MODELS).collect();
    let first_come = cost(&jobs, &schedule(&jobs, &order));
    let optimal = optimal_cost(&jobs);
    let excess = (planned / optimal - 1.0) * 100.0;
    Row::new(
        format!("cold order, 10 models, seed {seed}: weighted wait above the best order"),
        format!("{excess:.1} %"),
        format!(
            "first come first served {:.1} %",
            (first_come / optimal - 1.0) * 100.0
        ),
        "15 %",
        Some(excess <= 15.0),
    )
}

fn job(random: &mut Generator) -> Job {
    let rank = rank::ALL[usize::try_from(random.below(3)).unwrap_or(0)];
    let count = 1 + random.below(20);
    let load = 5.0 + random.unit() * 25.0;
    let weight = WEIGHTS[rank.index()] * f64::from(u32::try_from(count).unwrap_or(0));
    Job {
        load,
        weight,
        rank,
        count,
    }
}

fn cost(jobs: &[Job], ready: &[f64]) -> f64 {
    jobs.iter()
        .zip(ready)
        .map(|(job, at)| job.weight * at)
        .sum()
}

// Times, in seconds, at which the models become ready if loaded in this order.
fn schedule(jobs: &[Job], order: &[usize]) -> Vec<f64> {
    let mut slots = [0.0_f64; SLOTS];
    let mut ready = vec![0.0; jobs.len()];
    for (at, job) in order.iter().enumerate() {
        let beyond_burst = f64::from(u32::try_from((at + 1).saturating_sub(SLOTS)).unwrap_or(0));
        let slot = slots
            .iter_mut()
            .min_by(|a, b| a.total_cmp(b))
            .expect("there is at least one slot");
        let begin = slot.max(beyond_burst / LOADS_PER_SECOND);
        *slot = begin + jobs[*job].load;
        ready[*job] = *slot;
    }
    ready
}

// Lowest cost of all orders, by branch and bound: a further load leaves the ready times of
// earlier ones unchanged, and no model is ready before its own load time has passed.
fn optimal_cost(jobs: &[Job]) -> f64 {
    let mut best = f64::INFINITY;
    let mut order = Vec::new();
    search(jobs, &mut order, &mut best);
    best
}

fn search(jobs: &[Job], order: &mut Vec<usize>, best: &mut f64) {
    let ready = schedule(jobs, order);
    let cost_so_far: f64 = order
        .iter()
        .map(|job| jobs[*job].weight * ready[*job])
        .sum();
    let lower_bound: f64 = (0..jobs.len())
        .filter(|job| !order.contains(job))
        .map(|job| jobs[job].weight * jobs[job].load)
        .sum();
    if cost_so_far + lower_bound >= *best {
        return;
    }
    if order.len() == jobs.len() {
        *best = cost_so_far;
        return;
    }
    for job in 0..jobs.len() {
        if !order.contains(&job) {
            order.push(job);
            search(jobs, order, best);
            order.pop();
        }
    }
}

// Runs the production planner on a simulated clock and records, in seconds, when each model
// becomes ready.
fn ready_times(jobs: &[Job]) -> Vec<f64> {
    let document = document(jobs);
    let mut engine = Engine::new(
        "runner-0",
        Config {
            memory_bytes: 1_000,
            checks_fencing: true,
            load_time: Duration::ZERO,
            cached: Vec::new(),
        },
    );
    let slots = u32::try_from(SLOTS).unwrap_or(0);
    let mut budget = Budget::new(slots, LOADS_PER_SECOND);
    let mut replicas: BTreeMap<String, Placed> = BTreeMap::new();
    let mut ready = vec![0.0; jobs.len()];
    let mut now = Duration::ZERO;
    while ready.contains(&0.0) {
        now += TICK;
        let observation = Observation {
            report: engine.report(now),
            requested_at: now,
        };
        for resident in &observation.report.replicas {
            let job = index(&resident.model);
            let is_ready = observation.is_ready(&resident.replica);
            if is_ready && ready[job] == 0.0 {
                ready[job] = now.as_secs_f64();
            }
        }
        let waiting: BTreeMap<_, _> = jobs
            .iter()
            .enumerate()
            .filter(|(at, _)| ready[*at] == 0.0)
            .map(|(at, job)| (target(at), demand(job)))
            .collect();
        let observations = [("runner-0".to_owned(), observation)].into();
        let view = View {
            now,
            document: &document,
            replicas: &replicas,
            observations: &observations,
            demands: &waiting,
            usages: &BTreeMap::new(),
        };
        for decision in placement::plan(&view, &mut budget) {
            let Decision::Load(load) = decision else {
                continue;
            };
            let row = row::Replica {
                replica: format!("replica-{}", load.target.model),
                model: load.target.model,
                version: load.target.version,
                runner: load.runner,
                bytes: load.bytes,
                pool_bytes: load.pool_bytes,
                load: format!("load-{now:?}-{}", replicas.len()),
                unload: None,
                fencing: 1,
            };
            let job = &jobs[index(&row.model)];
            engine.set_load_time(Duration::from_secs_f64(job.load));
            let _ = engine.order(&order(&row), now);
            let placed = Placed {
                since: now,
                tier: load.tier,
                confirmed: None,
                row,
            };
            replicas.insert(placed.row.replica.clone(), placed);
        }
    }
    ready
}

fn document(jobs: &[Job]) -> Document {
    let runner = fixture::Runner {
        name: "runner-0".to_owned(),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        memory_bytes: 1_000,
        slots: 16,
        checks_fencing: true,
    };
    let models: Vec<_> = jobs
        .iter()
        .enumerate()
        .map(|(at, job)| {
            let load = Duration::from_secs_f64(job.load);
            Model::new(
                format!("model-{at}"),
                u64::try_from(load.as_millis()).unwrap_or(0),
            )
        })
        .collect();
    let text = fixture::document("trial", &[runner], &models, None);
    document::parse(&text).expect("the document is valid")
}

fn order(row: &row::Replica) -> Order {
    Order {
        order: row.load.clone(),
        fencing: 1,
        action: Action::Load,
        replica: row.replica.clone(),
        model: row.model.clone(),
        version: row.version.clone(),
        bytes: row.bytes,
        pool_bytes: row.pool_bytes,
        adapter: None,
    }
}

fn demand(job: &Job) -> Demand {
    let waiting = Waiting {
        count: job.count,
        budget: Duration::from_mins(5),
    };
    Demand {
        arrivals: 0,
        running: 0,
        waiting: [(job.rank, waiting)].into(),
    }
}

fn target(at: usize) -> Target {
    Target {
        model: format!("model-{at}"),
        version: "v1".to_owned(),
    }
}

fn index(model: &str) -> usize {
    let number = model.strip_prefix("model-").unwrap_or("0");
    number.parse().unwrap_or(0)
}
