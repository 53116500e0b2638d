//! Overload by requests of one rank, through the production admission in real time.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_port::clock::{Clock, System};
use almondbank_serving::admission::{Controller, Limits, Request};
use almondbank_serving::prefix::Prefix;
use almondbank_wire::peer;
use almondbank_wire::rank::{self, Rank};
use tokio::sync::Semaphore;
use tokio::time;

use crate::random::Generator;
use crate::table::Row;

const SLOTS: u32 = 16;
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Requests per second that the slots can serve.
const CAPACITY: f64 = 800.0;
const FLOOD_TIME: Duration = Duration::from_secs(6);
const DEADLINES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
const FLOORS: [u8; 3] = [0, 10, 5];
const LIMITS: Limits = Limits {
    requests: 20_000,
    bytes: 1 << 30,
};

#[derive(Clone, Copy, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    /// Requests in time that started during the flood.
    during_flood: u32,
}

impl Tally {
    fn percent(self) -> f64 {
        f64::from(self.in_time) * 100.0 / f64::from(self.sent.max(1))
    }
}

pub async fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for factor in [5.0, 20.0] {
        let load = [0.2, 0.2, factor];
        let ranked = run(load, false).await;
        let unranked = run(load, true).await;
        rows.push(Row::new(
            format!("flood of rank 3 at {factor}x: ranks 1, 2 in time"),
            format!("{:.2} %, {:.2} %", ranked[0].percent(), ranked[1].percent()),
            format!(
                "no ranks {:.2} %, {:.2} %",
                unranked[0].percent(),
                unranked[1].percent()
            ),
            "99.9 %, 99 %",
            Some(ranked[0].percent() >= 99.9 && ranked[1].percent() >= 99.0),
        ));
    }
    let ranked = run([5.0, 0.3, 0.3], false).await;
    let served: u32 = ranked.iter().map(|tally| tally.during_flood).sum();
    let utilization = f64::from(served) * 100.0 / (CAPACITY * FLOOD_TIME.as_secs_f64());
    let share = |tally: Tally| f64::from(tally.during_flood) * 100.0 / f64::from(served.max(1));
    rows.push(Row::new(
        "flood of rank 1 at 5x: shares of ranks 2, 3; capacity doing work in time",
        format!(
            "{:.1} %, {:.1} %; {utilization:.0} %",
            share(ranked[1]),
            share(ranked[2])
        ),
        "strict priority 0 %, 0 %",
        "10 %, 5 %; 90 %",
        Some(share(ranked[1]) >= 10.0 && share(ranked[2]) >= 5.0 && utilization >= 90.0),
    ));
    rows
}

// The load of each rank is a multiple of the capacity. With `single_rank`, admission treats
// all requests as rank 2.
async fn run(load: [f64; 3], single_rank: bool) -> [Tally; 3] {
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let controller = Arc::new(Controller::new(Arc::clone(&clock), LIMITS));
    controller.set_floors(FLOORS);
    controller.update(routes());
    let runner = Arc::new(Semaphore::new(16));
    let mut random = Generator::new(17);
    let mut next_arrivals = load.map(|_| 0.0);
    let mut tasks = Vec::new();
    let start = clock.now();
    loop {
        let elapsed = clock.now().saturating_sub(start).as_secs_f64();
        if elapsed >= FLOOD_TIME.as_secs_f64() {
            break;
        }
        for rank in rank::ALL {
            let at = rank.index();
            while next_arrivals[at] <= elapsed {
                next_arrivals[at] += random.exponential(1.0 / (CAPACITY * load[at]));
                let arrival = Arrival {
                    controller: Arc::clone(&controller),
                    clock: Arc::clone(&clock),
                    runner: Arc::clone(&runner),
                    rank,
                    single_rank,
                };
                let task = arrival.serve();
                tasks.push((rank, tokio::spawn(task)));
            }
        }
        time::sleep(Duration::from_millis(1)).await;
    }
    let mut tallies = [Tally::default(); 3];
    for (rank, task) in tasks {
        let tally = &mut tallies[rank.index()];
        tally.sent += 1;
        let Ok(Some(started)) = task.await else {
            continue;
        };
        tally.in_time += 1;
        tally.during_flood += u32::from(started < start + FLOOD_TIME);
    }
    tallies
}

struct Arrival {
    controller: Arc<Controller>,
    clock: Arc<dyn Clock>,
    runner: Arc<Semaphore>,
    rank: Rank,
    single_rank: bool,
}

impl Arrival {
    /// Sends the request and returns its start time if that is before its deadline.
    async fn serve(self) -> Option<Duration> {
        let Self {
            controller,
            clock,
            runner,
            rank,
            single_rank,
        } = self;
        let deadline = clock.now() + DEADLINES[rank.index()];
        let request = Request {
            target: Target {
                model: "model".to_owned(),
                version: "v1".to_owned(),
            },
            adapter: None,
            rank: if single_rank { Rank::Second } else { rank },
            deadline: if single_rank {
                clock.now() + DEADLINES[1]
            } else {
                deadline
            },
            bytes: 1,
            prefix: Prefix::default(),
        };
        let permit = controller.admit(request).await.ok()?;
        // Requests beyond the runner's slots wait at the runner.
        let slot = runner.acquire().await.ok()?;
        let started = clock.now();
        time::sleep(SERVICE_TIME).await;
        drop(slot);
        drop(permit);
        (started <= deadline).then_some(started)
    }
}

fn routes() -> peer::Routes {
    peer::Routes {
        fencing: 1,
        sequence: 1,
        replicas: vec![peer::Route {
            replica: "replica".to_owned(),
            model: "model".to_owned(),
            version: "v1".to_owned(),
            runner: "runner".to_owned(),
            ready: true,
            ready_in_ms: 0,
            adapters: Vec::new(),
        }],
        credits: vec![peer::Credit {
            runner: "runner".to_owned(),
            slots: SLOTS,
        }],
    }
}
