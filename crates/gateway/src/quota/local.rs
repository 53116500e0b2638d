//! The equal share of an instance that reaches no owner.

use std::time::Duration;

use almondbank_wire::gateway::Quota as Bound;

use crate::quota::limit;
use crate::quota::{Bucket, Share, Source};
use crate::tenant::Quota;

/// Part of the bound's excess over the quota that all instances on their equal shares may spend
/// together before the owner notices that it cannot reach them. Until then it may grant the
/// whole quota.
const DETECTION_PART: f64 = 0.25;
/// Part of the bound's excess that all instances may spend together on requests that cost more
/// than their share.
const DEBT_PART: f64 = 0.5;

/// The equal share of a quota while no owner is in reach.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Local {
    bucket: Bucket,
    since: Duration,
}

impl Local {
    /// Creates an empty share.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            bucket: Bucket::empty(0.0, 0.0, now),
            since: now,
        }
    }

    /// Takes the tokens of a request.
    ///
    /// # Errors
    ///
    /// Fails with the time until there may be enough.
    pub(crate) fn take(
        &mut self,
        cost: u64,
        quota: &Quota,
        bound: &Bound,
        share: &Share,
        now: Duration,
    ) -> Result<Source, Duration> {
        if !share.is_settled {
            return Err(Duration::ZERO);
        }
        let cost = float(cost);
        let excess = limit::spare(quota, bound);
        let parts = count(share.position.instances.max(1));
        let detected = self.since + share.detection;
        // The rate until now applies to the time until now.
        let mut rate = quota.rate / parts;
        if now < detected {
            let limit = excess * DETECTION_PART / share.detection.as_secs_f64();
            rate = rate.min(limit / parts);
        }
        self.bucket.resize(rate, quota.burst / parts, now);
        let may_owe = cost * count(share.position.rank + 1) <= excess * DEBT_PART;
        let is_taken = if may_owe {
            self.bucket.take(cost, now)
        } else {
            self.bucket.take_whole(cost, now)
        };
        if is_taken {
            Ok(Source::Share(self.since))
        } else {
            Err(self.bucket.wait(cost, now))
        }
    }

    /// Returns the tokens of a request that was not sent.
    pub(crate) fn put_back(&mut self, cost: u64, since: Duration, now: Duration) {
        if since == self.since {
            self.bucket.put_back(float(cost), now);
        }
    }
}

fn float(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
