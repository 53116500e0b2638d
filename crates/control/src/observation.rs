//! What the leader last heard of a runner.

use std::time::Duration;

use almondbank_wire::order::{Phase, Report, Resident, Tier};

/// Silence after which a runner gets no new work.
pub const SILENCE: Duration = Duration::from_secs(3);

/// The last report of one runner, and when it was asked for.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// When it was asked for; it is at least as new as this.
    pub requested_at: Duration,
}

impl Observation {
    /// Whether the runner has answered lately.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.requested_at) < SILENCE
    }

    /// The replica as the runner reports it.
    #[must_use]
    pub fn resident(&self, replica: &str) -> Option<&Resident> {
        self.report
            .replicas
            .iter()
            .find(|resident| resident.replica == replica)
    }

    /// Whether the runner reports the replica as ready.
    #[must_use]
    pub fn is_ready(&self, replica: &str) -> bool {
        self.resident(replica)
            .is_some_and(|resident| resident.phase == Phase::Ready)
    }

    /// Whether the runner reports the order as finished.
    #[must_use]
    pub fn has_finished(&self, order: &str) -> bool {
        self.report.orders.iter().any(|finished| finished == order)
    }

    /// Where the runner finds the model version's checkpoint.
    #[must_use]
    pub fn tier(&self, model: &str, version: &str) -> Tier {
        self.report
            .cached
            .iter()
            .find(|cached| cached.model == model && cached.version == version)
            .map_or(Tier::Remote, |cached| cached.tier)
    }
}
