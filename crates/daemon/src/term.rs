//! One holding of the shard's lease, as the tasks that give orders see it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_control::observation::Observation;
use almondbank_port as platform;
use almondbank_port::clock::Clock;
use almondbank_port::runner::Runner;
use almondbank_wire::order::{Order, Receipt};
use almondbank_wire::{id, row};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// A request to make an adapter resident.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) adapter: id::Adapter,
    pub(crate) replica: id::Replica,
    pub(crate) reply: oneshot::Sender<bool>,
}

/// One holding of the lease.
#[derive(Debug)]
pub(crate) struct Term {
    fencing: id::Fencing,
    valid_until_nanos: AtomicU64,
    clock: Arc<dyn Clock>,
    runners: Arc<dyn Runner>,
    order: AtomicU64,
    /// Last reports of the runners.
    pub(crate) observations: Mutex<BTreeMap<id::Runner, Observation>>,
    /// Rows of the replicas.
    pub(crate) replicas: Mutex<BTreeMap<id::Replica, row::Replica>>,
    /// Runners that may still carry out a last order of a former leader.
    pub(crate) exposed: Mutex<BTreeSet<id::Runner>>,
    /// Until when the reports of a runner are read more often.
    pub(crate) hurried: Mutex<BTreeMap<id::Runner, Duration>>,
    /// Runners that operators drain.
    pub(crate) drained: Mutex<BTreeSet<id::Runner>>,
    /// Runners whose VM is listed as leaving.
    pub(crate) listed_leaving: Mutex<BTreeSet<id::Runner>>,
    /// Runners that get no new work, for either reason.
    pub(crate) leaving: Mutex<BTreeSet<id::Runner>>,
    /// Requests for adapters.
    pub(crate) asks: mpsc::Sender<Ask>,
}

impl Term {
    pub(crate) fn new(
        fencing: id::Fencing,
        clock: Arc<dyn Clock>,
        runners: Arc<dyn Runner>,
        asks: mpsc::Sender<Ask>,
    ) -> Self {
        Self {
            fencing,
            valid_until_nanos: AtomicU64::new(0),
            clock,
            runners,
            order: AtomicU64::new(0),
            observations: Mutex::default(),
            replicas: Mutex::default(),
            exposed: Mutex::default(),
            hurried: Mutex::default(),
            drained: Mutex::default(),
            listed_leaving: Mutex::default(),
            leaving: Mutex::default(),
            asks,
        }
    }

    pub(crate) fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Extends the time in which orders may be sent.
    pub(crate) fn extend(&self, valid_until: Duration) {
        let nanos = u64::try_from(valid_until.as_nanos()).unwrap_or(u64::MAX);
        self.valid_until_nanos.store(nanos, Ordering::Release);
    }

    /// Ends the time in which orders may be sent.
    pub(crate) fn end(&self) {
        self.valid_until_nanos.store(0, Ordering::Release);
    }

    pub(crate) fn is_valid(&self) -> bool {
        let until = Duration::from_nanos(self.valid_until_nanos.load(Ordering::Acquire));
        self.clock.now() < until
    }

    /// Sends an order if the lease is valid.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> platform::Result<Receipt> {
        if !self.is_valid() {
            return Err(platform::Error::not_sent());
        }
        self.runners.order(address, order).await
    }

    pub(crate) fn next_order(&self, kind: &str) -> id::Order {
        let number = self.order.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{}-{number}", self.fencing)
    }
}
