//! Which replica has lately seen a prompt's beginning.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use almondbank_wire::id;

const CHUNK_BYTES: usize = 512;
const MAX_CHUNKS: usize = 16;
const CAPACITY: usize = 16_384;

/// Hashes of a prompt's growing beginnings, the shortest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prefix {
    hashes: Vec<u64>,
}

impl Prefix {
    /// Hashes `prompt` for one model and caller, chunk by chunk.
    #[must_use]
    pub fn new(scope: &str, prompt: &str) -> Self {
        let mut state = DefaultHasher::new();
        scope.hash(&mut state);
        let hashes = prompt
            .as_bytes()
            .chunks(CHUNK_BYTES)
            .take(MAX_CHUNKS)
            .map(|chunk| {
                chunk.hash(&mut state);
                state.finish()
            })
            .collect();
        Self { hashes }
    }

    /// Hash of the shortest beginning; 0 for an empty prompt.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.hashes.first().copied().unwrap_or(0)
    }
}

/// Replicas by the beginnings that they have seen, oldest forgotten first.
#[derive(Debug, Default)]
pub struct Index {
    seen: BTreeMap<u64, Sighting>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

#[derive(Clone, Debug)]
struct Sighting {
    replica: id::Replica,
    stamp: u64,
}

impl Index {
    /// The replica that has seen the longest beginning.
    #[must_use]
    pub fn find(&self, prefix: &Prefix) -> Option<&str> {
        prefix
            .hashes
            .iter()
            .rev()
            .find_map(|hash| self.seen.get(hash))
            .map(|sighting| sighting.replica.as_str())
    }

    /// Records that `replica` has seen all beginnings of `prefix`.
    pub fn note(&mut self, prefix: &Prefix, replica: &str) {
        for hash in &prefix.hashes {
            self.clock += 1;
            let sighting = Sighting {
                replica: replica.to_owned(),
                stamp: self.clock,
            };
            if let Some(old) = self.seen.insert(*hash, sighting) {
                self.order.remove(&old.stamp);
            }
            self.order.insert(self.clock, *hash);
        }
        while self.seen.len() > CAPACITY {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            self.seen.remove(&hash);
        }
    }
}
