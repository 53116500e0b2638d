//! Sends orders and queries to runners during one term of the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_wire::mesh;
use tokio::sync::broadcast;
use tokio_util::task::TaskTracker;

use crate::Category;
use crate::authority::Authority;
use crate::fanout::{Envelope, Origin};
use crate::fleet::Fleet;
use crate::health::Health;
use crate::metrics::Metrics;
use crate::notices::{Kind, MAX_CLOSED, Notices, Response};
use crate::order::{Action, Answer, Order, Orders, Receipt};
use crate::registry::Registry;
use crate::runner::State;
use crate::{Result, notice_log, reach};

/// Maximum number of times that an order without a response is sent again.
const MAX_RESENDS: u32 = 2;
const RESEND_DELAY: Duration = Duration::from_millis(250);
/// Time without orders for a runner after one whose outcome is unknown.
const UNKNOWN_OUTCOME_BLOCK: Duration = Duration::from_secs(1);
/// Time without orders and further queries after the start of a query, and delay of
/// the query after a conflict; reports of a runner lag.
pub(crate) const QUERY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The runner executes the order.
    Accepted,
    /// The runner was already in the state that the order leads to.
    Unchanged,
    /// The runner did not accept the order, or this is not known.
    Failed,
}

impl Outcome {
    pub(crate) fn is_success(self) -> bool {
        self != Self::Failed
    }
}

/// Sender of orders and queries, with the state of the runners that follows from them.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) authority: Arc<Authority>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) orders: Arc<dyn Orders>,
    pub(crate) metrics: Metrics,
    pub(crate) registry: Arc<Registry>,
    pub(crate) health: Arc<Health>,
    pub(crate) notices: Arc<Notices>,
    pub(crate) reach: Arc<reach::Tracker>,
    pub(crate) fanout: broadcast::Sender<Arc<Envelope>>,
    pub(crate) fleet: Fleet,
    /// Orders that a runner has not answered yet.
    pub(crate) unanswered: TaskTracker,
}

impl Dispatcher {
    /// Waits until no order is without an answer. No new ones may be sent any more.
    pub(crate) async fn orders_answered(&self) {
        self.unanswered.close();
        self.unanswered.wait().await;
    }

    /// Sends an order until its outcome is known. A resent order cannot run twice,
    /// because the runner accepts each sequence number only once.
    pub(crate) async fn order(
        &self,
        runner: &str,
        action: Action,
        model: &str,
        adapter: Option<&str>,
    ) -> Outcome {
        for _ in 0..=MAX_RESENDS {
            if !self.authority.may_order() {
                return Outcome::Failed;
            }
            let Some((address, order)) = self.draft(runner, action, model, adapter) else {
                return Outcome::Failed;
            };
            let unanswered = self.unanswered.token();
            let sent_at = self.clock.now();
            let answer = self.orders.order(address, &order).await;
            drop(unanswered);
            let receipt = self.receive(runner, sent_at, answer);
            self.log_order(&order, &receipt);
            match receipt {
                Ok(Receipt::Accepted) => {
                    self.update(&order, State::record_accepted);
                    return Outcome::Accepted;
                }
                Ok(Receipt::Holds) => {
                    self.update(&order, State::record_unchanged);
                    return Outcome::Unchanged;
                }
                Ok(Receipt::Stale) => {
                    self.authority.ended.cancel();
                    return Outcome::Failed;
                }
                Ok(Receipt::Conflict) => {
                    self.clock.sleep(QUERY_DELAY).await;
                    self.fleet.write(runner, |state| state.sequence = None);
                    self.refresh(runner).await;
                    let holds = self.fleet.holds(runner, action, model, adapter);
                    return if holds {
                        Outcome::Unchanged
                    } else {
                        Outcome::Failed
                    };
                }
                Ok(Receipt::OtherRunner | Receipt::Rejected) => return Outcome::Failed,
                Err(error) if error.category() == Category::NotSent => {
                    self.block(runner, UNKNOWN_OUTCOME_BLOCK);
                    return Outcome::Failed;
                }
                Err(_) => {
                    self.update(&order, |state, order, _| state.record_unanswered(order));
                    self.clock.sleep(RESEND_DELAY).await;
                }
            }
        }
        self.block(runner, UNKNOWN_OUTCOME_BLOCK);
        self.refresh(runner).await;
        Outcome::Failed
    }

    /// Sends the runner no orders for `time`.
    pub(crate) fn block(&self, runner: &str, time: Duration) {
        self.fleet.block(runner, self.clock.now() + time);
    }

    fn draft(
        &self,
        runner: &str,
        action: Action,
        model: &str,
        adapter: Option<&str>,
    ) -> Option<(SocketAddr, Order)> {
        let draft = self.fleet.draft(runner)?;
        let order = Order {
            runner: runner.to_owned(),
            action,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            sequence: draft.sequence,
            holder: self.authority.holder().clone(),
            fencing: self.authority.fencing(),
        };
        Some((draft.address, order))
    }

    fn update(&self, order: &Order, write: impl FnOnce(&mut State, &Order, Duration)) {
        let now = self.clock.now();
        self.fleet
            .update(order, |state, order| write(state, order, now));
    }

    /// Queries the runner for its models and its count of accepted orders.
    pub(crate) async fn refresh(&self, runner: &str) {
        let address = self.fleet.read(runner, |state| state.address);
        let Some(address) = address else { return };
        let sent_at = self.clock.now();
        let answer = self.orders.report(address, runner).await;
        let reported = self.receive(runner, sent_at, answer);
        let now = self.clock.now();
        match reported {
            Ok(report) => {
                log::info!(
                    runner, sequence = report.sequence, busy = report.busy,
                    models = report.models.len();
                    "runner state received"
                );
                if let Some(held) = self.fleet.apply_report(runner, report, now) {
                    self.publish(held);
                }
            }
            Err(error) => log::info!(runner, error:% = error; "query of the runner failed"),
        }
    }

    /// Ejects the runner if it does not respond to a query. The report itself is not
    /// used: an order may be on its way, and a report from before it would make the
    /// order seem not to have been accepted.
    pub(crate) async fn probe(&self, runner: &str) {
        let Some(address) = self.fleet.read(runner, |state| state.address) else {
            return;
        };
        let sent_at = self.clock.now();
        let answer = self.orders.report(address, runner).await;
        if let Err(error) = self.receive(runner, sent_at, answer) {
            log::info!(runner, error:% = error; "probe of the runner failed");
            self.health.record_connect_failure(runner, self.clock.now());
        }
    }

    // Records what the answer, or the lack of one, says about the runner; returns the
    // answer's content.
    fn receive<T>(&self, runner: &str, sent_at: Duration, answer: Result<Answer<T>>) -> Result<T> {
        let known = self.registry.get(runner);
        let Answer { notice, content } = answer.inspect_err(|_| {
            if let Some(known) = &known {
                self.reach.record_failure(&known.registration.service);
            }
        })?;
        if let Some(known) = known {
            let response = Response {
                run: (&known).into(),
                sent_at,
                kind: Kind::Other,
            };
            let now = self.clock.now();
            let changes = self.notices.record(&self.registry, response, &notice, now);
            notice_log::log(&changes, runner, None);
        }
        if let Some(closed_for) = notice.closed_for {
            self.block(runner, closed_for.min(MAX_CLOSED));
        }
        content
    }

    /// Replaces the models of a runner at this instance and its peers.
    pub(crate) fn publish(&self, held: mesh::Held) {
        self.registry.apply_held(held.clone());
        let envelope = Envelope {
            message: mesh::Message::Held(held),
            origin: Origin::Own,
        };
        // Sending fails only if there are no peers.
        let _ = self.fanout.send(Arc::new(envelope));
    }

    fn log_order(&self, order: &Order, receipt: &Result<Receipt>) {
        // Error texts are not bounded in number, so the metric gets the category.
        let (label, receipt) = match receipt {
            Ok(receipt) => (receipt.to_string(), receipt.to_string()),
            Err(error) => (error.category().to_string(), error.to_string()),
        };
        log::info!(
            runner = order.runner.as_str(), action:% = order.action,
            model = order.model.as_str(), adapter = order.adapter.as_deref(),
            sequence = order.sequence, fencing = order.fencing, receipt = receipt.as_str();
            "order sent"
        );
        self.metrics.order(order.action.to_string(), label);
    }
}
