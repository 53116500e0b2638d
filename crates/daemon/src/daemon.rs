//! Start and shutdown of an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use almondbank_control::catalog::{Catalog, Repository};
use almondbank_control::membership::{self, Members};
use almondbank_port::clock::Clock;
use almondbank_port::objects::Objects;
use almondbank_port::table::Table;
use almondbank_port::{http, objects_http, retry, roster_http, runner_http, table_http};
use almondbank_serving::admission::{Controller, Limits};
use almondbank_serving::ledger::Ledger;
use almondbank_wire::settings::Settings;
use parking_lot::Mutex;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::error::Code;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::{Result, document_task, leader_task, listener, member_task, server};

const MAX_QUEUE_BYTES: usize = 48 << 20;
const MAX_KEYS: usize = 1 << 16;
const RETRY_BURST: u32 = 100;
/// Time for which the server keeps running after the shutdown has begun, so that
/// callers with a cached list of entries can move to another instance.
const SERVER_STOP_DELAY: Duration = Duration::from_secs(4);
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    server: ServerHandle,
    server_task: JoinHandle<()>,
    leader_task: JoinHandle<()>,
}

impl Daemon {
    /// Binds the addresses in `settings` and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self> {
        let callers = bind(settings.callers_listen).await?;
        let peers = bind(settings.peers_listen).await?;
        let addresses = Addresses {
            callers: bound_address(&callers, settings.callers_listen)?,
            peers: bound_address(&peers, settings.peers_listen)?,
        };
        let node = Arc::new(node(settings, clock, addresses)?);
        log::info!("starting {}", node.incarnation);
        let acceptor =
            TcpAcceptor::try_from(callers).map_err(|error| Code::Bind(addresses.callers, error))?;
        let http = server::new(&node, acceptor);
        let handle = http.handle();
        let service = server::service(&node);
        let server_task = tokio::spawn(async move { http.serve(service).await });
        tokio::spawn(listener::run(Arc::clone(&node), peers));
        tokio::spawn(document_task::run(Arc::clone(&node)));
        tokio::spawn(document_task::apply_editions(Arc::clone(&node)));
        tokio::spawn(member_task::run(Arc::clone(&node)));
        tokio::spawn(member_task::poll_roster(Arc::clone(&node)));
        tokio::spawn(member_task::publish_usage(Arc::clone(&node)));
        let leader_task = tokio::spawn(leader_task::run(Arc::clone(&node)));
        Ok(Self {
            node,
            server: handle,
            server_task,
            leader_task,
        })
    }

    /// Bound address for callers and operators.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.node.callers
    }

    /// Bound address for other instances.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.node.peers
    }

    /// Completes when the instance begins to shut down, on request of an operator, the
    /// roster or [`Daemon::shutdown`].
    pub async fn leaving(&self) {
        self.node.leaving.cancelled().await;
    }

    /// Shuts down gracefully.
    ///
    /// Releases the lease, sends callers to other instances, waits until all
    /// requests and calls have ended or the drain time of the settings has passed,
    /// and stops all tasks.
    pub async fn shutdown(self) {
        let node = self.node;
        node.leave();
        let handover = async {
            let _ = self.leader_task.await;
        };
        tokio::select! {
            () = handover => {}
            () = node.clock.sleep(HANDOVER_TIMEOUT) => log::warn!("the leader task did not stop in time; the lease may not be released"),
        }
        let leaving_for = node.leaving_for().unwrap_or_default();
        node.clock
            .sleep(SERVER_STOP_DELAY.saturating_sub(leaving_for))
            .await;
        self.server.stop_graceful(Some(node.settings.drain_timeout));
        let _ = self.server_task.await;
        node.calls.close();
        tokio::select! {
            () = node.calls.wait() => {}
            () = node.clock.sleep(node.settings.drain_timeout) => log::warn!("the drain time has passed; some calls are still running"),
        }
        node.stopped.cancel();
    }
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    peers: SocketAddr,
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| Code::Bind(address, error))?;
    Ok(listener)
}

fn bound_address(listener: &TcpListener, requested: SocketAddr) -> Result<SocketAddr> {
    let address = listener
        .local_addr()
        .map_err(|error| Code::Bind(requested, error))?;
    Ok(address)
}

fn node(settings: Settings, clock: Arc<dyn Clock>, addresses: Addresses) -> Result<Node> {
    let http = http::Client::new();
    let table: Arc<dyn Table> = Arc::new(table_http::Client::new(settings.table, http.clone()));
    let objects: Arc<dyn Objects> =
        Arc::new(objects_http::Client::new(settings.objects, http.clone()));
    let repository = Repository {
        table: Arc::clone(&table),
        objects,
        clock: Arc::clone(&clock),
    };
    let limits = Limits {
        requests: settings.max_queue,
        bytes: MAX_QUEUE_BYTES,
    };
    Ok(Node {
        incarnation: membership::incarnation(&settings.instance),
        started: clock.now(),
        callers: addresses.callers,
        peers: addresses.peers,
        table,
        repository,
        roster: Arc::new(roster_http::Client::new(settings.roster, http.clone())),
        runners: Arc::new(runner_http::Client::new(http.clone())),
        http,
        unpooled_http: http::Client::unpooled(),
        catalog: Catalog::new(settings.environment.clone()),
        members: Members::default(),
        admission: Arc::new(Controller::new(Arc::clone(&clock), limits)),
        ledger: Ledger::new(settings.key_ttl, MAX_KEYS),
        links: Links::default(),
        metrics: Metrics::new()?,
        retries: retry::Budget::new(RETRY_BURST),
        usage: watch::Sender::default(),
        cold_request: Notify::new(),
        peer_joined: Notify::new(),
        leader_wake: Notify::new(),
        term: Mutex::default(),
        stepped_down: AtomicU64::new(0),
        ready: watch::Sender::new(false),
        leaving: CancellationToken::new(),
        leaving_since: Mutex::default(),
        stopped: CancellationToken::new(),
        calls: TaskTracker::new(),
        clock,
        settings,
    })
}
