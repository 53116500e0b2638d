//! Grants adapter loads, within the pool of each replica and a limit on concurrent
//! loads.
//!
//! Adapters load in milliseconds, so grants are not stored as rows: the pool was
//! reserved with the replica, and a new leader waits for the longest possible
//! load to end before it grants any.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::id;

/// Maximum number of adapter loads in flight, across all runners.
pub const MAX_IN_FLIGHT: usize = 32;
/// Time after which no adapter load of a former leader can still be in flight.
pub const MAX_LOAD_TIME: Duration = Duration::from_secs(2);
/// Time since its last request before an adapter may be evicted.
const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// An adapter on one replica.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Replica whose pool holds the adapter.
    pub replica: id::Replica,
    /// Id of the adapter.
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
    last_used: Duration,
}

/// Result of a request for an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The adapter is resident.
    Resident,
    /// It is being loaded or unloaded, or cannot be loaded yet; request it again.
    Wait,
    /// The caller of [`Pools::request`] must load it now.
    Load,
    /// The caller of [`Pools::request`] must unload this adapter first.
    Evict(id::Adapter),
    /// It is larger than the whole pool.
    TooLarge,
}

/// Adapter pools of all replicas of a shard.
#[derive(Debug, Default)]
pub struct Pools {
    entries: BTreeMap<Place, Entry>,
    grants_from: Duration,
}

impl Pools {
    /// Creates empty pools that grant no loads before `grants_from`.
    #[must_use]
    pub fn new(grants_from: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            grants_from,
        }
    }

    /// Number of adapter loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let loading = |entry: &&Entry| entry.state == State::Loading;
        self.entries.values().filter(loading).count()
    }

    /// Adds an adapter that its runner reports as resident, unless it is known.
    pub fn adopt(&mut self, place: Place, bytes: u64, now: Duration) {
        self.entries.entry(place).or_insert(Entry {
            bytes,
            state: State::Resident,
            last_used: now,
        });
    }

    /// Requests an adapter of `bytes` in a pool of `pool_bytes`.
    pub fn request(&mut self, place: &Place, bytes: u64, pool_bytes: u64, now: Duration) -> Grant {
        if let Some(entry) = self.entries.get_mut(place) {
            entry.last_used = now;
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
            last_used: now,
        };
        self.entries.insert(place.clone(), entry);
        Grant::Load
    }

    /// Records whether a load succeeded; with `None` it may still take effect and
    /// stays in flight.
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

    /// Removes an adapter whose unload has finished.
    pub fn unloaded(&mut self, place: &Place) {
        self.entries.remove(place);
    }

    /// Removes the adapters of all replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|place, _| keep(&place.replica));
    }

    /// Bytes in use in the pool of `replica`, including adapters in transition.
    #[must_use]
    pub fn used_bytes(&self, replica: &str) -> u64 {
        self.entries_of(replica).map(|(_, entry)| entry.bytes).sum()
    }

    fn entries_of<'a>(&'a self, replica: &'a str) -> impl Iterator<Item = (&'a Place, &'a Entry)> {
        self.entries
            .iter()
            .filter(move |(place, _)| place.replica == replica)
    }

    fn evict(&mut self, replica: &str, now: Duration) -> Grant {
        if self
            .entries_of(replica)
            .any(|(_, entry)| entry.state == State::Unloading)
        {
            return Grant::Wait;
        }
        let oldest = self
            .entries_of(replica)
            .filter(|(_, entry)| entry.state == State::Resident)
            .filter(|(_, entry)| now.saturating_sub(entry.last_used) >= MIN_RESIDENCE)
            .min_by_key(|(_, entry)| entry.last_used)
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
