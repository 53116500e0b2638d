//! The share of this instance in the retries that a service may get.
//!
//! Answers failures that make every instance retry at once: the shares of all
//! instances sum to less than the limit, whatever they know of each other.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::gateway::Retry;
use parking_lot::Mutex;

use crate::id;

/// Part of the limit that is used, so that rounding and clocks leave room.
const USED_SHARE: f64 = 0.75;

/// Retries by service in a sliding window.
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
    /// Makes a budget under `limit`.
    #[must_use]
    pub fn new(limit: Retry) -> Self {
        Self {
            limit,
            windows: Mutex::default(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&self, service: &str, now: Duration) {
        let mut windows = self.windows.lock();
        let window = windows.entry(service.to_owned()).or_default();
        window.requests.push_back(now);
        window.expire(now, self.limit.window);
    }

    /// Takes one retry if this instance's share, one of `instances`, holds one.
    #[must_use]
    pub fn withdraw(&self, service: &str, instances: usize, now: Duration) -> bool {
        let mut windows = self.windows.lock();
        let window = windows.entry(service.to_owned()).or_default();
        window.expire(now, self.limit.window);
        let extra = self.limit.extra / count(instances.max(1));
        let allowed = USED_SHARE * (self.limit.ratio * count(window.requests.len()) + extra);
        if count(window.retries.len()) + 1.0 > allowed {
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

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
