//! How often an instance reports to the others.
//!
//! Answers the number of instances: each report goes to all of them, so that the
//! bytes of all grow with the square of their number unless reports get rarer.

use std::time::Duration;

const MIN_INTERVAL: Duration = Duration::from_millis(500);
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(15);
const MIN_PAUSE: Duration = Duration::from_millis(20);
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(8);
/// Time between two summaries of a data centre for the others.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a summary after which the instances in it count as silent.
pub const SUMMARY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Instances up to which everything is told to all at once.
const SMALL_GROUP: u32 = 10;
/// Reports that may be missed before an instance counts as silent.
const MISSED_REPORTS: u32 = 3;
const SILENCE_SLACK: Duration = Duration::from_millis(100);

/// Longest time between two reports.
#[must_use]
pub fn max_interval(instances: usize) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_INSTANCE * count(instances))
}

/// Shortest time between two reports to all.
#[must_use]
pub fn min_interval(instances: usize) -> Duration {
    let instances = count(instances);
    if instances <= SMALL_GROUP {
        MIN_PAUSE
    } else {
        PAUSE_PER_INSTANCE * instances
    }
}

/// Time without a report after which an instance counts as silent.
#[must_use]
pub fn timeout(instances: usize) -> Duration {
    max_interval(instances) * MISSED_REPORTS + SILENCE_SLACK
}

fn count(instances: usize) -> u32 {
    u32::try_from(instances).unwrap_or(u32::MAX)
}
