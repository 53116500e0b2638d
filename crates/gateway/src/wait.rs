//! The wait of one request for a replica of its model, as part of the reported demand.

use std::sync::Arc;

use crate::demand::Waiting;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::refusal::{Reason, Refusal};

/// The wait of one request. It counts as demand from its start until it is dropped.
pub(crate) struct Wait {
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    waiting: Option<Waiting>,
}

impl Wait {
    pub(crate) fn new(gateway: Arc<Gateway>, exchange: Arc<Exchange>) -> Self {
        Self {
            gateway,
            exchange,
            waiting: None,
        }
    }

    /// Starts the wait, unless it has started.
    pub(crate) fn start(&mut self) {
        if self.waiting.is_some() {
            return;
        }
        if let Some(target) = &self.exchange.call.target {
            log::info!(
                request = self.exchange.call.attempt.as_str(), model = target.model.as_str();
                "waiting for a replica of the model"
            );
        }
        self.record();
    }

    /// Keeps a request that is refused for lack of a replica that may be sent to in the reported demand
    /// until its caller is to return, so that the model is loaded by then.
    pub(crate) fn expect_return(mut self, refusal: &Refusal) {
        let (Reason::NoReplica | Reason::RunnerLimit | Reason::RunnerClosed, Some(delay)) =
            (refusal.reason, refusal.retry_after)
        else {
            return;
        };
        self.record();
        tokio::spawn(async move {
            tokio::select! {
                () = self.gateway.clock.sleep(delay) => {}
                () = self.gateway.stopped.cancelled() => {}
            }
            drop(self.waiting);
        });
    }

    fn record(&mut self) {
        let Some(model) = self.exchange.model() else {
            return;
        };
        if self.waiting.is_none() {
            let demand = &self.gateway.demand;
            let objective = self.exchange.route.objective;
            let waiting = demand.start_wait(&self.exchange.service, model, objective);
            self.waiting = Some(waiting);
        }
    }
}
