//! Simulates streams on engines with chunked prefill, which delays the tokens of all
//! running streams, and counts the streams with a longer pause between events than
//! callers accept.

use std::collections::VecDeque;
use std::time::Duration;

use almondbank_gateway::event_gap::Estimator;
use almondbank_gateway::in_flight::Work;
use almondbank_gateway::scoring::{self, Candidate, Request};

/// Attention time for each million pairs of a prompt token and one before it.
const MS_PER_MILLION_PAIRS: f64 = 0.737;
const DURATION: Duration = Duration::from_mins(2);
const TOKEN_TIME: Duration = Duration::from_micros(25);

/// Engines and requests of one simulation.
#[derive(Clone, Copy)]
struct Load {
    runners: usize,
    decode_step: Duration,
    chunk_tokens: u64,
    tokens_per_ms: f64,
    tokens_per_event: u64,
    accepted_pause: Duration,
    /// Mean interval; the chats arrive in groups.
    chat_interval: Duration,
    chats_at_once: u32,
    chat_tokens: u64,
    chat_events: u64,
    file_interval: Duration,
    file_events: u64,
    /// Factor by which an engine is slower in its slow phases.
    slow_factor: f64,
}

/// Chats beside requests with long prompts.
const LONG_FILES: Load = Load {
    runners: 8,
    decode_step: Duration::from_micros(3_400),
    chunk_tokens: 2_048,
    tokens_per_ms: 44.2,
    tokens_per_event: 8,
    accepted_pause: Duration::from_millis(500),
    chat_interval: Duration::from_millis(50),
    chats_at_once: 1,
    chat_tokens: 800,
    chat_events: 36,
    file_interval: Duration::from_millis(220),
    file_events: 7,
    slow_factor: 1.0,
};

/// Many short requests with a short accepted pause, on engines that are slow in turn.
const SLOW_PHASES: Load = Load {
    runners: 4,
    decode_step: Duration::from_micros(5_470),
    chunk_tokens: 1_024,
    tokens_per_ms: 38.7,
    tokens_per_event: 5,
    accepted_pause: Duration::from_millis(150),
    chat_interval: Duration::from_millis(25),
    chats_at_once: 6,
    chat_tokens: 715,
    chat_events: 56,
    file_interval: DURATION,
    file_events: 56,
    slow_factor: 2.5,
};

/// Each engine is slow for one of this many phases.
const PHASES: u128 = 7;
const PHASE: Duration = Duration::from_millis(600);

struct Stream {
    prefilled: u64,
    /// Prompt tokens that still need prefill.
    remaining: u64,
    /// Output tokens that are still to be decoded.
    tokens: u64,
    last_event: Duration,
    has_paused: bool,
    is_chat: bool,
}

struct Engine {
    load: Load,
    number: usize,
    now: Duration,
    prefilling: VecDeque<Stream>,
    running: Vec<Stream>,
    gaps: Estimator,
    /// Number of ended chats.
    chats: usize,
    /// Number of ended chats with a pause that was too long.
    paused: usize,
}

impl Engine {
    fn new(load: Load, number: usize) -> Self {
        Self {
            load,
            number,
            now: Duration::ZERO,
            prefilling: VecDeque::new(),
            running: Vec::new(),
            gaps: Estimator::default(),
            chats: 0,
            paused: 0,
        }
    }

    /// Advances the engine to `end`.
    fn run(&mut self, end: Duration) {
        while self.now < end {
            if self.prefilling.is_empty() && self.running.is_empty() {
                self.now = end;
                return;
            }
            self.step();
        }
    }

    fn factor(&self) -> f64 {
        let phase = self.now.as_millis() / PHASE.as_millis() + self.number as u128 * 2;
        if phase.is_multiple_of(PHASES) {
            self.load.slow_factor
        } else {
            1.0
        }
    }

    fn step(&mut self) {
        let mut time = self.load.decode_step;
        if let Some(first) = self.prefilling.front_mut() {
            let chunk = first.remaining.min(self.load.chunk_tokens);
            first.remaining -= chunk;
            first.prefilled += chunk;
            let pairs = float(chunk) * float(first.prefilled) / 1e6;
            let millis = float(chunk) / self.load.tokens_per_ms + pairs * MS_PER_MILLION_PAIRS;
            time += Duration::from_secs_f64(millis / 1000.0);
        }
        self.now += time.mul_f64(self.factor());
        let now = self.now;
        for stream in &mut self.running {
            stream.tokens -= 1;
            if stream.tokens.is_multiple_of(self.load.tokens_per_event) {
                let gap = now.saturating_sub(stream.last_event);
                self.gaps.observe("r", gap, now);
                stream.has_paused |= gap > self.load.accepted_pause;
                stream.last_event = now;
            }
        }
        for ended in self.running.extract_if(.., |stream| stream.tokens == 0) {
            self.chats += usize::from(ended.is_chat);
            self.paused += usize::from(ended.is_chat && ended.has_paused);
        }
        if self
            .prefilling
            .front()
            .is_some_and(|first| first.remaining == 0)
            && let Some(mut stream) = self.prefilling.pop_front()
        {
            stream.last_event = now;
            self.running.push(stream);
        }
    }

    fn work(&self) -> Work {
        Work {
            pending: self.prefilling.len() as u64,
            pending_tokens: self.prefilling.iter().map(|stream| stream.remaining).sum(),
            running: self.running.len() as u64,
            tokens: 0,
        }
    }
}

fn candidates(engines: &[Engine], arrival: u64, now: Duration) -> Vec<Candidate> {
    let candidates = engines
        .iter()
        .enumerate()
        .map(|(number, engine)| Candidate {
            runner: number.to_string(),
            is_local: true,
            work: engine.work(),
            slots: 64,
            token_time: TOKEN_TIME,
            cached_tokens: 0,
            expected_loss: 0,
            holds_adapter: true,
            is_ejected: false,
            failure_rate: 0.0,
            recent_gap: engine.gaps.recent("r", now),
            preference: (arrival * 7 + number as u64 * 5) % engines.len() as u64,
        });
    candidates.collect()
}

type Policy = fn(&[Candidate], &Request) -> usize;

fn by_cost(candidates: &[Candidate], request: &Request) -> usize {
    let best = scoring::choose(candidates, request).expect("a runner");
    best.runner.parse().expect("a number")
}

fn by_cost_without_gaps(candidates: &[Candidate], request: &Request) -> usize {
    let mut candidates = candidates.to_vec();
    for candidate in &mut candidates {
        candidate.recent_gap = Duration::ZERO;
    }
    by_cost(&candidates, request)
}

fn by_predicted_first_token(candidates: &[Candidate], request: &Request) -> usize {
    let cost = |at: &usize| {
        let candidate = &candidates[*at];
        (
            scoring::predict_first_token(candidate, request),
            candidate.preference,
        )
    };
    (0..candidates.len()).min_by_key(cost).expect("a runner")
}

/// Returns the share of the chats that paused for too long.
fn simulate(load: Load, choose: Policy) -> f64 {
    let mut engines: Vec<_> = (0..load.runners)
        .map(|number| Engine::new(load, number))
        .collect();
    let (mut next_chat, mut next_file) = (Duration::ZERO, load.file_interval);
    let (mut arrival, mut chats) = (0, 0);
    while next_chat < DURATION {
        let now = next_chat.min(next_file);
        arrival += 1;
        let is_chat = now == next_chat;
        // A request with a long prompt (a file) at every sixteenth arrival has a very
        // long one.
        let tokens = match (is_chat, arrival % 16) {
            (true, _) => load.chat_tokens,
            (false, 0) => 36_000,
            (false, _) => 7_000,
        };
        if is_chat {
            chats += 1;
            if chats % load.chats_at_once == 0 {
                next_chat += load.chat_interval * load.chats_at_once;
            }
        } else {
            next_file += load.file_interval;
        }
        for engine in &mut engines {
            engine.run(now);
        }
        let request = Request {
            prompt_tokens: tokens,
            tokens,
            capacity: 0,
            event_gap: load.accepted_pause,
            service_time: Duration::ZERO,
        };
        let chosen = choose(&candidates(&engines, arrival, now), &request);
        let events = if is_chat {
            load.chat_events
        } else {
            load.file_events
        };
        engines[chosen].prefilling.push_back(Stream {
            prefilled: 0,
            remaining: tokens,
            tokens: load.tokens_per_event * events,
            last_event: now,
            has_paused: false,
            is_chat,
        });
    }
    let chats: usize = engines.iter().map(|engine| engine.chats).sum();
    let paused: usize = engines.iter().map(|engine| engine.paused).sum();
    float(paused as u64) / float(chats as u64)
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

#[test]
fn long_prompts_are_sent_where_they_delay_few_chats() {
    let cost = simulate(LONG_FILES, by_cost);
    let first_token = simulate(LONG_FILES, by_predicted_first_token);
    println!("share of paused chats: by cost {cost:.3}, by predicted first token {first_token:.3}");
    assert!(cost <= first_token * 0.8, "{cost:.3} {first_token:.3}");
}

#[test]
fn prompts_are_not_sent_to_an_engine_whose_streams_are_slow_at_the_moment() {
    let with_gaps = simulate(SLOW_PHASES, by_cost);
    let without = simulate(SLOW_PHASES, by_cost_without_gaps);
    println!("share of paused chats: with gaps {with_gaps:.3}, without {without:.3}");
    assert!(with_gaps <= without * 0.7, "{with_gaps:.3} {without:.3}");
}
