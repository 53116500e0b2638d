//! Sends a request to runners until one responds or no further send is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, http};
use tokio::time;

use crate::delivery::Delivery;
use crate::exchange::Exchange;
use crate::forward::millis;
use crate::gateway::Gateway;
use crate::outcome::{Outcome, Response, Stream};
use crate::pool::Failure;
use crate::protocol::{Dispatch, Verdict};
use crate::refusal::{Reason, Refusal};
use crate::route::Kind;
use crate::selection::{self, Chosen, Excluded, Selection};
use crate::wait::Wait;
use crate::{crash_report, id, mesh, relay};

/// Time reserved for returning the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Interval at which a waiting request checks the registry without a change
/// notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a request after the load of its adapter was ordered.
const ADAPTER_LOAD_DELAY: Duration = Duration::from_millis(8);
/// Maximum number of sends of one request, including rejected ones.
const MAX_SENDS: u32 = 4;
/// Maximum size of a response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// State of one request across its sends to runners.
pub(crate) struct Attempt {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) exchange: Arc<Exchange>,
    excluded: Excluded,
    /// Number of sends.
    sends: u32,
    /// Number of sends that a runner may have executed.
    runs: u32,
    /// Whether a send is in progress and its result is unknown.
    is_in_flight: bool,
    /// Id of the event after which a stream is resumed.
    resume_after: Option<u64>,
    /// Last server error from a runner; returned if no other runner succeeds.
    failed: Option<(id::Runner, Response)>,
}

impl Attempt {
    pub(crate) fn new(gateway: Arc<Gateway>, exchange: Arc<Exchange>) -> Self {
        Self {
            gateway,
            exchange,
            excluded: Excluded::default(),
            sends: 0,
            runs: 0,
            is_in_flight: false,
            resume_after: None,
            failed: None,
        }
    }

    /// Sends the request until a runner responds, no further send is allowed, or
    /// this instance aborts pending requests.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) async fn run(&mut self) -> Result<Response, Refusal> {
        let gateway = Arc::clone(&self.gateway);
        let result = tokio::select! {
            result = self.try_runners() => result,
            () = gateway.aborting.cancelled() => {
                let refusal = Refusal::new(Reason::Leaving).with_retry_after(Duration::ZERO);
                Err(self.adjust_refusal(refusal))
            }
        };
        match result {
            Err(refusal) => match self.failed.take() {
                Some((runner, failure)) => {
                    self.log_response(&runner, failure.status());
                    Ok(failure)
                }
                None => Err(refusal),
            },
            response => response,
        }
    }

    /// Resumes a stream that broke after the event `after` on another runner.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be sent again or no runner accepts it.
    pub(crate) async fn resume(
        &mut self,
        runner: &str,
        after: Option<u64>,
    ) -> Result<Box<Stream>, Refusal> {
        self.runs += 1;
        self.excluded.tried.insert(runner.to_owned());
        if !self.may_repeat() {
            return Err(Refusal::new(Reason::Broken));
        }
        self.resume_after = after;
        match self.try_runners().await? {
            Response::Stream(stream) => Ok(stream),
            Response::Complete(..) => Err(Refusal::new(Reason::BadAnswer)),
        }
    }

    async fn try_runners(&mut self) -> Result<Response, Refusal> {
        loop {
            let chosen = self.choose().await?;
            if !chosen.holds_adapter && !self.load_adapter(&chosen).await {
                continue;
            }
            self.reserve_send()?;
            self.log_send(&chosen);
            let runner = chosen.runner.id().clone();
            self.is_in_flight = true;
            let outcome = self.send(*chosen).await;
            self.is_in_flight = false;
            match outcome {
                Outcome::Final(response) => return Ok(response),
                Outcome::Unsent => {
                    self.sends -= 1;
                    self.excluded.tried.insert(runner);
                }
                Outcome::NotRun(verdict) => self.record_not_run(&runner, verdict),
                Outcome::Failed(response) => {
                    self.runs += 1;
                    log::info!(
                        request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                        status = response.status(), send = self.sends;
                        "runner returned a server error"
                    );
                    self.excluded.tried.insert(runner.clone());
                    self.failed = Some((runner, response));
                    if !self.may_repeat() {
                        return Err(Refusal::new(Reason::Broken));
                    }
                }
                Outcome::Unknown(reason) => {
                    self.runs += 1;
                    self.excluded.tried.insert(runner);
                    if !self.may_repeat() {
                        return Err(Refusal::new(reason));
                    }
                }
            }
        }
    }

    fn may_repeat(&self) -> bool {
        let route = &self.exchange.route;
        route.is_repeatable() && self.runs < route.max_attempts
    }

    // Status 503 promises that the request has not run. Replaces such a refusal
    // if a runner may have executed the request.
    fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        let has_run = self.runs > 0 || self.is_in_flight;
        if !has_run || refusal.reason.status() != 503 {
            return refusal;
        }
        if refusal.reason == Reason::Expired {
            return Refusal::new(Reason::Timeout);
        }
        Refusal::new(Reason::Broken)
    }

    /// Selects a runner; waits until one can accept the request.
    async fn choose(&mut self) -> Result<Box<Chosen>, Refusal> {
        let mut changed = self.gateway.registry.subscribe();
        let mut wait = Wait::new(Arc::clone(&self.gateway), Arc::clone(&self.exchange));
        loop {
            match selection::select(&self.gateway, &self.exchange, &self.excluded) {
                Selection::Send(chosen) => return Ok(chosen),
                Selection::Refuse(refusal) => {
                    wait.expect_return(&refusal);
                    return Err(self.adjust_refusal(refusal));
                }
                Selection::Wait(refusal) => {
                    let now = self.gateway.now();
                    let left = self.exchange.wait_deadline().saturating_sub(now);
                    if left.is_zero() || self.failed.is_some() {
                        wait.expect_return(&refusal);
                        return Err(self.adjust_refusal(refusal));
                    }
                    wait.start();
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = self.gateway.clock.sleep(RECHECK_INTERVAL.min(left)) => {}
                    }
                    self.excluded.without_adapter.clear();
                }
            }
        }
    }

    /// Ensures that the runner holds the adapter; returns whether it does.
    async fn load_adapter(&mut self, chosen: &Chosen) -> bool {
        let Some(target) = self.exchange.call.target.as_ref() else {
            return true;
        };
        let Some(adapter) = &target.adapter else {
            return true;
        };
        let runner = chosen.runner.id();
        let is_loaded = mesh::ensure_adapter(&self.gateway, runner, &target.model, adapter).await;
        log::debug!(
            request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
            model = target.model.as_str(), adapter = adapter.as_str(), loaded = is_loaded;
            "adapter load requested"
        );
        if is_loaded {
            let registry = &self.gateway.registry;
            registry.mark_adapter_loaded(runner, &target.model, adapter);
            self.gateway.clock.sleep(ADAPTER_LOAD_DELAY).await;
            return true;
        }
        self.excluded.without_adapter.insert(runner.clone());
        false
    }

    /// Counts a send; each one after the first is taken from the retry budget.
    fn reserve_send(&mut self) -> Result<(), Refusal> {
        if self.sends > 0 {
            let now = self.gateway.now();
            let instances = self.gateway.members.share_count(now);
            let service = &self.exchange.service;
            let is_allowed =
                self.sends < MAX_SENDS && self.gateway.budget.withdraw(service, instances, now);
            if !is_allowed {
                return Err(self.adjust_refusal(Refusal::new(Reason::NoRetry)));
            }
            self.gateway.metrics.retry(service);
        }
        self.sends += 1;
        Ok(())
    }

    fn log_send(&self, chosen: &Chosen) {
        log::info!(
            request = self.exchange.call.attempt.as_str(),
            route = self.exchange.route.name.as_str(),
            environment = self.exchange.environment.version,
            runner = chosen.runner.id().as_str(),
            registration = chosen.runner.registration.revision,
            to_read = chosen.prefill_tokens,
            queued_tokens = chosen.queued_tokens,
            predicted_ms = millis(chosen.predicted),
            left_ms = millis(self.exchange.remaining(self.gateway.now())),
            send = self.sends;
            "request sent"
        );
    }

    fn record_not_run(&mut self, runner: &str, verdict: Verdict) {
        log::info!(
            request = self.exchange.call.attempt.as_str(), runner, verdict:? = verdict;
            "runner did not run the request"
        );
        let now = self.gateway.now();
        match (verdict, &self.exchange.call.target) {
            (Verdict::NotHeld, Some(target)) => {
                self.gateway.registry.mark_missing(runner, target, now);
            }
            (Verdict::NotRun, Some(target)) => {
                self.gateway
                    .registry
                    .mark_refusing(runner, &target.model, now);
            }
            (Verdict::OtherRunner, _) => {
                self.gateway
                    .health
                    .record_connect_failure(runner, self.gateway.now());
                self.excluded.tried.insert(runner.to_owned());
            }
            _ => {
                self.excluded.tried.insert(runner.to_owned());
            }
        }
    }

    async fn send(&self, chosen: Chosen) -> Outcome {
        let exchange = &self.exchange;
        let deadline = exchange.remaining(self.gateway.now());
        let sending = self.send_once(chosen);
        match time::timeout(deadline.saturating_sub(RESPONSE_MARGIN), sending).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown(Reason::Timeout),
        }
    }

    async fn send_once(&self, chosen: Chosen) -> Outcome {
        let gateway = &self.gateway;
        let exchange = &self.exchange;
        let runner = chosen.runner.id().clone();
        let mut connection = match gateway.pool.connect(&runner, chosen.runner.address).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "failed to connect to the runner"
                );
                gateway
                    .health
                    .record_connect_failure(&runner, gateway.now());
                return Outcome::Unsent;
            }
        };
        if !connection.is_reused {
            gateway.metrics.connection();
        }
        let Some(request) = self.request(&chosen) else {
            return Outcome::Unknown(Reason::BadRequest);
        };
        let target = exchange.call.target.as_ref();
        let model = target.map_or("", |target| target.model.as_str());
        let guard =
            gateway
                .in_flight
                .track(&runner, target, chosen.prefill_tokens, exchange.tokens());
        let service = &exchange.service;
        gateway
            .demand
            .record_tokens(service, model, chosen.prefill_tokens);
        gateway
            .prefixes
            .record(&runner, &exchange.blocks, gateway.now());
        let sent_at = gateway.now();
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(Failure::NotSent) => return Outcome::Unsent,
            Err(Failure::Broken(error)) => {
                log::info!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    parts = exchange.call.shared_parts().join(","),
                    error:% = error, reused = connection.is_reused;
                    "connection to the runner failed before a response"
                );
                gateway.health.record_failure(&runner, gateway.now());
                crash_report::report_crash(gateway, exchange, &chosen.runner);
                return Outcome::Unknown(Reason::Broken);
            }
        };
        let (head, body) = response.into_parts();
        let delivery = Delivery {
            chosen,
            connection,
            guard,
            sent_at,
        };
        self.receive(delivery, head, body).await
    }

    fn request(&self, chosen: &Chosen) -> Option<Request<Full<Bytes>>> {
        let exchange = &self.exchange;
        let dispatch = Dispatch {
            runner: chosen.runner.id().clone(),
            remaining: exchange
                .remaining(self.gateway.now())
                .saturating_sub(RESPONSE_MARGIN),
            rank: exchange.route.rank,
            resume_after: self.resume_after,
        };
        let address = chosen.runner.address;
        let body = &exchange.body;
        let protocol = &self.gateway.ports.protocol;
        match protocol.encode(&exchange.head, address, body.len(), &dispatch) {
            Ok(head) => Some(Request::from_parts(head, Full::new(body.clone()))),
            Err(error) => {
                log::warn!(request = exchange.call.attempt.as_str(), error:% = error; "failed to encode the request head");
                None
            }
        }
    }

    async fn receive(
        &self,
        delivery: Delivery,
        head: http::response::Parts,
        body: Incoming,
    ) -> Outcome {
        let gateway = &self.gateway;
        let exchange = &self.exchange;
        let runner = delivery.chosen.runner.id();
        let verdict = gateway
            .ports
            .protocol
            .classify(&exchange.call, runner, &head);
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => {
                log::warn!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    status = head.status.as_u16();
                    "response does not belong to this request"
                );
                gateway.health.record_failure(runner, gateway.now());
                return Outcome::Unknown(Reason::BadAnswer);
            }
            verdict => {
                delivery.discard(gateway, &exchange.body, head, body);
                return Outcome::NotRun(verdict);
            }
        }
        if head.status.is_server_error() {
            gateway.health.record_error(runner);
        }
        if exchange.route.kind == Kind::Stream && head.status.is_success() {
            return self.open_stream(delivery, head, body).await;
        }
        self.collect(delivery, head, body).await
    }

    async fn collect(
        &self,
        mut delivery: Delivery,
        head: http::response::Parts,
        body: Incoming,
    ) -> Outcome {
        let gateway = &self.gateway;
        let runner = delivery.chosen.runner.id().clone();
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let bytes = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) => {
                log::info!(
                    request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "failed to read the response body"
                );
                gateway.health.record_failure(&runner, gateway.now());
                crash_report::report_crash(gateway, &self.exchange, &delivery.chosen.runner);
                return Outcome::Unknown(Reason::Broken);
            }
        };
        delivery.guard.start_decoding();
        delivery.complete(gateway, &self.exchange.body, &head);
        let status = head.status;
        let response = Response::Complete(Box::new(head), bytes);
        if status.is_server_error() {
            return Outcome::Failed(response);
        }
        self.log_response(&runner, status.as_u16());
        gateway.health.record_success(&runner);
        crash_report::report_response(gateway, &self.exchange);
        Outcome::Final(response)
    }

    // Waits for the first chunk, so that a request whose stream breaks before it
    // can still be sent to another runner.
    async fn open_stream(
        &self,
        mut delivery: Delivery,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Outcome {
        let runner = delivery.chosen.runner.id().clone();
        match relay::first(&head, &mut body).await {
            Ok(first) => {
                self.record_first_chunk(&mut delivery);
                self.log_response(&runner, head.status.as_u16());
                self.gateway.health.record_success(&runner);
                Outcome::Final(Response::Stream(Box::new(Stream {
                    delivery,
                    head,
                    first,
                    body,
                })))
            }
            Err(error) => {
                log::info!(
                    request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                    parts = self.exchange.call.shared_parts().join(","),
                    error:% = error;
                    "stream broke before its first chunk"
                );
                self.gateway
                    .health
                    .record_failure(&runner, self.gateway.now());
                crash_report::report_crash(&self.gateway, &self.exchange, &delivery.chosen.runner);
                Outcome::Unknown(Reason::Broken)
            }
        }
    }

    fn record_first_chunk(&self, delivery: &mut Delivery) {
        delivery.guard.start_decoding();
        if let Some(target) = &self.exchange.call.target {
            let elapsed = self.gateway.now().saturating_sub(delivery.sent_at);
            let tokens = delivery.chosen.queued_tokens;
            self.gateway.prefill.observe(&target.model, tokens, elapsed);
        }
    }

    fn log_response(&self, runner: &str, status: u16) {
        let latency = self.gateway.now().saturating_sub(self.exchange.arrived);
        let route = &self.exchange.route.name;
        self.gateway.metrics.response(route, latency);
        log::info!(
            request = self.exchange.call.attempt.as_str(), route = route.as_str(), runner,
            status, latency_ms = millis(latency), sends = self.sends;
            "runner responded"
        );
    }
}
