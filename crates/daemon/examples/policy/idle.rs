//! Keep-alive over a day's trace: the histogram against fixed times.

use std::time::Duration;

use almondbank_control::idle;

use crate::seeded::Seeded;
use crate::table::Row;

const DAY: f64 = 86_400.0;
const SEED: u64 = 5;
const LOAD: Duration = Duration::from_secs(20);

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
struct Sum {
    idle_hours: f64,
    uses: u32,
    cold: u32,
}

impl Sum {
    fn cold_percent(&self) -> f64 {
        f64::from(self.cold) * 100.0 / f64::from(self.uses.max(1))
    }
}

pub fn measure() -> Vec<Row> {
    DEPLOYMENTS.iter().flat_map(rows).collect()
}

fn rows(deployment: &Deployment) -> Vec<Row> {
    let trace = trace(deployment.models);
    let ours = histogram(&trace);
    let fixed = [1.0, 10.0, 30.0].map(|minutes| (minutes, keep(&trace, minutes * 60.0)));
    let half_hour = &fixed[2].1;
    let met = ours.idle_hours <= half_hour.idle_hours / 2.0
        && ours.cold_percent() <= half_hour.cold_percent();
    let baselines: Vec<_> = fixed
        .iter()
        .map(|(minutes, sum)| {
            format!(
                "{minutes} min {:.0} h, {:.1} % cold",
                sum.idle_hours,
                sum.cold_percent()
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
            ours.idle_hours,
            ours.cold_percent()
        ),
        baselines.join("; "),
        "half of 30 min at no more cold uses",
        Some(met),
    )]
}

// Times of use of each model: a third regular with long gaps, a third in
// sessions with short gaps, a third at random.
fn trace(models: usize) -> Vec<Vec<f64>> {
    let mut random = Seeded::new(SEED);
    (0..models).map(|at| times(at, &mut random)).collect()
}

fn times(kind: usize, random: &mut Seeded) -> Vec<f64> {
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

fn keep(trace: &[Vec<f64>], seconds: f64) -> Sum {
    let mut sum = Sum::default();
    for times in trace {
        sum.uses += 1;
        sum.cold += 1;
        for pair in times.windows(2) {
            let gap = pair[1] - pair[0];
            sum.uses += 1;
            sum.cold += u32::from(gap > seconds);
            sum.idle_hours += gap.min(seconds) / 3_600.0;
        }
    }
    sum
}

fn histogram(trace: &[Vec<f64>]) -> Sum {
    let mut sum = Sum::default();
    for times in trace {
        let mut history = idle::History::default();
        sum.uses += 1;
        sum.cold += 1;
        for pair in times.windows(2) {
            let gap = pair[1] - pair[0];
            let window = history.window();
            let gap = Duration::from_secs_f64(gap);
            // A load that has begun but not ended is a cold use too.
            let late = !window.prewarm.is_zero()
                && gap > idle::MIN_KEEP_ALIVE
                && gap < window.prewarm + LOAD;
            sum.uses += 1;
            sum.cold += u32::from(late || window.is_cold(gap));
            sum.idle_hours += window.idle(gap).as_secs_f64() / 3_600.0;
            history.record(gap);
        }
    }
    sum
}
