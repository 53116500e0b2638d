//! Last report of a runner, as received by the leader.

use std::time::Duration;

use almondbank_wire::order::{Phase, Report, Resident, Tier};

/// Age at which the last report is out of date; its runner then gets no new work.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// The last report of one runner, and when it was requested.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Report as the runner sent it.
    pub report: Report,
    /// When the report was requested; its content is at least as recent.
    pub requested_at: Duration,
}

impl Observation {
    /// Whether the report is recent enough to act on.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.requested_at) < REPORT_TIMEOUT
    }

    /// The replica with this id, if the runner reports it.
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

    /// Tier from which the runner can load the checkpoint of a model version.
    #[must_use]
    pub fn tier(&self, model: &str, version: &str) -> Tier {
        self.report
            .cached
            .iter()
            .find(|cached| cached.model == model && cached.version == version)
            .map_or(Tier::Remote, |cached| cached.tier)
    }
}
