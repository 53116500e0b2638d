//! Calls that may not be repeated, and their answers.
//!
//! The right to run a key is bound to one incarnation, which remembers the key
//! in memory from before the call until the key can no longer be used. A second
//! call with the same key waits for the first one's answer and never runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::problem::{Code, Problem, Run};
use parking_lot::Mutex;
use tokio::sync::watch;

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The service answered.
    Answer(Answer),
    /// There is no answer.
    Failed(Problem),
}

/// A service's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// What a call with a key may do.
#[derive(Debug)]
pub enum Begin {
    /// Run, and report the outcome to the guard.
    Run(Guard),
    /// Wait for the outcome of the call that runs, or has run, under this key.
    Wait(Waiter),
    /// Nothing: the call is refused.
    Refused(Problem),
}

/// Keys that were used, each with the outcome of its call.
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

/// The duty to report how a call ended.
///
/// A guard that is dropped without a report leaves the outcome unknown.
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
    /// Makes an empty ledger that keeps a key for `ttl` after its ticket was
    /// issued, and `capacity` keys at the most.
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
    /// `digest` is that of the body; the same key with another body is refused.
    /// Keys are forgotten only when their ticket has expired, so a forgotten key
    /// is refused here and not run again.
    #[must_use]
    pub fn begin(&self, key: &str, digest: &str, issued: Duration, now: Duration) -> Begin {
        let expiry = issued + self.ttl;
        if now >= expiry || issued > now {
            return refuse(Code::TicketExpired, "the ticket is not valid any more");
        }
        let mut inner = self.inner.lock();
        inner.forget_expired(now);
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

    /// Keys that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.lock().entries.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    // A call that never left is forgotten, so that the caller may send it again.
    fn forget(&self, key: &str) {
        self.inner.lock().entries.remove(key);
    }
}

impl Inner {
    fn forget_expired(&mut self, now: Duration) {
        let live = self.expiries.split_off(&(now + Duration::from_nanos(1)));
        let expired = std::mem::replace(&mut self.expiries, live);
        for key in expired.into_values().flatten() {
            self.entries.remove(&key);
        }
    }
}

impl Guard {
    /// Waits for the outcome that this guard will report.
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
            self.ledger.forget(&self.key);
        }
        self.outcome.send_replace(Some(outcome));
    }

    /// Reports how the call ended.
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
    /// Waits for the outcome.
    pub async fn outcome(mut self) -> Outcome {
        match self.outcome.wait_for(Option::is_some).await {
            Ok(outcome) => outcome.clone().unwrap_or_else(forgotten),
            Err(_) => forgotten(),
        }
    }
}

fn forgotten() -> Outcome {
    Outcome::Failed(Problem::unknown(
        Code::BackendLost,
        "the key expired while its call ran",
    ))
}

fn refuse(code: Code, detail: &str) -> Begin {
    Begin::Refused(Problem::not_run(code, detail))
}
