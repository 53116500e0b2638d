//! Chooses the runner for a request.
//!
//! The runner with the lowest [`Cost`] is chosen: the predicted time to first token, which
//! depends on the cached prefix, on the runner's own pace and on the prefill that is pending
//! for other requests, plus penalties for failures, for distance, for stalls of running
//! streams and for cached prefixes that give way.

use std::time::Duration;

use crate::cost::Cost;
use crate::id;
use crate::in_flight::Work;

/// Cost of a runner in another data centre.
const CROSS_DATA_CENTRE_COST: Duration = Duration::from_millis(2);
/// Time that the load of an adapter adds to the time to first token.
const ADAPTER_LOAD_COST: Duration = Duration::from_millis(12);
/// Cost of a runner with a failure rate of 1.
const FAILURE_COST: Duration = Duration::from_secs(2);
/// Time that each running request adds to the time to first token.
const RUNNING_REQUEST_COST: Duration = Duration::from_micros(300);
/// Expected wait for memory on a runner without enough free memory.
const MEMORY_FULL_COST: Duration = Duration::from_millis(800);
/// Cost of a runner other than the one that all instances prefer for the prompt.
const AFFINITY_COST: Duration = Duration::from_millis(6);
/// Expected gap between two events, as a share of the accepted one, above which running
/// streams on a runner stall noticeably.
const STALL_START: f64 = 0.3;
/// The same share at which the stalls reach their maximum.
const STALL_END: f64 = 0.8;
/// Cost of the stalls for each running request, at their maximum.
const MAX_STALL_COST: Duration = Duration::from_millis(40);
/// Failure rate from which a runner's cached prefix does not count.
const MAX_FAILURE_RATE: f64 = 0.3;

/// One runner that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the runner.
    pub runner: id::Runner,
    /// Whether it is in the data centre of this instance.
    pub is_local: bool,
    /// Work of all instances on it.
    pub work: Work,
    /// Number of requests that it runs concurrently.
    pub slots: u64,
    /// Prefill time of one token there.
    pub token_time: Duration,
    /// Prompt tokens in its prefix cache.
    pub cached_tokens: u64,
    /// Cached tokens of other prompts that the request would evict there although they are
    /// expected to be used again.
    pub expected_loss: u64,
    /// Whether the adapter of the request is loaded.
    pub holds_adapter: bool,
    /// Whether it is ejected after consecutive failures.
    pub is_ejected: bool,
    /// Share of its recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Average of the last gaps between events of the streams that run there; 0 if not
    /// known.
    pub recent_gap: Duration,
    /// Rendezvous hash of the prompt and the runner, equal at all instances; the
    /// highest one is preferred.
    pub preference: u64,
}

/// Properties of the request and its model that the cost depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt and of the longest output, which take up KV cache.
    pub tokens: u64,
    /// KV cache capacity of one runner in tokens; 0 if it has no such limit.
    pub capacity: u64,
    /// Shortest accepted gap between two events of the streams of the service; 0 if
    /// none is set.
    pub event_gap: Duration,
    /// Average time for which a request of the service occupies a slot.
    pub service_time: Duration,
}

impl Candidate {
    // Whether it is chosen, if at all, in spite of its state and not for its cache.
    fn is_in_trouble(&self, request: &Request) -> bool {
        self.is_ejected
            || self.failure_rate >= MAX_FAILURE_RATE
            || self.work.requests() >= self.slots.max(1)
            || self.lacks_memory(request)
    }

    fn lacks_memory(&self, request: &Request) -> bool {
        request.capacity > 0 && self.work.tokens + request.tokens > request.capacity
    }

    /// Time in which the runner prefills `tokens`.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.token_time.saturating_mul(saturate(tokens))
    }
}

/// What the candidates for one request have in common.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Highest preference.
    preferred: u64,
    /// Whether cached prefixes of runners in trouble do not count.
    is_strict: bool,
}

impl Scale {
    /// Compares the candidates for `request`.
    #[must_use]
    pub fn new(candidates: &[Candidate], request: &Request) -> Self {
        let preferences = candidates.iter().map(|candidate| candidate.preference);
        Self {
            preferred: preferences.max().unwrap_or_default(),
            is_strict: !candidates
                .iter()
                .all(|candidate| candidate.is_in_trouble(request)),
        }
    }

    // Order in which the candidates are chosen.
    fn key(&self, candidate: &Candidate, request: &Request) -> (bool, Duration) {
        let cost = self.cost(candidate, request);
        (candidate.is_ejected, cost.total())
    }

    /// Cost of one of the candidates.
    #[must_use]
    pub fn cost(&self, candidate: &Candidate, request: &Request) -> Cost {
        let is_credited = !self.is_strict || !candidate.is_in_trouble(request);
        let cached_tokens = if is_credited {
            candidate.cached_tokens
        } else {
            0
        };
        let mut cost = first_token_cost(candidate, request, cached_tokens);
        cost.stalls = stall_cost_with(candidate, request, cached_tokens);
        cost.eviction = candidate.prefill_time(candidate.expected_loss);
        cost.failures = FAILURE_COST.mul_f64(candidate.failure_rate);
        if !candidate.is_local {
            cost.distance = CROSS_DATA_CENTRE_COST;
        }
        if candidate.preference != self.preferred {
            cost.affinity = AFFINITY_COST;
        }
        cost
    }
}

/// Predicted time to first token on `candidate`.
#[must_use]
pub fn predict_first_token(candidate: &Candidate, request: &Request) -> Duration {
    first_token_cost(candidate, request, candidate.cached_tokens).first_token()
}

fn first_token_cost(candidate: &Candidate, request: &Request, cached_tokens: u64) -> Cost {
    let own_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
    let mut cost = Cost {
        queue: candidate.prefill_time(candidate.work.pending_tokens),
        prefill: candidate.prefill_time(own_tokens),
        running: RUNNING_REQUEST_COST * saturate(candidate.work.running),
        slot: slot_wait(candidate, request),
        ..Cost::default()
    };
    if candidate.lacks_memory(request) {
        cost.memory = MEMORY_FULL_COST;
    }
    if !candidate.holds_adapter {
        cost.adapter = ADAPTER_LOAD_COST;
    }
    cost
}

// Time until the requests ahead in the queue of a runner without a free slot have
// been admitted: on average a slot is freed each `service_time / slots`.
fn slot_wait(candidate: &Candidate, request: &Request) -> Duration {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.work.requests() + 1).saturating_sub(slots);
    request.service_time * saturate(ahead) / saturate(slots)
}

/// Cost of the stalls of the requests that run on `candidate`. The engine runs
/// prefill in chunks between their tokens, so a long prompt slows them down.
#[must_use]
pub fn stall_cost(candidate: &Candidate, request: &Request) -> Duration {
    stall_cost_with(candidate, request, candidate.cached_tokens)
}

fn stall_cost_with(candidate: &Candidate, request: &Request, cached_tokens: u64) -> Duration {
    let own_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
    if own_tokens == 0 || request.event_gap.is_zero() {
        return Duration::ZERO;
    }
    let gap = candidate
        .recent_gap
        .max(candidate.prefill_time(candidate.work.pending_tokens))
        + candidate.prefill_time(own_tokens);
    let share = gap.div_duration_f64(request.event_gap);
    let stall = ((share - STALL_START) / (STALL_END - STALL_START)).clamp(0.0, 1.0);
    MAX_STALL_COST.mul_f64(stall) * saturate(candidate.work.running)
}

/// Returns the candidate with the lowest cost; an ejected one only if all are
/// ejected.
#[must_use]
pub fn choose<'a>(candidates: &'a [Candidate], request: &Request) -> Option<&'a Candidate> {
    let scale = Scale::new(candidates, request);
    candidates
        .iter()
        .min_by_key(|candidate| scale.key(candidate, request))
}

/// Returns all candidates with their costs, the one that [`choose`] returns first.
#[must_use]
pub fn rank<'a>(candidates: &'a [Candidate], request: &Request) -> Vec<(&'a Candidate, Cost)> {
    let scale = Scale::new(candidates, request);
    let cost = |candidate: &'a Candidate| (candidate, scale.cost(candidate, request));
    let mut ranked: Vec<_> = candidates.iter().map(cost).collect();
    ranked.sort_by_key(|(candidate, _)| scale.key(candidate, request));
    ranked
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
