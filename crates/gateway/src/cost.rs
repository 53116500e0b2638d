//! Cost of one runner for a request, by its terms.

use std::time::Duration;

/// Cost of one runner for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cost {
    /// Prefill that is pending there for other requests.
    pub queue: Duration,
    /// Prefill of what is not cached there.
    pub prefill: Duration,
    /// Delay by the requests that run there.
    pub running: Duration,
    /// Wait for a slot.
    pub slot: Duration,
    /// Wait for memory.
    pub memory: Duration,
    /// Load of the adapter.
    pub adapter: Duration,
    /// Stalls of the streams that run there.
    pub stalls: Duration,
    /// Prefill of the cached tokens that the request evicts there, as far as these are
    /// expected to be used again.
    pub eviction: Duration,
    /// Expected cost of a failure.
    pub failures: Duration,
    /// Distance to another data centre.
    pub distance: Duration,
    /// Cost of a runner other than the one that all instances prefer for the prompt.
    pub affinity: Duration,
}

impl Cost {
    /// Predicted time to first token.
    #[must_use]
    pub fn first_token(&self) -> Duration {
        self.queue + self.prefill + self.running + self.slot + self.memory + self.adapter
    }

    /// Names of all terms and their values in milliseconds.
    #[must_use]
    pub fn terms_ms(&self) -> [(&'static str, f64); 11] {
        let terms = [
            ("queue", self.queue),
            ("prefill", self.prefill),
            ("running", self.running),
            ("slot", self.slot),
            ("memory", self.memory),
            ("adapter", self.adapter),
            ("stalls", self.stalls),
            ("eviction", self.eviction),
            ("failures", self.failures),
            ("distance", self.distance),
            ("affinity", self.affinity),
        ];
        terms.map(|(name, time)| (name, time.as_secs_f64() * 1e3))
    }

    /// Sum of all terms.
    #[must_use]
    pub fn total(&self) -> Duration {
        let penalties = self.failures + self.distance + self.affinity;
        self.first_token() + self.stalls + self.eviction + penalties
    }
}
