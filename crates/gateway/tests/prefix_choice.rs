//! Replays a drawn load of prompts with shared beginnings over runners of uneven pace and
//! bounded memory, and compares the choice by cost with a choice by load and one by cache.
//!
//! Several instances choose. Each knows its own sends at once, and those of the others from
//! their reports.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondbank_gateway::call::{Block, Target};
use almondbank_gateway::in_flight::{Guard, Tracker};
use almondbank_gateway::prefill::Estimator as PrefillEstimator;
use almondbank_gateway::prefix::{Index, Memory};
use almondbank_gateway::scoring::{self, Candidate, Request};

const MODEL: &str = "m";
const RUNNERS: u64 = 16;
const SLOTS: u64 = 64;
const CAPACITY: u64 = 260_000;
/// Prefill of a runner with a speed of 1.
const TOKENS_PER_MS: f64 = 40.0;
/// Part of the time to first token that does not depend on the prompt.
const FIXED_TIME: Duration = Duration::from_millis(12);
const OUTPUT_TOKENS: u64 = 120;
const DECODE_TIME: Duration = Duration::from_millis(1_200);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const DURATION: Duration = Duration::from_mins(1);
const SHARED_TOKENS: u64 = 6_300;
const OWN_TOKENS: u64 = 2_900;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Requests and instances of one replay.
#[derive(Clone, Copy)]
struct Load {
    instances: usize,
    requests_per_s: f64,
    /// Number of shared beginnings; the first are the most frequent. 0: none is shared.
    beginnings: u64,
}

/// Summaries of documents, whose prompts begin with one of many long instructions.
const SUMMARIES: Load = Load {
    instances: 4,
    requests_per_s: 50.0,
    beginnings: 40,
};

/// As many requests as the runners can serve without a cache, none of which share anything.
const UNSHARED: Load = Load {
    instances: 4,
    requests_per_s: 45.0,
    beginnings: 0,
};

/// `SplitMix64` (Steele, Lea, Flood, 2014).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Uniformly distributed from 0 to 1.
    fn share(&mut self) -> f64 {
        float(self.next() >> 32) / float(1 << 32)
    }

    /// A number below `count`, the first ones more often (weights 1, 1/2, 1/3 and so on).
    fn skewed(&mut self, count: u64) -> u64 {
        let total: f64 = (1..=count).map(|number| 1.0 / float(number)).sum();
        let mut left = self.share() * total;
        let found = (1..count).find(|number| {
            left -= 1.0 / float(*number);
            left < 0.0
        });
        found.unwrap_or(count) - 1
    }
}

/// A request in flight at a runner.
struct Flight {
    tokens: u64,
    end: Duration,
}

struct Cached {
    block: Block,
    /// Time until which a request occupies it.
    used_until: Duration,
}

/// A runner that prefills one prompt after the other and evicts the least recently used
/// blocks which no request occupies.
struct Runner {
    tokens_per_ms: f64,
    prefilled_until: Duration,
    flights: Vec<Flight>,
    cache: Vec<Cached>,
}

/// What a runner did with a request.
struct Run {
    cached_tokens: u64,
    first_token: Duration,
    end: Duration,
}

impl Runner {
    fn run(&mut self, prompt: &[Block], now: Duration) -> Run {
        let prompt_tokens = tokens(prompt);
        let needed = prompt_tokens + OUTPUT_TOKENS;
        let start = self.wait_for_memory(now.max(self.prefilled_until), needed);
        let is_cached = |block: &&Block| self.cache.iter().any(|cached| cached.block == **block);
        let cached_tokens = prompt.iter().take_while(is_cached).map(|b| b.tokens).sum();
        let prefill_ms = float(prompt_tokens - cached_tokens) / self.tokens_per_ms;
        self.prefilled_until = start + Duration::from_secs_f64(prefill_ms / 1e3);
        let first_token = self.prefilled_until + FIXED_TIME;
        let end = first_token + DECODE_TIME;
        for block in prompt {
            self.cache.retain(|cached| cached.block != *block);
            self.cache.push(Cached {
                block: *block,
                used_until: end,
            });
        }
        self.flights.push(Flight {
            tokens: needed,
            end,
        });
        self.evict(start);
        Run {
            cached_tokens,
            first_token,
            end,
        }
    }

    fn wait_for_memory(&mut self, mut start: Duration, needed: u64) -> Duration {
        loop {
            self.flights.retain(|flight| flight.end > start);
            let next_end = self.flights.iter().map(|flight| flight.end).min();
            match next_end {
                Some(end) if self.in_use() + needed > CAPACITY => start = end,
                _ => return start,
            }
        }
    }

    fn in_use(&self) -> u64 {
        self.flights.iter().map(|flight| flight.tokens).sum()
    }

    fn evict(&mut self, now: Duration) {
        let left = CAPACITY - self.in_use();
        let is_idle = |cached: &Cached| cached.used_until <= now;
        loop {
            let idle = self.cache.iter().filter(|cached| is_idle(cached));
            if idle.map(|cached| cached.block.tokens).sum::<u64>() <= left {
                return;
            }
            let oldest = self.cache.iter().position(is_idle);
            self.cache.remove(oldest.expect("an idle block"));
        }
    }
}

/// State of one instance.
#[derive(Default)]
struct Instance {
    prefixes: Index,
    prefill: PrefillEstimator,
    in_flight: Arc<Tracker>,
    /// Guards of its requests, in order of their ends, with the times of first token and end.
    guards: VecDeque<(Duration, Duration, Guard)>,
}

impl Instance {
    fn advance(&mut self, now: Duration) {
        for (first_token, _, guard) in &mut self.guards {
            if *first_token <= now {
                guard.start_decoding();
            }
        }
        self.guards.retain(|(_, end, _)| *end > now);
    }

    fn candidates(&self, prompt: &[Block], request: &Request, now: Duration) -> Vec<Candidate> {
        let totals = self.in_flight.totals(now);
        let candidates = (0..RUNNERS).map(|number| {
            let runner = name(number);
            let work = totals.get(&runner).copied().unwrap_or_default();
            let memory = Memory {
                capacity: request.capacity,
                in_use: work.tokens,
                hold: request.service_time,
            };
            let share = self
                .prefixes
                .look_up(&runner, prompt, request.tokens, &memory, now);
            let first = prompt.first().map_or(0, |block| block.hash);
            Candidate {
                is_local: true,
                work,
                slots: SLOTS,
                token_time: self.prefill.runner_token_time(MODEL, &runner),
                cached_tokens: share.cached_tokens,
                expected_loss: share.expected_loss,
                holds_adapter: true,
                is_ejected: false,
                failure_rate: 0.0,
                recent_gap: Duration::ZERO,
                preference: Random(first ^ (number << 32)).next(),
                runner,
            }
        });
        candidates.collect()
    }
}

type Policy = fn(&[Candidate], &Request) -> Candidate;

fn by_cost(candidates: &[Candidate], request: &Request) -> Candidate {
    let best = scoring::choose(candidates, request);
    best.expect("a runner").clone()
}

fn by_cost_at_one_pace(candidates: &[Candidate], request: &Request) -> Candidate {
    let mut candidates = candidates.to_vec();
    let sum: Duration = candidates.iter().map(|other| other.token_time).sum();
    for candidate in &mut candidates {
        candidate.token_time = sum.div_f64(float(RUNNERS));
    }
    by_cost(&candidates, request)
}

fn least_loaded(candidates: &[Candidate], _: &Request) -> Candidate {
    let load = |candidate: &&Candidate| (candidate.work.pending_tokens, candidate.work.requests());
    let best = candidates.iter().min_by_key(load);
    best.expect("a runner").clone()
}

fn always_cached(candidates: &[Candidate], _: &Request) -> Candidate {
    let load = |candidate: &&Candidate| {
        let missed = u64::MAX - candidate.cached_tokens;
        (missed, candidate.work.pending_tokens)
    };
    let best = candidates.iter().min_by_key(load);
    best.expect("a runner").clone()
}

/// Result of one or more replays.
#[derive(Debug, Default)]
struct Summary {
    requests: u64,
    first_token_s: f64,
    /// Shared tokens that were prefilled although a runner had them cached.
    prefilled_again: u64,
    /// Requests by runner.
    by_runner: BTreeMap<String, u64>,
}

impl Summary {
    fn mean_ms(&self) -> f64 {
        self.first_token_s / float(self.requests) * 1e3
    }

    /// Requests of the busiest runner as a multiple of the mean.
    fn skew(&self) -> f64 {
        let busiest = self.by_runner.values().max().expect("runners");
        float(*busiest) * float(RUNNERS) / float(self.requests)
    }
}

fn replay(load: Load, policy: Policy) -> Summary {
    let mut summary = Summary::default();
    for seed in SEEDS {
        replay_once(load, policy, seed, &mut summary);
    }
    println!(
        "mean time to first token {:.0} ms, {} thousand tokens prefilled again, busiest {:.2}",
        summary.mean_ms(),
        summary.prefilled_again / 1_000,
        summary.skew()
    );
    summary
}

fn replay_once(load: Load, policy: Policy, seed: u64, summary: &mut Summary) {
    let mut random = Random(seed);
    let mut instances: Vec<_> = (0..load.instances).map(|_| Instance::default()).collect();
    let mut runners: Vec<_> = (0..RUNNERS).map(runner).collect();
    let target = Target {
        model: MODEL.to_owned(),
        adapter: None,
    };
    let (mut now, mut next_report) = (Duration::ZERO, REPORT_INTERVAL);
    while now < DURATION {
        now += Duration::from_secs_f64(-(1.0 - random.share()).ln() / load.requests_per_s);
        if now >= next_report {
            exchange_reports(&mut instances, next_report);
            next_report += REPORT_INTERVAL;
        }
        let prompt = prompt(load, &mut random);
        let at = usize::try_from(random.next() % instances.len() as u64).expect("few");
        let instance = &mut instances[at];
        instance.advance(now);
        let request = request(&prompt);
        let chosen = policy(&instance.candidates(&prompt, &request, now), &request);
        let number: usize = chosen.runner[1..].parse().expect("a number");
        let cached_elsewhere = runners.iter().any(|runner| {
            let mut cached = runner.cache.iter();
            cached.any(|cached| cached.block == prompt[0])
        });
        let run = runners[number].run(&prompt, now);
        if cached_elsewhere && run.cached_tokens == 0 {
            summary.prefilled_again += prompt[0].tokens;
        }
        summary.requests += 1;
        *summary.by_runner.entry(chosen.runner.clone()).or_default() += 1;
        let elapsed = run.first_token.saturating_sub(now);
        summary.first_token_s += elapsed.as_secs_f64();
        let prefill_tokens = request.prompt_tokens - chosen.cached_tokens;
        let queued = chosen.work.pending_tokens + prefill_tokens;
        let (runner, tokens) = (&chosen.runner, request.tokens);
        instance.prefill.observe(MODEL, runner, queued, elapsed);
        instance.prefixes.record(runner, &prompt, now);
        let tracker = &instance.in_flight;
        let guard = tracker.track(runner, Some(&target), prefill_tokens, tokens);
        let guard = (run.first_token, run.end, guard);
        instance.guards.push_back(guard);
    }
}

fn runner(number: u64) -> Runner {
    // Speeds from 0.55 to 1.2, in an order that has nothing to do with the names.
    let speed = 0.55 + 0.65 * float(number * 7 % RUNNERS) / float(RUNNERS - 1);
    Runner {
        tokens_per_ms: TOKENS_PER_MS * speed,
        prefilled_until: Duration::ZERO,
        flights: Vec::new(),
        cache: Vec::new(),
    }
}

fn prompt(load: Load, random: &mut Random) -> Vec<Block> {
    let shared = match load.beginnings {
        0 => random.next(),
        count => random.skewed(count),
    };
    let own = random.next();
    vec![
        Block {
            hash: shared,
            tokens: SHARED_TOKENS,
        },
        Block {
            hash: own,
            tokens: OWN_TOKENS,
        },
    ]
}

fn request(prompt: &[Block]) -> Request {
    let prompt_tokens = tokens(prompt);
    Request {
        prompt_tokens,
        tokens: prompt_tokens + OUTPUT_TOKENS,
        capacity: CAPACITY,
        event_gap: Duration::ZERO,
        service_time: DECODE_TIME,
    }
}

fn exchange_reports(instances: &mut [Instance], now: Duration) {
    let reports: Vec<_> = instances
        .iter_mut()
        .map(|instance| {
            instance.advance(now);
            (instance.in_flight.own(), instance.prefixes.take_new())
        })
        .collect();
    for (to, instance) in instances.iter().enumerate() {
        let others = reports.iter().enumerate().filter(|(from, _)| *from != to);
        for (from, (loads, kept)) in others {
            let from = from.to_string();
            instance.in_flight.set_peer(&from, loads.clone(), now);
            instance.prefixes.merge(kept.clone(), now);
        }
    }
}

fn name(number: u64) -> String {
    format!("r{number:02}")
}

fn tokens(prompt: &[Block]) -> u64 {
    prompt.iter().map(|block| block.tokens).sum()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

// Load: summaries with shared beginnings that together exceed the memory of a runner. Guards
// against choices that queue at the runner with the cache, and against choices that prefill
// the shared part again at each runner.
#[test]
fn the_choice_weighs_caches_against_queues() {
    let cost = replay(SUMMARIES, by_cost);
    let loaded = replay(SUMMARIES, least_loaded);
    let cached = replay(SUMMARIES, always_cached);
    assert!(
        cost.mean_ms() <= loaded.mean_ms() * 0.6,
        "{cost:?} {loaded:?}"
    );
    assert!(
        cost.mean_ms() <= cached.mean_ms() * 0.7,
        "{cost:?} {cached:?}"
    );
    assert!(
        cost.prefilled_again <= loaded.prefilled_again / 4,
        "{cost:?} {loaded:?}"
    );
    assert!(cost.skew() < cached.skew(), "{cost:?} {cached:?}");
}

// Load: the same, on runners whose paces differ by more than a factor of two. Guards against a
// choice that counts tokens alike at all of them.
#[test]
fn the_choice_follows_the_pace_of_each_runner() {
    let cost = replay(SUMMARIES, by_cost);
    let one_pace = replay(SUMMARIES, by_cost_at_one_pace);
    assert!(
        cost.mean_ms() <= one_pace.mean_ms() * 0.95,
        "{cost:?} {one_pace:?}"
    );
}

// Load: prompts that share nothing. Guards against a cost of the caches for deployments that
// have no use for them.
#[test]
fn requests_that_share_nothing_are_spread_by_load_and_pace() {
    let cost = replay(UNSHARED, by_cost);
    let loaded = replay(UNSHARED, least_loaded);
    assert!(
        cost.mean_ms() <= loaded.mean_ms() * 0.9,
        "{cost:?} {loaded:?}"
    );
}
