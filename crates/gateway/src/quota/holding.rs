//! The tokens of one tenant at an instance that is granted them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::quota::local::Local;
use crate::quota::{ANSWER_TIMEOUT, Ask, Denial, Grant, Permit, Source, Verdict};
use crate::rate::Rate;

/// Recent use that is asked for in advance, in seconds.
const PREFETCH: f64 = 0.25;
/// Half-life of the usage.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Shortest time between two asks for requests that have not arrived.
const AHEAD_INTERVAL: Duration = Duration::from_millis(100);
/// Requests that one ask covers, which bounds the message. With 64, one instance got less than
/// 0.95 of 10,000 requests a second.
const MAX_COSTS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Lot {
    tokens: u64,
    expires: Duration,
}

/// A request that waits for tokens.
#[derive(Debug)]
pub(crate) struct Waiting<W> {
    pub(crate) cost: u64,
    pub(crate) since: Duration,
    pub(crate) waiter: W,
}

/// Tokens of one tenant, and the requests that wait for some.
#[derive(Debug)]
pub(crate) struct Holding<W> {
    /// Granted tokens, the oldest first.
    lots: VecDeque<Lot>,
    pub(crate) waiting: VecDeque<Waiting<W>>,
    /// Number of waiting requests that the ask without an answer covers.
    asked: Option<usize>,
    /// Time of the last ask for requests that have not arrived.
    ahead_at: Duration,
    paused_until: Duration,
    /// Time at which the first refused caller returns, and the time after it over which the
    /// others return.
    returns: (Duration, Duration),
    /// Tokens of requests refused since the last ask.
    refused: u64,
    usage: Rate,
    answered_at: Option<Duration>,
    /// Equal share, while no owner is in reach.
    pub(crate) local: Option<Local>,
    /// Time from which the owner may be asked again, while none is in reach.
    pub(crate) probe_at: Duration,
    pub(crate) used_at: Duration,
}

impl<W> Holding<W> {
    pub(crate) fn new() -> Self {
        Self {
            lots: VecDeque::new(),
            waiting: VecDeque::new(),
            asked: None,
            ahead_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            returns: (Duration::ZERO, Duration::ZERO),
            refused: 0,
            usage: Rate::new(USAGE_HALF_LIFE),
            answered_at: None,
            local: None,
            probe_at: Duration::ZERO,
            used_at: Duration::ZERO,
        }
    }

    /// Whether an ask has no answer yet.
    pub(crate) fn has_asked(&self) -> bool {
        self.asked.is_some()
    }

    /// Whether the owner has said that another ask is in vain.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Spends granted tokens, those that expire first.
    pub(crate) fn spend(&mut self, cost: u64, now: Duration) -> Option<Permit> {
        if self.held(now) < cost {
            return None;
        }
        // Refunded tokens are not to last longer than the oldest ones.
        let expires = self.lots.front().map_or(now, |lot| lot.expires);
        let mut left = cost;
        while let Some(lot) = self.lots.front_mut()
            && left > 0
        {
            let taken = lot.tokens.min(left);
            lot.tokens -= taken;
            left -= taken;
            if lot.tokens == 0 {
                self.lots.pop_front();
            }
        }
        self.record_use(cost, now);
        Some(Permit {
            cost,
            source: Source::Owner(expires),
        })
    }

    /// Records the use of tokens.
    pub(crate) fn record_use(&mut self, cost: u64, now: Duration) {
        self.used_at = now;
        self.usage.add(cost, now);
    }

    /// Returns the tokens of a request that was not sent.
    pub(crate) fn put_back(&mut self, permit: &Permit, now: Duration) {
        match (permit.source, &mut self.local) {
            (Source::Owner(expires), _) if expires > now => self.lots.push_front(Lot {
                tokens: permit.cost,
                expires,
            }),
            (Source::Share(since), Some(local)) => local.put_back(permit.cost, since, now),
            _ => {}
        }
    }

    /// Number of granted tokens that have not expired.
    pub(crate) fn held(&mut self, now: Duration) -> u64 {
        self.lots.retain(|lot| lot.expires > now);
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    /// Builds the ask for the waiting requests.
    pub(crate) fn ask(&mut self, now: Duration) -> Ask {
        let waiting = self.waiting.iter().take(MAX_COSTS);
        let costs: Vec<_> = waiting.map(|waiting| waiting.cost).collect();
        let oldest = self.waiting.front().map_or(now, |waiting| waiting.since);
        self.asked = Some(costs.len());
        self.ahead_at = now;
        let on_share = self.local.is_some();
        let prefetch = match costs.first() {
            Some(cost) => self.expected(*cost, now),
            None => 0,
        };
        Ask {
            prefetch,
            costs,
            on_share,
            refused: std::mem::take(&mut self.refused),
            timeout: ANSWER_TIMEOUT.saturating_sub(now.saturating_sub(oldest)),
        }
    }

    /// Builds an ask for requests that have not arrived, after one of `cost`, if it is due.
    pub(crate) fn ask_ahead(&mut self, cost: u64, now: Duration) -> Option<Ask> {
        let is_due = now.saturating_sub(self.ahead_at) >= AHEAD_INTERVAL;
        if self.has_asked() || self.is_paused(now) || self.local.is_some() || !is_due {
            return None;
        }
        let expected = self.expected(cost, now);
        if self.held(now) >= expected.div_ceil(2) {
            return None;
        }
        self.asked = Some(0);
        self.ahead_at = now;
        Some(Ask {
            prefetch: expected,
            timeout: ANSWER_TIMEOUT,
            ..Ask::default()
        })
    }

    // Tokens that are expected to be used soon. Fewer than those of one request would only be
    // kept from other instances.
    fn expected(&mut self, cost: u64, now: Duration) -> u64 {
        let soon = self.usage.per_second(now) * PREFETCH;
        let soon = Duration::try_from_secs_f64(soon).map_or(0, |soon| soon.as_secs());
        if soon >= cost { soon } else { 0 }
    }

    /// Ends the ask without an answer; returns how many waiting requests it covered.
    pub(crate) fn end_ask(&mut self) -> usize {
        self.asked.take().unwrap_or_default()
    }

    /// Takes an answer to the ask that was sent at `asked_at`.
    pub(crate) fn apply(&mut self, grant: &Grant, asked_at: Duration, now: Duration) {
        self.local = None;
        self.answered_at = Some(now);
        if grant.tokens > 0 {
            self.lots.push_back(Lot {
                tokens: grant.tokens,
                expires: asked_at + grant.lifetime,
            });
        }
        if !grant.pause.is_zero() {
            self.paused_until = now + grant.pause;
            self.returns = (now + grant.retry_after, grant.spread);
        }
    }

    /// Refuses a request that the owner has refused. Of all that it refused at once, the
    /// callers return at different times: `place` of 0 to 1 tells which part of them comes
    /// first.
    pub(crate) fn refuse(&mut self, place: f64, now: Duration) -> Verdict {
        let (first, spread) = self.returns;
        let at = first + spread.mul_f64(place);
        self.deny(at.saturating_sub(now), false, now)
    }

    /// Refuses a request during the pause that the owner has imposed. Its caller returns
    /// after those that the owner knows of.
    pub(crate) fn refuse_paused(&mut self, cost: u64, draw: f64, now: Duration) -> Verdict {
        self.refused += cost;
        let (first, spread) = self.returns;
        let last = first.max(self.paused_until) + spread;
        let further = spread.max(self.paused_until.saturating_sub(now));
        let at = last + further.mul_f64(draw);
        self.deny(at.saturating_sub(now), false, now)
    }

    pub(crate) fn deny(&mut self, retry_after: Duration, is_local: bool, now: Duration) -> Verdict {
        self.used_at = now;
        Verdict::Refused(Denial {
            retry_after,
            is_local,
            held: self.held(now),
            answer_age: self.answered_at.map(|at| now.saturating_sub(at)),
        })
    }
}
