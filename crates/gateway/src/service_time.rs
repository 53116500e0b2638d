//! Estimates how long a request of each service occupies a slot of its runner.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Service time before the first observation.
const INITIAL: Duration = Duration::from_millis(500);
/// Weight of the newest observation in the exponential moving average.
const SMOOTHING: f64 = 0.05;

/// Moving average of the service times, by service.
#[derive(Debug, Default)]
pub struct Estimator {
    services: Mutex<BTreeMap<id::Service, Duration>>,
}

impl Estimator {
    /// Records a request that ended `elapsed` after it was sent to its runner.
    pub fn observe(&self, service: &str, elapsed: Duration) {
        let mut services = self.services.lock();
        match services.get_mut(service) {
            Some(average) => {
                *average = average.mul_f64(1.0 - SMOOTHING) + elapsed.mul_f64(SMOOTHING);
            }
            None => {
                services.insert(service.to_owned(), elapsed);
            }
        }
    }

    /// Returns the average time from sending a request of `service` to its end.
    #[must_use]
    pub fn average(&self, service: &str) -> Duration {
        let services = self.services.lock();
        services.get(service).copied().unwrap_or(INITIAL)
    }
}
