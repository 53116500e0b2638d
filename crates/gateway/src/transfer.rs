//! One send of a request to a runner, and its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, http};
use tokio::time;

use crate::delivery::Delivery;
use crate::exchange::Exchange;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::opening::Opening;
use crate::outcome::{Outcome, Response, Stream};
use crate::pool::Failure;
use crate::protocol::{Dispatch, Verdict};
use crate::refusal::Reason;
use crate::registry::Runner;
use crate::route::Kind;
use crate::selection::Chosen;
use crate::span::millis;
use crate::{Result, crash_report, notice_log, notices, prediction, reach};

/// Time reserved for returning the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// One send of a request to a runner.
pub(crate) struct Transfer<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) exchange: &'a Exchange,
    /// Id of the event after which a stream is resumed.
    pub(crate) resume_after: Option<u64>,
    /// Number of sends of the request, including this one.
    pub(crate) number: u32,
}

impl Transfer<'_> {
    /// Sends the request to the chosen runner and waits for the response, or the first
    /// event of a stream, until the deadline.
    pub(crate) async fn run(&self, chosen: Chosen) -> Outcome {
        let exchange = self.exchange;
        let deadline = exchange.remaining(self.gateway.now());
        let sending = self.send_once(chosen);
        match time::timeout(deadline.saturating_sub(RESPONSE_MARGIN), sending).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown(Reason::Timeout),
        }
    }

    async fn send_once(&self, chosen: Chosen) -> Outcome {
        let gateway = self.gateway;
        let exchange = self.exchange;
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
                gateway.reach.record_failure(&exchange.service);
                return Outcome::Unsent;
            }
        };
        if !connection.is_reused {
            gateway.metrics.connection();
            let change = gateway
                .reach
                .record_connect(&exchange.service, gateway.now());
            self.report_reach(change);
        }
        let Some(request) = self.request(&chosen) else {
            return Outcome::Unsent;
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
        gateway.reach.record_send(service, sent_at);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(Failure::NotSent) => return Outcome::Unsent,
            Err(Failure::Broken(error)) => {
                log::info!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    parts = exchange.call.listed_parts(),
                    error:% = error, reused = connection.is_reused;
                    "connection to the runner failed before a response"
                );
                gateway.health.record_failure(&runner, gateway.now());
                gateway.reach.record_failure(service);
                self.report_crash(&chosen.runner, sent_at);
                return Outcome::Unknown(Reason::Broken);
            }
        };
        let change = gateway.reach.record_contact(service, gateway.now());
        self.report_reach(change);
        let (head, body) = response.into_parts();
        let delivery = Delivery {
            chosen,
            connection,
            guard,
            sent_at,
        };
        self.receive(delivery, head, body).await
    }

    fn report_reach(&self, change: Option<reach::Change>) {
        if change.is_some() {
            let service = self.exchange.service.as_str();
            log::info!(service; "a runner of the service is in reach again");
            self.gateway.reach_changed.notify_one();
        }
    }

    fn request(&self, chosen: &Chosen) -> Option<Request<Full<Bytes>>> {
        let exchange = self.exchange;
        let dispatch = Dispatch {
            runner: chosen.runner.id().clone(),
            remaining: exchange
                .remaining(self.gateway.now())
                .saturating_sub(RESPONSE_MARGIN),
            rank: exchange.route.rank,
            tenant: exchange.tenant.as_ref().map(|tenant| tenant.name.clone()),
            resume_after: self.resume_after,
        };
        let address = chosen.runner.address;
        let body = &exchange.body;
        let protocol = &self.gateway.ports.protocol;
        match protocol.encode(&exchange.head, address, body.len(), &dispatch) {
            Ok(head) => Some(Request::from_parts(head, Full::new(body.clone()))),
            Err(error) => {
                log::warn!(
                    request = exchange.call.attempt.as_str(), runner = dispatch.runner.as_str(),
                    error:% = error;
                    "failed to encode the request head"
                );
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
        let gateway = self.gateway;
        let exchange = self.exchange;
        let runner = delivery.chosen.runner.id();
        let verdict = gateway
            .ports
            .protocol
            .classify(&exchange.call, runner, &head);
        if verdict != Verdict::OtherRunner {
            self.record_notice(&delivery, verdict, &head);
        }
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => {
                log::warn!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    status = head.status.as_u16();
                    "response is not one to this request"
                );
                gateway.health.record_failure(runner, gateway.now());
                return Outcome::Unknown(Reason::BadAnswer);
            }
            // Closes the connection: a copy of the rejection could follow, and look like one
            // of the same request sent again.
            verdict => return Outcome::NotRun(verdict),
        }
        if head.status.is_server_error() {
            gateway.health.record_error(runner);
        }
        if exchange.route.kind == Kind::Stream && head.status.is_success() {
            return self.open_stream(delivery, head, body).await;
        }
        self.collect(delivery, head, body).await
    }

    fn record_notice(&self, delivery: &Delivery, verdict: Verdict, head: &http::response::Parts) {
        let gateway = self.gateway;
        let notice = gateway.ports.protocol.notice(head);
        let runner = &delivery.chosen.runner;
        let response = notices::Response {
            run: runner.into(),
            sent_at: delivery.sent_at,
            kind: match verdict {
                Verdict::Answer => notices::Kind::Answer,
                Verdict::NotRun => notices::Kind::Rejection,
                _ => notices::Kind::Other,
            },
        };
        let now = gateway.now();
        let changes = gateway
            .notices
            .record(&gateway.registry, response, &notice, now);
        for change in &changes {
            gateway.metrics.notice(change.into());
        }
        let request = Some(self.exchange.call.attempt.as_str());
        notice_log::log(&changes, runner.id(), request);
    }

    async fn collect(
        &self,
        mut delivery: Delivery,
        head: http::response::Parts,
        body: Incoming,
    ) -> Outcome {
        let gateway = self.gateway;
        let runner = delivery.chosen.runner.id().clone();
        let bytes = match self.read_body(&delivery, &head, body).await {
            Ok(bytes) => bytes,
            Err(error) => {
                log::info!(
                    request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "failed to read the response body"
                );
                gateway.health.record_failure(&runner, gateway.now());
                self.report_crash(&delivery.chosen.runner, delivery.sent_at);
                return Outcome::Unknown(Reason::Broken);
            }
        };
        delivery.guard.start_decoding();
        let (answering, sent_at) = (delivery.chosen.runner.clone(), delivery.sent_at);
        delivery.complete(gateway, &self.exchange.body, &head);
        let status = head.status;
        let response = Response::Complete(Box::new(head), bytes);
        if status.is_server_error() {
            return Outcome::Failed(response);
        }
        self.log_response(&runner, status.as_u16(), prediction::Outcome::None);
        gateway.health.record_success(&runner);
        crash_report::report_response(gateway, self.exchange, &answering, sent_at);
        Outcome::Final(response)
    }

    async fn read_body(
        &self,
        delivery: &Delivery,
        head: &http::response::Parts,
        body: Incoming,
    ) -> Result<Bytes> {
        let framing = Framing::of(head, &body);
        let bytes = self.gateway.memory.responses.read(body).await?;
        delivery.check_body(framing)?;
        Ok(bytes)
    }

    // Waits for the first event. Until then the request can be sent to another runner.
    async fn open_stream(
        &self,
        mut delivery: Delivery,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Outcome {
        let gateway = self.gateway;
        let runner = delivery.chosen.runner.id().clone();
        let call = &self.exchange.call;
        let sent_at = delivery.sent_at;
        let resumed_by_caller = call.resume_after.filter(|_| self.exchange.route.resumable);
        let framing = Framing::of(&head, &body);
        let opening = Opening {
            head: &head,
            framing,
            after: self.resume_after.or(resumed_by_caller),
            is_resumed: self.resume_after.is_some(),
            time: self.exchange.stall_timeout(),
        };
        let elapsed = || gateway.now().saturating_sub(sent_at);
        match opening.read(&mut body, elapsed).await {
            Ok(first) => {
                let prediction = self.record_first_event(&mut delivery);
                self.log_response(&runner, head.status.as_u16(), prediction);
                gateway.health.record_success(&runner);
                Outcome::Final(Response::Stream(Box::new(Stream {
                    delivery,
                    head,
                    framing,
                    first,
                    body,
                })))
            }
            Err(error) => {
                log::info!(
                    request = call.attempt.as_str(), runner = runner.as_str(),
                    parts = call.listed_parts(),
                    error:% = error;
                    "stream broke before its first event"
                );
                gateway.health.record_failure(&runner, gateway.now());
                self.report_crash(&delivery.chosen.runner, sent_at);
                Outcome::Unknown(Reason::Broken)
            }
        }
    }

    // Returns whether the prompt was cached as predicted. If not, the first token says nothing
    // about the pace of the runner.
    fn record_first_event(&self, delivery: &mut Delivery) -> prediction::Outcome {
        delivery.guard.start_decoding();
        let Some(target) = &self.exchange.call.target else {
            return prediction::Outcome::None;
        };
        let chosen = &delivery.chosen;
        let elapsed = self.gateway.now().saturating_sub(delivery.sent_at);
        let prediction = chosen.prediction.check(elapsed);
        if prediction != prediction::Outcome::Wrong {
            let prefill = &self.gateway.prefill;
            let runner = chosen.runner.id();
            prefill.observe(&target.model, runner, chosen.queued_tokens, elapsed);
        }
        let metrics = &self.gateway.metrics;
        metrics.prefix(chosen.prefill_tokens, &chosen.prediction, prediction);
        prediction
    }

    fn report_crash(&self, runner: &Runner, sent_at: Duration) {
        crash_report::report_crash(self.gateway, self.exchange, runner, sent_at, None);
    }

    /// Counts and logs a response that is returned to the caller.
    pub(crate) fn log_response(&self, runner: &str, status: u16, prediction: prediction::Outcome) {
        let latency = self.gateway.now().saturating_sub(self.exchange.arrived);
        let route = &self.exchange.route.name;
        self.gateway.metrics.response(route, latency);
        log::info!(
            request = self.exchange.call.attempt.as_str(), route = route.as_str(), runner,
            status, latency_ms = millis(latency), sends = self.number,
            prefix_prediction = <&str>::from(prediction);
            "runner responded"
        );
    }
}
