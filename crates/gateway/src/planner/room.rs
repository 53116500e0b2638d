//! Memory of one runner and what could be evicted from it, computed once for a planning round:
//! each model to place is weighed against each runner.

use crate::planner::Runner;

/// Room for models on one runner.
pub(super) struct Room<'a> {
    pub(super) runner: &'a Runner,
    /// Memory that weights do not use, less the room for a full set of adapters.
    pub(super) free_mb: f64,
    /// Models that may be evicted, in the order in which they are.
    pub(super) candidates: Vec<Candidate<'a>>,
    /// Requests per second for the models with adapters that it holds.
    pub(super) adapter_rate: f64,
}

/// A model that may be evicted.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) model: &'a str,
    /// Cost of unloading it, in requests per second.
    pub(super) cost: f64,
    pub(super) size_mb: f64,
}

/// Models that are evicted from one runner to make room for another one.
#[derive(Debug, Default)]
pub(super) struct Eviction<'a> {
    /// In the order in which they are unloaded; empty if enough memory is free.
    pub(super) victims: Vec<&'a str>,
    /// Cost of unloading them, in requests per second.
    pub(super) cost: f64,
}

impl<'a> Room<'a> {
    /// Sorts the candidates: one that drains first, then the cheapest.
    pub(super) fn sort(&mut self) {
        let runner = self.runner;
        self.candidates.sort_by(|a, b| {
            let is_draining = runner
                .is_draining(b.model)
                .cmp(&runner.is_draining(a.model));
            is_draining.then(a.cost.total_cmp(&b.cost))
        });
    }

    /// Cost that no eviction for a model of `size_mb` is below.
    pub(super) fn lowest_cost(&self, size_mb: f64) -> f64 {
        if size_mb <= self.free_mb {
            return 0.0;
        }
        let first = self.candidates.first();
        first.map_or(0.0, |candidate| candidate.cost)
    }

    /// Returns the cheapest eviction found that makes room for a model of `size_mb`, or `None`
    /// if no set of candidates frees enough memory.
    pub(super) fn eviction(&self, size_mb: f64) -> Option<Eviction<'a>> {
        let mut missing = size_mb - self.free_mb;
        if missing <= 0.0 {
            return Some(Eviction::default());
        }
        let single = self
            .candidates
            .iter()
            .find(|candidate| candidate.size_mb >= missing);
        // The cheapest models that free enough together, without those that the
        // later, larger ones make unnecessary.
        let mut chosen = Vec::new();
        for candidate in &self.candidates {
            if missing <= 0.0 {
                break;
            }
            missing -= candidate.size_mb;
            chosen.push(candidate);
        }
        if missing > 0.0 {
            return None;
        }
        for index in (0..chosen.len()).rev() {
            let size = chosen[index].size_mb;
            if missing + size <= 0.0 {
                missing += size;
                chosen.remove(index);
            }
        }
        let cost = chosen.iter().map(|candidate| candidate.cost).sum();
        Some(match single {
            Some(single) if single.cost <= cost => Eviction {
                victims: vec![single.model],
                cost: single.cost,
            },
            _ => Eviction {
                victims: chosen.iter().map(|candidate| candidate.model).collect(),
                cost,
            },
        })
    }
}
