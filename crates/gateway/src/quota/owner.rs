//! Which instance grants the tokens of a tenant.
//!
//! The number of slots bounds the number of owners, and with it the links that an instance
//! keeps to them in a large deployment.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id;

/// Number of slots that tenants are divided into.
pub const SLOTS: usize = 4;

/// Returns the slot of a tenant.
#[must_use]
pub fn slot(tenant: &str) -> usize {
    let slots = u64::try_from(SLOTS).unwrap_or(1);
    usize::try_from(hash(tenant) % slots).unwrap_or_default()
}

/// Returns the owner of each slot among `instances`, which is the same at all instances.
#[must_use]
pub fn owners<'a>(
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> [Option<&'a id::Instance>; SLOTS] {
    let mut best: [Option<(u64, &id::Instance)>; SLOTS] = [None; SLOTS];
    for instance in instances {
        let base = hash(instance);
        for (slot, best) in (0_u64..).zip(&mut best) {
            *best = (*best).max(Some((mix(base, slot), instance)));
        }
    }
    best.map(|best| best.map(|(_, instance)| instance))
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

// One step of SplitMix64: much cheaper than hashing the name for each slot.
fn mix(base: u64, slot: u64) -> u64 {
    let mut mixed = base.wrapping_add((slot + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
