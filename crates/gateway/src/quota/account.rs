//! The tokens of one tenant at the owner.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::quota::{Ask, Bucket, GRANT_LIFETIME, Grant};

/// Part of a bucket that is not granted in advance. It is left for instances whose requests
/// have arrived.
const RESERVED: f64 = 0.5;
/// Part of the rate by which refused callers are told to return. The rest is left for new
/// requests.
const RETURN_SHARE: f64 = 0.5;
/// Longest time for which callers are told to stay away, beyond the wait for the tokens of
/// one request.
const MAX_RETURN: Duration = Duration::from_secs(30);
/// Longest time that is told until there are tokens for one request.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Longest time until a refused instance asks again, within which a raised limit applies.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time after which an instance that spent its equal share and asks no more counts as one
/// without demand. Instances on their share ask several times a second.
const ON_SHARE_TIME: Duration = Duration::from_millis(1500);
/// Shortest time until a refused instance asks again, which bounds the asks for a tenant far
/// over its quota.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Tokens of one tenant, and when refused callers were told to return.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    bucket: Bucket,
    /// Tokens per second.
    rate: f64,
    /// Time at which the last refused caller returns.
    booked_until: Duration,
    /// Instances that spend their equal share, and when they said so.
    on_share: BTreeMap<id::Instance, Duration>,
}

impl Account {
    /// Creates an account that has granted nothing since `granting_since`.
    pub(crate) fn new(rate: f64, cap: f64, granting_since: Duration) -> Self {
        Self {
            bucket: Bucket::empty(rate, cap, granting_since),
            rate,
            booked_until: Duration::ZERO,
            on_share: BTreeMap::new(),
        }
    }

    /// Whether it is as a new one would be.
    pub(crate) fn is_idle(&mut self, now: Duration) -> bool {
        self.booked_until <= now && self.bucket.tokens(now) >= self.bucket.cap()
    }

    /// Records whether the instance that asks spends its equal share, which it does when answers
    /// of this owner reach it too late.
    pub(crate) fn record_asker(&mut self, asker: &str, ask: &Ask, now: Duration) {
        if ask.on_share {
            self.on_share.insert(asker.to_owned(), now);
        } else if !self.on_share.is_empty() {
            self.on_share.remove(asker);
        }
        self.on_share
            .retain(|_, at| now.saturating_sub(*at) < ON_SHARE_TIME);
    }

    /// Applies the current rate and size.
    pub(crate) fn resize(&mut self, rate: f64, cap: f64, now: Duration) {
        self.rate = rate;
        self.bucket.resize(rate, cap, now);
    }

    /// Number of instances that spend their equal share although they reach this owner.
    pub(crate) fn on_share(&self) -> f64 {
        f64::from(u32::try_from(self.on_share.len()).unwrap_or(u32::MAX))
    }

    /// Grants tokens for as many of the first requests as there are enough for.
    pub(crate) fn grant(&mut self, ask: &Ask, now: Duration) -> Grant {
        let bucket = &mut self.bucket;
        let served = ask.costs.iter();
        let served = served.take_while(|cost| bucket.take(float(**cost), now));
        let (count, tokens) = served.fold((0, 0), |(count, sum), cost| (count + 1, sum + cost));
        let mut grant = Grant {
            tokens,
            lifetime: GRANT_LIFETIME,
            ..Grant::default()
        };
        if let Some(first) = ask.costs.get(count) {
            let refused = ask.costs[count..].iter().sum::<u64>() + ask.refused;
            let wait = self.bucket.wait(float(*first), now);
            let wait = wait.clamp(MIN_PAUSE, MAX_WAIT);
            grant.pause = wait.min(MAX_PAUSE);
            self.book(&mut grant, now + wait, refused, now);
        } else {
            grant.tokens += self.prefetch(ask.prefetch, now);
        }
        grant
    }

    fn prefetch(&mut self, wanted: u64, now: Duration) -> u64 {
        let free = self.bucket.tokens(now) - self.bucket.cap() * RESERVED;
        let tokens = whole(free).min(wanted);
        let is_taken = tokens > 0 && self.bucket.take_whole(float(tokens), now);
        if is_taken { tokens } else { 0 }
    }

    // Refused callers return one after the other, at a rate at which their requests can be
    // served. Nothing is kept for them: others may use the tokens first.
    fn book(&mut self, grant: &mut Grant, soonest: Duration, refused: u64, now: Duration) {
        let mut start = self.booked_until.max(soonest);
        if start > soonest + MAX_RETURN {
            start = soonest;
        }
        let spread = float(refused) / (self.rate * RETURN_SHARE);
        let spread =
            Duration::try_from_secs_f64(spread).map_or(MAX_RETURN, |spread| spread.min(MAX_RETURN));
        self.booked_until = start + spread;
        grant.retry_after = start.saturating_sub(now);
        grant.spread = spread;
    }
}

fn float(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

// Rounds down. `Duration` converts the float without a cast.
fn whole(tokens: f64) -> u64 {
    let tokens = tokens.floor().clamp(0.0, f64::from(u32::MAX));
    Duration::from_secs_f64(tokens).as_secs()
}
