//! Software versions of runners, and which of them began a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version
//! that began it. An instance knows the version of the streams that began at it, and of those
//! that others have recorded while several versions served. Any other stream can be of each
//! version that served lately; it goes on if there is only one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Most streams whose version is kept; the oldest makes room.
const MAX_STREAMS: usize = 16_384;
/// Longest attempt id that is kept, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Most bytes of ids and names in a record.
const MAX_RECORD_BYTES: usize = 24 << 10;
/// Most versions of a service in a record. A stream of unknown origin goes on at none of several.
const MAX_RECORDED_VERSIONS: usize = 8;

/// Versions that serve or served lately, by service.
pub type Versions = BTreeMap<id::Service, BTreeSet<id::Software>>;

/// Removes what a record does not need: services other than `services`, and versions of a service
/// beyond those that show that it has several.
pub fn shorten<Value>(versions: &mut Versions, services: &BTreeMap<id::Service, Value>) {
    versions.retain(|service, _| services.contains_key(service));
    for of_service in versions.values_mut() {
        while of_service.len() > MAX_RECORDED_VERSIONS {
            of_service.pop_last();
        }
    }
}

/// Attempts that got the first event of a stream, by service and by the version that began
/// it.
pub type Record = BTreeMap<id::Service, BTreeMap<id::Software, BTreeSet<id::Attempt>>>;

/// What an instance knows of the versions that began streams.
#[derive(Debug, Default)]
pub struct History {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Versions in the store when this instance started, if they could be read.
    recorded: Option<Versions>,
    streams: BTreeMap<Stream, Origin>,
    /// Streams in the order in which they began, each with the time until which its
    /// version is kept.
    order: VecDeque<(Stream, Duration)>,
}

/// Service of a stream, and the attempt that got its first event.
type Stream = (id::Service, id::Attempt);

/// Where a stream began.
#[derive(Clone, Debug)]
struct Origin {
    software: id::Software,
    /// Whether it began at this instance.
    is_own: bool,
    /// Time until which it is kept.
    until: Duration,
}

impl History {
    /// Records that a runner with `software` began the stream of `attempt`, which ends
    /// before `until`.
    pub fn begin(
        &self,
        service: &str,
        attempt: &str,
        software: &str,
        until: Duration,
        now: Duration,
    ) {
        let origin = Origin {
            software: software.to_owned(),
            is_own: true,
            until,
        };
        let mut inner = self.inner.lock();
        inner.expire(now);
        inner.insert(service, attempt, origin);
    }

    /// Adds the streams of a record that are not known yet. `is_own` is whether this
    /// instance has written it, before it started anew.
    pub fn merge(&self, record: &Record, is_own: bool, until: Duration, now: Duration) {
        let mut inner = self.inner.lock();
        inner.expire(now);
        for (service, versions) in record {
            for (software, attempts) in versions {
                for attempt in attempts {
                    let stream = (service.clone(), attempt.clone());
                    if inner.streams.contains_key(&stream) {
                        continue;
                    }
                    let software = software.clone();
                    let origin = Origin {
                        software,
                        is_own,
                        until,
                    };
                    inner.insert(service, attempt, origin);
                }
            }
        }
    }

    /// Returns the streams of `services` that began at this instance, the latest if there
    /// are too many for a record.
    #[must_use]
    pub fn own(&self, services: &BTreeSet<id::Service>, now: Duration) -> Record {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let mut record = Record::new();
        let mut bytes = 0;
        for (stream, _) in inner.order.iter().rev() {
            let (service, attempt) = stream;
            let origin = inner.streams.get(stream);
            let Some(origin) = origin.filter(|origin| origin.is_own) else {
                continue;
            };
            if !services.contains(service) {
                continue;
            }
            let known = record.get(service);
            let mut added = attempt.len();
            if known.is_none() {
                added += service.len();
            }
            if known.is_none_or(|versions| !versions.contains_key(&origin.software)) {
                added += origin.software.len();
            }
            if bytes + added > MAX_RECORD_BYTES {
                continue;
            }
            bytes += added;
            let versions = record.entry(service.clone()).or_default();
            let attempts = versions.entry(origin.software.clone()).or_default();
            attempts.insert(attempt.clone());
        }
        record
    }

    /// Sets the versions that were found in the store at the start.
    pub fn set_recorded(&self, versions: Versions) {
        self.inner.lock().recorded = Some(versions);
    }

    /// Returns the version that began the stream of `attempt`, if that was recorded.
    #[must_use]
    pub fn recorded_origin(&self, service: &str, attempt: &str) -> Option<id::Software> {
        let inner = self.inner.lock();
        let stream = (service.to_owned(), attempt.to_owned());
        let origin = inner.streams.get(&stream)?;
        Some(origin.software.clone())
    }

    /// Returns the version that began the stream of `attempt`, or `None` if it cannot be
    /// known. `seen` are the versions that this instance has seen in the service, and
    /// `is_complete` is whether it has watched the service since before the stream began.
    #[must_use]
    pub fn origin(
        &self,
        service: &str,
        attempt: &str,
        seen: &BTreeSet<id::Software>,
        is_complete: bool,
    ) -> Option<id::Software> {
        if let Some(software) = self.recorded_origin(service, attempt) {
            return Some(software);
        }
        let inner = self.inner.lock();
        let mut possible = seen.clone();
        if !is_complete {
            let recorded = inner.recorded.as_ref()?.get(service)?;
            possible.extend(recorded.iter().cloned());
        }
        if possible.len() > 1 {
            return None;
        }
        possible.pop_first()
    }

    /// Adds the versions that were in the store at the start to `versions`.
    #[must_use]
    pub fn merge_recorded(&self, mut versions: Versions) -> Versions {
        if let Some(recorded) = &self.inner.lock().recorded {
            for (service, software) in recorded {
                let of_service = versions.entry(service.clone()).or_default();
                of_service.extend(software.iter().cloned());
            }
        }
        versions
    }
}

impl Inner {
    fn insert(&mut self, service: &str, attempt: &str, origin: Origin) {
        if attempt.len() > MAX_ID_BYTES {
            return;
        }
        let stream = (service.to_owned(), attempt.to_owned());
        self.order.push_back((stream.clone(), origin.until));
        self.streams.insert(stream, origin);
    }

    fn expire(&mut self, now: Duration) {
        while let Some((stream, until)) = self.order.front() {
            if self.order.len() < MAX_STREAMS && now < *until {
                return;
            }
            // A stream that was taken up again has a later entry.
            let is_last = |origin: &Origin| origin.until <= *until;
            if self.streams.get(stream).is_some_and(is_last) {
                self.streams.remove(stream);
            }
            self.order.pop_front();
        }
    }
}
