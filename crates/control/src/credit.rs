//! Credits: the slots of a runner that each instance may use.

use std::collections::BTreeMap;

use almondbank_wire::id;

/// Splits `slots` among the instances: an equal base share first, then the rest in
/// proportion to demand by the largest-remainder (Hamilton) method. The sum never
/// exceeds `slots`, unless there are more instances than slots; then each
/// instance gets one.
#[must_use]
pub fn split(slots: u32, demand: &BTreeMap<id::Instance, u64>) -> BTreeMap<id::Instance, u32> {
    let count = u32::try_from(demand.len()).unwrap_or(u32::MAX);
    if count == 0 {
        return BTreeMap::new();
    }
    let base = (slots / count / 2).max(1);
    let spare = u64::from(slots.saturating_sub(base.saturating_mul(count)));
    let total: u64 = demand.values().sum();
    let mut shares: BTreeMap<_, _> = demand
        .keys()
        .map(|instance| (instance.clone(), base))
        .collect();
    if spare == 0 {
        return shares;
    }
    let mut remainders = Vec::with_capacity(demand.len());
    let mut assigned = 0;
    for (instance, weight) in demand {
        let (part, remainder) = portion(spare, *weight, total, u64::from(count));
        assigned += part;
        *shares.entry(instance.clone()).or_default() += u32::try_from(part).unwrap_or(0);
        remainders.push((remainder, instance));
    }
    remainders.sort_by(|a, b| b.cmp(a));
    let left = usize::try_from(spare - assigned).unwrap_or(0);
    for (_, instance) in remainders.into_iter().take(left) {
        *shares.entry(instance.clone()).or_default() += 1;
    }
    shares
}

// Quotient and remainder of `spare * weight / total`, or an equal share if there is
// no demand.
fn portion(spare: u64, weight: u64, total: u64, count: u64) -> (u64, u64) {
    if total == 0 {
        return (spare / count, spare % count);
    }
    let product = u128::from(spare) * u128::from(weight);
    let total = u128::from(total);
    let whole = u64::try_from(product / total).unwrap_or(0);
    let rest = u64::try_from(product % total).unwrap_or(0);
    (whole, rest)
}
