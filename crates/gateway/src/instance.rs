//! Start and shutdown of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::gateway::Settings;
use tokio::net::TcpListener;

use crate::call::Call;
use crate::error::Code;
use crate::explanation::{self, Explanation};
use crate::gateway::{Gateway, Ports};
use crate::memory::connections::Purpose;
use crate::reach_check::Checker;
use crate::refusal::Refusal;
use crate::server;
use crate::{
    Result, crash_check, discovery, environment_record, leader, memory_watch, mesh,
    quarantine_record, report, stream_record, tcp, unlisted_check, version_record, watcher,
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

/// Receive buffer of an accepted connection, in bytes, which the kernel doubles. What callers
/// send while nothing is read counts toward the memory of the machine. A body of the usual size,
/// up to 55 KB, fits.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// A running gateway.
#[derive(Debug)]
pub struct Instance {
    gateway: Arc<Gateway>,
}

impl Instance {
    /// Binds the addresses in `settings` and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start(mut settings: Settings, ports: Ports) -> Result<Self> {
        let listen = &mut settings.listen;
        let small = Some(RECEIVE_BUFFER);
        let callers = bind(&mut listen.callers, small)?;
        let ready = bind(&mut listen.ready, small)?;
        let peers = bind(&mut listen.peers, None)?;
        let directory = bind(&mut listen.directory, small)?;
        let metrics = bind(&mut listen.metrics, small)?;
        let gateway = Arc::new(Gateway::new(settings, ports)?);
        let reports = report::channel();
        tokio::spawn(mesh::listen(Arc::clone(&gateway), peers, reports.clone()));
        tokio::spawn(discovery::run(Arc::clone(&gateway), reports.clone()));
        tokio::spawn(discovery::update_topology(Arc::clone(&gateway)));
        tokio::spawn(report::run(Arc::clone(&gateway), reports));
        tokio::spawn(report::summarize(Arc::clone(&gateway)));
        tokio::spawn(environment_record::run(Arc::clone(&gateway)));
        tokio::spawn(watcher::follow_environment(Arc::clone(&gateway)));
        tokio::spawn(watcher::follow_registrations(Arc::clone(&gateway)));
        tokio::spawn(watcher::sweep(Arc::clone(&gateway)));
        tokio::spawn(version_record::run(Arc::clone(&gateway)));
        tokio::spawn(quarantine_record::run(Arc::clone(&gateway)));
        tokio::spawn(crash_check::run(Arc::clone(&gateway)));
        tokio::spawn(stream_record::run(Arc::clone(&gateway)));
        tokio::spawn(leader::run(Arc::clone(&gateway)));
        tokio::spawn(memory_watch::run(Arc::clone(&gateway)));
        tokio::spawn(check_reach(Arc::clone(&gateway)));
        tokio::spawn(check_unlisted(Arc::clone(&gateway)));
        let listeners = [
            (callers, Purpose::Callers),
            (ready, Purpose::Ready),
            (directory, Purpose::Directory),
            (metrics, Purpose::Metrics),
        ];
        for (listener, purpose) in listeners {
            tokio::spawn(server::run(Arc::clone(&gateway), listener, purpose));
        }
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

fn bind(address: &mut SocketAddr, receive_buffer: Option<u32>) -> Result<TcpListener> {
    let fail = |error: std::io::Error| Code::Connect(format!("cannot listen: {error}"));
    let listener = tcp::listen(*address, receive_buffer).map_err(fail)?;
    *address = listener.local_addr().map_err(fail)?;
    Ok(listener)
}
