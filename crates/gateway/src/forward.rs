//! Serves one request: finds a runner, sends, and sends again where that is
//! allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, http};
use tokio::time;

use crate::body::Body;
use crate::book;
use crate::edge::{Dispatch, Verdict};
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::mesh;
use crate::pick::{self, Chosen, Excluded, Pick};
use crate::pool::{Connection, Failure};
use crate::refusal::{Reason, Refusal};
use crate::relay::{self, Relay};
use crate::route::Kind;

/// Time kept for the way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// Pause before a look at the roster that nothing announced.
const RECHECK: Duration = Duration::from_millis(250);
/// Time that a runner needs to load an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);
/// Sends of one request, rejected ones included.
const MAX_SENDS: u32 = 4;
/// Longest answer that is passed on whole.
const MAX_WHOLE_BYTES: usize = 16 << 20;

/// What became of one send.
enum Sent {
    Answer(Response<Body>),
    /// The runner failed the request, which may be repeated elsewhere.
    Failed(Response<Body>),
    /// The runner has not run it and never will.
    NotRun(Verdict),
    /// No byte of it left.
    Unsent,
    /// It may have run.
    Unknown(Reason),
}

/// Serves one request of a caller.
pub(crate) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let mut response = match accept(&gateway, head, body, arrived).await {
        Ok(exchange) => forward(&gateway, Arc::new(exchange)).await,
        Err(response) => response,
    };
    if gateway.leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn accept(
    gateway: &Gateway,
    head: http::request::Parts,
    body: Incoming,
    arrived: Duration,
) -> Result<Exchange, Response<Body>> {
    let edge = &gateway.ports.edge;
    let call = edge
        .decode(&head)
        .map_err(|refusal| refuse(gateway, None, &refusal))?;
    let reject = |reason| refuse(gateway, Some(&call), &Refusal::new(reason));
    if gateway.closing.is_cancelled() {
        let refusal = Refusal::new(Reason::Leaving).after(Duration::ZERO);
        return Err(refuse(gateway, Some(&call), &refusal));
    }
    let environment = gateway
        .environment()
        .ok_or_else(|| reject(Reason::NoEnvironment))?;
    let route = environment
        .route(&call.host, &call.path)
        .ok_or_else(|| reject(Reason::NoRoute))?
        .clone();
    let service = route
        .service(call.seed())
        .ok_or_else(|| reject(Reason::NoRunner))?
        .clone();
    let limit = call
        .patience
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let deadline = arrived + limit;
    let collect = Limited::new(body, environment.limits.max_body_bytes).collect();
    let body = match time::timeout(limit, collect).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(reject(Reason::BodyTooLong));
        }
        Ok(Err(_)) => return Err(reject(Reason::BadRequest)),
        Err(_) => return Err(reject(Reason::Expired)),
    };
    Ok(Exchange {
        chain: call.chain(),
        head,
        body,
        call,
        environment,
        route,
        service,
        arrived,
        deadline,
    })
}

async fn forward(gateway: &Arc<Gateway>, exchange: Arc<Exchange>) -> Response<Body> {
    let now = gateway.now();
    gateway.budget.count(&exchange.service, now);
    if let Some((_, target)) = exchange.engine().zip(exchange.call.target.as_ref()) {
        let objective = exchange.route.objective;
        gateway
            .demand
            .arrive(&exchange.service, &target.model, objective);
    }
    let mut attempt = Attempt {
        gateway: Arc::clone(gateway),
        exchange: Arc::clone(&exchange),
        excluded: Excluded::default(),
        sends: 0,
        runs: 0,
        failed: None,
    };
    match attempt.run().await {
        Ok(response) => response,
        Err(refusal) => match attempt.failed {
            Some(response) => response,
            None => refuse(gateway, Some(&exchange.call), &refusal),
        },
    }
}

struct Attempt {
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    excluded: Excluded,
    /// Times that it was sent.
    sends: u32,
    /// Times that it may have run.
    runs: u32,
    /// A runner's own failure, passed on if no other runner does better.
    failed: Option<Response<Body>>,
}

impl Attempt {
    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        loop {
            let chosen = self.choose().await?;
            if !chosen.holds_adapter && !self.load_adapter(&chosen).await {
                continue;
            }
            self.permit()?;
            self.log_send(&chosen);
            let runner = chosen.runner.id().clone();
            let sent = self.send(*chosen).await;
            match sent {
                Sent::Answer(response) => return Ok(response),
                Sent::Unsent => {
                    self.sends -= 1;
                    self.excluded.tried.insert(runner);
                }
                Sent::NotRun(verdict) => {
                    self.note_not_run(&runner, verdict);
                }
                Sent::Failed(response) => {
                    self.runs += 1;
                    self.excluded.tried.insert(runner);
                    self.failed = Some(response);
                    if !self.may_repeat() {
                        return Err(Refusal::new(Reason::Broken));
                    }
                }
                Sent::Unknown(reason) => {
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

    // A failure after a send that may have run must not promise the contrary.
    fn honest(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 || refusal.reason.status() != 503 {
            return refusal;
        }
        if refusal.reason == Reason::Expired {
            return Refusal::new(Reason::Timeout);
        }
        Refusal::new(Reason::Broken)
    }

    /// Waits until a runner can take the request.
    async fn choose(&mut self) -> Result<Box<Chosen>, Refusal> {
        let mut changed = self.gateway.roster.subscribe();
        let mut waiting = None;
        loop {
            match pick::pick(&self.gateway, &self.exchange, &self.excluded) {
                Pick::Send(chosen) => return Ok(chosen),
                Pick::Refuse(refusal) => return Err(self.honest(refusal)),
                Pick::Wait(refusal) => {
                    let left = self.exchange.remaining(self.gateway.now());
                    if left <= RETURN_MARGIN || self.failed.is_some() {
                        return Err(self.honest(refusal));
                    }
                    if waiting.is_none() {
                        waiting = self.wait_for_model();
                    }
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = self.gateway.clock.sleep(RECHECK.min(left)) => {}
                    }
                    self.excluded.without_adapter.clear();
                }
            }
        }
    }

    fn wait_for_model(&self) -> Option<crate::demand::Waiting> {
        let target = self.exchange.call.target.as_ref()?;
        log::info!(
            request = self.exchange.call.attempt.as_str(), model = target.model.as_str();
            "request waits for a replica"
        );
        let demand = &self.gateway.demand;
        let objective = self.exchange.route.objective;
        Some(demand.wait(&self.exchange.service, &target.model, objective))
    }

    /// Makes the runner hold the adapter.
    async fn load_adapter(&mut self, chosen: &Chosen) -> bool {
        let Some(target) = self.exchange.call.target.as_ref() else {
            return true;
        };
        let Some(adapter) = &target.adapter else {
            return true;
        };
        let runner = chosen.runner.id();
        let has = mesh::ensure_adapter(&self.gateway, runner, &target.model, adapter).await;
        log::debug!(
            request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
            model = target.model.as_str(), adapter = adapter.as_str(), loaded = has;
            "adapter asked for"
        );
        if has {
            let roster = &self.gateway.roster;
            roster.note_adapter(runner, &target.model, adapter);
            self.gateway.clock.sleep(ADAPTER_LOAD).await;
            return true;
        }
        self.excluded.without_adapter.insert(runner.clone());
        false
    }

    /// Counts a send; every one after the first needs a place in the budget.
    fn permit(&mut self) -> Result<(), Refusal> {
        if self.sends > 0 {
            let now = self.gateway.now();
            let instances = self.gateway.members.share_count(now);
            let service = &self.exchange.service;
            let is_allowed =
                self.sends < MAX_SENDS && self.gateway.budget.withdraw(service, instances, now);
            if !is_allowed {
                return Err(self.honest(Refusal::new(Reason::NoRetry)));
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
            to_read = chosen.to_read,
            queued_tokens = chosen.queued_tokens,
            predicted_ms = millis(chosen.predicted),
            left_ms = millis(self.exchange.remaining(self.gateway.now())),
            send = self.sends;
            "request sent"
        );
    }

    fn note_not_run(&mut self, runner: &str, verdict: Verdict) {
        log::info!(
            request = self.exchange.call.attempt.as_str(), runner, verdict:? = verdict;
            "runner has not run the request"
        );
        let now = self.gateway.now();
        match (verdict, &self.exchange.call.target) {
            (Verdict::NotHeld, Some(target)) => {
                self.gateway.roster.note_missing(runner, target, now);
            }
            (Verdict::NotRun, Some(target)) => {
                self.gateway
                    .roster
                    .note_refusing(runner, &target.model, now);
            }
            (Verdict::OtherRunner, _) => {
                self.gateway.health.refuse(runner, self.gateway.now());
                self.excluded.tried.insert(runner.to_owned());
            }
            _ => {
                self.excluded.tried.insert(runner.to_owned());
            }
        }
    }

    async fn send(&self, chosen: Chosen) -> Sent {
        let exchange = &self.exchange;
        let deadline = exchange.remaining(self.gateway.now());
        let sending = self.send_once(chosen);
        match time::timeout(deadline.saturating_sub(RETURN_MARGIN), sending).await {
            Ok(sent) => sent,
            Err(_) => Sent::Unknown(Reason::Timeout),
        }
    }

    async fn send_once(&self, chosen: Chosen) -> Sent {
        let gateway = &self.gateway;
        let exchange = &self.exchange;
        let runner = chosen.runner.id().clone();
        let mut connection = match gateway.pool.connect(&runner, chosen.runner.address).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "runner cannot be connected to"
                );
                gateway.health.refuse(&runner, gateway.now());
                return Sent::Unsent;
            }
        };
        if !connection.is_reused {
            gateway.metrics.connection();
        }
        let Some(request) = self.request(&chosen) else {
            return Sent::Unknown(Reason::BadRequest);
        };
        let model = exchange.call.target.as_ref();
        let model = model.map_or("", |target| target.model.as_str());
        let entry = gateway
            .book
            .enter(&runner, model, chosen.to_read, exchange.tokens());
        gateway.kept.note(&runner, &exchange.chain, gateway.now());
        let sent_at = gateway.now();
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(Failure::NotSent) => return Sent::Unsent,
            Err(Failure::Broken(error)) => {
                log::info!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error, reused = connection.is_reused;
                    "connection broke before an answer"
                );
                gateway.health.fail(&runner, gateway.now());
                return Sent::Unknown(Reason::Broken);
            }
        };
        let (head, body) = response.into_parts();
        let delivery = Delivery {
            chosen,
            connection,
            entry,
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
                .saturating_sub(RETURN_MARGIN),
            rank: exchange.route.rank,
            resume_after: None,
        };
        let address = chosen.runner.address;
        let body = &exchange.body;
        let edge = &self.gateway.ports.edge;
        match edge.encode(&exchange.head, address, body.len(), &dispatch) {
            Ok(head) => Some(Request::from_parts(head, Full::new(body.clone()))),
            Err(error) => {
                log::warn!(request = exchange.call.attempt.as_str(), error:% = error; "request cannot be encoded");
                None
            }
        }
    }

    async fn receive(
        &self,
        delivery: Delivery,
        head: http::response::Parts,
        body: Incoming,
    ) -> Sent {
        let gateway = &self.gateway;
        let exchange = &self.exchange;
        let runner = delivery.chosen.runner.id();
        let verdict = gateway.ports.edge.judge(&exchange.call, runner, &head);
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => {
                log::warn!(
                    request = exchange.call.attempt.as_str(), runner = runner.as_str(),
                    status = head.status.as_u16();
                    "runner's answer is not for this request"
                );
                gateway.health.fail(runner, gateway.now());
                return Sent::Unknown(Reason::BadAnswer);
            }
            verdict => {
                delivery.finish(gateway, &exchange.body, &head, body).await;
                return Sent::NotRun(verdict);
            }
        }
        if head.status.is_server_error() {
            gateway.health.err(runner);
        }
        if exchange.route.kind == Kind::Stream && head.status.is_success() {
            return self.stream(delivery, head, body).await;
        }
        self.pass_whole(delivery, &head, body).await
    }

    async fn pass_whole(
        &self,
        mut delivery: Delivery,
        head: &http::response::Parts,
        body: Incoming,
    ) -> Sent {
        let gateway = &self.gateway;
        let runner = delivery.chosen.runner.id().clone();
        let collected = Limited::new(body, MAX_WHOLE_BYTES).collect().await;
        let bytes = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) => {
                log::info!(
                    request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "answer broke off"
                );
                gateway.health.fail(&runner, gateway.now());
                return Sent::Unknown(Reason::Broken);
            }
        };
        delivery.entry.start();
        delivery.keep(gateway, &self.exchange.body, head);
        let parts = gateway.ports.edge.answer(head);
        let response = Response::from_parts(parts, Body::from(bytes));
        self.log_answer(&runner, head.status.as_u16());
        if head.status.is_server_error() {
            return Sent::Failed(response);
        }
        gateway.health.succeed(&runner);
        Sent::Answer(response)
    }

    async fn stream(
        &self,
        delivery: Delivery,
        head: http::response::Parts,
        body: Incoming,
    ) -> Sent {
        let parts = self.gateway.ports.edge.answer(&head);
        let runner = delivery.chosen.runner.id().clone();
        let relay = Relay {
            gateway: Arc::clone(&self.gateway),
            exchange: Arc::clone(&self.exchange),
            delivery,
            head,
        };
        match relay::start(relay, body).await {
            Ok(pieces) => {
                self.log_answer(&runner, parts.status.as_u16());
                self.gateway.health.succeed(&runner);
                Sent::Answer(Response::from_parts(parts, pieces))
            }
            Err(error) => {
                log::info!(
                    request = self.exchange.call.attempt.as_str(), runner = runner.as_str(),
                    error:% = error;
                    "stream broke before its first event"
                );
                self.gateway.health.fail(&runner, self.gateway.now());
                Sent::Unknown(Reason::Broken)
            }
        }
    }

    fn log_answer(&self, runner: &str, status: u16) {
        let latency = self.gateway.now().saturating_sub(self.exchange.arrived);
        let route = &self.exchange.route.name;
        self.gateway.metrics.answer(route, latency);
        log::info!(
            request = self.exchange.call.attempt.as_str(), route = route.as_str(), runner,
            status, latency_ms = millis(latency), sends = self.sends;
            "answer passed on"
        );
    }
}

/// A request on a runner, with the connection that carries it.
pub(crate) struct Delivery {
    pub(crate) chosen: Chosen,
    connection: Connection,
    pub(crate) entry: book::Entry,
    pub(crate) sent_at: Duration,
}

/// Longest request body after which a connection is used again although the
/// answer came early.
const MAX_REUSED_BODY: usize = 8 << 10;
/// Longest body of a rejection.
const MAX_REJECTION_BYTES: usize = 64 << 10;

impl Delivery {
    /// Keeps the connection for another request, unless the runner ends it or
    /// may not have read the whole request.
    pub(crate) fn keep(self, gateway: &Gateway, sent: &Bytes, head: &http::response::Parts) {
        let edge = &gateway.ports.edge;
        let is_early = !head.status.is_success() && sent.len() > MAX_REUSED_BODY;
        if edge.closes(head) || is_early {
            return;
        }
        gateway.pool.put(self.connection, edge.keep_alive(head));
    }

    async fn finish(
        self,
        gateway: &Gateway,
        sent: &Bytes,
        head: &http::response::Parts,
        body: Incoming,
    ) {
        let rest = Limited::new(body, MAX_REJECTION_BYTES).collect().await;
        if rest.is_ok() {
            self.keep(gateway, sent, head);
        }
    }
}

/// Makes the answer of a refusal and logs it.
pub(crate) fn refuse(
    gateway: &Gateway,
    call: Option<&crate::call::Call>,
    refusal: &Refusal,
) -> Response<Body> {
    let reason: &'static str = refusal.reason.into();
    gateway.metrics.refusal(reason);
    log::info!(
        request = call.map(|call| call.attempt.as_str()),
        path = call.map(|call| call.path.as_str()),
        environment = *gateway.version.borrow(),
        registry = gateway.roster.newest(),
        reason, status = refusal.reason.status(),
        retry_after_ms = refusal.retry_after.map(millis);
        "request refused"
    );
    gateway.ports.edge.refuse(call, refusal).map(Body::from)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
