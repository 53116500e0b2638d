//! Rejections per second that the runners of a service bear before they crash.
//!
//! What one runner says is taken to hold for those of its service that have not said anything
//! yet. An instance that has heard from none, since it has just started, goes by its peers.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;

/// Time for which a bound holds.
const BOUND_TTL: Duration = Duration::from_secs(10);

/// What the runners of each service were last said to bear.
#[derive(Debug, Default)]
pub(crate) struct Bounds {
    services: Mutex<BTreeMap<id::Service, Bound>>,
}

#[derive(Clone, Copy, Debug)]
struct Bound {
    /// `None` if the last response named none.
    max_rejections: Option<f64>,
    at: Duration,
    /// Whether a runner has told this instance; a bound that a peer has reported is not passed
    /// on, or it would never end.
    is_own: bool,
}

impl Bounds {
    /// Records what a runner of `service` has said in a response to this instance.
    pub(crate) fn record(&self, service: &str, max_rejections: Option<f64>, now: Duration) {
        let bound = Bound {
            max_rejections,
            at: now,
            is_own: true,
        };
        let mut services = self.services.lock();
        match services.get_mut(service) {
            Some(known) => *known = bound,
            None => {
                services.insert(service.to_owned(), bound);
            }
        }
    }

    /// Records what a peer has heard. What this instance has heard itself goes before it.
    pub(crate) fn merge(&self, reported: &[mesh::Brittle], now: Duration) {
        let mut services = self.services.lock();
        for brittle in reported {
            let max_rejections = brittle.max_rejections;
            let known = services.get(&brittle.service);
            let is_heard = known.is_some_and(|bound| bound.is_own && bound.holds(now));
            if is_heard || !max_rejections.is_finite() || max_rejections < 0.0 {
                continue;
            }
            let bound = Bound {
                max_rejections: Some(max_rejections),
                at: now,
                is_own: false,
            };
            services.insert(brittle.service.clone(), bound);
        }
    }

    /// Rejections per second that a runner of `service` bears, as far as is known.
    pub(crate) fn get(&self, service: &str, now: Duration) -> Option<f64> {
        let services = self.services.lock();
        let bound = services.get(service).filter(|bound| bound.holds(now))?;
        bound.max_rejections
    }

    /// Returns what runners have told this instance, for its peers.
    pub(crate) fn own(&self, now: Duration) -> Vec<mesh::Brittle> {
        let services = self.services.lock();
        let own = services
            .iter()
            .filter(|(_, bound)| bound.is_own && bound.holds(now));
        let own = own.filter_map(|(service, bound)| {
            Some(mesh::Brittle {
                service: service.clone(),
                max_rejections: bound.max_rejections?,
            })
        });
        own.collect()
    }
}

impl Bound {
    fn holds(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < BOUND_TTL
    }
}
