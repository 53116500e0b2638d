//! Grants of adapter loads: pools beside the replicas, and loads in flight.
//!
//! Adapters load in milliseconds, so a grant is no row: the pool was reserved
//! with the replica, and a new leader waits out the longest load before it grants.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::id;

/// Adapter loads in flight at once, across all runners.
pub const MAX_IN_FLIGHT: usize = 32;
/// Time after which no load of a former leader can still be under way.
pub const MAX_LOAD_TIME: Duration = Duration::from_secs(2);
/// Time since its last grant before an adapter may be unloaded to make room.
const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// An adapter on a replica.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Replica.
    pub replica: id::Replica,
    /// Adapter.
    pub adapter: id::Adapter,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Loading,
    Resident,
    Unloading,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    bytes: u64,
    state: State,
    used: Duration,
}

/// What follows from asking for an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// It is resident.
    Resident,
    /// It is being loaded, or cannot be yet; ask again.
    Wait,
    /// The caller of [`Pools::request`] is to load it now.
    Load,
    /// The caller of [`Pools::request`] is to unload this one first.
    Evict(id::Adapter),
    /// It can never fit.
    TooLarge,
}

/// The adapters of a shard.
#[derive(Debug, Default)]
pub struct Pools {
    entries: BTreeMap<Place, Entry>,
    grants_from: Duration,
}

impl Pools {
    /// Starts without adapters; grants begin at `grants_from`.
    #[must_use]
    pub fn new(grants_from: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            grants_from,
        }
    }

    /// Adapter loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let loading = |entry: &&Entry| entry.state == State::Loading;
        self.entries.values().filter(loading).count()
    }

    /// Learns that the runner reports `place` as resident.
    pub fn adopt(&mut self, place: Place, bytes: u64, now: Duration) {
        self.entries.entry(place).or_insert(Entry {
            bytes,
            state: State::Resident,
            used: now,
        });
    }

    /// Asks for an adapter in a pool of `pool_bytes`.
    pub fn request(&mut self, place: &Place, bytes: u64, pool_bytes: u64, now: Duration) -> Grant {
        if let Some(entry) = self.entries.get_mut(place) {
            entry.used = now;
            return match entry.state {
                State::Resident => Grant::Resident,
                State::Loading | State::Unloading => Grant::Wait,
            };
        }
        if bytes > pool_bytes {
            return Grant::TooLarge;
        }
        if now < self.grants_from || self.in_flight() >= MAX_IN_FLIGHT {
            return Grant::Wait;
        }
        if self.used_bytes(&place.replica) + bytes > pool_bytes {
            return self.evict(&place.replica, now);
        }
        let entry = Entry {
            bytes,
            state: State::Loading,
            used: now,
        };
        self.entries.insert(place.clone(), entry);
        Grant::Load
    }

    /// Records how a load ended; `None` means that it may still take effect.
    pub fn loaded(&mut self, place: &Place, resident: Option<bool>) {
        match resident {
            Some(true) => {
                if let Some(entry) = self.entries.get_mut(place) {
                    entry.state = State::Resident;
                }
            }
            Some(false) => {
                self.entries.remove(place);
            }
            None => {}
        }
    }

    /// Records that an unload has finished.
    pub fn unloaded(&mut self, place: &Place) {
        self.entries.remove(place);
    }

    /// Forgets all adapters of replicas for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|place, _| keep(&place.replica));
    }

    /// Bytes of a replica's pool that are taken.
    #[must_use]
    pub fn used_bytes(&self, replica: &str) -> u64 {
        self.of(replica).map(|(_, entry)| entry.bytes).sum()
    }

    fn of<'a>(&'a self, replica: &'a str) -> impl Iterator<Item = (&'a Place, &'a Entry)> {
        self.entries
            .iter()
            .filter(move |(place, _)| place.replica == replica)
    }

    fn evict(&mut self, replica: &str, now: Duration) -> Grant {
        if self
            .of(replica)
            .any(|(_, entry)| entry.state == State::Unloading)
        {
            return Grant::Wait;
        }
        let oldest = self
            .of(replica)
            .filter(|(_, entry)| entry.state == State::Resident)
            .filter(|(_, entry)| now.saturating_sub(entry.used) >= MIN_RESIDENCE)
            .min_by_key(|(_, entry)| entry.used)
            .map(|(place, _)| place.clone());
        let Some(place) = oldest else {
            return Grant::Wait;
        };
        if let Some(entry) = self.entries.get_mut(&place) {
            entry.state = State::Unloading;
        }
        Grant::Evict(place.adapter)
    }
}
