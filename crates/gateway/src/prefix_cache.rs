//! Prompt blocks that one runner is expected to have cached.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::Block;
use crate::id;

/// Maximum number of blocks.
const MAX_BLOCKS: usize = 1024;
/// Assumed size of a block that only peers have reported: messages between instances do not
/// contain it. It is replaced when a request with the block arrives here.
const UNKNOWN_TOKENS: u64 = 1000;
/// Maximum number of blocks whose eviction by one request is weighed.
const MAX_WEIGHED: usize = 16;

/// Memory of a runner at the time of a lookup.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// KV cache capacity, in tokens; 0 if it has no such limit.
    pub capacity: u64,
    /// Tokens of the requests that it runs.
    pub in_use: u64,
    /// Time for which a request occupies the blocks of its prompt. Blocks that were used
    /// within it count as part of `in_use` and are not evicted.
    pub hold: Duration,
}

impl Memory {
    // Tokens that are left for blocks which no request occupies.
    fn left(&self) -> u64 {
        if self.capacity == 0 {
            return u64::MAX;
        }
        self.capacity.saturating_sub(self.in_use)
    }
}

/// Blocks that one runner is expected to have cached, evicted as the runner does: the least
/// recently used one first, when there is no memory left.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Start of the runner's run, as [`crate::registry`] knows it; `None` until the first
    /// check.
    pub(crate) born_ms: Option<u64>,
    blocks: BTreeMap<id::Prefix, State>,
    /// Blocks by the number of their last use.
    order: BTreeMap<u64, id::Prefix>,
    /// Number of the next use.
    next: u64,
    /// Number of the first use that is not idle: the requests that began later may still
    /// occupy their blocks.
    first_held: u64,
    /// Tokens of the idle blocks.
    idle_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct State {
    /// Number of the last use.
    number: u64,
    used: Duration,
    tokens: u64,
    /// Time between the last two uses, if there was more than one.
    gap: Option<Duration>,
}

impl State {
    // Tokens that are expected to be used again. A block that only one request has used is
    // expected not to be; one that has been idle for longer than the time between its uses
    // is less likely to be.
    fn expected_tokens(&self, now: Duration) -> u64 {
        let Some(gap) = self.gap else {
            return 0;
        };
        let idle = now.saturating_sub(self.used).max(gap).as_millis().max(1);
        let expected = u128::from(self.tokens) * gap.as_millis() / idle;
        u64::try_from(expected).unwrap_or(self.tokens)
    }
}

impl Cache {
    /// Returns the number of tokens in the longest cached prefix of the prompt.
    pub(crate) fn cached_tokens(&self, blocks: &[Block]) -> u64 {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(&block.hash))
            .map(|block| block.tokens)
            .sum()
    }

    /// Records a use of the block; returns whether it is new. `tokens` is `None` if its size
    /// is not known.
    pub(crate) fn touch(&mut self, hash: id::Prefix, tokens: Option<u64>, now: Duration) -> bool {
        let known = self.remove(hash);
        let gap = known.map(|state| now.saturating_sub(state.used));
        let size = known.map_or(UNKNOWN_TOKENS, |state| state.tokens);
        let state = State {
            number: self.next,
            used: now,
            tokens: tokens.unwrap_or(size),
            gap,
        };
        self.next += 1;
        self.order.insert(state.number, hash);
        self.blocks.insert(hash, state);
        if self.blocks.len() > MAX_BLOCKS {
            self.evict_oldest();
        }
        known.is_none()
    }

    /// Sets the sizes of the blocks in the cached prefix of a prompt. Blocks behind the first
    /// missing one are of no use and keep theirs.
    pub(crate) fn set_sizes(&mut self, blocks: &[Block]) {
        for block in blocks {
            let Some(state) = self.blocks.get_mut(&block.hash) else {
                return;
            };
            if state.number < self.first_held {
                self.idle_tokens = self.idle_tokens - state.tokens + block.tokens;
            }
            state.tokens = block.tokens;
        }
    }

    /// Evicts blocks until the idle ones fit in the memory that is left.
    pub(crate) fn evict(&mut self, memory: &Memory, now: Duration) {
        self.release(now.saturating_sub(memory.hold));
        while self.idle_tokens > memory.left() && self.evict_oldest() {}
    }

    /// Returns how many tokens that are expected to be used again would be evicted for a
    /// request that takes up `tokens` beyond the cached part of its prompt.
    pub(crate) fn expected_loss(
        &self,
        blocks: &[Block],
        tokens: u64,
        memory: &Memory,
        now: Duration,
    ) -> u64 {
        let free = memory.left().saturating_sub(self.idle_tokens);
        let mut missing = tokens.saturating_sub(free);
        let mut loss = 0;
        for (_, hash) in self.order.range(..self.first_held).take(MAX_WEIGHED) {
            if missing == 0 {
                break;
            }
            let is_own = blocks.iter().any(|block| block.hash == *hash);
            if let Some(state) = self.blocks.get(hash).filter(|_| !is_own) {
                loss += state.expected_tokens(now);
                missing = missing.saturating_sub(state.tokens);
            }
        }
        loss
    }

    // Counts the blocks that were last used before `until` as idle.
    fn release(&mut self, until: Duration) {
        while let Some((number, hash)) = self.order.range(self.first_held..).next() {
            let state = self.blocks.get(hash);
            if state.is_some_and(|state| state.used >= until) {
                return;
            }
            self.idle_tokens += state.map_or(0, |state| state.tokens);
            self.first_held = number + 1;
        }
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest = self.order.first_key_value().map(|(_, hash)| *hash);
        oldest.is_some_and(|hash| self.remove(hash).is_some())
    }

    fn remove(&mut self, hash: id::Prefix) -> Option<State> {
        let state = self.blocks.remove(&hash)?;
        self.order.remove(&state.number);
        if state.number < self.first_held {
            self.idle_tokens -= state.tokens;
        }
        Some(state)
    }
}
