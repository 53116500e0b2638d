//! Which runner gets a request.
//!
//! Answers shared prompts, long files and bursts: the runner with the earliest
//! predicted first token wins, counting the parts that it keeps, what it still
//! has to read for others, and its failures.

use std::time::Duration;

use crate::id;
use crate::in_flight::Work;

/// Cost of a runner in another data centre.
const FAR: Duration = Duration::from_millis(2);
/// Time until an adapter is loaded.
const ADAPTER_LOAD: Duration = Duration::from_millis(12);
/// Cost of a runner that fails all its requests.
const FAILING: Duration = Duration::from_secs(2);
/// Time that each running request adds to a first token.
const RUNNING: Duration = Duration::from_micros(300);
/// Wait for memory on a runner that has none left.
const FULL: Duration = Duration::from_millis(800);
/// Bias towards the runner that all instances prefer for equal prompts.
const AFFINITY: Duration = Duration::from_millis(6);
/// Tokens to read beyond which the streams that run on a runner pause for long.
const LONG_READ_TOKENS: u64 = 6_000;
/// The same for the longest pauses.
const LONGEST_READ_TOKENS: u64 = 16_000;
/// Cost of such a pause for each running request.
const PAUSED: Duration = Duration::from_millis(40);
/// Wait for each request that is ahead on a runner without a free slot.
const QUEUED: Duration = Duration::from_millis(60);

/// One runner that could take the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Runner.
    pub runner: id::Runner,
    /// Whether it stands in this instance's data centre.
    pub is_local: bool,
    /// Work of all instances on it.
    pub work: Work,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Tokens of the prompt that it keeps.
    pub kept_tokens: u64,
    /// Whether it holds the adapter that the request wants.
    pub holds_adapter: bool,
    /// Whether its last requests failed.
    pub is_ejected: bool,
    /// Share of its requests that failed lately.
    pub failure_rate: f64,
    /// Rank of the runner for this prompt, equal at all instances.
    pub preference: u64,
}

/// What the request asks of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of memory that it will take.
    pub tokens: u64,
    /// Tokens of memory of one runner; 0 if it has no such limit.
    pub capacity: u64,
    /// Time that the engine takes to read one token.
    pub token: Duration,
}

/// Predicted time to the first token on `candidate`.
#[must_use]
pub fn first_token(candidate: &Candidate, request: &Request) -> Duration {
    let own = request.prompt_tokens.saturating_sub(candidate.kept_tokens);
    let to_read = candidate.work.pending_tokens + own;
    let mut time = request.token.saturating_mul(saturate(to_read));
    time += RUNNING * saturate(candidate.work.running);
    let ahead = (candidate.work.requests() + 1).saturating_sub(candidate.slots);
    time += QUEUED * saturate(ahead);
    if request.capacity > 0 && candidate.work.tokens + request.tokens > request.capacity {
        time += FULL;
    }
    if !candidate.holds_adapter {
        time += ADAPTER_LOAD;
    }
    time
}

/// What the requests that run on `candidate` lose by the pauses while it reads
/// the prompt: prompts are read in pieces between the tokens of all others.
#[must_use]
pub fn pauses(candidate: &Candidate, request: &Request) -> Duration {
    let own = request.prompt_tokens.saturating_sub(candidate.kept_tokens);
    if own == 0 {
        return Duration::ZERO;
    }
    let to_read = (candidate.work.pending_tokens + own).min(LONGEST_READ_TOKENS);
    let excess = to_read.saturating_sub(LONG_READ_TOKENS);
    let share = ratio(excess, LONGEST_READ_TOKENS - LONG_READ_TOKENS);
    PAUSED.mul_f64(share) * saturate(candidate.work.running)
}

/// The best candidate; an ejected one only if there is no other.
#[must_use]
pub fn choose<'a>(candidates: &'a [Candidate], request: &Request) -> Option<&'a Candidate> {
    let preferred = candidates
        .iter()
        .map(|candidate| candidate.preference)
        .max()
        .unwrap_or_default();
    let cost = |candidate: &Candidate| {
        let mut cost = first_token(candidate, request) + pauses(candidate, request);
        cost += FAILING.mul_f64(candidate.failure_rate);
        if !candidate.is_local {
            cost += FAR;
        }
        if candidate.preference != preferred {
            cost += AFFINITY;
        }
        cost
    };
    candidates
        .iter()
        .min_by_key(|candidate| (candidate.is_ejected, cost(candidate)))
}

fn ratio(part: u64, whole: u64) -> f64 {
    f64::from(saturate(part)) / f64::from(saturate(whole).max(1))
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
