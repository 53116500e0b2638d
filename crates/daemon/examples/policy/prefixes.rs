//! Share of requests that meet a cached beginning, against other choices.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_port::clock::{Clock, System};
use almondbank_serving::admission::{Controller, Limits, Request};
use almondbank_serving::prefix::Prefix;
use almondbank_wire::peer;
use almondbank_wire::rank::Rank;

use crate::seeded::Seeded;
use crate::table::Row;

const INSTANCES: usize = 7;
const REPLICAS: usize = 4;
const BEGINNINGS: u64 = 100;
/// Beginnings that the cache of one replica holds.
const CACHED: usize = 30;
const REQUESTS: u32 = 20_000;
const SEED: u64 = 23;

/// Caches of the replicas, the latest use last.
struct Caches {
    held: Vec<VecDeque<u64>>,
    hits: u32,
}

impl Caches {
    fn new() -> Self {
        Self {
            held: vec![VecDeque::new(); REPLICAS],
            hits: 0,
        }
    }

    fn run(&mut self, replica: usize, beginning: u64) {
        let cache = &mut self.held[replica];
        if let Some(at) = cache.iter().position(|held| *held == beginning) {
            cache.remove(at);
            self.hits += 1;
        }
        cache.push_back(beginning);
        if cache.len() > CACHED {
            cache.pop_front();
        }
    }

    fn percent(&self) -> f64 {
        f64::from(self.hits) * 100.0 / f64::from(REQUESTS)
    }
}

pub async fn measure() -> Vec<Row> {
    let controllers: Vec<_> = (0..INSTANCES).map(|_| controller()).collect();
    let mut random = Seeded::new(SEED);
    let mut ours = Caches::new();
    let mut by_chance = Caches::new();
    let mut least_loaded = Caches::new();
    for n in 0..REQUESTS {
        let beginning = random.below(BEGINNINGS);
        let instance = usize::try_from(random.below(7)).unwrap_or(0);
        let replica = choose(&controllers[instance], beginning, n).await;
        ours.run(replica, beginning);
        by_chance.run(usize::try_from(random.below(4)).unwrap_or(0), beginning);
        // With one request at a time all loads are equal, and turns are taken.
        least_loaded.run(usize::try_from(n).unwrap_or(0) % REPLICAS, beginning);
    }
    vec![Row::new(
        "requests that meet a cached beginning, 4 replicas, 100 beginnings, 30 cached",
        format!("{:.1} %", ours.percent()),
        format!(
            "random {:.1} %, least loaded {:.1} %",
            by_chance.percent(),
            least_loaded.percent()
        ),
        "-",
        None,
    )]
}

async fn choose(controller: &Arc<Controller>, beginning: u64, n: u32) -> usize {
    let shared = format!("{beginning:08}").repeat(64);
    let request = Request {
        target: Target {
            model: "model".to_owned(),
            version: "v1".to_owned(),
        },
        adapter: None,
        rank: Rank::First,
        deadline: Duration::from_hours(1),
        bytes: 1,
        prefix: Prefix::new("caller", &format!("{shared} question {n}")),
    };
    let permit = controller.admit(request).await.expect("there is room");
    permit.replica.parse().unwrap_or(0)
}

fn controller() -> Arc<Controller> {
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let limits = Limits {
        requests: 100,
        bytes: 1_000,
    };
    let controller = Arc::new(Controller::new(clock, limits));
    let replicas = (0..REPLICAS).map(|at| peer::Route {
        replica: at.to_string(),
        model: "model".to_owned(),
        version: "v1".to_owned(),
        runner: format!("runner-{at}"),
        ready: true,
        ready_in_ms: 0,
        adapters: Vec::new(),
    });
    let credits = (0..REPLICAS).map(|at| peer::Credit {
        runner: format!("runner-{at}"),
        slots: 4,
    });
    controller.update(peer::Routes {
        fencing: 1,
        sequence: 1,
        replicas: replicas.collect(),
        credits: credits.collect(),
    });
    controller
}
