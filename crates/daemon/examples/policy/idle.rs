//! Idle accelerator time and cold starts over a day, for the histogram keep-alive policy and
//! for fixed keep-alive times.

use std::time::Duration;

use almondbank_control::idle;

use crate::random::Generator;
use crate::table::Row;

/// Length of the trace, in seconds.
const DAY: f64 = 86_400.0;
const SEED: u64 = 5;
const LOAD_TIME: Duration = Duration::from_secs(20);

struct Deployment {
    name: &'static str,
    models: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Guild",
        models: 30,
    },
    Deployment {
        name: "Ikenna",
        models: 20,
    },
];

#[derive(Default)]
struct Totals {
    idle_hours: f64,
    uses: u32,
    cold: u32,
}

impl Totals {
    fn cold_percent(&self) -> f64 {
        f64::from(self.cold) * 100.0 / f64::from(self.uses.max(1))
    }
}

pub fn measure() -> Vec<Row> {
    DEPLOYMENTS.iter().flat_map(rows).collect()
}

fn rows(deployment: &Deployment) -> Vec<Row> {
    let trace = trace(deployment.models);
    let adaptive = histogram_keep_alive(&trace);
    let fixed =
        [1.0, 10.0, 30.0].map(|minutes| (minutes, fixed_keep_alive(&trace, minutes * 60.0)));
    let half_hour = &fixed[2].1;
    let met = adaptive.idle_hours <= half_hour.idle_hours / 2.0
        && adaptive.cold_percent() <= half_hour.cold_percent();
    let baselines: Vec<_> = fixed
        .iter()
        .map(|(minutes, totals)| {
            format!(
                "{minutes} min {:.0} h, {:.1} % cold",
                totals.idle_hours,
                totals.cold_percent()
            )
        })
        .collect();
    vec![Row::new(
        format!(
            "{}: idle accelerator hours and cold uses in a day",
            deployment.name
        ),
        format!(
            "{:.0} h, {:.1} % cold",
            adaptive.idle_hours,
            adaptive.cold_percent()
        ),
        baselines.join("; "),
        "half of 30 min at no more cold uses",
        Some(met),
    )]
}

// Request times of each model, in seconds: a third of the models is used at regular
// intervals, a third in sessions of frequent requests, a third at random.
fn trace(models: usize) -> Vec<Vec<f64>> {
    let mut random = Generator::new(SEED);
    (0..models).map(|at| times(at, &mut random)).collect()
}

fn times(kind: usize, random: &mut Generator) -> Vec<f64> {
    let mut times = Vec::new();
    let period = 600.0 + random.unit() * 6_000.0;
    let mut now = random.unit() * period;
    while now < DAY {
        times.push(now);
        now += match kind % 3 {
            0 => period * (0.95 + 0.1 * random.unit()),
            1 if random.unit() < 0.9 => random.exponential(60.0),
            1 => period * 3.0,
            _ => random.exponential(period),
        };
    }
    times
}

fn fixed_keep_alive(trace: &[Vec<f64>], seconds: f64) -> Totals {
    let mut totals = Totals::default();
    for times in trace {
        totals.uses += 1;
        totals.cold += 1;
        for pair in times.windows(2) {
            let gap = pair[1] - pair[0];
            totals.uses += 1;
            totals.cold += u32::from(gap > seconds);
            totals.idle_hours += gap.min(seconds) / 3_600.0;
        }
    }
    totals
}

fn histogram_keep_alive(trace: &[Vec<f64>]) -> Totals {
    let mut totals = Totals::default();
    for times in trace {
        let mut history = idle::History::default();
        totals.uses += 1;
        totals.cold += 1;
        for pair in times.windows(2) {
            let gap = pair[1] - pair[0];
            let window = history.window();
            let gap = Duration::from_secs_f64(gap);
            // A request that arrives while the model is being loaded counts as cold too.
            let late = !window.prewarm.is_zero()
                && gap > idle::MIN_KEEP_ALIVE
                && gap < window.prewarm + LOAD_TIME;
            totals.uses += 1;
            totals.cold += u32::from(late || window.is_cold(gap));
            totals.idle_hours += window.idle(gap).as_secs_f64() / 3_600.0;
            history.record(gap);
        }
    }
    totals
}
