//! Retry budget of this instance for each service.
//!
//! Each instance limits its own retries by its own requests and an equal part of
//! the extra retries. The retries of all instances together therefore stay below
//! the limit without coordination, even if all of them retry at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::gateway::Retry;
use parking_lot::Mutex;

use crate::id;

/// Part of the limit that is used. The rest is a margin for rounding and for
/// differences between clocks.
const USED_SHARE: f64 = 0.75;

/// Retry budget by service, over a sliding window.
#[derive(Debug)]
pub struct Budget {
    limit: Retry,
    windows: Mutex<BTreeMap<id::Service, Window>>,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates a budget with the given limit for all instances together.
    #[must_use]
    pub fn new(limit: Retry) -> Self {
        Self {
            limit,
            windows: Mutex::default(),
        }
    }

    /// Counts a request of a caller, which adds to the budget of the service.
    pub fn record_request(&self, service: &str, now: Duration) {
        let mut windows = self.windows.lock();
        let window = windows.entry(service.to_owned()).or_default();
        window.requests.push_back(now);
        window.expire(now, self.limit.window);
    }

    /// Takes one retry from the budget and returns true, or returns false if the
    /// budget is used up. `instances` is the number of instances that share the
    /// limit.
    #[must_use]
    pub fn withdraw(&self, service: &str, instances: usize, now: Duration) -> bool {
        let mut windows = self.windows.lock();
        let window = windows.entry(service.to_owned()).or_default();
        window.expire(now, self.limit.window);
        let extra = self.limit.extra / float(instances.max(1));
        let allowed = USED_SHARE * (self.limit.ratio * float(window.requests.len()) + extra);
        if float(window.retries.len()) + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

impl Window {
    fn expire(&mut self, now: Duration, length: Duration) {
        let start = now.saturating_sub(length);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
