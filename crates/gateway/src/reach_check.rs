//! Checks whether runners are in reach, by opening connections to some of them.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::connector::Connector;
use crate::health::Health;
use crate::reach::{Change, Tracker};
use crate::registry::{Registry, Runner};

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of runners that are connected to at once. The second check is made if the first
/// one reaches none.
const SAMPLES: [usize; 2] = [2, 6];

/// Checks the services that may be out of reach.
#[derive(Debug)]
pub(crate) struct Checker {
    pub(crate) tracker: Arc<Tracker>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) health: Arc<Health>,
    pub(crate) connector: Arc<dyn Connector>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Notified when a service is lost or regained.
    pub(crate) changed: Arc<Notify>,
}

impl Checker {
    /// Checks until it is dropped.
    pub(crate) async fn run(self) {
        loop {
            self.clock.sleep(CHECK_INTERVAL).await;
            for service in self.tracker.suspects(self.clock.now()) {
                self.check(&service).await;
            }
        }
    }

    async fn check(&self, service: &str) {
        let started = self.clock.now();
        let mut runners = self.registry.usable(service, started);
        if runners.is_empty() {
            return;
        }
        runners.shuffle(&mut rand::rng());
        for sample in SAMPLES {
            let sample = &runners[..sample.min(runners.len())];
            if self.reaches_any(sample).await {
                let change = self.tracker.record_connect(service, self.clock.now());
                self.report(service, change, &runners);
                return;
            }
        }
        let change = self.tracker.record_unreachable(service, started);
        self.report(service, change, &runners);
    }

    async fn reaches_any(&self, runners: &[Runner]) -> bool {
        let mut connects = JoinSet::new();
        for runner in runners {
            let (connector, address) = (Arc::clone(&self.connector), runner.address);
            connects.spawn(async move {
                let connecting = connector.connect(address, CONNECT_TIMEOUT, CONNECT_TIMEOUT);
                connecting.await.is_ok()
            });
        }
        while let Some(connected) = connects.join_next().await {
            if matches!(connected, Ok(true)) {
                return true;
            }
        }
        false
    }

    fn report(&self, service: &str, change: Option<Change>, runners: &[Runner]) {
        match change {
            None => return,
            Some(Change::Lost) => log::warn!(
                service, runners = runners.len();
                "no runner of the service is in reach"
            ),
            Some(Change::Regained) => {
                // The connections failed here, not at the runners.
                for runner in runners {
                    self.health.forget(runner.id());
                }
                log::info!(service; "runners of the service are in reach again");
            }
        }
        self.changed.notify_one();
    }
}
