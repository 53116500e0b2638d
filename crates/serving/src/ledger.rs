//! Calls that must not be repeated, and their outcomes.
//!
//! Only one incarnation may run a call under a key. It keeps the key in memory
//! from before the call until the key has expired. A second call with the same
//! key waits for the outcome of the first and is never run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::problem::{Code, Problem, Run};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The service responded.
    Answer(Answer),
    /// The call ended without a response.
    Failed(Problem),
}

/// Response of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
}

/// Result of [`Ledger::begin`].
#[derive(Debug)]
pub enum Begin {
    /// The call must be run, and its outcome reported to the guard.
    Run(Guard),
    /// Another call runs or has run under this key; wait for its outcome.
    Wait(Waiter),
    /// The call is refused.
    Refused(Problem),
}

/// Used keys, each with the outcome of its call.
#[derive(Clone, Debug)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
    ttl: Duration,
    capacity: usize,
}

#[derive(Debug, Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    expiries: BTreeMap<Duration, Vec<String>>,
}

#[derive(Debug)]
struct Entry {
    digest: String,
    outcome: watch::Sender<Option<Outcome>>,
}

/// Reports the outcome of a call.
///
/// A guard that is dropped without a report records the outcome as unknown.
#[derive(Debug)]
pub struct Guard {
    ledger: Ledger,
    key: String,
    outcome: watch::Sender<Option<Outcome>>,
    reported: bool,
}

/// Waits for the outcome of another call under the same key.
#[derive(Debug)]
pub struct Waiter {
    outcome: watch::Receiver<Option<Outcome>>,
}

impl Ledger {
    /// Creates an empty ledger that keeps each key until `ttl` after its ticket was
    /// issued, and at most `capacity` keys.
    #[must_use]
    pub fn new(ttl: Duration, capacity: usize) -> Self {
        Self {
            inner: Arc::default(),
            ttl,
            capacity,
        }
    }

    /// Begins a call under `key`, whose ticket was issued at `issued`.
    ///
    /// `digest` is the digest of the request body; the same key with another body
    /// is refused. The key of a call that may have run is removed only after its
    /// ticket has expired, so a later call under it is refused and not run again.
    #[must_use]
    pub fn begin(&self, key: &str, digest: &str, issued: Duration, now: Duration) -> Begin {
        let expiry = issued + self.ttl;
        if now >= expiry || issued > now {
            return refuse(Code::TicketExpired, "the ticket is not valid any more");
        }
        let mut inner = self.inner.lock();
        inner.remove_expired(now);
        if let Some(entry) = inner.entries.get(key) {
            if entry.digest != digest {
                return refuse(Code::KeyReused, "the key was used with another body");
            }
            return Begin::Wait(Waiter {
                outcome: entry.outcome.subscribe(),
            });
        }
        if inner.entries.len() >= self.capacity {
            return refuse(Code::QueueFull, "too many keys are kept");
        }
        let outcome = watch::Sender::new(None);
        let entry = Entry {
            digest: digest.to_owned(),
            outcome: outcome.clone(),
        };
        inner.entries.insert(key.to_owned(), entry);
        inner
            .expiries
            .entry(expiry)
            .or_default()
            .push(key.to_owned());
        Begin::Run(Guard {
            ledger: self.clone(),
            key: key.to_owned(),
            outcome,
            reported: false,
        })
    }

    /// Number of keys in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.lock().entries.len()
    }

    /// Whether there are no keys in the ledger.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    // Removes the key of a call that was not run, so that the caller can retry.
    fn remove(&self, key: &str) {
        self.inner.lock().entries.remove(key);
    }
}

impl Inner {
    fn remove_expired(&mut self, now: Duration) {
        let live = self.expiries.split_off(&(now + Duration::from_nanos(1)));
        let expired = std::mem::replace(&mut self.expiries, live);
        for key in expired.into_values().flatten() {
            self.entries.remove(&key);
        }
    }
}

impl Guard {
    /// Creates a waiter for the outcome that this guard will report.
    #[must_use]
    pub fn waiter(&self) -> Waiter {
        Waiter {
            outcome: self.outcome.subscribe(),
        }
    }

    fn report(&mut self, outcome: Outcome) {
        self.reported = true;
        let not_run = matches!(&outcome, Outcome::Failed(problem) if problem.run == Run::NotRun);
        if not_run {
            self.ledger.remove(&self.key);
        }
        self.outcome.send_replace(Some(outcome));
    }

    /// Reports the outcome of the call.
    pub fn finish(mut self, outcome: Outcome) {
        self.report(outcome);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.reported {
            let problem = Problem::unknown(Code::BackendLost, "the call was abandoned");
            self.report(Outcome::Failed(problem));
        }
    }
}

impl Waiter {
    /// Waits until the outcome is reported.
    pub async fn outcome(mut self) -> Outcome {
        match self.outcome.wait_for(Option::is_some).await {
            Ok(outcome) => outcome.clone().unwrap_or_else(expired),
            Err(_) => expired(),
        }
    }
}

fn expired() -> Outcome {
    Outcome::Failed(Problem::unknown(
        Code::BackendLost,
        "the key expired while its call ran",
    ))
}

fn refuse(code: Code, detail: &str) -> Begin {
    Begin::Refused(Problem::not_run(code, detail))
}
