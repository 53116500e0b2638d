//! Limits that runners name, shared by several instances.

use std::time::Duration;

use almondbank_gateway::runner_limit::{Change, Limiter, Named, Position};
use quickcheck::QuickCheck;

const RUNNER: &str = "r-1";
const BORN_MS: u64 = 7;
const STEP: Duration = Duration::from_millis(20);
/// Steps in the span of time over which requests are counted.
const WINDOW_STEPS: usize = 200;

fn position(rank: usize, instances: usize) -> Position {
    Position { rank, instances }
}

fn named(limit: f64, now: Duration) -> Limiter {
    let limiter = Limiter::default();
    let change = limiter.record(RUNNER, BORN_MS, Named::PerSecond(limit), now, now);
    assert_eq!(change, Some(Change::Named(limit)));
    limiter
}

/// Plays `steps` in which `wants` returns whether an instance has a request; returns the
/// requests in each step.
fn play(
    limit: f64,
    instances: usize,
    steps: usize,
    wants: impl Fn(usize, usize) -> bool,
) -> Vec<usize> {
    let limiters: Vec<_> = (0..instances)
        .map(|_| named(limit, Duration::ZERO))
        .collect();
    let mut now = Duration::ZERO;
    let mut sent = Vec::new();
    for step in 0..steps {
        now += STEP;
        let takers = limiters.iter().enumerate().filter(|(rank, limiter)| {
            wants(*rank, step) && limiter.take(RUNNER, position(*rank, instances), now)
        });
        sent.push(takers.count());
    }
    sent
}

fn most_in_a_window(sent: &[usize]) -> usize {
    let sums = sent.windows(WINDOW_STEPS).map(|window| window.iter().sum());
    sums.max().unwrap_or_default()
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

#[test]
fn the_sum_of_all_instances_stays_within_the_bound_of_any_limit() {
    // A request is there where the bit of an instance and a second is set.
    fn property(tenths: u16, instances: u16, bits: u64) -> bool {
        let limit = f64::from(tenths % 600 + 1) / 10.0;
        let instances = usize::from(instances % 300 + 1);
        let wants = |rank: usize, step: usize| bits >> ((rank + step / 50) % 64) & 1 == 1;
        let sent = play(limit, instances, 1500, wants);
        let allowed = 1.5 * 4.0 * limit + 5.0;
        float(most_in_a_window(&sent)) <= allowed
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(u16, u16, u64) -> bool);
}

#[test]
fn idle_instances_do_not_all_send_at_once_after_a_pause() {
    for (limit, instances) in [(1.0, 6), (1.0, 195), (0.1, 3000), (50.0, 195)] {
        let sent = play(limit, instances, 3000, |_, step| step > 2500);
        let allowed = 1.5 * 4.0 * limit + 5.0;
        let most = most_in_a_window(&sent);
        assert!(float(most) <= allowed, "{most} at {limit} of {instances}");
    }
}

#[test]
fn a_limited_runner_gets_most_of_its_limit_while_there_is_demand() {
    for (limit, instances) in [(1.0, 6), (10.0, 6), (1.0, 195), (50.0, 195)] {
        let sent = play(limit, instances, 20_500, |_, _| true);
        let later: usize = sent[500..].iter().sum();
        let rate = float(later) / (20_000.0 * STEP.as_secs_f64());
        assert!(rate >= 0.9 * limit, "{rate} of {limit} by {instances}");
    }
}

#[test]
fn a_limit_ends_with_a_response_to_a_later_request_that_names_none() {
    let named_at = Duration::from_secs(10);
    let limiter = named(1.0, named_at);
    let earlier = Duration::from_secs(9);
    let now = Duration::from_secs(11);
    let change = limiter.record(RUNNER, BORN_MS, Named::Absent, earlier, now);
    assert_eq!(change, None);
    assert!(limiter.is_limited(RUNNER));
    let change = limiter.record(RUNNER, BORN_MS, Named::Absent, now, now);
    assert_eq!(change, Some(Change::Ended));
    assert!(limiter.take(RUNNER, position(5, 6), now));
}

#[test]
fn a_limit_ends_with_the_run_that_named_it() {
    let limiter = named(1.0, Duration::ZERO);
    limiter.retain(|_| Some(BORN_MS));
    assert!(limiter.is_limited(RUNNER));
    limiter.retain(|_| Some(BORN_MS + 1));
    assert!(!limiter.is_limited(RUNNER));
}

#[test]
fn malformed_limits_change_nothing_and_are_reported_once() {
    let limiter = named(2.0, Duration::ZERO);
    let record = || {
        let now = Duration::from_secs(1);
        limiter.record(RUNNER, BORN_MS, Named::Malformed, now, now)
    };
    assert_eq!(record(), Some(Change::Malformed));
    assert_eq!(record(), None);
    assert!(limiter.is_limited(RUNNER));
}

#[test]
fn a_limit_of_zero_leaves_a_request_now_and_then_to_notice_its_end() {
    let limiter = Limiter::default();
    let start = Duration::ZERO;
    let _ = limiter.record(RUNNER, BORN_MS, Named::PerSecond(0.0), start, start);
    let wait = limiter.wait(RUNNER, position(0, 1), start);
    assert!(wait > Duration::from_secs(20) && wait < Duration::from_secs(30));
    let wait = limiter.wait(RUNNER, position(6, 7), start);
    assert_eq!(wait, Duration::MAX);
}
