//! Limits on the requests per second that runners name in their responses.
//!
//! A limit holds for all instances together. Each instance takes an equal part of it, as
//! a token bucket that holds at most one token, so that the sum stays below the limit
//! without coordination. Each full bucket is a request that may come at any time, so that
//! only as many instances take part as the accepted burst has room for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Part of a limit that is used. The rest is a margin for differences between the
/// instances' views of each other.
const USED_SHARE: f64 = 0.95;
/// Number of instances that share the smallest limit.
const MIN_SHARERS: f64 = 5.0;
/// Further instances that share a limit, for each request per second.
const SHARERS_PER_RATE: f64 = 1.0;
/// Smallest limit in requests per second. Without any request, the end of a limit would
/// not be noticed.
const MIN_LIMIT: f64 = 0.05;

/// Limits of the runners that name one, by runner.
#[derive(Debug, Default)]
pub struct Limiter {
    inner: Mutex<Inner>,
}

/// Position of this instance among those that share the limit of one runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of instances that come first.
    pub rank: usize,
    /// Number of all instances, including this one.
    pub instances: usize,
}

/// What a response says about the limit of its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Named {
    /// The response names no limit.
    #[default]
    Absent,
    /// The limit is this number of requests per second.
    PerSecond(f64),
    /// The limit is not a number of requests per second.
    Malformed,
}

/// Change of a limit that this instance is to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The runner has named this limit, in requests per second.
    Named(f64),
    /// The runner names no limit any more.
    Ended,
    /// The runner has named a malformed limit, for the first time.
    Malformed,
}

#[derive(Debug, Default)]
struct Inner {
    buckets: BTreeMap<id::Runner, Bucket>,
    /// Runners that have named a malformed limit.
    malformed: BTreeSet<id::Runner>,
}

#[derive(Debug)]
struct Bucket {
    /// Start of the run of the runner that named the limit.
    born_ms: u64,
    /// Requests per second of all instances.
    limit: f64,
    /// Time of the last response that named it.
    named_at: Duration,
    tokens: f64,
    filled_at: Duration,
}

impl Limiter {
    /// Records what a response of `runner` says about its limit. The request was sent at
    /// `sent_at`, to the run that started at `born_ms`.
    pub fn record(
        &self,
        runner: &str,
        born_ms: u64,
        named: Named,
        sent_at: Duration,
        now: Duration,
    ) -> Option<Change> {
        let mut inner = self.inner.lock();
        match named {
            Named::PerSecond(limit) => inner.name(runner, born_ms, limit.max(MIN_LIMIT), now),
            Named::Absent => inner.end(runner, born_ms, sent_at),
            Named::Malformed => {
                let is_new = inner.malformed.insert(runner.to_owned());
                is_new.then_some(Change::Malformed)
            }
        }
    }

    /// Whether the runner has named a limit.
    #[must_use]
    pub fn is_limited(&self, runner: &str) -> bool {
        self.inner.lock().buckets.contains_key(runner)
    }

    /// Time until this instance may send a request to the runner; `Duration::MAX` if it
    /// does not share the limit.
    #[must_use]
    pub fn wait(&self, runner: &str, position: Position, now: Duration) -> Duration {
        let mut inner = self.inner.lock();
        let bucket = inner.buckets.get_mut(runner);
        bucket.map_or(Duration::ZERO, |bucket| bucket.wait(position, now))
    }

    /// Takes the token for a request to the runner; returns whether it may be sent.
    #[must_use]
    pub fn take(&self, runner: &str, position: Position, now: Duration) -> bool {
        let mut inner = self.inner.lock();
        let bucket = inner.buckets.get_mut(runner);
        bucket.is_none_or(|bucket| bucket.take(position, now))
    }

    /// Removes the runners whose run, by the start of its process, is not the one that
    /// `born_ms` returns.
    pub fn retain(&self, born_ms: impl Fn(&str) -> Option<u64>) {
        let mut inner = self.inner.lock();
        inner
            .buckets
            .retain(|runner, bucket| born_ms(runner) == Some(bucket.born_ms));
        inner.malformed.retain(|runner| born_ms(runner).is_some());
    }
}

impl Inner {
    fn name(&mut self, runner: &str, born_ms: u64, limit: f64, now: Duration) -> Option<Change> {
        let known = self.buckets.get_mut(runner);
        if let Some(bucket) = known.filter(|bucket| bucket.born_ms == born_ms) {
            bucket.named_at = now;
            let former = std::mem::replace(&mut bucket.limit, limit);
            let is_same = former.total_cmp(&limit).is_eq();
            return (!is_same).then_some(Change::Named(limit));
        }
        let bucket = Bucket {
            born_ms,
            limit,
            named_at: now,
            tokens: 0.0,
            filled_at: now,
        };
        self.buckets.insert(runner.to_owned(), bucket);
        Some(Change::Named(limit))
    }

    // A request that was sent before the limit was named may have been answered before.
    fn end(&mut self, runner: &str, born_ms: u64, sent_at: Duration) -> Option<Change> {
        let bucket = self.buckets.get(runner)?;
        if bucket.born_ms == born_ms && sent_at < bucket.named_at {
            return None;
        }
        self.buckets.remove(runner);
        Some(Change::Ended)
    }
}

impl Bucket {
    fn wait(&mut self, position: Position, now: Duration) -> Duration {
        let rate = self.fill(position, now);
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64((1.0 - self.tokens) / rate).unwrap_or(Duration::MAX)
    }

    fn take(&mut self, position: Position, now: Duration) -> bool {
        self.fill(position, now);
        let is_full = self.tokens >= 1.0;
        if is_full {
            self.tokens = 0.0;
        }
        is_full
    }

    // Adds the tokens since the last call; returns their rate.
    fn fill(&mut self, position: Position, now: Duration) -> f64 {
        let rate = share(self.limit, position);
        let elapsed = now.saturating_sub(self.filled_at);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(1.0);
        self.filled_at = now;
        rate
    }
}

/// Requests per second that the instance at `position` may send to a runner with `limit`.
#[must_use]
pub fn share(limit: f64, position: Position) -> f64 {
    let accepted = (MIN_SHARERS + SHARERS_PER_RATE * limit).floor();
    let sharers = accepted.min(float(position.instances)).max(1.0);
    if float(position.rank) >= sharers {
        return 0.0;
    }
    limit * USED_SHARE / sharers
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
