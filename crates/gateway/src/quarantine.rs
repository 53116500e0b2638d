//! Detects requests and prompt parts that crash runners, and keeps them from the runners.
//!
//! When a run of a runner ends, each request that it broke is suspected, and each shared
//! part of the prompts that it had begun to respond to lately or not yet. What runs of runners
//! ended with several times, and no runner responded to meanwhile, is quarantined. The
//! instances exchange the crashes, since a request comes again at any of them.
//!
//! Sound parts break together with the one that crashes runners. So of several parts that
//! may have caused the same crashes the one is taken that no runner has responded to, or not
//! for the longest time, and one request with a part in quarantine is let through after a
//! while: a response to it ends the quarantine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_control::key;
use almondbank_wire::mesh;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::Notify;

use crate::bounded::make_room;
use crate::confinement::Confinement;
use crate::crash::{self, Crash, Report, Run, Suspicion};
use crate::soundness::Soundness;
use crate::span::millis;
use crate::suspect::Suspect;

/// Crashes after which a suspect is quarantined.
const MIN_CRASHES: usize = 3;
/// Time for which a crash counts against a part.
const PART_CRASH_TTL: Duration = Duration::from_mins(1);
/// Time for which a crash counts against a request.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Time after its last crash for which a suspect is quarantined.
const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Time after a response to a suspect in which crashes do not count against it.
const SOUND_TTL: Duration = Duration::from_secs(2);
/// Time for which a response to a suspect speaks for it, if other suspects had none.
const RESPONSE_TTL: Duration = Duration::from_mins(2);
/// Longest time from a response to a suspect until its last crash in which an instance that
/// does not know of enough crashes in between takes it for sound.
const OBJECTION_TIME: Duration = Duration::from_secs(10);
/// Most crashes that are kept; the oldest makes room.
const MAX_CRASHES: usize = 256;
/// Most suspects in quarantine; the one whose last crash is the oldest makes room.
const MAX_QUARANTINED: usize = 1024;
/// Most suspects in quarantine in a record, and most suspicions of crashes, the latest.
const MAX_RECORDED: usize = 192;
/// Most bytes of the suspects in quarantine in a record, and of the crashes. A row holds both.
const MAX_RECORDED_BYTES: usize = 28 << 10;
/// Most suspicions of all crashes; the oldest crash makes room.
const MAX_SUSPICIONS: usize = 1 << 16;

/// Crashes of runners and what is quarantined for them.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
    changed: Notify,
    /// Notified when there are runs to check.
    has_unchecked: Notify,
}

/// What a tracker has learned from a crash, a response or another instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Whether it learned anything that other instances may not know.
    pub is_new: bool,
    /// What is quarantined from now on.
    pub quarantined: Vec<Suspect>,
    /// What an instance has quarantined although runners respond to it or have not ended.
    pub sound: Vec<Suspect>,
    /// What the crash counts against from now on.
    pub counted: Vec<Suspect>,
}

/// What is recorded outside of the instance.
#[derive(Clone, Debug)]
pub struct Record {
    /// Requests that one more crash puts into quarantine.
    pub last_try: BTreeSet<Suspect>,
    /// What is in quarantine.
    pub quarantined: BTreeSet<Suspect>,
    /// Both, with the times of the crashes.
    pub message: mesh::Quarantine,
}

#[derive(Debug, Default)]
struct Inner {
    crashes: BTreeMap<Run, Crash>,
    quarantined: BTreeMap<Suspect, Confinement>,
    soundness: Soundness,
    /// Whether a request is suspected or in quarantine, as of the last change or expiry.
    suspects_requests: bool,
    /// Runs for which something was put into quarantine, since the last check.
    unchecked: BTreeSet<Run>,
}

impl Tracker {
    /// Whether nothing is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.inner.lock().quarantined.is_empty()
    }

    /// Whether any request is suspected or in quarantine, so that responses to requests
    /// matter.
    #[must_use]
    pub fn suspects_requests(&self) -> bool {
        self.inner.lock().suspects_requests
    }

    /// Returns those of `suspects` that are in quarantine, each with the time for which it is
    /// not sent to runners. The request of `attempt` may be sent with a part that it tries.
    #[must_use]
    pub fn held<'a>(
        &self,
        suspects: &'a [Suspect],
        attempt: &str,
        now: Duration,
    ) -> Vec<(&'a Suspect, Duration)> {
        let inner = self.inner.lock();
        let held = suspects.iter().filter_map(|suspect| {
            let confinement = inner.quarantined.get(suspect)?;
            let left = (confinement.at + QUARANTINE_TTL).saturating_sub(now);
            let is_held = !left.is_zero() && !confinement.is_tried_by(attempt);
            is_held.then_some((suspect, left))
        });
        held.collect()
    }

    /// Whether a request may be sent to find out whether the part in quarantine crashes
    /// runners.
    #[must_use]
    pub fn is_trial_due(&self, part: &Suspect, now: Duration) -> bool {
        let inner = self.inner.lock();
        let confinement = inner.quarantined.get(part);
        !part.is_request() && confinement.is_some_and(|confinement| confinement.is_due(now))
    }

    /// Lets the request of `attempt` through, although it has the part.
    pub fn start_trial(&self, part: &Suspect, attempt: &str, now: Duration) {
        if let Some(confinement) = self.inner.lock().quarantined.get_mut(part) {
            confinement.start_trial(attempt, now);
        }
    }

    /// Whether a run of a runner may have ended because of the request.
    #[must_use]
    pub fn is_suspected(&self, request: &Suspect) -> bool {
        let inner = self.inner.lock();
        let mut open = inner.crashes.values().filter(|crash| crash.is_open());
        open.any(|crash| crash.sent_at(request).is_some())
    }

    /// Whether one more crash puts the suspect into quarantine.
    #[must_use]
    pub fn is_on_last_try(&self, suspect: &Suspect, now: Duration) -> bool {
        self.inner.lock().crash_count(suspect, now) + 1 >= MIN_CRASHES
    }

    /// Records that a run of a runner ended before it had responded to a request.
    pub fn record_crash(&self, report: &Report, now: Duration) -> Change {
        let mut change = Change::default();
        self.inner.lock().add_crash(report, now, &mut change);
        self.notify(&change);
        change
    }

    /// Records that a run of a runner responded to a request with `suspects` that was sent
    /// at `sent_at`.
    pub fn record_response(
        &self,
        run: &Run,
        suspects: &[Suspect],
        sent_at: Duration,
        now: Duration,
    ) -> Change {
        let mut inner = self.inner.lock();
        let mut change = Change::default();
        if let Some(crash) = inner.crashes.get_mut(run) {
            crash.is_refuted |= sent_at > crash.at;
        }
        for suspect in suspects {
            if inner.dismiss(suspect, now) {
                change.is_new = true;
                change.sound.push(suspect.clone());
            }
        }
        change
    }

    /// Merges what another instance knows. What is malformed is left out.
    pub fn merge(&self, quarantine: &mesh::Quarantine, now: Duration) -> Change {
        let mut inner = self.inner.lock();
        let mut change = Change::default();
        for crash in &quarantine.crashes {
            inner.add_crash(&Report::decode(crash, now), now, &mut change);
        }
        for crashing in &quarantine.crashing {
            let Ok(suspect) = Suspect::try_from(&crashing.suspect) else {
                continue;
            };
            let at = now.saturating_sub(Duration::from_millis(crashing.age_ms));
            if inner.objects_to(&suspect, at, now) {
                change.sound.push(suspect);
            } else if !inner.quarantined.contains_key(&suspect) {
                inner.quarantine(&suspect, at);
                change.is_new = true;
                change.quarantined.push(suspect);
            }
        }
        for suspect in &quarantine.sound {
            if let Ok(suspect) = Suspect::try_from(suspect) {
                change.is_new |= inner.dismiss(&suspect, now);
            }
        }
        self.notify(&change);
        change
    }

    /// Records that a run of a runner has not ended, although connections to it broke.
    pub fn refute(&self, run: &Run) -> Change {
        let mut inner = self.inner.lock();
        let mut change = Change::default();
        if let Some(crash) = inner.crashes.get_mut(run) {
            crash.is_refuted = true;
            change.sound.extend(crash.explained_by.take());
        }
        let is_unfounded = |suspect: &Suspect| {
            let crashes = inner.crashes.values();
            let counts = |crash: &&Crash| !crash.is_refuted && crash.sent_at(suspect).is_some();
            crashes.filter(counts).count() < MIN_CRASHES
        };
        change.sound.retain(is_unfounded);
        for suspect in &change.sound {
            inner.release(suspect);
            change.is_new = true;
        }
        drop(inner);
        self.notify(&change);
        change
    }

    /// Waits until there are runs for which something was put into quarantine.
    pub async fn wait_for_unchecked(&self) {
        while self.inner.lock().unchecked.is_empty() {
            self.has_unchecked.notified().await;
        }
    }

    /// Returns the runs for which something was put into quarantine since the last call, and
    /// whose connections broke at `before` or earlier.
    pub fn take_unchecked(&self, before: Duration) -> BTreeSet<Run> {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let is_later = |run: &Run| {
            inner
                .crashes
                .get(run)
                .is_some_and(|crash| crash.at > before)
        };
        let unchecked = std::mem::take(&mut inner.unchecked).into_iter();
        let (later, due) = unchecked.partition(is_later);
        inner.unchecked = later;
        due
    }

    /// Adds runs that could not be checked to the next ones.
    pub fn check_again(&self, runs: BTreeSet<Run>) {
        self.inner.lock().unchecked.extend(runs);
    }

    fn notify(&self, change: &Change) {
        if change.is_new || !change.quarantined.is_empty() {
            self.changed.notify_one();
        }
        if !change.quarantined.is_empty() {
            self.has_unchecked.notify_one();
        }
    }

    /// Waits until the next crash or message of another instance that changes what is
    /// suspected.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns what this instance knows, for one that may have missed it, or `None` if it
    /// suspects nothing.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Option<mesh::Quarantine> {
        let inner = self.inner.lock();
        let open = inner.crashes.iter().filter(|(_, crash)| crash.is_open());
        let crashes: Vec<_> = open
            .map(|(run, crash)| crash.encode(run, |_| true, now))
            .collect();
        let crashing = inner.crashing(now);
        let is_empty = crashes.is_empty() && crashing.is_empty();
        (!is_empty).then_some(mesh::Quarantine {
            crashes,
            crashing,
            sound: Vec::new(),
        })
    }

    /// Returns what outlives this instance: what is in quarantine, and the requests that
    /// one more crash puts there.
    #[must_use]
    pub fn record(&self, now: Duration) -> Record {
        let inner = self.inner.lock();
        let last_try = inner.on_last_try(now);
        let mut crashing = inner.crashing(now);
        crashing.sort_by_key(|crashing| crashing.age_ms);
        crashing.truncate(MAX_RECORDED);
        let message = mesh::Quarantine {
            crashes: fitting(inner.crashes_under(&last_try, now)),
            crashing: fitting(crashing),
            sound: Vec::new(),
        };
        Record {
            last_try,
            quarantined: inner.quarantined.keys().cloned().collect(),
            message,
        }
    }

    /// Removes what is too old to count.
    pub fn expire(&self, now: Duration) {
        let mut inner = self.inner.lock();
        let is_recent = |at: Duration, ttl: Duration| now.saturating_sub(at) < ttl;
        inner
            .crashes
            .retain(|_, crash| is_recent(crash.at, CRASH_TTL));
        inner
            .quarantined
            .retain(|_, confinement| is_recent(confinement.at, QUARANTINE_TTL));
        inner.soundness.expire(now.saturating_sub(RESPONSE_TTL));
        inner.suspects_requests = inner.find_request();
    }
}

// Leaves out what a record has no room for after the items before it.
fn fitting<Item: Serialize>(mut items: Vec<Item>) -> Vec<Item> {
    let mut room = MAX_RECORDED_BYTES;
    items.retain(|item| {
        let rest = room.checked_sub(key::encode(item).len());
        room = rest.unwrap_or(room);
        rest.is_some()
    });
    items
}

impl Inner {
    fn crashing(&self, now: Duration) -> Vec<mesh::Crashing> {
        let quarantined = self.quarantined.iter();
        let crashing = quarantined.map(|(suspect, confinement)| mesh::Crashing {
            suspect: suspect.into(),
            age_ms: millis(now.saturating_sub(confinement.at)),
        });
        crashing.collect()
    }

    // Crashes that count against `suspects`, with these only, the latest first.
    fn crashes_under(&self, suspects: &BTreeSet<Suspect>, now: Duration) -> Vec<mesh::Crash> {
        let open = self.crashes.iter().filter(|(_, crash)| crash.is_open());
        let mut crashes: Vec<_> = open
            .map(|(run, crash)| crash.encode(run, |suspect| suspects.contains(suspect), now))
            .filter(|crash| !crash.suspicions.is_empty())
            .collect();
        crashes.sort_by_key(|crash| crash.age_ms);
        let mut suspicions = 0;
        let is_in_bounds = |crash: &mesh::Crash| {
            suspicions += crash.suspicions.len();
            suspicions <= MAX_RECORDED
        };
        crashes.into_iter().take_while(is_in_bounds).collect()
    }

    fn on_last_try(&self, now: Duration) -> BTreeSet<Suspect> {
        let mut once = BTreeSet::new();
        let mut again = BTreeSet::new();
        for crash in self.crashes.values().filter(|crash| crash.is_open()) {
            for suspect in crash.suspects().filter(|suspect| suspect.is_request()) {
                if !once.insert(suspect) {
                    again.insert(suspect);
                }
            }
        }
        let is_due = |suspect: &&Suspect| self.crash_count(suspect, now) + 1 >= MIN_CRASHES;
        again.into_iter().filter(is_due).cloned().collect()
    }

    fn find_request(&self) -> bool {
        self.quarantined.keys().any(Suspect::is_request)
            || self
                .crashes
                .values()
                .any(|crash| crash.suspects().any(Suspect::is_request))
    }

    fn add_crash(&mut self, report: &Report, now: Duration, change: &mut Change) {
        let at = report.at;
        if now.saturating_sub(at) >= CRASH_TTL {
            return;
        }
        let held = report
            .suspicions
            .iter()
            .find(|known| self.quarantined.contains_key(&known.suspect));
        if let Some(held) = held {
            self.add_expected(report, held, change);
            return;
        }
        for suspicion in &self.count(report) {
            self.suspects_requests |= suspicion.is_request();
            change.is_new = true;
            change.counted.push(suspicion.clone());
        }
        if let Some(suspect) = self.find_cause(report) {
            self.quarantine(&suspect, at);
            change.quarantined.push(suspect);
        }
    }

    // Adds a crash that a suspect in quarantine explains. It counts against the others if
    // that proves to be sound.
    fn add_expected(&mut self, report: &Report, held: &Suspicion, change: &mut Change) {
        let at = report.at;
        if let Some(confinement) = self.quarantined.get_mut(&held.suspect)
            && confinement.record_crash(held.sent_at, at)
        {
            change.is_new = true;
            change.counted.push(held.suspect.clone());
        }
        self.explain(report.run.clone(), at, held.suspect.clone());
        if !held.suspect.is_request() {
            self.count(report);
        }
    }

    // Counts a crash against its suspects; returns those that it did not count against before.
    fn count(&mut self, report: &Report) -> Vec<Suspect> {
        let at = report.at;
        let is_sound = |suspicion: &&Suspicion| self.is_sound(&suspicion.suspect, at);
        let suspicions = report.suspicions.iter();
        let counted: Vec<_> = suspicions
            .filter(|suspicion| !is_sound(suspicion))
            .collect();
        make_room(&mut self.crashes, MAX_CRASHES, &report.run, |crash| {
            crash.at
        });
        let known = self.crashes.entry(report.run.clone());
        let known = known.or_insert_with(|| Crash::new(at));
        let new = counted
            .into_iter()
            .filter(|suspicion| known.suspect(suspicion));
        let new = new.map(|suspicion| suspicion.suspect.clone()).collect();
        self.drop_oldest();
        new
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > 1
            && self.crashes.values().map(Crash::size).sum::<usize>() > MAX_SUSPICIONS
        {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(run, _)| run.clone()) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }

    // Returns what is to be quarantined after the crash. A request explains it better than the
    // parts of its prompt.
    fn find_cause(&self, report: &Report) -> Option<Suspect> {
        let at = report.at;
        let has_cause = |suspect: &&Suspect| self.crash_count(suspect, at) >= MIN_CRASHES;
        let suspects = report.suspicions.iter().map(|known| &known.suspect);
        let (requests, parts): (Vec<_>, Vec<_>) =
            suspects.partition(|suspect| suspect.is_request());
        if let Some(request) = requests.into_iter().find(has_cause) {
            return Some(request.clone());
        }
        // Later parts are shared by fewer requests than earlier ones.
        let parts = parts.into_iter().rev().filter(has_cause);
        let cause = parts.min_by_key(|part| {
            (
                self.soundness.last(part),
                Reverse(self.crash_count(part, at)),
            )
        })?;
        match self.less_sound(cause, at) {
            Some((_, count)) if count < MIN_CRASHES => None,
            Some((other, _)) => Some(other.clone()),
            None => Some(cause.clone()),
        }
    }

    // Returns a part that broke in the same crashes as `cause`, or in all but the last one,
    // which not all instances may have reported, and that runners have not responded to for a
    // longer time, with its number of crashes.
    fn less_sound(&self, cause: &Suspect, at: Duration) -> Option<(&Suspect, usize)> {
        let last = self.soundness.last(cause)?;
        let min_count = self.crash_count(cause, at).saturating_sub(1);
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.is_open() && crash.sent_at(cause).is_some());
        let parts = crashes.flat_map(|crash| crash.suspects().filter(|part| !part.is_request()));
        let others: BTreeSet<_> = parts
            .filter(|part| self.soundness.last(part).is_none_or(|other| other < last))
            .collect();
        let counts = others
            .into_iter()
            .map(|part| (part, self.crash_count(part, at)));
        counts
            .filter(|(_, count)| *count >= min_count)
            .max_by_key(|(part, count)| (*count, Reverse(self.soundness.last(part))))
    }

    // Number of crashes until `now` that count against a suspect.
    fn crash_count(&self, suspect: &Suspect, now: Duration) -> usize {
        let ttl = match suspect {
            Suspect::Request(_) => CRASH_TTL,
            Suspect::Part(_) => PART_CRASH_TTL,
        };
        let mut requests = BTreeSet::new();
        let mut open = Vec::new();
        for crash in self.crashes.values() {
            let Some(sent_at) = crash.sent_at(suspect) else {
                continue;
            };
            if crash.is_refuted || now.saturating_sub(crash.at) >= ttl {
                continue;
            }
            match &crash.explained_by {
                // Requests with one part may be sent while runners fail for another cause.
                None => open.push((crash.at, suspect.is_request().then_some(sent_at))),
                // Of two requests that broke together each time, either may be the cause.
                Some(Suspect::Request(_)) if suspect.is_request() => {
                    if !crash.is_expected {
                        open.push((crash.at, Some(sent_at)));
                    }
                }
                Some(Suspect::Request(request)) => {
                    requests.insert(request);
                }
                Some(Suspect::Part(_)) => {}
            }
        }
        // However often a request that crashes runners comes, it is one reason to suspect
        // its parts.
        crash::count_independent(open) + requests.len()
    }

    // What the suspect explains no longer counts against others.
    fn quarantine(&mut self, suspect: &Suspect, at: Duration) {
        make_room(&mut self.quarantined, MAX_QUARANTINED, suspect, |known| {
            known.at
        });
        let confinement = Confinement::new(at);
        self.quarantined.insert(suspect.clone(), confinement);
        self.suspects_requests |= suspect.is_request();
        for (run, crash) in &mut self.crashes {
            if crash.sent_at(suspect).is_none() {
                continue;
            }
            if !crash.is_refuted {
                self.unchecked.insert(run.clone());
            }
            crash.explained_by.get_or_insert_with(|| suspect.clone());
        }
    }

    // Takes a suspect out of quarantine; its crashes still count against it and others.
    fn release(&mut self, suspect: &Suspect) {
        self.quarantined.remove(suspect);
        for crash in self.crashes.values_mut() {
            let explained_by = &mut crash.explained_by;
            if explained_by.take_if(|cause| cause == suspect).is_some() {
                crash.is_expected = false;
            }
        }
    }

    fn explain(&mut self, run: Run, at: Duration, suspect: Suspect) {
        make_room(&mut self.crashes, MAX_CRASHES, &run, |crash| crash.at);
        let crash = self.crashes.entry(run).or_insert_with(|| Crash::new(at));
        if crash.explained_by.is_none() {
            crash.explained_by = Some(suspect);
            crash.is_expected = true;
        }
    }

    // Whether a runner responded to the suspect shortly before `at` or later.
    fn is_sound(&self, suspect: &Suspect, at: Duration) -> bool {
        let sound_at = self.soundness.last(suspect);
        sound_at.is_some_and(|sound_at| at < sound_at + SOUND_TTL)
    }

    // Whether a suspect that another instance has quarantined after a crash at `at` is sound as
    // far as this one knows.
    fn objects_to(&self, suspect: &Suspect, at: Duration, now: Duration) -> bool {
        let Some(sound_at) = self.soundness.last(suspect) else {
            return false;
        };
        let is_recent = at < sound_at + OBJECTION_TIME;
        self.is_sound(suspect, at) || (is_recent && self.crash_count(suspect, now) < MIN_CRASHES)
    }

    // Records a response to a suspect; returns whether it was in quarantine.
    fn dismiss(&mut self, suspect: &Suspect, now: Duration) -> bool {
        self.soundness.record(suspect, now);
        for crash in self.crashes.values_mut() {
            crash.dismiss(suspect);
        }
        let was_held = self.quarantined.contains_key(suspect);
        if was_held {
            self.release(suspect);
        }
        was_held
    }
}
