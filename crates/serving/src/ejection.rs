//! Outlier ejection: runners that stop responding get no work for a limited time.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::id;

const EJECTION_THRESHOLD: u32 = 3;
const EJECTION_TIME: Duration = Duration::from_secs(5);
const MAX_EJECTED_PERCENT: usize = 34;
const PERCENT: usize = 100;

/// Consecutive failures and ejections of runners, as seen by this instance.
#[derive(Debug, Default)]
pub struct Ejections {
    runners: BTreeMap<id::Runner, Failures>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    ejected_until: Option<Duration>,
}

impl Ejections {
    /// Records a response of `runner`; this ends its ejection.
    pub fn record_success(&mut self, runner: &str) {
        self.runners.remove(runner);
    }

    /// Records a failure of `runner`, one of `total` runners.
    ///
    /// Ejects the runner for a limited time after several consecutive failures,
    /// unless more than about a third of the runners would then be ejected. Of one
    /// or two runners, all may be ejected.
    ///
    /// Returns the end of the latest ejection since the last response, if any; it may
    /// have passed.
    pub fn record_failure(
        &mut self,
        runner: &str,
        total: usize,
        now: Duration,
    ) -> Option<Duration> {
        let ejected = self
            .runners
            .keys()
            .filter(|name| self.is_ejected(name, now))
            .count();
        let may_eject = (ejected + 1) * PERCENT <= total.max(1) * MAX_EJECTED_PERCENT || total <= 2;
        let failures = self.runners.entry(runner.to_owned()).or_default();
        failures.count += 1;
        if failures.count >= EJECTION_THRESHOLD && may_eject {
            failures.ejected_until = Some(now + EJECTION_TIME);
            failures.count = EJECTION_THRESHOLD - 1;
        }
        failures.ejected_until
    }

    /// Whether `runner` is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, runner: &str, now: Duration) -> bool {
        self.runners
            .get(runner)
            .and_then(|failures| failures.ejected_until)
            .is_some_and(|until| now < until)
    }
}
