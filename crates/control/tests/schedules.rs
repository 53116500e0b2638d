//! Random schedules of failures, run against the real lease, leader and placement.
//!
//! The invariants are checked after every event, from the counters of the runner
//! engines: no runner exceeds its memory, every replica on a runner has a row (so
//! no more replicas are loaded than were decided), and at most one instance holds
//! a valid lease. The environment variables `ALMONDBANK_CASES` and
//! `ALMONDBANK_SEED` change the number of cases and the seed.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{Event, World};

const MAX_EVENTS: usize = 400;
const CI_CASES: u64 = 300;
const CI_SEED: u64 = 20_261_204;

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..=20 => Self::Tick(n % 100),
            21..=25 => Self::Flush,
            26..=28 => Self::Deliver(n),
            29 | 30 => Self::Duplicate(n),
            31 => Self::Lose(n),
            32 => Self::Kill(n),
            33 | 34 => Self::Start(n),
            35 | 36 => Self::Freeze(n),
            37 | 38 => Self::Thaw(n),
            39 => Self::Release(n),
            40 => Self::TableDown,
            41 | 42 => Self::TableUp,
            43..=45 => Self::Fault(n),
            46 | 47 => Self::DeliverDelayed,
            48..=53 => Self::Demand(n, u8::arbitrary(g) % 20),
            54..=58 => Self::Idle(n),
            59 => Self::RestartRunner(n),
            60 | 61 => Self::Silence(n),
            _ => Self::Hear(n),
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes owned values"
)]
fn invariants_hold(events: Vec<Event>) -> TestResult {
    let mut world = World::new();
    for (at, event) in events.iter().enumerate() {
        world.apply(event);
        if let Err(violation) = world.check() {
            return TestResult::error(format!("after event {at} {event:?}: {violation}"));
        }
    }
    TestResult::passed()
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn random_schedules_keep_the_invariants() {
    let cases = setting("ALMONDBANK_CASES", CI_CASES);
    let seed = setting("ALMONDBANK_SEED", CI_SEED);
    println!("{cases} cases, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_EVENTS, seed))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(invariants_hold as fn(Vec<Event>) -> TestResult);
}

// Guards against a vacuous pass: the invariants also hold if nothing is loaded.
#[test]
fn a_schedule_without_failures_loads_once() {
    let mut world = World::new();
    let events = [
        Event::Demand(0, 1),
        Event::Tick(50),
        Event::Tick(50),
        Event::Flush,
    ];
    for event in events.iter().cycle().take(40) {
        world.apply(event);
        world.check().expect("the invariants hold");
    }
    let loaded: usize = world
        .engines
        .values()
        .map(|engine| engine.loaded("model-0", "v1"))
        .sum();
    assert_eq!(loaded, 1);
}
