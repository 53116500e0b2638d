//! State of one term of the shard's lease, shared by the leader's tasks.

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

/// A request to make an adapter resident on a replica.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) adapter: id::Adapter,
    pub(crate) replica: id::Replica,
    /// Receives whether the adapter is resident.
    pub(crate) reply: oneshot::Sender<bool>,
}

/// One period for which this instance holds the lease.
#[derive(Debug)]
pub(crate) struct Term {
    fencing: id::Fencing,
    valid_until_nanos: AtomicU64,
    clock: Arc<dyn Clock>,
    runners: Arc<dyn Runner>,
    order_count: AtomicU64,
    /// Latest report of each runner.
    pub(crate) observations: Mutex<BTreeMap<id::Runner, Observation>>,
    /// Replica rows after the leader's latest step.
    pub(crate) replicas: Mutex<BTreeMap<id::Replica, row::Replica>>,
    /// Runners that do not check fencing tokens and may still execute the last
    /// order of a former leader.
    pub(crate) unfenced: Mutex<BTreeSet<id::Runner>>,
    /// Time until which a runner is polled at the fast interval.
    pub(crate) fast_poll_until: Mutex<BTreeMap<id::Runner, Duration>>,
    /// Runners that operators have drained.
    pub(crate) drained: Mutex<BTreeSet<id::Runner>>,
    /// Runners whose VM the roster lists as leaving.
    pub(crate) roster_leaving: Mutex<BTreeSet<id::Runner>>,
    /// Runners in `drained` or `roster_leaving`; they get no new work.
    pub(crate) leaving: Mutex<BTreeSet<id::Runner>>,
    /// Queue of the adapter task.
    pub(crate) requests: mpsc::Sender<Request>,
}

impl Term {
    pub(crate) fn new(
        fencing: id::Fencing,
        clock: Arc<dyn Clock>,
        runners: Arc<dyn Runner>,
        requests: mpsc::Sender<Request>,
    ) -> Self {
        Self {
            fencing,
            valid_until_nanos: AtomicU64::new(0),
            clock,
            runners,
            order_count: AtomicU64::new(0),
            observations: Mutex::default(),
            replicas: Mutex::default(),
            unfenced: Mutex::default(),
            fast_poll_until: Mutex::default(),
            drained: Mutex::default(),
            roster_leaving: Mutex::default(),
            leaving: Mutex::default(),
            requests,
        }
    }

    pub(crate) fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Allows orders to be sent until `valid_until`.
    pub(crate) fn extend(&self, valid_until: Duration) {
        let nanos = u64::try_from(valid_until.as_nanos()).unwrap_or(u64::MAX);
        self.valid_until_nanos.store(nanos, Ordering::Release);
    }

    /// Allows no more orders to be sent.
    pub(crate) fn end(&self) {
        self.valid_until_nanos.store(0, Ordering::Release);
    }

    /// Whether orders may be sent.
    pub(crate) fn is_valid(&self) -> bool {
        let until = Duration::from_nanos(self.valid_until_nanos.load(Ordering::Acquire));
        self.clock.now() < until
    }

    /// Sends `order` to the runner at `address`; fails with `NotSent` if the term
    /// is not valid.
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

    /// Makes an order id that is unique across terms.
    pub(crate) fn next_order_id(&self, kind: &str) -> id::Order {
        let number = self.order_count.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{}-{number}", self.fencing)
    }
}
