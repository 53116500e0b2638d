//! Ends of runs of runners, and what may have caused them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_wire::mesh;

use crate::id;
use crate::span::millis;
use crate::suspect::Suspect;

/// Most suspects of one crash.
const MAX_SUSPECTS: usize = 4096;

/// Shortest time between two crashes that both count, unless the request was sent after the
/// first of them. Runners that fail at the same time have another cause in common.
const MIN_CRASH_GAP: Duration = Duration::from_millis(500);
/// Time by which the order of a crash and a send may be mistaken, if different instances saw
/// them.
const ORDER_TOLERANCE: Duration = Duration::from_millis(5);

/// A run of a runner, which a restart ends: the runner's id and its start in milliseconds
/// since the Unix epoch.
pub type Run = (id::Runner, u64);

/// The end of a run, as an instance saw it from one request that it broke.
#[derive(Clone, Debug)]
pub struct Report {
    /// The run that ended.
    pub run: Run,
    /// Time of the end.
    pub at: Duration,
    /// The request, and the shared parts of its prompt in their order.
    pub suspicions: Vec<Suspicion>,
}

impl Report {
    /// Decodes a crash that another instance reports, without malformed suspects.
    pub(crate) fn decode(crash: &mesh::Crash, now: Duration) -> Self {
        let at = now.saturating_sub(Duration::from_millis(crash.age_ms));
        let suspicions = crash.suspicions.iter().filter_map(|suspicion| {
            Some(Suspicion {
                suspect: Suspect::try_from(&suspicion.suspect).ok()?,
                sent_at: at.saturating_sub(Duration::from_millis(suspicion.held_ms)),
            })
        });
        Self {
            run: (crash.runner.clone(), crash.born_ms),
            at,
            suspicions: suspicions.collect(),
        }
    }

    /// Leaves out all but some suspects.
    pub(crate) fn only(mut self, suspects: &[Suspect]) -> Self {
        let suspects: BTreeSet<_> = suspects.iter().collect();
        self.suspicions
            .retain(|suspicion| suspects.contains(&suspicion.suspect));
        self
    }

    /// Encodes the crash for other instances.
    pub(crate) fn encode(&self, now: Duration) -> mesh::Crash {
        let suspicions = self.suspicions.iter();
        let suspicions = suspicions.map(|suspicion| (&suspicion.suspect, suspicion.sent_at));
        encode(&self.run, self.at, suspicions, now)
    }
}

/// What may have ended a run.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The request or a part of its prompt.
    pub suspect: Suspect,
    /// Time at which the request was sent to the runner.
    pub sent_at: Duration,
}

/// What is known of a suspicion.
#[derive(Clone, Copy, Debug)]
struct Known {
    sent_at: Duration,
    /// Place in the order of the reports.
    place: usize,
}

/// The end of a run, from all reports of it.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) at: Duration,
    /// What it counts against.
    suspicions: BTreeMap<Suspect, Known>,
    /// Suspects that runners have responded to.
    dismissed: BTreeSet<Suspect>,
    /// What is in quarantine for this crash.
    pub(crate) explained_by: Option<Suspect>,
    /// Whether that was in quarantine before, so that the crash is no evidence against
    /// others.
    pub(crate) is_expected: bool,
    /// Whether the run has responded to a later request, so that it has not ended.
    pub(crate) is_refuted: bool,
}

impl Crash {
    /// A crash that counts against nothing yet.
    pub(crate) fn new(at: Duration) -> Self {
        Self {
            at,
            suspicions: BTreeMap::new(),
            dismissed: BTreeSet::new(),
            explained_by: None,
            is_expected: false,
            is_refuted: false,
        }
    }

    /// Encodes the crash of `run` for other instances, with the suspects that are
    /// `included`.
    pub(crate) fn encode(
        &self,
        run: &Run,
        included: impl Fn(&Suspect) -> bool,
        now: Duration,
    ) -> mesh::Crash {
        let suspicions = self.suspicions.iter();
        let mut suspicions: Vec<_> = suspicions
            .filter(|(suspect, _)| included(suspect))
            .collect();
        suspicions.sort_by_key(|(_, known)| known.place);
        let suspicions = suspicions
            .into_iter()
            .map(|(suspect, known)| (suspect, known.sent_at));
        encode(run, self.at, suspicions, now)
    }

    /// What it counts against.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.suspicions.keys()
    }

    /// Number of suspects that it counts or does not count against.
    pub(crate) fn size(&self) -> usize {
        self.suspicions.len() + self.dismissed.len()
    }

    /// Whether it may have been caused by any of its suspects.
    pub(crate) fn is_open(&self) -> bool {
        self.explained_by.is_none() && !self.is_refuted
    }

    /// Counts against a suspect from now on; returns whether it did not before.
    pub(crate) fn suspect(&mut self, suspicion: &Suspicion) -> bool {
        let place = self.size();
        if let Some(known) = self.suspicions.get_mut(&suspicion.suspect) {
            known.sent_at = known.sent_at.max(suspicion.sent_at);
            return false;
        }
        let is_new = place < MAX_SUSPECTS && !self.dismissed.contains(&suspicion.suspect);
        if is_new {
            let sent_at = suspicion.sent_at;
            let known = Known { sent_at, place };
            self.suspicions.insert(suspicion.suspect.clone(), known);
        }
        is_new
    }

    /// No longer counts against a suspect that a runner has responded to.
    pub(crate) fn dismiss(&mut self, suspect: &Suspect) {
        if self.suspicions.remove(suspect).is_some() {
            self.dismissed.insert(suspect.clone());
        }
    }

    /// Returns when the request with a suspect was sent to the run, if the crash counts
    /// against it.
    pub(crate) fn sent_at(&self, suspect: &Suspect) -> Option<Duration> {
        let known = self.suspicions.get(suspect);
        known.map(|known| known.sent_at)
    }
}

fn encode<'a>(
    run: &Run,
    at: Duration,
    suspicions: impl Iterator<Item = (&'a Suspect, Duration)>,
    now: Duration,
) -> mesh::Crash {
    let suspicions = suspicions.map(|(suspect, sent_at)| mesh::Suspicion {
        suspect: suspect.into(),
        held_ms: millis(at.saturating_sub(sent_at)),
    });
    mesh::Crash {
        runner: run.0.clone(),
        born_ms: run.1,
        age_ms: millis(now.saturating_sub(at)),
        suspicions: suspicions.collect(),
    }
}

/// Counts crashes that do not have one cause in common: the crash before was some time ago, or
/// the request was sent after it, if the time of the send is given.
pub(crate) fn count_independent(mut crashes: Vec<(Duration, Option<Duration>)>) -> usize {
    crashes.sort_unstable();
    let mut count = 0;
    let mut last: Option<Duration> = None;
    for (at, sent_at) in crashes {
        let is_independent = last.is_none_or(|last| {
            at >= last + MIN_CRASH_GAP
                || sent_at.is_some_and(|sent_at| sent_at + ORDER_TOLERANCE >= last)
        });
        if is_independent {
            count += 1;
            last = Some(at);
        }
    }
    count
}
