//! Runs of runners that have said in a response that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;

/// Time for which a notice is kept.
const NOTICE_TTL: Duration = Duration::from_mins(10);

/// Kept without a registration, since the store may list the run again.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// Start of the process, and time of the notice.
    runs: BTreeMap<id::Runner, (u64, Duration)>,
}

impl Leaving {
    /// Records the notice of the run that started at `born_ms`; returns whether it is the first.
    pub(crate) fn insert(&mut self, runner: &str, born_ms: u64, now: Duration) -> bool {
        let former = self.runs.insert(runner.to_owned(), (born_ms, now));
        former.is_none_or(|(former, _)| former != born_ms)
    }

    /// Whether the run that started at `born_ms` leaves.
    pub(crate) fn contains(&self, runner: &str, born_ms: u64) -> bool {
        let run = self.runs.get(runner);
        run.is_some_and(|(known, _)| *known == born_ms)
    }

    /// Forgets old notices.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.runs
            .retain(|_, (_, at)| now.saturating_sub(*at) < NOTICE_TTL);
    }
}
