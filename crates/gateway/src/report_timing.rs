//! Intervals and timeouts of the reports between instances.
//!
//! Each report goes to all instances, so at a fixed interval the traffic would
//! grow with the square of their number. The intervals therefore grow with the
//! number of instances.

use std::time::Duration;

const MAX_INTERVAL_FLOOR: Duration = Duration::from_millis(500);
const MAX_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(15);
const SMALL_GROUP_MIN_INTERVAL: Duration = Duration::from_millis(20);
const MIN_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(8);
/// Interval between two summaries that a data centre sends to the others.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a summary after which the instances of its data centre no longer
/// count as live.
pub const SUMMARY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of instances up to which urgent changes are reported to all at once.
const SMALL_GROUP: u32 = 10;
/// Number of missed reports after which an instance no longer counts as live.
const MISSED_REPORTS: u32 = 3;
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// Longest time between two reports.
#[must_use]
pub fn max_interval(instances: usize) -> Duration {
    MAX_INTERVAL_FLOOR.max(MAX_INTERVAL_PER_INSTANCE * count(instances))
}

/// Shortest time between two reports to all.
#[must_use]
pub fn min_interval(instances: usize) -> Duration {
    let instances = count(instances);
    if instances <= SMALL_GROUP {
        SMALL_GROUP_MIN_INTERVAL
    } else {
        MIN_INTERVAL_PER_INSTANCE * instances
    }
}

/// Time without a report after which an instance no longer counts as live.
#[must_use]
pub fn timeout(instances: usize) -> Duration {
    max_interval(instances) * MISSED_REPORTS + TIMEOUT_SLACK
}

fn count(instances: usize) -> u32 {
    u32::try_from(instances).unwrap_or(u32::MAX)
}
