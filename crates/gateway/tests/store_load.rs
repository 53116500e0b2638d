//! Loads from the weight store.

use std::time::Duration;

use almondbank_gateway::store_load::Loads;
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
fn no_window_holds_more_than_the_rate_allows() {
    let mut loads = Loads::new(WINDOW, false, Duration::ZERO);
    let mut begun = Vec::new();
    for tick in 0..600_u64 {
        let now = Duration::from_millis(tick * 100);
        // Loads end at once, so that only the rate binds.
        while loads.left(1.6, now) > 0 {
            loads.begin("r", now);
            loads.end("r", None, now);
            begun.push(now);
        }
        let start = now.saturating_sub(WINDOW.window);
        let count = begun.iter().filter(|at| **at >= start).count();
        assert!(count <= 8, "{count} loads in the window before {now:?}");
    }
    assert!(begun.len() > 60);
}

#[test]
fn a_successor_waits_a_window_before_its_first_load() {
    let mut loads = Loads::new(WINDOW, true, second(10));
    assert_eq!(loads.left(1.6, second(14)), 0);
    assert!(loads.left(1.6, second(15)) > 0);
}

#[test]
fn slow_loads_lower_the_number_at_once_and_fast_ones_raise_it() {
    let mut loads = Loads::new(WINDOW, false, Duration::ZERO);
    let at_once = |loads: &mut Loads, now| {
        let mut count = 0;
        while loads.left(100.0, now) > 0 {
            let runner = format!("r{count}");
            loads.begin(&runner, now);
            loads.accept(&runner, now);
            count += 1;
        }
        count
    };
    let mut now = second(100);
    let first = at_once(&mut loads, now);
    now += NOMINAL * 3;
    for number in 0..first {
        loads.end(&format!("r{number}"), Some(NOMINAL), now);
    }
    now += second(10);
    let fewer = at_once(&mut loads, now);
    assert!(fewer < first, "{fewer} after {first}");
    for _ in 0..6 {
        let running = loads.running();
        now += NOMINAL;
        for runner in &running {
            loads.end(runner, Some(NOMINAL), now);
        }
        now += second(10);
        at_once(&mut loads, now);
    }
    assert!(loads.running().len() > first);
}

// An order that was lost or refused says nothing of how fast the store is.
#[test]
fn a_load_that_no_runner_accepted_does_not_raise_the_number() {
    let mut loads = Loads::new(WINDOW, false, Duration::ZERO);
    let mut now = second(100);
    let first = loads.left(100.0, now);
    for _ in 0..10 {
        loads.begin("r", now);
        loads.end("r", Some(NOMINAL), now + Duration::from_millis(20));
        now += second(10);
    }
    assert_eq!(loads.left(100.0, now), first);
}
