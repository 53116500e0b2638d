//! Bounded ejection of runners that stop answering.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::id;

const FAILURES_TO_EJECT: u32 = 3;
const EJECTION: Duration = Duration::from_secs(5);
const MAX_EJECTED_PERCENT: usize = 34;
const PERCENT: usize = 100;

/// Failures of runners as this instance sees them.
#[derive(Debug, Default)]
pub struct Ejections {
    runners: BTreeMap<id::Runner, Health>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    until: Option<Duration>,
}

impl Ejections {
    /// Records an answer of `runner`.
    pub fn succeeded(&mut self, runner: &str) {
        self.runners.remove(runner);
    }

    /// Records a failure of `runner`, one of `total` runners.
    ///
    /// Ejects it for a bounded time after several in a row, unless a third of
    /// the runners are ejected already.
    ///
    /// Returns until when it is ejected, if it is.
    pub fn failed(&mut self, runner: &str, total: usize, now: Duration) -> Option<Duration> {
        let ejected = self
            .runners
            .keys()
            .filter(|name| self.is_ejected(name, now))
            .count();
        let room = (ejected + 1) * PERCENT <= total.max(1) * MAX_EJECTED_PERCENT || total <= 2;
        let health = self.runners.entry(runner.to_owned()).or_default();
        health.failures += 1;
        if health.failures >= FAILURES_TO_EJECT && room {
            health.until = Some(now + EJECTION);
            health.failures = FAILURES_TO_EJECT - 1;
        }
        health.until
    }

    /// Whether `runner` gets no work now.
    #[must_use]
    pub fn is_ejected(&self, runner: &str, now: Duration) -> bool {
        self.runners
            .get(runner)
            .and_then(|health| health.until)
            .is_some_and(|until| now < until)
    }
}
