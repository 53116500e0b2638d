//! Requests to a runner that crashes if it rejects too many.
//!
//! A runner rejects requests that it has no room for. Each instance uses an equal part of its
//! slots, for which there is room whatever the others do. A request beyond that may be
//! rejected: it takes a token, which is back when the request was accepted.

use std::collections::VecDeque;
use std::time::Duration;

use crate::runner_limit::Position;

/// Part of the rejections that a runner bears that the instances make use of.
const REJECTION_SHARE: f64 = 0.5;
/// Shortest and longest time without a rejection after which a request counts as accepted.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(100);
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(2);
/// That time as a multiple of the time after which rejections have come.
const ACCEPT_FACTOR: u32 = 2;
/// Time for which this instance does not count on its slots after a rejection there.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Time between two checks whether a slot is free.
const SLOT_CHECK: Duration = Duration::from_millis(50);

/// The slots of a runner, and how this instance shares them.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Position of this instance among those that share the runner.
    pub position: Position,
    /// Requests that the runner runs at once.
    pub slots: u64,
    /// Requests of this instance on the runner.
    pub in_flight: u64,
    /// Whether all slots are in use, as far as the other instances have reported.
    pub is_full: bool,
}

impl Room {
    // Slots that only this instance uses.
    fn quota(&self) -> u64 {
        let instances = count(self.position.instances.max(1));
        let rest = self.slots % instances;
        self.slots / instances + u64::from(count(self.position.rank) < rest)
    }
}

/// What this instance knows of a runner that crashes from too many rejections.
#[derive(Debug)]
pub(crate) struct Brittle {
    /// Rejections per second of all instances that the runner bears.
    max_rejections: f64,
    /// Requests that may be rejected now; below zero if more than that were rejected.
    tokens: f64,
    filled_at: Duration,
    /// Time without a rejection after which a request counts as accepted.
    accept_time: Duration,
    /// Requests of unknown outcome, in the order in which they were sent.
    pending: VecDeque<Sent>,
    /// Time until which this instance does not count on its slots.
    full_until: Duration,
}

#[derive(Debug)]
struct Sent {
    at: Duration,
    has_token: bool,
}

impl Brittle {
    pub(crate) fn new(max_rejections: f64, now: Duration) -> Self {
        Self {
            max_rejections,
            tokens: 0.0,
            filled_at: now,
            accept_time: MIN_ACCEPT_TIME,
            pending: VecDeque::new(),
            full_until: Duration::ZERO,
        }
    }

    /// Sets the number of rejections that the runner bears; returns whether it is another
    /// one.
    pub(crate) fn set(&mut self, max_rejections: f64) -> bool {
        let former = std::mem::replace(&mut self.max_rejections, max_rejections);
        !former.total_cmp(&max_rejections).is_eq()
    }

    /// Time until a request may be sent, as far as is known now.
    pub(crate) fn wait(&mut self, room: &Room, now: Duration) -> Duration {
        let rate = self.fill(room.position, now);
        if self.has_slot(room, now) || self.may_risk(room, rate) {
            return Duration::ZERO;
        }
        if self.tokens >= 1.0 {
            return SLOT_CHECK;
        }
        let refilled = Duration::try_from_secs_f64((1.0 - self.tokens) / rate);
        let refilled = refilled.unwrap_or(Duration::MAX);
        let next = match self.pending.front() {
            Some(sent) => refilled.min((sent.at + self.accept_time).saturating_sub(now)),
            None => refilled,
        };
        match room.quota() {
            0 => next,
            _ => next.min(SLOT_CHECK),
        }
    }

    /// Records that a request is sent.
    pub(crate) fn send(&mut self, room: &Room, now: Duration) {
        let has_token = !self.has_slot(room, now);
        if has_token {
            self.tokens -= 1.0;
        }
        self.pending.push_back(Sent { at: now, has_token });
    }

    /// Records that the request which was sent at `sent_at` was rejected.
    pub(crate) fn reject(&mut self, sent_at: Duration, now: Duration) {
        let elapsed = now.saturating_sub(sent_at);
        let is_late = elapsed >= self.accept_time;
        let accept_time = (elapsed * ACCEPT_FACTOR).min(MAX_ACCEPT_TIME);
        self.accept_time = self.accept_time.max(accept_time);
        let later = self.pending.partition_point(|sent| sent.at <= sent_at);
        let sent = match later.checked_sub(1) {
            Some(index) if !is_late => self.pending.remove(index),
            _ => None,
        };
        // A late one has got its token back.
        if sent.is_none_or(|sent| !sent.has_token) {
            self.tokens -= 1.0;
            self.full_until = now + FULL_TIME;
        }
    }

    // Whether a request may be sent that can be rejected. At a full runner it would be, or
    // another one in its place that an instance has a slot for. The latter can happen for as
    // long as the request runs, so that its number is limited until it ends.
    fn may_risk(&self, room: &Room, rate: f64) -> bool {
        let unreserved = room.in_flight.saturating_sub(room.quota());
        self.tokens >= 1.0 && !room.is_full && number(unreserved) + 1.0 <= rate.max(1.0)
    }

    fn has_slot(&self, room: &Room, now: Duration) -> bool {
        let in_use = room.in_flight.max(count(self.pending.len()));
        now >= self.full_until && in_use < room.quota()
    }

    // Adds the tokens since the last call; returns their rate.
    fn fill(&mut self, position: Position, now: Duration) -> f64 {
        let rate = self.rate(position);
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.tokens += rate * elapsed.as_secs_f64();
        let accept_time = self.accept_time;
        let is_accepted = |sent: &Sent| now >= sent.at + accept_time;
        while let Some(sent) = self.pending.pop_front_if(|sent| is_accepted(sent)) {
            if sent.has_token {
                self.tokens += 1.0;
            }
        }
        let max_tokens = if rate > 0.0 { rate.max(1.0) } else { 0.0 };
        self.tokens = self.tokens.min(max_tokens);
        rate
    }

    // Rejections per second that this instance may cause. Each token is a rejection that may
    // come at any time, so that no more instances have one than the runner bears.
    fn rate(&self, position: Position) -> f64 {
        let allowed = self.max_rejections * REJECTION_SHARE;
        let instances = number(count(position.instances));
        let sharers = allowed.floor().min(instances).max(1.0);
        if number(count(position.rank)) < sharers {
            allowed / sharers
        } else {
            0.0
        }
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
