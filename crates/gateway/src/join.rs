//! Decides when an instance that has just started may serve by the environment that it has.
//!
//! The store may have come back from a copy and list an older environment than the one that
//! it acknowledged. Instances that ran before have the newer one. A lease that was taken
//! since then shows that the return was some time ago.

use std::time::Duration;

use parking_lot::Mutex;

/// Time after the environment is known in which a serving peer reports, if there is one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the environment is known in which a newer one arrives from a peer, or from the
/// record.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The start of one instance, until it may serve.
#[derive(Debug, Default)]
pub struct Join {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    is_complete: bool,
    /// Whether a lease was taken since the store came back, if it ever did.
    is_settled: bool,
    /// Whether the record of the newest environment is still being read.
    reads_record: bool,
    /// Time at which an environment was known first.
    known_at: Option<Duration>,
    /// Newest environment that serving peers report or that is recorded.
    newest: Option<u64>,
}

impl Join {
    /// Records that a lease was taken in the store's present history.
    pub fn record_settled(&self) {
        self.inner.lock().is_settled = true;
    }

    /// Records whether the record of the newest environment is still being read.
    pub fn set_reads_record(&self, reads_record: bool) {
        self.inner.lock().reads_record = reads_record;
    }

    /// Records that the environment `version` is known to a peer that serves, or was to a leader.
    pub fn record_newest(&self, version: u64) {
        let mut inner = self.inner.lock();
        inner.newest = inner.newest.max(Some(version));
    }

    /// Whether the instance may serve by the environment `version`. Once it may, it always
    /// may.
    pub fn may_serve(&self, version: u64, now: Duration) -> bool {
        let mut inner = self.inner.lock();
        if !inner.is_complete {
            let elapsed = now.saturating_sub(*inner.known_at.get_or_insert(now));
            inner.is_complete = match inner.newest {
                Some(newest) => version >= newest || elapsed >= FETCH_TIMEOUT,
                None if inner.reads_record => elapsed >= FETCH_TIMEOUT,
                None => inner.is_settled || elapsed >= REPORT_TIMEOUT,
            };
        }
        inner.is_complete
    }
}
