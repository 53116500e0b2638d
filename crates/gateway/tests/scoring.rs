//! Tests for the choice of a runner.

use std::time::Duration;

use almondbank_gateway::in_flight::Work;
use almondbank_gateway::prefill::Estimator;
use almondbank_gateway::scoring::{self, Candidate, Request};

fn candidate(runner: &str) -> Candidate {
    Candidate {
        runner: runner.to_owned(),
        is_local: true,
        work: Work::default(),
        slots: 64,
        token_time: Duration::from_micros(25),
        cached_tokens: 0,
        expected_loss: 0,
        holds_adapter: true,
        is_ejected: false,
        failure_rate: 0.0,
        recent_gap: Duration::ZERO,
        preference: 0,
    }
}

fn long_file() -> Request {
    Request {
        prompt_tokens: 9_200,
        tokens: 9_300,
        capacity: 250_000,
        event_gap: Duration::from_millis(500),
        service_time: Duration::from_millis(800),
    }
}

fn chosen(candidates: &[Candidate], request: &Request) -> String {
    scoring::choose(candidates, request)
        .expect("a runner")
        .runner
        .clone()
}

#[test]
fn a_cached_prefix_outweighs_a_short_queue() {
    let mut cached = candidate("keeps");
    cached.cached_tokens = 6_300;
    cached.work.pending_tokens = 3_000;
    assert_eq!(chosen(&[candidate("idle"), cached], &long_file()), "keeps");
}

#[test]
fn a_long_queue_outweighs_a_cached_prefix() {
    let mut cached = candidate("keeps");
    cached.cached_tokens = 6_300;
    cached.work.pending_tokens = 30_000;
    assert_eq!(chosen(&[candidate("idle"), cached], &long_file()), "idle");
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
fn a_busy_runner_is_preferred_to_one_that_fails_often() {
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
fn a_loaded_adapter_decides_between_equal_runners() {
    let mut lacks = candidate("lacks");
    lacks.holds_adapter = false;
    assert_eq!(chosen(&[lacks, candidate("holds")], &long_file()), "holds");
}

#[test]
fn a_runner_in_the_same_data_centre_is_preferred() {
    let mut remote = candidate("remote");
    remote.is_local = false;
    assert_eq!(chosen(&[remote, candidate("local")], &long_file()), "local");
}

#[test]
fn requests_beyond_the_slots_count_for_services_without_an_engine() {
    let plain = Request {
        prompt_tokens: 0,
        tokens: 0,
        capacity: 0,
        event_gap: Duration::ZERO,
        service_time: Duration::from_millis(60),
    };
    let mut busy = candidate("busy");
    busy.slots = 6;
    busy.work.pending = 6;
    let mut remote = candidate("remote");
    remote.slots = 6;
    remote.is_local = false;
    assert_eq!(chosen(&[busy, remote], &plain), "remote");
}

// Guards against requests that are refused because of a predicted wait of several
// seconds, while a runner with many slots frees one every few milliseconds.
#[test]
fn the_wait_for_a_slot_follows_the_rate_at_which_slots_are_freed() {
    let mut full = candidate("full");
    full.work.running = 104;
    let mut request = long_file();
    request.prompt_tokens = 0;
    let freed = full.slots;
    let ahead = full.work.running + 1 - freed;
    let wait = request.service_time.as_secs_f64() * f64::from(u32::try_from(ahead).unwrap())
        / f64::from(u32::try_from(freed).unwrap());
    let predicted = scoring::predict_first_token(&full, &request).as_secs_f64();
    assert!(predicted >= wait, "{predicted} s");
    assert!(predicted <= wait + 0.1, "{predicted} s");
}

// Load: runners of one service whose paces differ by more than a factor of two. Guards
// against a choice by tokens alone, which takes the slower runner for its shorter queue.
#[test]
fn prefill_counts_at_the_pace_of_each_runner() {
    let mut slow = candidate("slow");
    slow.token_time = Duration::from_micros(45);
    let mut fast = candidate("fast");
    fast.token_time = Duration::from_micros(20);
    fast.work.pending_tokens = 4_000;
    let candidates = [slow, fast];
    assert_eq!(chosen(&candidates, &long_file()), "fast");
}

// Load: 66 instances and 90 runners, so that an instance sees few requests to each of them.
// Guards against paces that need many observations, and against one runner's that count for
// another.
#[test]
fn the_pace_of_a_runner_is_learned_from_few_requests() {
    let paces = Estimator::default();
    for _ in 0..3 {
        paces.observe("m", "slow", 9_200, Duration::from_millis(12 + 414));
        paces.observe("m", "fast", 9_200, Duration::from_millis(12 + 184));
    }
    let slow = paces.runner_token_time("m", "slow");
    let fast = paces.runner_token_time("m", "fast");
    assert!(slow >= fast.mul_f64(1.5), "{slow:?} {fast:?}");
    let other = paces.runner_token_time("m", "other");
    assert_eq!(other, paces.token_time("m"));
    assert!(fast < other && other < slow, "{other:?}");
    assert_eq!(
        paces.runner_token_time("other", "slow"),
        paces.token_time("other")
    );
}

// Load: runners that still have a shared prefix cached, but are ejected, fail or have no slot or
// memory left. Guards against requests that are sent there for the cache.
#[test]
fn a_runner_in_trouble_is_not_chosen_for_its_cache() {
    let mut cached = candidate("keeps");
    cached.cached_tokens = 9_000;
    let request = long_file();
    let other = candidate("other");
    assert_eq!(chosen(&[other.clone(), cached.clone()], &request), "keeps");

    let mut ejected = cached.clone();
    ejected.is_ejected = true;
    let mut failing = cached.clone();
    failing.failure_rate = 0.3;
    let mut full = cached.clone();
    full.work.running = full.slots;
    let mut without_memory = cached.clone();
    without_memory.work.tokens = 249_000;
    for runner in [ejected, failing, full, without_memory] {
        let mut busy = other.clone();
        busy.work.pending_tokens = 8_000;
        let candidates = [runner, busy];
        assert_eq!(chosen(&candidates, &request), "other", "{candidates:?}");
    }
}

// Load: overload, in which all runners are full. Guards against choices that prefill the shared
// prefix again at each of them.
#[test]
fn cached_prefixes_count_while_all_runners_are_full() {
    let mut cached = candidate("keeps");
    cached.cached_tokens = 6_300;
    cached.work.running = 70;
    let mut other = candidate("other");
    other.work.running = 70;
    assert_eq!(chosen(&[other, cached], &long_file()), "keeps");
}

// Guards against an explanation that names another runner than the choice, or other costs.
#[test]
fn candidates_are_ranked_as_they_are_chosen() {
    let request = long_file();
    let mut candidates: Vec<_> = ["ejected", "queued", "cached", "remote"]
        .map(candidate)
        .into();
    candidates[0].is_ejected = true;
    candidates[1].work.pending_tokens = 9_000;
    candidates[2].cached_tokens = 6_300;
    candidates[3].is_local = false;
    let ranked = scoring::rank(&candidates, &request);
    let order: Vec<_> = ranked
        .iter()
        .map(|(other, _)| other.runner.as_str())
        .collect();
    assert_eq!(order, ["cached", "remote", "queued", "ejected"]);
    assert_eq!(chosen(&candidates, &request), "cached");
    for (_, cost) in ranked {
        let sum: f64 = cost.terms_ms().iter().map(|(_, ms)| ms).sum();
        assert!((sum - cost.total().as_secs_f64() * 1e3).abs() < 1e-6);
    }
}

// Guards against terms that are counted twice, or missing, in what decides.
#[test]
fn the_terms_of_a_cost_add_up() {
    let mut remote = candidate("remote");
    remote.is_local = false;
    remote.holds_adapter = false;
    remote.cached_tokens = 5_200;
    remote.work.pending_tokens = 2_000;
    remote.work.running = 10;
    let request = long_file();
    let candidates = [remote.clone(), candidate("other")];
    let cost = scoring::Scale::new(&candidates, &request).cost(&remote, &request);
    assert_eq!(cost.queue, Duration::from_millis(50));
    assert_eq!(cost.prefill, Duration::from_millis(100));
    assert_eq!(cost.running, Duration::from_millis(3));
    assert_eq!(cost.adapter, Duration::from_millis(12));
    assert_eq!(cost.distance, Duration::from_millis(2));
    assert_eq!(cost.first_token(), Duration::from_millis(165));
    let first_token = scoring::predict_first_token(&remote, &request);
    assert_eq!(cost.first_token(), first_token);
    assert_eq!(cost.total(), first_token + cost.stalls + cost.distance);
}

// Load: runners whose memory is full of cached prefixes, of which some are still in use by
// others. Guards against requests that evict these although a runner with as short a queue has
// only parts of ended prompts to evict.
#[test]
fn a_prefix_that_others_use_is_not_evicted_without_need() {
    let mut used = candidate("used");
    used.expected_loss = 6_300;
    let mut queued = candidate("queued");
    queued.work.pending_tokens = 5_000;
    let candidates = [used.clone(), queued.clone()];
    assert_eq!(chosen(&candidates, &long_file()), "queued");
    queued.work.pending_tokens = 8_000;
    assert_eq!(chosen(&[used, queued], &long_file()), "used");
}
