//! What an instance may spend of the quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::gateway::Quota as Bound;

use crate::id;
use crate::quota::holding::{Holding, Waiting};
use crate::quota::local::Local;
use crate::quota::{Ask, Grant, Limit, Permit, Share, Verdict};
use crate::tenant::Quota;

/// Time between two asks while no owner is in reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest and longest time after which callers return that were refused while no owner is in
/// reach.
const LOCAL_RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Time without a request after which nothing is kept of a tenant.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Fractional part of the golden ratio: its multiples, modulo 1, spread evenly over 0 to 1.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// Tokens that this instance holds, by tenant. Requests that wait are represented by a `W`.
#[derive(Debug)]
pub struct Allowance<W> {
    bound: Bound,
    holdings: BTreeMap<id::Tenant, Holding<W>>,
}

/// Answer to a request that finds too few tokens.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// Decided, with an ask that is to be sent.
    Decided(Verdict, Option<Ask>),
    /// The request waits. If there is an ask, it is to be sent.
    Waits(Option<Ask>),
}

/// What follows from the answer of an owner.
#[derive(Debug)]
pub struct Step<W> {
    /// Decisions on requests that have waited.
    pub verdicts: Vec<(W, Verdict)>,
    /// Next ask to send.
    pub ask: Option<Ask>,
}

impl<W> Allowance<W> {
    /// Creates an allowance without tokens.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            holdings: BTreeMap::new(),
        }
    }

    /// Spends tokens that this instance holds, if there are enough. An ask for more that is
    /// returned is to be sent; the request does not wait for it.
    pub fn spend(
        &mut self,
        tenant: &str,
        cost: u64,
        now: Duration,
    ) -> Option<(Permit, Option<Ask>)> {
        let holding = self.holdings.get_mut(tenant)?;
        if !holding.waiting.is_empty() {
            return None;
        }
        let permit = holding.spend(cost, now)?;
        Some((permit, holding.ask_ahead(cost, now)))
    }

    /// Decides on a request that found too few tokens, or lets it wait as `waiter`. The `draw`
    /// of 0 to 1 spreads the returns of refused callers.
    pub fn request(
        &mut self,
        limit: Limit<'_>,
        cost: u64,
        waiter: impl FnOnce() -> W,
        share: impl FnOnce() -> Share,
        draw: f64,
        now: Duration,
    ) -> Answer {
        let Limit { tenant, quota } = limit;
        if !self.holdings.contains_key(tenant) {
            self.holdings.insert(tenant.to_owned(), Holding::new());
        }
        let Some(holding) = self.holdings.get_mut(tenant) else {
            return Answer::Waits(None);
        };
        if holding.local.is_some() {
            let verdict = holding.take_local(cost, quota, &self.bound, &share(), draw, now);
            let may_probe = !holding.has_asked() && now >= holding.probe_at;
            let is_admitted = matches!(verdict, Verdict::Admitted(_));
            if is_admitted || !may_probe {
                return Answer::Decided(verdict, may_probe.then(|| holding.ask(now)));
            }
            // The owner may be in reach again, and the share may be empty as nothing has used it.
        } else if holding.is_paused(now) {
            return Answer::Decided(holding.refuse_paused(cost, draw, now), None);
        }
        holding.used_at = now;
        holding.waiting.push_back(Waiting {
            cost,
            since: now,
            waiter: waiter(),
        });
        let ask = (!holding.has_asked()).then(|| holding.ask(now));
        Answer::Waits(ask)
    }

    /// Takes the answer to the ask that was sent at `asked_at`; `None` if the owner did not
    /// answer, does not grant or is not known.
    pub fn receive(
        &mut self,
        limit: Limit<'_>,
        asked_at: Duration,
        grant: Option<&Grant>,
        share: impl FnOnce() -> Share,
        draw: f64,
        now: Duration,
    ) -> Step<W> {
        let mut step = Step {
            verdicts: Vec::new(),
            ask: None,
        };
        let Some(holding) = self.holdings.get_mut(limit.tenant) else {
            return step;
        };
        let covered = holding.end_ask();
        let Some(grant) = grant else {
            holding.local.get_or_insert_with(|| Local::new(now));
            holding.probe_at = now + PROBE_INTERVAL;
            if !holding.waiting.is_empty() {
                let share = share();
                let draws = (0_u32..).map(|index| spread(draw, index));
                for (waiting, draw) in std::mem::take(&mut holding.waiting).into_iter().zip(draws) {
                    let cost = waiting.cost;
                    let verdict =
                        holding.take_local(cost, limit.quota, &self.bound, &share, draw, now);
                    step.verdicts.push((waiting.waiter, verdict));
                }
            }
            return step;
        };
        holding.apply(grant, asked_at, now);
        holding.serve(covered, now, &mut step.verdicts);
        // The owner is asked for those, too, that it will refuse, so that it tells when their
        // callers may return.
        if !holding.waiting.is_empty() {
            step.ask = Some(holding.ask(now));
        }
        step
    }

    /// Returns the tokens of a request that has not run and never will.
    pub fn refund(&mut self, tenant: &str, permit: &Permit, now: Duration) {
        if let Some(holding) = self.holdings.get_mut(tenant) {
            holding.put_back(permit, now);
        }
    }

    /// Forgets the tenants that have sent nothing for some time.
    pub fn sweep(&mut self, now: Duration) {
        self.holdings.retain(|_, holding| {
            let is_used = now.saturating_sub(holding.used_at) < IDLE_TIME;
            is_used || holding.has_asked()
        });
    }
}

impl<W> Holding<W> {
    fn take_local(
        &mut self,
        cost: u64,
        quota: &Quota,
        bound: &Bound,
        share: &Share,
        draw: f64,
        now: Duration,
    ) -> Verdict {
        let Some(local) = &mut self.local else {
            return self.deny(LOCAL_RETRY.0, true, now);
        };
        match local.take(cost, quota, bound, share, now) {
            Ok(source) => {
                self.record_use(cost, now);
                Verdict::Admitted(Permit { cost, source })
            }
            Err(wait) => {
                let retry_after = wait.clamp(LOCAL_RETRY.0, LOCAL_RETRY.1);
                self.deny(retry_after.mul_f64(1.0 + draw), true, now)
            }
        }
    }

    // Decides on the waiting requests after an answer to an ask that covered the first of
    // them.
    fn serve(&mut self, covered: usize, now: Duration, verdicts: &mut Vec<(W, Verdict)>) {
        let mut left = covered;
        while let Some(waiting) = self.waiting.front()
            && let Some(permit) = self.spend(waiting.cost, now)
        {
            left = left.saturating_sub(1);
            verdicts.extend(self.pop(Verdict::Admitted(permit)));
        }
        if !self.is_paused(now) {
            return;
        }
        let refused = f64::from(u32::try_from(left.max(1)).unwrap_or(u32::MAX));
        for index in 0..left {
            let place = f64::from(u32::try_from(index).unwrap_or(u32::MAX)) / refused;
            let verdict = self.refuse(place, now);
            verdicts.extend(self.pop(verdict));
        }
    }

    fn pop(&mut self, verdict: Verdict) -> Option<(W, Verdict)> {
        let waiting = self.waiting.pop_front()?;
        Some((waiting.waiter, verdict))
    }
}

fn spread(draw: f64, index: u32) -> f64 {
    (draw + f64::from(index) * GOLDEN).fract()
}
