//! Maps that hold a limited number of entries.

use std::collections::BTreeMap;
use std::time::Duration;

/// Removes the oldest entry of a full map, to which `key` is about to be added.
pub(crate) fn make_room<Key: Clone + Ord, Value>(
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
