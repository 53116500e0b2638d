//! Tests for the retry budget.

use std::time::Duration;

use almondbank_gateway::budget::Budget;
use almondbank_wire::gateway::Retry;
use quickcheck::{Gen, QuickCheck};

const LIMIT: Retry = Retry {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 52.0,
};
const CASES: u64 = 300;
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

// For any sequence of requests and failures, the retries of all instances in a window
// stay below the ratio of all requests plus the extra retries.
#[allow(clippy::needless_pass_by_value)] // quickcheck passes owned values
fn shares_stay_below_the_limit(instances: u8, events: Vec<(u8, u8, bool)>) -> bool {
    let instances = usize::from(instances % 9) + 1;
    let budgets: Vec<_> = (0..instances).map(|_| Budget::new(LIMIT)).collect();
    let mut now = Duration::ZERO;
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (at, pause, is_request) in events.iter().cycle().take(events.len() * 20) {
        now += Duration::from_millis(u64::from(*pause));
        let budget = &budgets[usize::from(*at) % instances];
        if *is_request {
            budget.record_request("s", now);
            requests.push(now);
        } else if budget.withdraw("s", instances, now) {
            retries.push(now);
        }
        let within = |times: &[Duration]| {
            let start = now.saturating_sub(LIMIT.window);
            let count = times.iter().filter(|time| **time >= start).count();
            f64::from(u32::try_from(count).expect("few events"))
        };
        if within(&retries) > LIMIT.ratio * within(&requests) + LIMIT.extra {
            return false;
        }
    }
    true
}

#[test]
fn all_instances_together_stay_below_the_limit() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(shares_stay_below_the_limit as fn(u8, Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let budget = Budget::new(LIMIT);
    let taken = (0..100)
        .filter(|_| budget.withdraw("s", 1, Duration::ZERO))
        .count();
    assert!((30..=52).contains(&taken), "{taken}");
    assert!(!budget.withdraw("s", 1, Duration::from_secs(9)));
    assert!(budget.withdraw("s", 1, Duration::from_secs(11)));
}

#[test]
fn services_do_not_share_a_budget() {
    let budget = Budget::new(LIMIT);
    while budget.withdraw("s", 1, Duration::ZERO) {}
    assert!(budget.withdraw("t", 1, Duration::ZERO));
}
