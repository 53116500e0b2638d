//! What the tasks of one instance share.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_control::catalog::{Catalog, Registry};
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

/// What the tasks of one instance share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) started: Duration,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) registry: Registry,
    pub(crate) roster: Arc<dyn roster::Roster>,
    pub(crate) runners: Arc<dyn runner::Runner>,
    pub(crate) http: http::Client,
    pub(crate) fresh_http: http::Client,
    pub(crate) catalog: Catalog,
    pub(crate) members: Members,
    pub(crate) admission: Arc<Controller>,
    pub(crate) ledger: Ledger,
    pub(crate) links: Links,
    pub(crate) metrics: Metrics,
    pub(crate) retries: retry::Budget,
    pub(crate) usage: watch::Sender<Arc<Vec<peer::Usage>>>,
    /// Wakes the usage task when a request found no ready replica.
    pub(crate) cold: Notify,
    /// Wakes the member task when an instance has connected.
    pub(crate) joined: Notify,
    /// Wakes the leader.
    pub(crate) work: Notify,
    /// The lease that this instance holds, if it does.
    pub(crate) term: Mutex<Option<Arc<Term>>>,
    /// Highest fencing number that was held and will never be used again.
    pub(crate) stepped_down: AtomicU64,
    /// Whether the document in force is as new as can be known.
    pub(crate) ready: watch::Sender<bool>,
    /// Cancelled when the instance begins to leave.
    pub(crate) leaving: CancellationToken,
    /// When it began to leave.
    pub(crate) left_at: Mutex<Option<Duration>>,
    /// Cancelled when all tasks are to end.
    pub(crate) stopped: CancellationToken,
    /// Calls of plain services that go on whatever becomes of their callers.
    pub(crate) calls: TaskTracker,
}

impl Node {
    /// Age of this incarnation.
    pub(crate) fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.started)
    }

    /// A ticket for calls that only this incarnation may run.
    pub(crate) fn ticket(&self) -> Ticket {
        Ticket {
            incarnation: self.incarnation.clone(),
            issued: self.age(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Begins to leave: callers are sent elsewhere, the lease is handed over.
    pub(crate) fn leave(&self) {
        self.left_at.lock().get_or_insert_with(|| self.clock.now());
        self.leaving.cancel();
    }

    /// Time since the instance began to leave.
    pub(crate) fn left_for(&self) -> Option<Duration> {
        let left_at = *self.left_at.lock();
        left_at.map(|left_at| self.clock.now().saturating_sub(left_at))
    }

    /// Fencing number of the lease held, or 0.
    pub(crate) fn fencing(&self) -> id::Fencing {
        self.term.lock().as_ref().map_or(0, |t| t.fencing())
    }

    /// The heartbeat for the instance that is `incarnation`: only a leader
    /// needs the usage.
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

    /// Addresses at which other instances are or may be.
    pub(crate) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self.members.all().into_values();
        let known = members.map(|member| member.peers);
        known.chain(self.settings.seeds.iter().copied()).collect()
    }

    pub(crate) fn environment(&self) -> &str {
        &self.settings.environment
    }
}
