//! Whether a request is sent, waits or is refused.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::fair_share::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};

/// Decision on one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decision {
    /// What to do with the request.
    pub verdict: Verdict,
    /// What the verdict depends on.
    pub basis: Basis,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Send it now.
    #[default]
    Send,
    /// Let it wait; it gets a slot after about this time.
    Wait(Duration),
    /// Refuse it; its caller may return after this time.
    Refuse(Duration),
}

/// What a verdict depends on, of the claim of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// Requests that the replicas which could serve the request run or may queue.
    pub capacity: u64,
    /// Slots of the tenant at all instances.
    pub share: u64,
    /// Those of them that belong to this instance.
    pub part: u64,
    /// Requests at all instances that are in flight, wait or were refused recently, with this
    /// one.
    pub wanted: u64,
    /// Those of them at this instance.
    pub own_wanted: u64,
    /// Requests in flight from this instance.
    pub in_flight: u64,
    /// Requests in flight from all other instances.
    pub others_in_flight: u64,
    /// Requests that wait at this instance in front of this one.
    pub ahead: u64,
    /// Requests that were refused recently at this instance, and may return.
    pub refused: u64,
    /// Number of other instances and data centres with unserved requests of the tenant.
    pub contenders: u64,
    /// The same number for all tenants, each counted by itself.
    pub all_contenders: u64,
    /// Age of the oldest report that was used.
    pub oldest_report: Duration,
}

impl Basis {
    /// Whether the tenant wants no more than its share, or this instance's part of the share has
    /// a slot left for this request after those that wait in front of it.
    #[must_use]
    pub fn is_next(&self) -> bool {
        self.wanted <= self.share || self.in_flight + self.ahead < self.part
    }

    /// Whether the request may use a slot that its tenant has at another instance without using
    /// it, or one that is free by the last reports. Each instance uses only an equal part of
    /// them, as the others that need some see the same ones.
    pub(super) fn may_use(&self, free: impl FnOnce() -> u64) -> bool {
        let beyond = (self.in_flight + self.ahead + 1).saturating_sub(self.part);
        let of_others = self.share.saturating_sub(self.part);
        // Those that wait in front of it use the rest of the own part.
        let reserved = self.part.saturating_sub(self.in_flight);
        beyond.saturating_mul(self.contenders + 1)
            <= of_others.saturating_sub(self.others_in_flight)
            || beyond.saturating_mul(self.all_contenders + 1) <= free().saturating_sub(reserved)
    }

    /// Decides on a request whose tenant has used up its share, and that may wait for `left`.
    pub(super) fn verdict(
        &self,
        left: Duration,
        has_waited: bool,
        service_time: Duration,
    ) -> Verdict {
        let missing = (self.in_flight + self.ahead + 1).saturating_sub(self.part);
        let wait = self.time(missing.max(1), service_time);
        // A request that waits keeps its turn until its time is over.
        if (has_waited && !left.is_zero()) || wait <= left {
            return Verdict::Wait(wait);
        }
        // Those that were refused before return before.
        let retry_after = self.time(missing.max(1) + self.refused, service_time);
        Verdict::Refuse(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    // Time until `count` more requests of the tenant have got a slot from this instance.
    fn time(&self, count: u64, service_time: Duration) -> Duration {
        let slots = float(self.share) * float(self.own_wanted) / float(self.wanted.max(1));
        let time = service_time.as_secs_f64() * float(count) / slots;
        Duration::try_from_secs_f64(time).map_or(MAX_RETRY_AFTER, |time| time.min(MAX_RETRY_AFTER))
    }
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
