//! Tracks which replica has recently processed a prompt prefix.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use almondbank_wire::id;

const BLOCK_BYTES: usize = 512;
const MAX_BLOCKS: usize = 16;
const CAPACITY: usize = 16_384;

/// Hashes of the prefixes of a prompt, the shortest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prefix {
    hashes: Vec<u64>,
}

impl Prefix {
    /// Hashes `prompt` block by block; `scope` identifies the model and the caller.
    #[must_use]
    pub fn new(scope: &str, prompt: &str) -> Self {
        let mut state = DefaultHasher::new();
        scope.hash(&mut state);
        let hashes = prompt
            .as_bytes()
            .chunks(BLOCK_BYTES)
            .take(MAX_BLOCKS)
            .map(|block| {
                block.hash(&mut state);
                state.finish()
            })
            .collect();
        Self { hashes }
    }

    /// Hash of the shortest prefix; 0 for an empty prompt.
    #[must_use]
    pub fn first_hash(&self) -> u64 {
        self.hashes.first().copied().unwrap_or(0)
    }
}

/// Replica that last processed each prefix; the oldest entries are evicted first.
#[derive(Debug, Default)]
pub struct Index {
    entries: BTreeMap<u64, Entry>,
    order: BTreeMap<u64, u64>,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    replica: id::Replica,
    sequence: u64,
}

impl Index {
    /// The replica that has processed the longest known prefix.
    #[must_use]
    pub fn find(&self, prefix: &Prefix) -> Option<&str> {
        prefix
            .hashes
            .iter()
            .rev()
            .find_map(|hash| self.entries.get(hash))
            .map(|entry| entry.replica.as_str())
    }

    /// Records that `replica` has processed all prefixes in `prefix`.
    pub fn insert(&mut self, prefix: &Prefix, replica: &str) {
        for hash in &prefix.hashes {
            self.sequence += 1;
            let entry = Entry {
                replica: replica.to_owned(),
                sequence: self.sequence,
            };
            if let Some(old) = self.entries.insert(*hash, entry) {
                self.order.remove(&old.sequence);
            }
            self.order.insert(self.sequence, *hash);
        }
        while self.entries.len() > CAPACITY {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            self.entries.remove(&hash);
        }
    }
}
