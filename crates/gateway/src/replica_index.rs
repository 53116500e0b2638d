//! Replicas and copies of each model over the runners of a service, counted once for a
//! planning round.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::planner::{Runner, Tier};

/// Pending prompt tokens on each replica above which a model gets another one.
const MAX_PENDING_TOKENS: u64 = 12_000;

/// State of the models over all runners.
#[derive(Default)]
pub(crate) struct Index<'a> {
    /// Number of replicas, loaded, loading or reserved.
    pub(crate) replicas: BTreeMap<&'a str, usize>,
    /// Number of replicas that accept requests.
    pub(crate) ready: BTreeMap<&'a str, usize>,
    /// Models with a replica that is loaded or being loaded from a copy.
    pub(crate) soon_ready: BTreeSet<&'a str>,
    /// Models with a copy in host memory or on disk.
    pub(crate) copies: BTreeSet<&'a str>,
    /// Models with a copy on a runner that does not hold them.
    pub(crate) spare_copies: BTreeSet<&'a str>,
    /// Models with a replica that is not loaded yet, or that has at most
    /// `MAX_PENDING_TOKENS` pending tokens.
    pub(crate) with_headroom: BTreeSet<&'a str>,
}

impl<'a> Index<'a> {
    pub(crate) fn new(runners: &'a BTreeMap<id::Runner, Runner>) -> Self {
        let mut index = Self::default();
        for runner in runners.values() {
            index.add(runner);
        }
        index
    }

    fn add(&mut self, runner: &'a Runner) {
        let copies = runner.in_memory.iter().chain(&runner.on_disk);
        for model in copies {
            self.copies.insert(model);
            let is_held = runner.models.contains(model) || runner.provides(model);
            if !is_held && !runner.is_limited {
                self.spare_copies.insert(model);
            }
        }
        if runner.is_limited {
            return;
        }
        let upcoming = runner.loading.iter().chain(&runner.reserved_for);
        let mut models: BTreeSet<&str> = upcoming.map(String::as_str).collect();
        models.extend(runner.models.iter().map(String::as_str));
        for model in models {
            let is_held = runner.models.contains(model);
            if runner.provides(model) {
                *self.replicas.entry(model).or_default() += 1;
                if is_held || runner.tier(model) != Tier::Store {
                    self.soon_ready.insert(model);
                }
            }
            if is_held && runner.serves(model) {
                *self.ready.entry(model).or_default() += 1;
            }
            let is_upcoming = !is_held && runner.provides(model);
            if is_upcoming || (is_held && runner.pending_tokens <= MAX_PENDING_TOKENS) {
                self.with_headroom.insert(model);
            }
        }
    }
}
