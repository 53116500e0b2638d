//! Prefix cache hit rate of replica selection, compared with random and least-loaded
//! selection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_port::clock::{Clock, System};
use almondbank_serving::admission::{Controller, Limits, Request};
use almondbank_serving::prefix::Prefix;
use almondbank_wire::peer;
use almondbank_wire::rank::Rank;

use crate::random::Generator;
use crate::table::Row;

const INSTANCES: usize = 7;
const REPLICAS: usize = 4;
const PREFIXES: u64 = 100;
/// Number of prefixes that the cache of one replica holds.
const CACHE_SIZE: usize = 30;
const REQUESTS: u32 = 20_000;
const SEED: u64 = 23;

/// Prefix caches of the replicas, each in least-recently-used order.
struct Caches {
    caches: Vec<VecDeque<u64>>,
    hits: u32,
}

impl Caches {
    fn new() -> Self {
        Self {
            caches: vec![VecDeque::new(); REPLICAS],
            hits: 0,
        }
    }

    fn access(&mut self, replica: usize, prefix: u64) {
        let cache = &mut self.caches[replica];
        if let Some(at) = cache.iter().position(|cached| *cached == prefix) {
            cache.remove(at);
            self.hits += 1;
        }
        cache.push_back(prefix);
        if cache.len() > CACHE_SIZE {
            cache.pop_front();
        }
    }

    fn percent(&self) -> f64 {
        f64::from(self.hits) * 100.0 / f64::from(REQUESTS)
    }
}

pub async fn measure() -> Vec<Row> {
    let controllers: Vec<_> = (0..INSTANCES).map(|_| controller()).collect();
    let mut random = Generator::new(SEED);
    let mut by_prefix = Caches::new();
    let mut random_selection = Caches::new();
    let mut least_loaded = Caches::new();
    for n in 0..REQUESTS {
        let prefix = random.below(PREFIXES);
        let instance = usize::try_from(random.below(7)).unwrap_or(0);
        let replica = select_replica(&controllers[instance], prefix, n).await;
        by_prefix.access(replica, prefix);
        random_selection.access(usize::try_from(random.below(4)).unwrap_or(0), prefix);
        // One request runs at a time, so all loads are equal and least-loaded selection is round
        // robin.
        least_loaded.access(usize::try_from(n).unwrap_or(0) % REPLICAS, prefix);
    }
    vec![Row::new(
        "requests that meet a cached beginning, 4 replicas, 100 beginnings, 30 cached",
        format!("{:.1} %", by_prefix.percent()),
        format!(
            "random {:.1} %, least loaded {:.1} %",
            random_selection.percent(),
            least_loaded.percent()
        ),
        "-",
        None,
    )]
}

async fn select_replica(controller: &Arc<Controller>, prefix: u64, n: u32) -> usize {
    let shared = format!("{prefix:08}").repeat(64);
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
    let permit = controller
        .admit(request)
        .await
        .expect("the request is admitted");
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
