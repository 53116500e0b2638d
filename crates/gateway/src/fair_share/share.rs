//! Division of slots between tenants, and of a tenant's slots between instances.

use std::hash::{DefaultHasher, Hash, Hasher};

/// 2^64 divided by the golden ratio. Multiples of it spread evenly over the range of a `u64`
/// (Fibonacci hashing), so that each round begins with another tenant.
const TURN: u64 = 0x9e37_79b9_7f4a_7c15;

/// What one tenant wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Want {
    /// Rank of its requests; 0 is the highest.
    pub rank: u8,
    /// Number of requests.
    pub wanted: u64,
    /// Position among the tenants for the slots that do not divide evenly, the lowest first.
    pub order: u64,
}

impl Want {
    /// Creates the want of `tenant`, whose position changes with each round.
    #[must_use]
    pub fn new(rank: u8, tenant: &str, wanted: u64, round: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        tenant.hash(&mut hasher);
        Self {
            rank,
            wanted,
            order: hasher.finish().wrapping_add(round.wrapping_mul(TURN)),
        }
    }
}

/// Divides `capacity` between tenants: higher ranks first, and max-min within a rank. Returns
/// the slots of each, in the order of `wants`.
#[must_use]
pub fn shares(capacity: u64, wants: &[Want]) -> Vec<u64> {
    let mut shares = vec![0; wants.len()];
    let mut by_want: Vec<_> = (0..wants.len()).collect();
    by_want.sort_by_key(|&index| (wants[index].rank, wants[index].wanted));
    let mut left = capacity;
    for rank in by_want.chunk_by(|&one, &other| wants[one].rank == wants[other].rank) {
        left = divide(left, rank, wants, &mut shares);
    }
    shares
}

// Divides `left` slots between the tenants of one rank, those that want least first. Returns
// the slots that nobody wants.
fn divide(mut left: u64, rank: &[usize], wants: &[Want], shares: &mut [u64]) -> u64 {
    for (served, &index) in rank.iter().enumerate() {
        let rest = &rank[served..];
        let count = u64::try_from(rest.len()).unwrap_or(u64::MAX);
        let level = left / count;
        if wants[index].wanted > level {
            return divide_equally(left - level * count, level, rest, wants, shares);
        }
        shares[index] = wants[index].wanted;
        left -= wants[index].wanted;
    }
    left
}

// Gives each of the tenants `level` slots, and one of the `rest` to the first ones.
fn divide_equally(
    rest: u64,
    level: u64,
    tenants: &[usize],
    wants: &[Want],
    shares: &mut [u64],
) -> u64 {
    let mut tenants = tenants.to_vec();
    tenants.sort_by_key(|&index| wants[index].order);
    let bonuses = (0..rest).map(|_| 1).chain(std::iter::repeat(0));
    for (index, bonus) in tenants.into_iter().zip(bonuses) {
        shares[index] = level + bonus;
    }
    0
}

/// The part of `share` that belongs to an instance where `own` requests are wanted, with
/// `before` and `after` at those in front of and behind it in an order that all know. The parts
/// of all instances add up to `share`.
#[must_use]
pub fn part(share: u64, before: u64, own: u64, after: u64) -> u64 {
    let total = u128::from(before) + u128::from(own) + u128::from(after);
    if total == 0 {
        return 0;
    }
    let up_to = |wanted: u128| u128::from(share) * wanted / total;
    let before = u128::from(before);
    let part = up_to(before + u128::from(own)) - up_to(before);
    u64::try_from(part).unwrap_or(u64::MAX)
}
