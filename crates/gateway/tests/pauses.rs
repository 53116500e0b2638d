//! Plays chat beside long files against the choice of a runner, on engines that
//! read prompts in pieces between the tokens of all others, and counts the
//! streams with a pause longer than callers accept.

use std::collections::VecDeque;
use std::time::Duration;

use almondbank_gateway::in_flight::Work;
use almondbank_gateway::scoring::{self, Candidate, Request};

const RUNNERS: usize = 8;
const STEP: Duration = Duration::from_micros(3_400);
const PIECE_TOKENS: u64 = 2_048;
const TOKENS_PER_MS: f64 = 44.2;
/// Time for each million pairs of a token that is read and one before it.
const MS_PER_MILLION_PAIRS: f64 = 0.737;
const TOKENS_PER_EVENT: u64 = 8;
const ACCEPTED_PAUSE: Duration = Duration::from_millis(500);
const PLAYED: Duration = Duration::from_mins(2);
const CHAT_INTERVAL: Duration = Duration::from_millis(50);
const FILE_INTERVAL: Duration = Duration::from_millis(220);
const CHAT_EVENTS: u64 = 36;
const FILE_EVENTS: u64 = 7;

struct Stream {
    read: u64,
    to_read: u64,
    tokens: u64,
    last_event: Duration,
    has_paused: bool,
    is_chat: bool,
}

#[derive(Default)]
struct Engine {
    now: Duration,
    reading: VecDeque<Stream>,
    running: Vec<Stream>,
    chats: usize,
    paused: usize,
}

impl Engine {
    /// Runs until `end`.
    fn run(&mut self, end: Duration) {
        while self.now < end {
            if self.reading.is_empty() && self.running.is_empty() {
                self.now = end;
                return;
            }
            self.step();
        }
    }

    fn step(&mut self) {
        let mut time = STEP;
        if let Some(first) = self.reading.front_mut() {
            let piece = first.to_read.min(PIECE_TOKENS);
            first.to_read -= piece;
            first.read += piece;
            let pairs = float(piece) * float(first.read) / 1e6;
            let millis = float(piece) / TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS;
            time += Duration::from_secs_f64(millis / 1000.0);
        }
        self.now += time;
        let now = self.now;
        for stream in &mut self.running {
            stream.tokens -= 1;
            if stream.tokens.is_multiple_of(TOKENS_PER_EVENT) {
                stream.has_paused |= now.saturating_sub(stream.last_event) > ACCEPTED_PAUSE;
                stream.last_event = now;
            }
        }
        for ended in self.running.extract_if(.., |stream| stream.tokens == 0) {
            self.chats += usize::from(ended.is_chat);
            self.paused += usize::from(ended.is_chat && ended.has_paused);
        }
        if self.reading.front().is_some_and(|first| first.to_read == 0)
            && let Some(mut read) = self.reading.pop_front()
        {
            read.last_event = now;
            self.running.push(read);
        }
    }

    fn work(&self) -> Work {
        Work {
            pending: self.reading.len() as u64,
            pending_tokens: self.reading.iter().map(|stream| stream.to_read).sum(),
            running: self.running.len() as u64,
            tokens: 0,
        }
    }
}

fn candidates(engines: &[Engine], turn: u64) -> Vec<Candidate> {
    let candidates = engines
        .iter()
        .enumerate()
        .map(|(number, engine)| Candidate {
            runner: number.to_string(),
            is_local: true,
            work: engine.work(),
            slots: 64,
            kept_tokens: 0,
            holds_adapter: true,
            is_ejected: false,
            failure_rate: 0.0,
            preference: (turn * 7 + number as u64 * 5) % 8,
        });
    candidates.collect()
}

type Choice = fn(&[Candidate], &Request) -> usize;

fn by_policy(candidates: &[Candidate], request: &Request) -> usize {
    let best = scoring::choose(candidates, request).expect("a runner");
    best.runner.parse().expect("a number")
}

fn by_first_token(candidates: &[Candidate], request: &Request) -> usize {
    let cost = |at: &usize| {
        let candidate = &candidates[*at];
        (
            scoring::first_token(candidate, request),
            candidate.preference,
        )
    };
    (0..candidates.len()).min_by_key(cost).expect("a runner")
}

/// Share of the chats that paused for too long.
fn play(choose: Choice) -> f64 {
    let mut engines: Vec<_> = (0..RUNNERS).map(|_| Engine::default()).collect();
    let (mut next_chat, mut next_file, mut turn) = (Duration::ZERO, Duration::ZERO, 0);
    while next_chat < PLAYED {
        let now = next_chat.min(next_file);
        turn += 1;
        let is_chat = now == next_chat;
        // One file of some is a very long one.
        let tokens = match (is_chat, turn % 16) {
            (true, _) => 800,
            (false, 0) => 36_000,
            (false, _) => 7_000,
        };
        if is_chat {
            next_chat += CHAT_INTERVAL;
        } else {
            next_file += FILE_INTERVAL;
        }
        for engine in &mut engines {
            engine.run(now);
        }
        let request = Request {
            prompt_tokens: tokens,
            tokens,
            capacity: 0,
            token: Duration::from_micros(23),
        };
        let chosen = choose(&candidates(&engines, turn), &request);
        engines[chosen].reading.push_back(Stream {
            read: 0,
            to_read: tokens,
            tokens: TOKENS_PER_EVENT * if is_chat { CHAT_EVENTS } else { FILE_EVENTS },
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
fn long_files_go_where_they_make_few_chats_pause() {
    let (policy, first_token) = (play(by_policy), play(by_first_token));
    println!("paused: {policy:.3}, by first token alone: {first_token:.3}");
    assert!(policy <= first_token * 0.8, "{policy:.3} {first_token:.3}");
}
