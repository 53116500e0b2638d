//! Prompt parts that runners were sent and probably keep.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::call::Block;
use crate::id;

/// Parts remembered for one runner.
const MAX_BLOCKS: usize = 1024;
/// Parts to tell the peers at once.
const MAX_UNREPORTED: usize = 256;

/// Index of prompt parts by runner.
#[derive(Debug, Default)]
pub struct Index {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runners: BTreeMap<id::Runner, BTreeMap<id::Prefix, Duration>>,
    news: Vec<mesh::Kept>,
}

impl Index {
    /// Tokens of the leading parts that the runner keeps.
    #[must_use]
    pub fn tokens(&self, runner: &str, blocks: &[Block]) -> u64 {
        let inner = self.inner.lock();
        let Some(known) = inner.runners.get(runner) else {
            return 0;
        };
        blocks
            .iter()
            .take_while(|block| known.contains_key(&block.hash))
            .map(|block| block.tokens)
            .sum()
    }

    /// Notes that the runner was sent a prompt. The last part belongs to the
    /// request alone and is not told to the peers.
    pub fn record(&self, runner: &str, blocks: &[Block], now: Duration) {
        let mut inner = self.inner.lock();
        let known = inner.runners.entry(runner.to_owned()).or_default();
        let mut news = Vec::new();
        for (at, block) in blocks.iter().enumerate() {
            let is_new = known.insert(block.hash, now).is_none();
            if is_new && at + 1 < blocks.len() {
                news.push(mesh::Kept {
                    runner: runner.to_owned(),
                    chain: block.hash,
                });
            }
        }
        if known.len() > MAX_BLOCKS {
            drop_oldest_half(known);
        }
        inner.news.extend(news);
        let excess = inner.news.len().saturating_sub(MAX_UNREPORTED);
        inner.news.drain(..excess);
    }

    /// Notes parts that a peer sent to runners.
    pub fn merge(&self, kept: Vec<mesh::Kept>, now: Duration) {
        let mut inner = self.inner.lock();
        for kept in kept {
            let known = inner.runners.entry(kept.runner).or_default();
            known.insert(kept.chain, now);
            if known.len() > MAX_BLOCKS {
                drop_oldest_half(known);
            }
        }
    }

    /// Forgets the runners for which `is_known` does not hold.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut inner = self.inner.lock();
        inner.runners.retain(|runner, _| is_known(runner));
    }

    /// Forgets what a runner kept, for example after it has restarted.
    pub fn forget(&self, runner: &str) {
        self.inner.lock().runners.remove(runner);
    }

    /// Takes what the peers were not told yet.
    #[must_use]
    pub fn take_new(&self) -> Vec<mesh::Kept> {
        std::mem::take(&mut self.inner.lock().news)
    }
}

fn drop_oldest_half(known: &mut BTreeMap<id::Prefix, Duration>) {
    let mut ages: Vec<_> = known.values().copied().collect();
    ages.sort_unstable();
    let median = ages[ages.len() / 2];
    known.retain(|_, used| *used > median);
}
