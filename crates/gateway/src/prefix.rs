//! Approximate index of the prefix caches of the runners, built from the prompts
//! that were sent to them.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::call::Block;
use crate::id;
use crate::prefix_cache::Cache;
pub use crate::prefix_cache::Memory;

/// Maximum number of new blocks in one report to the peers.
const MAX_UNREPORTED: usize = 256;

/// Index of cached prefix blocks by runner.
#[derive(Debug, Default)]
pub struct Index {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runners: BTreeMap<id::Runner, Cache>,
    unreported: Vec<mesh::Kept>,
}

/// What a runner is expected to have cached for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Tokens in the longest cached prefix of the prompt.
    pub cached_tokens: u64,
    /// Cached tokens that the request would evict although they are expected to be used
    /// again.
    pub expected_loss: u64,
}

impl Index {
    /// Returns the number of tokens in the longest cached prefix of the prompt.
    #[must_use]
    pub fn cached_tokens(&self, runner: &str, blocks: &[Block]) -> u64 {
        let inner = self.inner.lock();
        let cache = inner.runners.get(runner);
        cache.map_or(0, |cache| cache.cached_tokens(blocks))
    }

    /// Evicts what no longer fits in the runner's memory, and returns what is left there for
    /// a request that takes up `tokens` in all.
    #[must_use]
    pub fn look_up(
        &self,
        runner: &str,
        blocks: &[Block],
        tokens: u64,
        memory: &Memory,
        now: Duration,
    ) -> Share {
        let mut inner = self.inner.lock();
        let Some(cache) = inner.runners.get_mut(runner) else {
            return Share::default();
        };
        cache.set_sizes(blocks);
        cache.evict(memory, now);
        let cached_tokens = cache.cached_tokens(blocks);
        let new = tokens.saturating_sub(cached_tokens);
        Share {
            cached_tokens,
            expected_loss: cache.expected_loss(blocks, new, memory, now),
        }
    }

    /// Records that a prompt was sent to the runner. The last block is specific to
    /// the request and is not reported to the peers.
    pub fn record(&self, runner: &str, blocks: &[Block], now: Duration) {
        if blocks.is_empty() {
            return;
        }
        let mut inner = self.inner.lock();
        let Inner {
            runners,
            unreported,
        } = &mut *inner;
        let cache = runners.entry(runner.to_owned()).or_default();
        // From the last to the first, as a block is of no use without those before it.
        for (at, block) in blocks.iter().enumerate().rev() {
            let is_new = cache.touch(block.hash, Some(block.tokens), now);
            if is_new && at + 1 < blocks.len() {
                unreported.push(mesh::Kept {
                    runner: runner.to_owned(),
                    chain: block.hash,
                });
            }
        }
        let excess = unreported.len().saturating_sub(MAX_UNREPORTED);
        unreported.drain(..excess);
    }

    /// Records blocks that peers have reported.
    pub fn merge(&self, blocks: Vec<mesh::Kept>, now: Duration) {
        let mut inner = self.inner.lock();
        for block in blocks {
            let cache = inner.runners.entry(block.runner).or_default();
            cache.touch(block.chain, None, now);
        }
    }

    /// Removes the blocks of runs that have ended. `born_ms` returns the start of a
    /// runner's present run, or `None` if the runner is not known.
    pub fn retain(&self, born_ms: impl Fn(&str) -> Option<u64>) {
        let mut inner = self.inner.lock();
        inner.runners.retain(|runner, cache| {
            let present = born_ms(runner);
            let known = std::mem::replace(&mut cache.born_ms, present);
            present.is_some() && (known.is_none() || known == present)
        });
    }

    /// Removes the blocks of one runner, for example after it has restarted.
    pub fn forget(&self, runner: &str) {
        self.inner.lock().runners.remove(runner);
    }

    /// Takes the blocks that have not been reported to the peers yet.
    #[must_use]
    pub fn take_new(&self) -> Vec<mesh::Kept> {
        std::mem::take(&mut self.inner.lock().unreported)
    }
}
