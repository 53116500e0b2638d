//! When the store could not be read last, and since when it can be read again.

use std::time::Duration;

/// The last outage of the store, as far as this instance has noticed.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    /// Time of the last failed read.
    failed_at: Option<Duration>,
    /// Time of the first read after it that succeeded.
    ended_at: Option<Duration>,
}

impl Outage {
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
        self.ended_at = None;
    }

    /// Records a read that succeeded; returns whether it is the first one.
    pub(crate) fn record_read(&mut self, now: Duration) -> bool {
        let is_first = self.ended_at.is_none();
        self.ended_at.get_or_insert(now);
        is_first
    }

    /// Whether a read has failed within the last `window`.
    pub(crate) fn has_failed_within(&self, window: Duration, now: Duration) -> bool {
        self.failed_at
            .is_some_and(|failed| now.saturating_sub(failed) < window)
    }

    /// Time of its end; `now` while it lasts.
    pub(crate) fn end(&self, now: Duration) -> Duration {
        self.ended_at.map_or(now, |ended| ended.min(now))
    }

    /// Whether it has been over for `time`.
    pub(crate) fn is_over_for(&self, time: Duration, now: Duration) -> bool {
        self.ended_at.is_some_and(|ended| now >= ended + time)
    }
}
