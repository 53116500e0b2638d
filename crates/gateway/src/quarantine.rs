//! Detects prompt parts that crash runners, and keeps requests with them from the runners.
//!
//! When a run of a runner ends, each shared part of the requests that it had not begun to
//! respond to is suspected. A part that runs of runners ended with several times, and that
//! no runner responded to meanwhile, is quarantined. The instances exchange the crashes,
//! since the requests with one part arrive at all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::forward::millis;
use crate::id;

/// Crashes after which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// Shortest time between two crashes that both count against a part. Runners that fail at
/// the same time have another cause in common.
const MIN_CRASH_GAP: Duration = Duration::from_millis(500);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(1);
/// Time after its last crash for which a part is quarantined.
const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Time after a response to a part in which crashes do not count against it.
const SOUND_TTL: Duration = Duration::from_secs(2);
/// Most crashes that are kept; the oldest makes room.
const MAX_CRASHES: usize = 256;
/// Most parts that one crash counts against.
const MAX_SUSPECTS: usize = 64;
/// Most parts in quarantine; the one whose last crash is the oldest makes room.
const MAX_QUARANTINED: usize = 1024;
/// Most parts of which recent responses are kept.
const MAX_SOUND: usize = 4096;

/// Crashes of runners and the parts that are quarantined for them.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

/// What a tracker has learned from a crash, a response or another instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Whether it learned anything that other instances may not know.
    pub is_new: bool,
    /// Parts that are quarantined from now on.
    pub quarantined: Vec<id::Part>,
    /// Parts that runners respond to although an instance has quarantined them.
    pub sound: Vec<id::Part>,
}

/// A run of a runner, which a restart ends.
type Run = (id::Runner, u64);

#[derive(Debug, Default)]
struct Inner {
    crashes: BTreeMap<Run, Crash>,
    /// Parts in quarantine, with the time of their last crash.
    quarantined: BTreeMap<id::Part, Duration>,
    /// Parts that a runner responded to lately, with the time.
    sound: BTreeMap<id::Part, Duration>,
}

#[derive(Debug)]
struct Crash {
    at: Duration,
    /// Parts that it counts against, in the order of the prompts.
    suspects: Vec<id::Part>,
    /// Parts that were found to be sound.
    dismissed: BTreeSet<id::Part>,
    /// Whether a part in quarantine explains it.
    is_explained: bool,
}

impl Tracker {
    /// Returns the time for which the first part in quarantine, if any of `parts` is, is
    /// not sent to runners.
    #[must_use]
    pub fn remaining(&self, parts: &[&str], now: Duration) -> Option<Duration> {
        let inner = self.inner.lock();
        if inner.quarantined.is_empty() {
            return None;
        }
        let times = parts.iter().filter_map(|part| inner.quarantined.get(*part));
        times
            .map(|at| (*at + QUARANTINE_TTL).saturating_sub(now))
            .find(|left| !left.is_zero())
    }

    /// Records that the run of `runner` that started at `born_ms` ended before it responded
    /// to a request with the shared `parts`.
    pub fn record_crash(
        &self,
        parts: &[&str],
        runner: &str,
        born_ms: u64,
        now: Duration,
    ) -> Change {
        let crash = mesh::Crash {
            runner: runner.to_owned(),
            born_ms,
            age_ms: 0,
            parts: parts.iter().map(|part| (*part).to_owned()).collect(),
        };
        let mut change = Change::default();
        self.inner.lock().add_crash(&crash, now, &mut change);
        change
    }

    /// Records that a runner responded to a request with the shared `parts`.
    pub fn record_response(&self, parts: &[&str], now: Duration) -> Change {
        let mut inner = self.inner.lock();
        let mut change = Change::default();
        for part in parts {
            if inner.dismiss(part, now) {
                change.is_new = true;
                change.sound.push((*part).to_owned());
            }
        }
        change
    }

    /// Merges what another instance knows.
    pub fn merge(&self, quarantine: &mesh::Quarantine, now: Duration) -> Change {
        let mut inner = self.inner.lock();
        let mut change = Change::default();
        for crash in &quarantine.crashes {
            inner.add_crash(crash, now, &mut change);
        }
        for crashing in &quarantine.crashing {
            let at = now.saturating_sub(Duration::from_millis(crashing.age_ms));
            if inner.is_sound(&crashing.part, at) {
                change.sound.push(crashing.part.clone());
            } else if !inner.quarantined.contains_key(&crashing.part) {
                inner.quarantine(&crashing.part, at);
                change.is_new = true;
                change.quarantined.push(crashing.part.clone());
            }
        }
        for part in &quarantine.sound {
            change.is_new |= inner.dismiss(part, now);
        }
        change
    }

    /// Returns what this instance knows, for one that may have missed it, or `None` if it
    /// suspects nothing.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Option<mesh::Quarantine> {
        let inner = self.inner.lock();
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let crashes = inner
            .crashes
            .iter()
            .filter(|(_, crash)| !crash.is_explained);
        let crashes: Vec<_> = crashes
            .map(|((runner, born_ms), crash)| mesh::Crash {
                runner: runner.clone(),
                born_ms: *born_ms,
                age_ms: age_ms(crash.at),
                parts: crash.suspects.clone(),
            })
            .collect();
        let crashing = inner.quarantined.iter();
        let crashing: Vec<_> = crashing
            .map(|(part, at)| mesh::CrashingPart {
                part: part.clone(),
                age_ms: age_ms(*at),
            })
            .collect();
        let is_empty = crashes.is_empty() && crashing.is_empty();
        (!is_empty).then_some(mesh::Quarantine {
            crashes,
            crashing,
            sound: Vec::new(),
        })
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
            .retain(|_, at| is_recent(*at, QUARANTINE_TTL));
        inner.sound.retain(|_, at| is_recent(*at, SOUND_TTL));
    }
}

impl Inner {
    fn add_crash(&mut self, crash: &mesh::Crash, now: Duration, change: &mut Change) {
        let at = now.saturating_sub(Duration::from_millis(crash.age_ms));
        if now.saturating_sub(at) >= CRASH_TTL {
            return;
        }
        let run = (crash.runner.clone(), crash.born_ms);
        if let Some(part) = crash
            .parts
            .iter()
            .find(|part| self.quarantined.contains_key(*part))
        {
            let last = self.quarantined.entry(part.clone()).or_insert(at);
            *last = at.max(*last);
            self.explain(run, at);
            return;
        }
        let suspects: Vec<_> = crash
            .parts
            .iter()
            .filter(|part| !self.is_sound(part, at))
            .collect();
        make_room(&mut self.crashes, MAX_CRASHES, &run, |crash| crash.at);
        let known = self.crashes.entry(run).or_insert_with(|| Crash::new(at));
        for part in suspects {
            change.is_new |= known.suspect(part);
        }
        // Later parts are shared by fewer requests, so that they explain a crash better.
        for part in crash.parts.iter().rev() {
            if self.crash_count(part) >= MIN_CRASHES {
                self.quarantine(part, at);
                change.quarantined.push(part.clone());
                return;
            }
        }
    }

    // Number of crashes that count against a part.
    fn crash_count(&self, part: &str) -> usize {
        let crashes = self.crashes.values().filter(|crash| {
            !crash.is_explained && crash.suspects.iter().any(|suspect| suspect == part)
        });
        let mut times: Vec<_> = crashes.map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last = None;
        for at in times {
            if last.is_none_or(|last| at >= last + MIN_CRASH_GAP) {
                count += 1;
                last = Some(at);
            }
        }
        count
    }

    // The crashes that the part explains no longer count against others.
    fn quarantine(&mut self, part: &str, at: Duration) {
        let owned = part.to_owned();
        make_room(&mut self.quarantined, MAX_QUARANTINED, &owned, |at| *at);
        self.quarantined.insert(owned, at);
        for crash in self.crashes.values_mut() {
            crash.is_explained |= crash.suspects.iter().any(|suspect| suspect == part);
        }
    }

    fn explain(&mut self, run: Run, at: Duration) {
        make_room(&mut self.crashes, MAX_CRASHES, &run, |crash| crash.at);
        let crash = self.crashes.entry(run).or_insert_with(|| Crash::new(at));
        crash.is_explained = true;
    }

    // Whether a runner responded to the part shortly before `at` or later.
    fn is_sound(&self, part: &str, at: Duration) -> bool {
        let sound_at = self.sound.get(part);
        sound_at.is_some_and(|sound_at| at < *sound_at + SOUND_TTL)
    }

    // Records a response to a part; returns whether the part was in quarantine.
    fn dismiss(&mut self, part: &str, now: Duration) -> bool {
        let owned = part.to_owned();
        make_room(&mut self.sound, MAX_SOUND, &owned, |at| *at);
        self.sound.insert(owned, now);
        for crash in self.crashes.values_mut() {
            crash.dismiss(part);
        }
        self.quarantined.remove(part).is_some()
    }
}

impl Crash {
    fn new(at: Duration) -> Self {
        Self {
            at,
            suspects: Vec::new(),
            dismissed: BTreeSet::new(),
            is_explained: false,
        }
    }

    // Counts against a part from now on; returns whether it did not before.
    fn suspect(&mut self, part: &id::Part) -> bool {
        let is_new = self.suspects.len() < MAX_SUSPECTS
            && !self.suspects.contains(part)
            && !self.dismissed.contains(part);
        if is_new {
            self.suspects.push(part.clone());
        }
        is_new
    }

    fn dismiss(&mut self, part: &str) {
        let suspects = self.suspects.len();
        self.suspects.retain(|suspect| suspect != part);
        if self.suspects.len() < suspects {
            self.dismissed.insert(part.to_owned());
        }
    }
}

// Removes the oldest entry of a full map, to which `key` is about to be added.
fn make_room<Key: Clone + Ord, Value>(
    map: &mut BTreeMap<Key, Value>,
    capacity: usize,
    key: &Key,
    time: impl Fn(&Value) -> Duration,
) {
    if map.len() < capacity || map.contains_key(key) {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| time(value));
    if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
        map.remove(&oldest);
    }
}
