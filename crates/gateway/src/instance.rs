//! Start and shutdown of a gateway.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::gateway::Settings;

use crate::call::Call;
use crate::explanation::{self, Explanation};
use crate::gateway::{Gateway, Ports};
use crate::listener::Listener;
use crate::memory::connections::Purpose;
use crate::reach_check::Checker;
use crate::refusal::Refusal;
use crate::report::Reports;
use crate::server;
use crate::supervisor::{self, Task};
use crate::{
    Result, crash_check, discovery, environment_record, leader, log_status, memory_watch, mesh,
    quarantine_record, report, stream_record, unlisted_check, version_record, watcher,
};

/// Time for which requests are accepted after this instance has left the directory.
/// Callers cache the directory for up to three times its TTL.
const CLOSE_DELAY: Duration = Duration::from_millis(2900);
/// Interval at which the shutdown checks whether the lease is released.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Time before that exit at which requests without a response are aborted, so that
/// their refusals can be sent.
const ABORT_MARGIN: Duration = Duration::from_millis(400);

/// A running gateway.
#[derive(Debug)]
pub struct Instance {
    gateway: Arc<Gateway>,
}

impl Instance {
    /// Starts all tasks. An address in `settings` that cannot be bound is bound once it is
    /// available.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be exported.
    pub fn start(mut settings: Settings, ports: Ports) -> Result<Self> {
        let listen = &mut settings.listen;
        let addresses = [
            (Purpose::Callers, &mut listen.callers),
            (Purpose::Ready, &mut listen.ready),
            (Purpose::Peers, &mut listen.peers),
            (Purpose::Directory, &mut listen.directory),
            (Purpose::Metrics, &mut listen.metrics),
        ];
        let listeners = addresses.map(|(purpose, address)| {
            let listener = Listener::new(purpose, *address);
            *address = listener.address();
            listener
        });
        let gateway = Arc::new(Gateway::new(settings, ports)?);
        let reports = report::channel();
        for listener in listeners {
            if listener.is_bound() {
                gateway.listening.record(listener.purpose());
            }
            let (listener, reports) = (Arc::new(listener), reports.clone());
            supervisor::spawn(&gateway, Task::Accept, move |gateway| {
                accept(gateway, Arc::clone(&listener), reports.clone())
            });
        }
        spawn_tasks(&gateway, &reports);
        log::info!(
            instance = gateway.settings.instance.as_str(),
            incarnation = gateway.incarnation.as_str(),
            callers:% = gateway.settings.listen.callers,
            peers:% = gateway.settings.listen.peers,
            store:% = gateway.settings.store;
            "started"
        );
        Ok(Self { gateway })
    }

    /// Returns the settings, with the addresses that were bound.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.gateway.settings
    }

    /// Exports what `status` returns at each scrape of the metrics.
    pub fn export_log_status(
        &self,
        status: impl Fn() -> log_status::Status + Clone + Send + Sync + 'static,
    ) {
        self.gateway.metrics.export_log_status(status);
    }

    /// Whether this instance accepts requests of callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Number of registered runners that accept new requests.
    #[must_use]
    pub fn runners(&self) -> usize {
        let now = self.gateway.now();
        let registrations = self.gateway.registry.registrations();
        let is_usable = |id: &str| {
            let runner = self.gateway.registry.get(id);
            runner.is_some_and(|runner| runner.is_usable(now))
        };
        registrations
            .iter()
            .filter(|registration| is_usable(&registration.runner))
            .count()
    }

    /// Version of the active environment, or 0.
    #[must_use]
    pub fn environment(&self) -> u64 {
        *self.gateway.version.borrow()
    }

    /// Whether this instance is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.gateway.term().is_some()
    }

    /// Explains to which runner `call` would be sent at present, without sending it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is no environment, route or service for it.
    pub fn explain(&self, call: Call) -> std::result::Result<Explanation, Refusal> {
        explanation::explain(&self.gateway, call)
    }

    /// Shuts the gateway down: leaves the directory, notifies the peers,
    /// releases the lease, accepts requests while callers may still have its
    /// address cached, and returns when all requests have ended or the grace
    /// period is nearly over.
    pub async fn shutdown(self) {
        let gateway = self.gateway;
        let began = gateway.now();
        log::info!(connections = gateway.work.len(); "leaving");
        let end = began + gateway.settings.grace.saturating_sub(EXIT_MARGIN);
        let abort_at = end.saturating_sub(ABORT_MARGIN);
        gateway.abort_at.get_or_init(|| abort_at);
        gateway.leaving.cancel();
        gateway
            .clock
            .sleep(CLOSE_DELAY.min(gateway.settings.grace))
            .await;
        gateway.closing.cancel();
        gateway.work.close();
        let remaining = abort_at.saturating_sub(gateway.now());
        tokio::select! {
            () = finished(&gateway) => {}
            () = gateway.clock.sleep(remaining) => {
                gateway.aborting.cancel();
                // Streams are not aborted before `end`.
                let remaining = end.saturating_sub(gateway.now());
                tokio::select! {
                    () = finished(&gateway) => {}
                    () = gateway.clock.sleep(remaining) => {}
                }
            }
        }
        log::info!(connections = gateway.work.len(); "stopped");
        gateway.stopped.cancel();
    }
}

fn spawn_tasks(gateway: &Arc<Gateway>, reports: &Reports) {
    let links = reports.clone();
    supervisor::spawn(gateway, Task::Discovery, move |gateway| {
        discovery::run(gateway, links.clone())
    });
    let statuses = reports.clone();
    supervisor::spawn(gateway, Task::Report, move |gateway| {
        report::run(gateway, statuses.clone())
    });
    supervisor::spawn(gateway, Task::Topology, discovery::update_topology);
    supervisor::spawn(gateway, Task::Summary, report::summarize);
    supervisor::spawn(gateway, Task::EnvironmentRecord, environment_record::run);
    supervisor::spawn(gateway, Task::Environment, watcher::follow_environment);
    supervisor::spawn(gateway, Task::Registrations, watcher::follow_registrations);
    supervisor::spawn(gateway, Task::Sweep, watcher::sweep);
    supervisor::spawn(gateway, Task::VersionRecord, version_record::run);
    supervisor::spawn(gateway, Task::QuarantineRecord, quarantine_record::run);
    supervisor::spawn(gateway, Task::CrashCheck, crash_check::run);
    supervisor::spawn(gateway, Task::StreamRecord, stream_record::run);
    supervisor::spawn(gateway, Task::Leader, leader::run);
    supervisor::spawn(gateway, Task::MemoryWatch, memory_watch::run);
    supervisor::spawn(gateway, Task::ReachCheck, check_reach);
    supervisor::spawn(gateway, Task::UnlistedCheck, check_unlisted);
}

async fn accept(gateway: Arc<Gateway>, listener: Arc<Listener>, reports: Reports) {
    let purpose = listener.purpose();
    let bound = tokio::select! {
        bound = listener.bound(&*gateway.clock) => bound,
        () = gateway.stopped.cancelled() => return,
    };
    gateway.listening.record(purpose);
    match purpose {
        Purpose::Peers => mesh::listen(gateway, bound, reports).await,
        _ => server::run(gateway, bound, purpose).await,
    }
}

async fn check_reach(gateway: Arc<Gateway>) {
    let checker = Checker {
        tracker: Arc::clone(&gateway.reach),
        registry: Arc::clone(&gateway.registry),
        health: Arc::clone(&gateway.health),
        connector: Arc::clone(&gateway.ports.connector),
        clock: Arc::clone(&gateway.clock),
        changed: Arc::clone(&gateway.reach_changed),
    };
    tokio::select! {
        () = checker.run() => {}
        () = gateway.stopped.cancelled() => {}
    }
}

async fn check_unlisted(gateway: Arc<Gateway>) {
    let checker = unlisted_check::Checker {
        registry: Arc::clone(&gateway.registry),
        notices: Arc::clone(&gateway.notices),
        orders: Arc::clone(&gateway.ports.orders),
        clock: Arc::clone(&gateway.clock),
        alive: Arc::default(),
    };
    tokio::select! {
        () = checker.run(|| gateway.environment()) => {}
        () = gateway.stopped.cancelled() => {}
    }
}

// Completes when no request is in progress and the lease is released.
async fn finished(gateway: &Gateway) {
    gateway.work.wait().await;
    while gateway.holds_lease() {
        gateway.clock.sleep(LEASE_CHECK_INTERVAL).await;
    }
}
