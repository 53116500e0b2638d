//! Checks whether runners live that the store does not list any more after an outage.
//!
//! Runners whose registrations lapsed in an outage register again soon after it; one that does
//! not is taken to be gone. If all runners of a service are, its requests would all be refused,
//! so that they are asked themselves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::environment::Environment;
use crate::id;
use crate::notice_log;
use crate::notices::{Kind, Notices, Response};
use crate::order::Orders;
use crate::registry::{Registry, Runner};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a runner that has passed a check gets requests.
const ALIVE_TIME: Duration = Duration::from_secs(3);

/// Checks the services of which no runner is listed.
#[derive(Clone, Debug)]
pub(crate) struct Checker {
    pub(crate) registry: Arc<Registry>,
    pub(crate) notices: Arc<Notices>,
    pub(crate) orders: Arc<dyn Orders>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Runners that have passed their last check.
    pub(crate) alive: Arc<Mutex<BTreeSet<id::Runner>>>,
}

impl Checker {
    /// Checks the services of the active environment, at an interval, until it is dropped.
    pub(crate) async fn run(self, environment: impl Fn() -> Option<Arc<Environment>>) {
        loop {
            self.clock.sleep(CHECK_INTERVAL).await;
            if let Some(environment) = environment() {
                self.check_all(&environment).await;
            }
        }
    }

    async fn check_all(&self, environment: &Environment) {
        let now = self.clock.now();
        let mut checks = JoinSet::new();
        for service in environment.services.values() {
            let Some(path) = &service.health_path else {
                continue;
            };
            for runner in self.registry.unlisted(&service.name, now) {
                let (checker, path) = (self.clone(), path.clone());
                checks.spawn(async move { checker.check(&runner, &path).await });
            }
        }
        checks.join_all().await;
    }

    async fn check(&self, runner: &Runner, path: &str) {
        let sent_at = self.clock.now();
        let answer = self.orders.check_health(runner.address, runner.id(), path);
        // Without an answer the runner keeps the time that is left.
        let Ok(answer) = answer.await else {
            return;
        };
        let now = self.clock.now();
        let response = Response {
            run: runner.into(),
            sent_at,
            kind: Kind::Other,
        };
        let changes = self
            .notices
            .record(&self.registry, response, &answer.notice, now);
        notice_log::log(&changes, runner.id(), None);
        let is_alive = answer.content.is_ok();
        let born_ms = runner.registration.born_ms;
        let until = now + ALIVE_TIME;
        self.registry
            .record_check(runner.id(), born_ms, is_alive, until, now);
        self.report(runner, is_alive);
    }

    fn report(&self, runner: &Runner, is_alive: bool) {
        let mut alive = self.alive.lock();
        if is_alive && alive.insert(runner.id().clone()) {
            log::warn!(
                runner = runner.id().as_str(), service = runner.registration.service.as_str();
                "runner is alive but not listed; it is used, as no other one of its service is"
            );
        }
        if !is_alive && alive.remove(runner.id()) {
            log::info!(runner = runner.id().as_str(); "unlisted runner accepts no more requests");
        }
    }
}
