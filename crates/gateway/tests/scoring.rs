//! The choice of a runner.

use std::time::Duration;

use almondbank_gateway::in_flight::Work;
use almondbank_gateway::scoring::{self, Candidate, Request};

fn candidate(runner: &str) -> Candidate {
    Candidate {
        runner: runner.to_owned(),
        is_local: true,
        work: Work::default(),
        slots: 64,
        kept_tokens: 0,
        holds_adapter: true,
        is_ejected: false,
        failure_rate: 0.0,
        preference: 0,
    }
}

fn long_file() -> Request {
    Request {
        prompt_tokens: 9_200,
        tokens: 9_300,
        capacity: 250_000,
        token: Duration::from_micros(25),
    }
}

fn chosen(candidates: &[Candidate], request: &Request) -> String {
    scoring::choose(candidates, request)
        .expect("a runner")
        .runner
        .clone()
}

#[test]
fn kept_parts_outweigh_a_short_queue() {
    let mut keeps = candidate("keeps");
    keeps.kept_tokens = 6_300;
    keeps.work.pending_tokens = 3_000;
    assert_eq!(chosen(&[candidate("idle"), keeps], &long_file()), "keeps");
}

#[test]
fn a_long_queue_outweighs_kept_parts() {
    let mut keeps = candidate("keeps");
    keeps.kept_tokens = 6_300;
    keeps.work.pending_tokens = 30_000;
    assert_eq!(chosen(&[candidate("idle"), keeps], &long_file()), "idle");
}

#[test]
fn an_ejected_runner_is_chosen_only_if_there_is_no_other() {
    let mut ejected = candidate("ejected");
    ejected.is_ejected = true;
    let mut slow = candidate("slow");
    slow.work.pending_tokens = 100_000;
    assert_eq!(chosen(&[ejected.clone(), slow], &long_file()), "slow");
    assert_eq!(chosen(&[ejected], &long_file()), "ejected");
}

#[test]
fn a_runner_that_fails_often_gets_less_than_a_busy_one() {
    let mut failing = candidate("failing");
    failing.failure_rate = 0.4;
    let mut busy = candidate("busy");
    busy.work.pending_tokens = 10_000;
    assert_eq!(chosen(&[failing, busy], &long_file()), "busy");
}

#[test]
fn a_runner_without_memory_left_is_avoided() {
    let mut full = candidate("full");
    full.work.tokens = 245_000;
    let mut queued = candidate("queued");
    queued.work.pending_tokens = 15_000;
    assert_eq!(chosen(&[full, queued], &long_file()), "queued");
}

#[test]
fn an_adapter_that_is_there_wins_among_equals() {
    let mut lacks = candidate("lacks");
    lacks.holds_adapter = false;
    assert_eq!(chosen(&[lacks, candidate("holds")], &long_file()), "holds");
}

#[test]
fn equal_runners_of_another_data_centre_come_second() {
    let mut far = candidate("far");
    far.is_local = false;
    assert_eq!(chosen(&[far, candidate("near")], &long_file()), "near");
}

#[test]
fn work_beyond_the_slots_counts_for_plain_services() {
    let plain = Request {
        prompt_tokens: 0,
        tokens: 0,
        capacity: 0,
        token: Duration::ZERO,
    };
    let mut busy = candidate("busy");
    busy.slots = 6;
    busy.work.pending = 6;
    let mut far = candidate("far");
    far.slots = 6;
    far.is_local = false;
    assert_eq!(chosen(&[busy, far], &plain), "far");
}
