//! Properties of pools, credits, budgets and keep-alive windows for random inputs.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_control::adapter::{Grant, MAX_IN_FLIGHT, Place, Pools};
use almondbank_control::budget::Budget;
use almondbank_control::{credit, idle};
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
const SEED: u64 = 11;

fn quickcheck() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(CASES)
}

fn place(n: u8) -> Place {
    Place {
        replica: format!("replica-{}", n % 3),
        adapter: format!("adapter-{}", n / 3),
    }
}

// Each step requests an adapter, or ends one of the loads or unloads.
fn pools_stay_within_limits(steps: Vec<(u8, u8)>) -> bool {
    const POOL: u64 = 20;
    let mut pools = Pools::default();
    let mut loading = Vec::new();
    let mut unloading = Vec::new();
    let mut now = Duration::ZERO;
    for (kind, n) in steps {
        now += Duration::from_millis(300);
        match kind % 5 {
            0..=2 => match pools.request(&place(n), u64::from(n % 4) + 1, POOL, now) {
                Grant::Load => loading.push(place(n)),
                Grant::Evict(adapter) => unloading.push(Place {
                    replica: place(n).replica,
                    adapter,
                }),
                _ => {}
            },
            3 => {
                if let Some(place) = loading.pop() {
                    let outcomes = [Some(true), Some(true), Some(false), None];
                    pools.loaded(&place, outcomes[usize::from(n) % outcomes.len()]);
                }
            }
            _ => {
                if let Some(place) = unloading.pop() {
                    pools.unloaded(&place);
                }
            }
        }
        let overcommitted = (0..3).any(|n| pools.used_bytes(&place(n).replica) > POOL);
        if overcommitted || pools.in_flight() > MAX_IN_FLIGHT {
            return false;
        }
    }
    true
}

#[test]
fn pools_and_loads_in_flight_stay_within_bounds() {
    quickcheck().quickcheck(pools_stay_within_limits as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn no_more_than_32_adapters_load_at_once() {
    let mut pools = Pools::default();
    let grants = (0..100)
        .map(|n| Place {
            replica: format!("replica-{n}"),
            adapter: "adapter".to_owned(),
        })
        .filter(|place| pools.request(place, 1, 10, Duration::ZERO) == Grant::Load)
        .count();
    assert_eq!(grants, 32);
}

fn credits_are_complete(slots: u16, demand: Vec<u16>) -> bool {
    let demand: BTreeMap<_, _> = (0..)
        .zip(demand.into_iter().take(50))
        .map(|(n, weight): (u32, u16)| (format!("entry-{n}"), u64::from(weight)))
        .collect();
    let count = u32::try_from(demand.len()).unwrap_or(0);
    let slots = u32::from(slots);
    let shares = credit::split(slots, &demand);
    let total: u32 = shares.values().sum();
    let expected = if count == 0 { 0 } else { slots.max(count) };
    total == expected && shares.values().all(|share| *share >= 1)
}

#[test]
fn credits_sum_to_the_slots_and_each_instance_gets_one() {
    quickcheck().quickcheck(credits_are_complete as fn(u16, Vec<u16>) -> bool);
}

fn loads_stay_within_budget(steps: Vec<(u8, u8)>) -> bool {
    let (slots, per_second) = (4, 1.6);
    let mut budget = Budget::new(slots, per_second);
    let mut now = Duration::ZERO;
    let mut running: u32 = 0;
    let mut started = 0.0;
    for (elapsed, ended) in steps {
        now += Duration::from_millis(u64::from(elapsed) * 10);
        running = running.saturating_sub(u32::from(ended % 3));
        budget.refill(now);
        if budget.take(running) {
            running += 1;
            started += 1.0;
        }
        if running > slots || started > f64::from(slots) + now.as_secs_f64() * per_second + 1e-6 {
            return false;
        }
    }
    true
}

#[test]
fn loads_stay_within_the_weight_store_budget() {
    quickcheck().quickcheck(loads_stay_within_budget as fn(Vec<(u8, u8)>) -> bool);
}

fn window_is_bounded(gaps: Vec<u16>) -> bool {
    let mut history = idle::History::default();
    for gap in gaps {
        history.record(Duration::from_secs(u64::from(gap)));
    }
    let window = history.window();
    window.prewarm < window.keep_alive && window.keep_alive <= Duration::from_hours(5)
}

// On the recorded gaps, the window costs no more than any fixed keep-alive. The
// tolerance is one minute per gap, since gaps are counted in bins.
#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes owned values"
)]
fn window_is_cheapest(gaps: Vec<u8>) -> bool {
    let gaps: Vec<_> = gaps
        .iter()
        .map(|n| Duration::from_secs(u64::from(*n) * 30 + 15))
        .collect();
    let mut history = idle::History::default();
    for gap in &gaps {
        history.record(*gap);
    }
    if gaps.len() < 4 || gaps.len() > 200 {
        return true;
    }
    let cost = |window: idle::Window| -> Duration {
        let of = |gap: &Duration| {
            let cold = u32::from(window.is_cold(*gap));
            window.idle(*gap) + idle::COLD_START_COST * cold
        };
        gaps.iter().map(of).sum()
    };
    let slack = Duration::from_mins(1) * u32::try_from(gaps.len()).unwrap_or(u32::MAX);
    let adaptive = cost(history.window());
    (1..240).all(|minutes| {
        let fixed = idle::Window {
            prewarm: Duration::ZERO,
            keep_alive: Duration::from_mins(minutes),
        };
        adaptive <= cost(fixed) + slack
    })
}

#[test]
fn no_fixed_keep_alive_is_cheaper() {
    quickcheck().quickcheck(window_is_cheapest as fn(Vec<u8>) -> bool);
}

#[test]
fn prewarm_comes_before_a_bounded_keep_alive() {
    quickcheck().quickcheck(window_is_bounded as fn(Vec<u16>) -> bool);
}
