//! Decides when to request newer versions from a peer.
//!
//! All peers report a newer version at about the same time, and each answer carries a
//! whole document. Answers to several requests at once would delay each other, and the
//! store's responses too, on a slow link. One request is therefore outstanding at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Time for which a peer must have had newer versions before they are requested, since
/// the store's feed is probably about to deliver them.
const DELAY: Duration = Duration::from_millis(200);
/// Time after which a request is given up, so that another peer is asked. It doubles
/// with each request without an answer, so that a full link can drain.
const TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after an unanswered request in which other peers are asked instead, since reports
/// of one peer may always come first.
const SILENT_TIME: Duration = Duration::from_secs(3);

/// Newest versions that an instance has, or that it knows of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// Version of the environment.
    pub environment: u64,
    /// Revision of the newest registration.
    pub registry: u64,
}

impl Versions {
    /// Whether either version is newer than in `known`.
    #[must_use]
    pub fn is_newer_than(self, known: Self) -> bool {
        self.environment > known.environment || self.registry > known.registry
    }

    fn is_incomplete(self) -> bool {
        self.environment == 0 || self.registry == 0
    }
}

/// The request that is outstanding, if any, and how long this instance is behind.
#[derive(Debug, Default)]
pub struct Pacer {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Versions that are missing, and since when.
    behind: Option<(Versions, Duration)>,
    outstanding: Option<Outstanding>,
    /// Number of requests in a row without an answer.
    unanswered: u32,
    /// Peers that did not answer, and until when they are not asked.
    silent: BTreeMap<id::Instance, Duration>,
}

#[derive(Debug)]
struct Outstanding {
    peer: id::Instance,
    versions: Versions,
    until: Duration,
}

impl Pacer {
    /// Returns for how long this instance, which has `known`, is behind, if it is to
    /// request the versions that `peer` has `reported`. The request then counts as sent.
    pub fn start(
        &self,
        peer: &str,
        known: Versions,
        reported: Versions,
        now: Duration,
    ) -> Option<Duration> {
        let mut inner = self.inner.lock();
        inner.record_answer(known, now);
        if !reported.is_newer_than(known) {
            return None;
        }
        let (_, since) = *inner.behind.get_or_insert((reported, now));
        let behind = now.saturating_sub(since);
        // An instance that has just started has nothing to wait for.
        let is_due = known.is_incomplete() || behind >= DELAY;
        let is_silent = inner.silent.contains_key(peer);
        if !is_due || is_silent || inner.outstanding.is_some() {
            return None;
        }
        let timeout = TIMEOUT.saturating_mul(1 << inner.unanswered.min(4));
        inner.outstanding = Some(Outstanding {
            peer: peer.to_owned(),
            versions: reported,
            until: now + timeout.min(MAX_TIMEOUT),
        });
        Some(behind)
    }
}

impl Inner {
    fn record_answer(&mut self, known: Versions, now: Duration) {
        // With frequent changes some newer version is always missing, so the delay
        // restarts once the versions that were missing at its start have arrived.
        self.behind
            .take_if(|(missing, _)| !missing.is_newer_than(known));
        self.silent.retain(|_, until| now < *until);
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        if !outstanding.versions.is_newer_than(known) {
            self.unanswered = 0;
        } else if now >= outstanding.until {
            self.unanswered += 1;
            log::info!(
                peer = outstanding.peer.as_str(), unanswered = self.unanswered,
                environment = outstanding.versions.environment,
                registry = outstanding.versions.registry;
                "peer has not sent the versions that were requested"
            );
            self.silent.insert(outstanding.peer, now + SILENT_TIME);
        } else {
            self.outstanding = Some(outstanding);
        }
    }
}
