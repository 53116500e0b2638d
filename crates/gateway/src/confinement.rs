//! The time of one suspect in quarantine.

use std::time::Duration;

use crate::id;

/// Time after the last crash until one request with the part is sent, by number of those that
/// have crashed a runner. There are no further ones.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(10)];
/// Time after which a trial without an outcome gives way to another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which all instances hear of a quarantine.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// A suspect's time in quarantine.
#[derive(Debug)]
pub(crate) struct Confinement {
    /// Time of the last crash.
    pub(crate) at: Duration,
    /// Time of the crash that it began with.
    since: Duration,
    /// Number of requests that crashed a runner though they were sent afterwards.
    failed_trials: usize,
    /// Request that is let through, and since when.
    trial: Option<(id::Attempt, Duration)>,
}

impl Confinement {
    pub(crate) fn new(at: Duration) -> Self {
        Self {
            at,
            since: at,
            failed_trials: 0,
            trial: None,
        }
    }

    /// Records a crash under a request that was sent at `sent_at`; returns whether that was
    /// a trial of any instance.
    pub(crate) fn record_crash(&mut self, sent_at: Duration, at: Duration) -> bool {
        self.at = self.at.max(at);
        let is_trial = sent_at > self.since + SPREAD_TIME;
        if is_trial {
            self.failed_trials += 1;
            self.trial = None;
        }
        is_trial
    }

    pub(crate) fn is_tried_by(&self, attempt: &str) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|(trying, _)| trying == attempt)
    }

    /// Whether a request may be let through.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        let Some(delay) = TRIAL_DELAYS.get(self.failed_trials) else {
            return false;
        };
        let is_free = self
            .trial
            .as_ref()
            .is_none_or(|(_, since)| now >= *since + TRIAL_TIMEOUT);
        is_free && now >= self.at + *delay
    }

    pub(crate) fn start_trial(&mut self, attempt: &str, now: Duration) {
        self.trial = Some((attempt.to_owned(), now));
    }
}
