//! State shared by the tasks of an instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_control::catalog::{Catalog, Repository};
use almondbank_control::membership::Members;
use almondbank_port::clock::Clock;
use almondbank_port::table::Table;
use almondbank_port::{http, retry, roster, runner};
use almondbank_serving::admission::Controller;
use almondbank_serving::ledger::Ledger;
use almondbank_wire::settings::Settings;
use almondbank_wire::ticket::Ticket;
use almondbank_wire::{id, peer};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::links::Links;
use crate::metrics::Metrics;
use crate::term::Term;

/// State shared by the tasks of an instance.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) incarnation: id::Incarnation,
    /// Start of this process on the injected clock.
    pub(crate) started: Duration,
    /// Bound address for callers and operators.
    pub(crate) callers: SocketAddr,
    /// Bound address for other instances.
    pub(crate) peers: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) repository: Repository,
    pub(crate) roster: Arc<dyn roster::Roster>,
    pub(crate) runners: Arc<dyn runner::Runner>,
    pub(crate) http: http::Client,
    /// Client that opens a connection for each request.
    pub(crate) unpooled_http: http::Client,
    pub(crate) catalog: Catalog,
    pub(crate) members: Members,
    pub(crate) admission: Arc<Controller>,
    pub(crate) ledger: Ledger,
    pub(crate) links: Links,
    pub(crate) metrics: Metrics,
    pub(crate) retries: retry::Budget,
    /// Usage that this instance last published.
    pub(crate) usage: watch::Sender<Arc<Vec<peer::Usage>>>,
    /// Wakes the usage task when a request finds no ready replica.
    pub(crate) cold_request: Notify,
    /// Wakes the member task when another instance has connected.
    pub(crate) peer_joined: Notify,
    /// Wakes the leader task before its next interval.
    pub(crate) leader_wake: Notify,
    /// Current term, if this instance holds the lease.
    pub(crate) term: Mutex<Option<Arc<Term>>>,
    /// Highest fencing token that this instance held and will not use again.
    pub(crate) stepped_down: AtomicU64,
    /// Whether the current document is the newest, as far as table and peers show.
    pub(crate) ready: watch::Sender<bool>,
    /// Cancelled when the instance begins to shut down.
    pub(crate) leaving: CancellationToken,
    /// When the instance began to shut down.
    pub(crate) leaving_since: Mutex<Option<Duration>>,
    /// Cancelled when all tasks are to end.
    pub(crate) stopped: CancellationToken,
    /// Calls of plain services, which go on when their callers disconnect.
    pub(crate) calls: TaskTracker,
}

impl Node {
    /// Time since this process started.
    pub(crate) fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.started)
    }

    /// Issues a ticket for calls that only this incarnation may run.
    pub(crate) fn ticket(&self) -> Ticket {
        Ticket {
            incarnation: self.incarnation.clone(),
            issued: self.age(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Begins to shut down: callers are sent to other instances, and the lease is
    /// released.
    pub(crate) fn leave(&self) {
        self.leaving_since
            .lock()
            .get_or_insert_with(|| self.clock.now());
        self.leaving.cancel();
    }

    /// Time since the instance began to shut down; `None` if it has not.
    pub(crate) fn leaving_for(&self) -> Option<Duration> {
        let leaving_since = *self.leaving_since.lock();
        leaving_since.map(|leaving_since| self.clock.now().saturating_sub(leaving_since))
    }

    /// Fencing token of the current term, or 0 if this instance is not the leader.
    pub(crate) fn fencing(&self) -> id::Fencing {
        self.term.lock().as_ref().map_or(0, |term| term.fencing())
    }

    /// The heartbeat to send to `incarnation`. It contains the usage only if the
    /// receiver is a leader.
    pub(crate) fn heartbeat_for(&self, incarnation: &str) -> peer::Heartbeat {
        let now = self.clock.now();
        let member = self.members.find(incarnation, now);
        let heartbeat = member.and_then(|member| member.heartbeat);
        let usage = if heartbeat.is_some_and(|heartbeat| heartbeat.keeper > 0) {
            self.usage.borrow().to_vec()
        } else {
            Vec::new()
        };
        peer::Heartbeat {
            revision: self.catalog.current().revision,
            leaving: self.is_leaving(),
            keeper: self.fencing(),
            stepped_down: self.stepped_down.load(Ordering::Acquire),
            usage,
        }
    }

    /// Peer addresses of all known instances and of the seeds in the settings.
    pub(crate) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self.members.all().into_values();
        let known = members.map(|member| member.peers);
        known.chain(self.settings.seeds.iter().copied()).collect()
    }

    pub(crate) fn environment(&self) -> &str {
        &self.settings.environment
    }
}
