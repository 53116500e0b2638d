//! Calls run at most once, for random sequences of calls, outcomes and expiries.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_serving::ledger::{Answer, Begin, Guard, Ledger, Outcome};
use almondbank_wire::problem::{Code, Problem};
use quickcheck::{Gen, QuickCheck};

const TTL: Duration = Duration::from_mins(1);
const CASES: u64 = 1_000;
const SEED: u64 = 13;

fn answer(n: u64) -> Outcome {
    Outcome::Answer(Answer {
        status: 200,
        body: n.to_string(),
    })
}

// Steps begin calls under a few keys, end them with each outcome, or advance the
// time. A key may run again only after the outcome "not run".
fn runs_at_most_once(steps: Vec<(u8, u8)>) -> bool {
    let ledger = Ledger::new(TTL, 1_000);
    let mut now = Duration::from_secs(1);
    let mut running: BTreeMap<String, Guard> = BTreeMap::new();
    let mut may_have_run: BTreeMap<String, bool> = BTreeMap::new();
    for (kind, n) in steps {
        let issued_s = u64::from(n / 8) % 4;
        let key = format!("{issued_s}/{}", n % 8);
        match kind % 5 {
            0 | 1 => {
                let issued = Duration::from_secs(issued_s);
                if let Begin::Run(guard) = ledger.begin(&key, "digest", issued, now) {
                    if may_have_run.insert(key.clone(), true) == Some(true) {
                        return false;
                    }
                    running.insert(key, guard);
                }
            }
            2 => {
                if let Some(guard) = running.remove(&key) {
                    guard.finish(answer(1));
                }
            }
            3 => {
                if let Some(guard) = running.remove(&key) {
                    let problem = Problem::not_run(Code::Unreachable, "");
                    guard.finish(Outcome::Failed(problem));
                    may_have_run.insert(key, false);
                }
            }
            _ if n % 16 == 0 => now += TTL / 3,
            _ => drop(running.remove(&key)),
        }
    }
    true
}

#[test]
fn a_key_runs_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(CASES)
        .quickcheck(runs_at_most_once as fn(Vec<(u8, u8)>) -> bool);
}

#[tokio::test]
async fn all_waiters_receive_the_first_answer() {
    let ledger = Ledger::new(TTL, 10);
    let begin = || ledger.begin("key", "digest", Duration::ZERO, Duration::ZERO);
    let Begin::Run(guard) = begin() else {
        panic!("the first call runs");
    };
    let Begin::Wait(early) = begin() else {
        panic!("the second call waits");
    };
    guard.finish(answer(7));
    let Begin::Wait(late) = begin() else {
        panic!("a late call waits");
    };
    assert_eq!(early.outcome().await, answer(7));
    assert_eq!(late.outcome().await, answer(7));
}

#[tokio::test]
async fn a_dropped_guard_reports_an_unknown_outcome() {
    let ledger = Ledger::new(TTL, 10);
    let begin = || ledger.begin("key", "digest", Duration::ZERO, Duration::ZERO);
    let Begin::Run(guard) = begin() else {
        panic!("the first call runs");
    };
    drop(guard);
    let Begin::Wait(waiter) = begin() else {
        panic!("the second call waits");
    };
    let Outcome::Failed(problem) = waiter.outcome().await else {
        panic!("the outcome is a failure");
    };
    assert_eq!(problem.run, almondbank_wire::problem::Run::Unknown);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let ledger = Ledger::new(TTL, 2);
    let begin = |key| ledger.begin(key, "digest", Duration::ZERO, Duration::ZERO);
    let guards: Vec<_> = ["a", "b"].map(begin).into_iter().collect();
    assert!(guards.iter().all(|begun| matches!(begun, Begin::Run(_))));
    assert!(matches!(begin("c"), Begin::Refused(problem) if problem.code == Code::QueueFull));
    assert!(matches!(begin("a"), Begin::Wait(_)));
}
