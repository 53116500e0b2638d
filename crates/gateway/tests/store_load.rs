//! Tests for the limit on loads from the weight store.

use std::time::Duration;

use almondbank_gateway::store_load::Limiter;
use almondbank_wire::gateway::Load;

const WINDOW: Load = Load {
    window: Duration::from_secs(5),
    overage: 1.1,
};
const NOMINAL: Duration = Duration::from_secs(6);

fn second(second: u64) -> Duration {
    Duration::from_secs(second)
}

#[test]
fn no_window_exceeds_the_rate() {
    let mut limiter = Limiter::new(WINDOW, false, Duration::ZERO);
    let mut started = Vec::new();
    for tick in 0..600_u64 {
        let now = Duration::from_millis(tick * 100);
        // Loads end at once, so that only the rate limits them.
        while limiter.available(1.6, now) > 0 {
            limiter.begin("r", now);
            limiter.end("r", None, now);
            started.push(now);
        }
        let start = now.saturating_sub(WINDOW.window);
        let count = started.iter().filter(|at| **at >= start).count();
        assert!(count <= 8, "{count} loads in the window before {now:?}");
    }
    assert!(started.len() > 60);
}

#[test]
fn a_new_leader_waits_a_window_before_its_first_load() {
    let mut limiter = Limiter::new(WINDOW, true, second(10));
    assert_eq!(limiter.available(1.6, second(14)), 0);
    assert!(limiter.available(1.6, second(15)) > 0);
}

#[test]
fn slow_loads_lower_the_limit_and_fast_loads_raise_it() {
    let mut limiter = Limiter::new(WINDOW, false, Duration::ZERO);
    let start_all = |limiter: &mut Limiter, now| {
        let mut count = 0;
        while limiter.available(100.0, now) > 0 {
            let runner = format!("r{count}");
            limiter.begin(&runner, now);
            limiter.accept(&runner, now);
            count += 1;
        }
        count
    };
    let mut now = second(100);
    let first = start_all(&mut limiter, now);
    now += NOMINAL * 3;
    for number in 0..first {
        limiter.end(&format!("r{number}"), Some(NOMINAL), now);
    }
    now += second(10);
    let fewer = start_all(&mut limiter, now);
    assert!(fewer < first, "{fewer} after {first}");
    for _ in 0..6 {
        let running = limiter.running();
        now += NOMINAL;
        for runner in &running {
            limiter.end(runner, Some(NOMINAL), now);
        }
        now += second(10);
        start_all(&mut limiter, now);
    }
    assert!(limiter.running().len() > first);
}

// Guards against a limit that rises by orders that were lost or rejected, whose loads
// never used the store.
#[test]
fn a_load_that_was_not_accepted_does_not_raise_the_limit() {
    let mut limiter = Limiter::new(WINDOW, false, Duration::ZERO);
    let mut now = second(100);
    let first = limiter.available(100.0, now);
    for _ in 0..10 {
        limiter.begin("r", now);
        limiter.end("r", Some(NOMINAL), now + Duration::from_millis(20));
        now += second(10);
    }
    assert_eq!(limiter.available(100.0, now), first);
}
