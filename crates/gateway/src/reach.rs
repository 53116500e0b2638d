//! Tells runners that do not respond from an instance that reaches none of them.
//!
//! A service counts as out of reach if new connections to several of its runners all fail,
//! with no sign of life of any of them meanwhile. That is checked only when there is a
//! reason: a failure, or requests without any response for a time.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Time without a response to any request after which a service is checked.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Services and when their runners were in contact with this instance.
#[derive(Debug, Default)]
pub struct Tracker {
    services: Mutex<BTreeMap<id::Service, State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Time of the last sign of life of a runner.
    contact_at: Duration,
    /// Time of the first request since then.
    sent_at: Option<Duration>,
    /// Whether a connection has failed since one was opened.
    has_failed: bool,
    /// Whether connections to several runners could not be opened, and none has been since.
    is_closed: bool,
    /// Whether there was no sign of life meanwhile either.
    is_lost: bool,
}

/// Change of whether a service is in reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No runner of the service is in reach any more.
    Lost,
    /// A runner of the service is in reach again.
    Regained,
}

impl Tracker {
    /// Records that a request was sent to a runner of `service`.
    pub fn record_send(&self, service: &str, now: Duration) {
        self.update(service, |state| {
            state.sent_at.get_or_insert(now);
        });
    }

    /// Records that a connection to a runner of `service` could not be opened or broke.
    pub fn record_failure(&self, service: &str) {
        self.update(service, |state| state.has_failed = true);
    }

    /// Records a sign of life of a runner of `service` on an open connection.
    pub fn record_contact(&self, service: &str, now: Duration) -> Option<Change> {
        self.update(service, |state| state.contact(now))
    }

    /// Records that a connection to a runner of `service` was opened.
    pub fn record_connect(&self, service: &str, now: Duration) -> Option<Change> {
        self.update(service, |state| {
            state.has_failed = false;
            state.is_closed = false;
            state.contact(now)
        })
    }

    /// Records that all connections which were to be opened from `started` on failed.
    pub fn record_unreachable(&self, service: &str, started: Duration) -> Option<Change> {
        self.update(service, |state| {
            state.is_closed = true;
            if state.contact_at >= started {
                return None;
            }
            let was_lost = std::mem::replace(&mut state.is_lost, true);
            (!was_lost).then_some(Change::Lost)
        })
    }

    /// Returns the services that are to be checked.
    #[must_use]
    pub fn suspects(&self, now: Duration) -> Vec<id::Service> {
        let services = self.services.lock();
        let is_suspect = |state: &State| {
            let is_silent = state
                .sent_at
                .is_some_and(|sent| now.saturating_sub(sent) >= MAX_SILENCE);
            state.is_lost || state.has_failed || is_silent
        };
        services
            .iter()
            .filter(|(_, state)| is_suspect(state))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Whether connections to runners of `service` cannot be opened. Those that are open may
    /// still work.
    #[must_use]
    pub fn is_closed(&self, service: &str) -> bool {
        let services = self.services.lock();
        services.get(service).is_some_and(|state| state.is_closed)
    }

    /// Whether no runner of `service` is in reach.
    #[must_use]
    pub fn has_lost(&self, service: &str) -> bool {
        let services = self.services.lock();
        services.get(service).is_some_and(|state| state.is_lost)
    }

    /// Whether there are `services` and none of them is in reach.
    #[must_use]
    pub fn has_lost_all<'a>(&self, services: impl IntoIterator<Item = &'a id::Service>) -> bool {
        let states = self.services.lock();
        let mut services = services.into_iter().peekable();
        services.peek().is_some()
            && services.all(|service| states.get(service).is_some_and(|state| state.is_lost))
    }

    fn update<T>(&self, service: &str, change: impl FnOnce(&mut State) -> T) -> T {
        let mut services = self.services.lock();
        match services.get_mut(service) {
            Some(state) => change(state),
            None => change(services.entry(service.to_owned()).or_default()),
        }
    }
}

impl State {
    fn contact(&mut self, now: Duration) -> Option<Change> {
        self.contact_at = now;
        self.sent_at = None;
        let was_lost = std::mem::take(&mut self.is_lost);
        was_lost.then_some(Change::Regained)
    }
}
