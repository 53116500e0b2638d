//! What runners have said about themselves in their responses, and which requests that
//! leaves room for.
//!
//! A runner that turns requests away for a time gets none until its end, and then one after
//! the other until it has accepted one. What a runner that crashes from too many rejections
//! gets is decided by `brittle`.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use strum::IntoStaticStr;

use crate::brittle::{Brittle, Room};
use crate::id;
use crate::notice::Notice;
use crate::registry::{self, Registry};
use crate::rejection_bound::Bounds;
use crate::runner_limit::{self, Limiter, Named};

/// Longest time for which a runner counts as closed.
pub(crate) const MAX_CLOSED: Duration = Duration::from_hours(1);
/// Largest part of that time by which an instance waits longer, so that not all instances
/// return at once.
const RETURN_SPREAD: f64 = 0.1;
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Time after which the first request to a runner that was closed counts as lost.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time between two checks whether the first request was accepted.
const TRIAL_CHECK: Duration = Duration::from_millis(20);

/// A run of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// Id of the runner.
    pub runner: &'a str,
    /// Service that it belongs to.
    pub service: &'a str,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

impl<'a> From<&'a registry::Runner> for Run<'a> {
    fn from(runner: &'a registry::Runner) -> Self {
        Self {
            runner: runner.id(),
            service: &runner.registration.service,
            born_ms: runner.registration.born_ms,
        }
    }
}

/// A response of a runner, as far as notices depend on it.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// Run that responded.
    pub run: Run<'a>,
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Kind of the response.
    pub kind: Kind,
}

/// Kind of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The response to the request that was sent.
    Answer,
    /// The runner has rejected the request that was sent.
    Rejection,
    /// A response to an order, a query or an earlier request.
    Other,
}

/// Change of what is known of a runner.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The limit of the runner.
    Limit(runner_limit::Change),
    /// The runner leaves.
    Leaves,
    /// The runner wants no requests for this time.
    Closed(Duration),
    /// The runner has accepted a request again.
    Open,
    /// The runner crashes from more rejections per second than this.
    Brittle(f64),
    /// A notice has no valid value, for the first time.
    Malformed,
}

/// What runners have said, by runner.
#[derive(Debug)]
pub struct Notices {
    instance: id::Instance,
    limits: Limiter,
    runners: Mutex<BTreeMap<id::Runner, State>>,
    bounds: Bounds,
    /// Runners that have sent a malformed notice.
    malformed: Mutex<BTreeSet<id::Runner>>,
}

#[derive(Debug, Default)]
struct State {
    born_ms: u64,
    closed: Option<Closed>,
    brittle: Option<Brittle>,
}

#[derive(Debug)]
struct Closed {
    until: Duration,
    /// Time at which the first request after that was sent.
    trial: Option<Duration>,
}

impl Notices {
    /// Creates an empty set of notices for `instance`.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            limits: Limiter::default(),
            runners: Mutex::default(),
            bounds: Bounds::default(),
            malformed: Mutex::default(),
        }
    }

    /// Records the `notice` of a `response`, and marks a runner that leaves in `registry`.
    pub fn record(
        &self,
        registry: &Registry,
        response: Response<'_>,
        notice: &Notice,
        now: Duration,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if notice.is_malformed && self.malformed.lock().insert(response.run.runner.to_owned()) {
            changes.push(Change::Malformed);
        }
        if notice.is_leaving
            && registry.mark_leaving(response.run.runner, response.run.born_ms, now)
        {
            changes.push(Change::Leaves);
        }
        // Only an answer shows that a runner names no limit any more.
        if notice.limit != Named::Absent || response.kind == Kind::Answer {
            let (runner, born_ms) = (response.run.runner, response.run.born_ms);
            let change = self
                .limits
                .record(runner, born_ms, notice.limit, response.sent_at, now);
            changes.extend(change.map(Change::Limit));
        }
        changes.extend(self.record_closed(&response, notice, now));
        changes.extend(self.record_brittle(&response, notice, now));
        changes
    }

    fn record_closed(
        &self,
        response: &Response<'_>,
        notice: &Notice,
        now: Duration,
    ) -> Option<Change> {
        let mut runners = self.runners.lock();
        let Some(closed_for) = notice.closed_for else {
            let state = runners.get_mut(response.run.runner)?;
            let trial = state.closed.as_ref()?.trial?;
            if response.kind != Kind::Answer || response.sent_at < trial {
                return None;
            }
            state.closed = None;
            return Some(Change::Open);
        };
        let closed_for = closed_for.min(MAX_CLOSED);
        let state = of_run(&mut runners, response.run);
        let until = now + closed_for + self.spread(response.run.runner, closed_for);
        let known = state.closed.as_ref().map(|closed| closed.until);
        let until = known.map_or(until, |known| known.max(until));
        state.closed = Some(Closed { until, trial: None });
        (known != Some(until)).then_some(Change::Closed(closed_for))
    }

    fn record_brittle(
        &self,
        response: &Response<'_>,
        notice: &Notice,
        now: Duration,
    ) -> Option<Change> {
        let mut runners = self.runners.lock();
        if notice.max_rejections.is_some() || response.kind == Kind::Answer {
            let service = response.run.service;
            self.bounds.record(service, notice.max_rejections, now);
        }
        if let Some(max_rejections) = notice.max_rejections {
            let state = of_run(&mut runners, response.run);
            let is_new = state.brittle.is_none();
            let brittle = state
                .brittle
                .get_or_insert_with(|| Brittle::new(max_rejections, now));
            if response.kind == Kind::Rejection {
                brittle.reject(response.sent_at, now);
            }
            let has_changed = brittle.set(max_rejections);
            return (is_new || has_changed).then_some(Change::Brittle(max_rejections));
        }
        if response.kind == Kind::Answer
            && let Some(state) = runners.get_mut(response.run.runner)
        {
            state.brittle = None;
        }
        None
    }

    // Differs between instances and is the same each time.
    fn spread(&self, runner: &str, closed_for: Duration) -> Duration {
        let mut hasher = DefaultHasher::new();
        (runner, &self.instance).hash(&mut hasher);
        let part = f64::from(u16::try_from(hasher.finish() & 0xff).unwrap_or(0)) / 255.0;
        let spread = closed_for.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
        spread.mul_f64(part)
    }

    /// Time until which the runner wants no requests, from `now` on.
    #[must_use]
    pub fn closed_for(&self, runner: &str, now: Duration) -> Duration {
        let runners = self.runners.lock();
        let closed = runners
            .get(runner)
            .and_then(|state| state.closed.as_ref())
            .map(|closed| closed.until.saturating_sub(now));
        closed.unwrap_or_default()
    }

    /// Time until this instance, which has `room` at the runner, may send a request to it;
    /// `Duration::MAX` if it may not at all.
    pub fn wait(&self, run: Run<'_>, room: impl FnOnce() -> Room, now: Duration) -> Duration {
        let bears = self.bounds.get(run.service, now);
        let room = (bears.is_some() || self.is_shared(run.runner)).then(room);
        let limit = room.map_or(Duration::ZERO, |room| {
            self.limits.wait(run.runner, room.position, now)
        });
        let mut runners = self.runners.lock();
        let own = state(&mut runners, run, bears, now).map(|state| state.wait(room.as_ref(), now));
        limit.max(own.unwrap_or_default())
    }

    /// Counts a request to the runner; returns whether it may be sent.
    pub fn take(&self, run: Run<'_>, room: impl FnOnce() -> Room, now: Duration) -> bool {
        let bears = self.bounds.get(run.service, now);
        let room = (bears.is_some() || self.is_shared(run.runner)).then(room);
        let mut runners = self.runners.lock();
        if let Some(state) = state(&mut runners, run, bears, now) {
            if !state.wait(room.as_ref(), now).is_zero() {
                return false;
            }
            state.send(room.as_ref(), now);
        }
        drop(runners);
        room.is_none_or(|room| self.limits.take(run.runner, room.position, now))
    }

    /// Returns the services whose runners have told this instance that they crash from too many
    /// rejections.
    #[must_use]
    pub fn brittle_services(&self, now: Duration) -> Vec<mesh::Brittle> {
        self.bounds.own(now)
    }

    /// Records the services of which runners have told a peer that they crash from too many
    /// rejections.
    pub fn merge_brittle(&self, reported: &[mesh::Brittle], now: Duration) {
        self.bounds.merge(reported, now);
    }

    /// Whether the runner has named a limit.
    #[must_use]
    pub fn is_limited(&self, runner: &str) -> bool {
        self.limits.is_limited(runner)
    }

    // Whether the instances share a number that the runner has named.
    fn is_shared(&self, runner: &str) -> bool {
        let is_brittle = |state: &State| state.brittle.is_some();
        self.is_limited(runner) || self.runners.lock().get(runner).is_some_and(is_brittle)
    }

    /// Removes the runners whose run, by the start of its process, is not the one that
    /// `born_ms` returns.
    pub fn retain(&self, born_ms: impl Fn(&str) -> Option<u64>) {
        self.limits.retain(&born_ms);
        let mut runners = self.runners.lock();
        runners.retain(|runner, state| born_ms(runner) == Some(state.born_ms));
        let mut malformed = self.malformed.lock();
        malformed.retain(|runner| born_ms(runner).is_some());
    }
}

// State of the run, if there is any. A run that has not said yet what it bears is taken to bear
// `max_rejections`, if another one of its service has said that.
fn state<'a>(
    runners: &'a mut BTreeMap<id::Runner, State>,
    run: Run<'_>,
    max_rejections: Option<f64>,
    now: Duration,
) -> Option<&'a mut State> {
    let Some(max_rejections) = max_rejections else {
        let state = runners.get_mut(run.runner);
        return state.filter(|state| state.born_ms == run.born_ms);
    };
    let state = of_run(runners, run);
    state
        .brittle
        .get_or_insert_with(|| Brittle::new(max_rejections, now));
    Some(state)
}

// State of the run; that of an earlier run is dropped.
fn of_run<'a>(runners: &'a mut BTreeMap<id::Runner, State>, run: Run<'_>) -> &'a mut State {
    let state = runners.entry(run.runner.to_owned()).or_default();
    if state.born_ms != run.born_ms {
        *state = State {
            born_ms: run.born_ms,
            ..State::default()
        };
    }
    state
}

impl State {
    fn wait(&mut self, room: Option<&Room>, now: Duration) -> Duration {
        let closed = self.closed.as_ref().map(|closed| closed.wait(now));
        let brittle = self
            .brittle
            .as_mut()
            .zip(room)
            .map(|(brittle, room)| brittle.wait(room, now));
        closed.unwrap_or_default().max(brittle.unwrap_or_default())
    }

    fn send(&mut self, room: Option<&Room>, now: Duration) {
        if let Some(closed) = &mut self.closed {
            closed.trial = Some(now);
        }
        if let Some((brittle, room)) = self.brittle.as_mut().zip(room) {
            brittle.send(room, now);
        }
    }
}

impl Closed {
    fn wait(&self, now: Duration) -> Duration {
        let is_trial_open = self.trial.is_some_and(|sent| now < sent + TRIAL_TIME);
        match self.until.saturating_sub(now) {
            Duration::ZERO if is_trial_open => TRIAL_CHECK,
            left => left,
        }
    }
}
