//! Receives requests of callers and returns the responses.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, CONNECTION, HeaderValue};
use hyper::{Request, Response, http};
use tokio::time;

use crate::attempt::Attempt;
use crate::body::Body;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::memory::bodies::Failure;
use crate::memory::connections::{Connection, Phase};
use crate::outcome::Response as RunnerResponse;
use crate::refusal::{Reason, Refusal};
use crate::span::millis;
use crate::tenant::{Directory, Tenant};
use crate::{call, memory, quota, relay, stream_origin};

/// Delay after which a caller may retry a request that there was no memory for.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Longest body that the HTTP library reads to its end after a response, in its first buffer.
const MAX_DRAINED: u64 = 8 << 10;

/// Reads one request of a caller, forwards it and returns the response.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let is_short = body.size_hint().upper();
    let is_short = is_short.is_some_and(|length| length <= MAX_DRAINED);
    let (mut response, is_read) = match accept(&gateway, head, body, arrived).await {
        Ok(exchange) => {
            connection.begin(Phase::Busy, gateway.now());
            (admit(&gateway, Arc::new(exchange)).await, true)
        }
        Err(response) => (response, false),
    };
    // The rest of a body that was not read to its end is no request.
    let may_remain = !is_read && !is_short;
    if may_remain || gateway.leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn accept(
    gateway: &Gateway,
    mut head: http::request::Parts,
    body: Incoming,
    arrived: Duration,
) -> Result<Exchange, Response<Body>> {
    let protocol = &gateway.ports.protocol;
    let mut call = protocol
        .decode(&head)
        .map_err(|refusal| refuse(gateway, None, &refusal))?;
    // Callers may send any header.
    let unknown_sender = call
        .handed_over_by
        .take_if(|from| !gateway.members.has_incarnation(from));
    if call.handed_over_by.is_none() {
        call.software = None;
        call.tenant = None;
    }
    let reject = |reason| refuse(gateway, Some(&call), &Refusal::new(reason));
    if gateway.closing.is_cancelled() {
        let refusal = Refusal::new(Reason::Leaving).with_retry_after(Duration::ZERO);
        return Err(refuse(gateway, Some(&call), &refusal));
    }
    let environment = gateway
        .serving_environment()
        .ok_or_else(|| reject(Reason::NoEnvironment))?;
    let mut route = environment
        .route(&call.host, &call.path)
        .ok_or_else(|| reject(Reason::NoRoute))?
        .clone();
    let mut tenant = None;
    if let Some(tenants) = &environment.tenants {
        // Neither runners nor other instances may see a key.
        head.headers.remove(AUTHORIZATION);
        if !route.is_public {
            let authenticated = authenticate(tenants, &call, unknown_sender.is_some());
            let caller = authenticated.map_err(reject)?;
            if !protocol.can_name_tenant(&caller.name) {
                return Err(reject(Reason::TenantName));
            }
            tenant = Some(caller);
        }
    } else if call.tenant.is_some() {
        // The peer has a newer environment. Here, the request would run for no tenant.
        return Err(reject(Reason::Misdirected));
    }
    if let Some(rank) = tenant.as_ref().and_then(|tenant| tenant.rank) {
        route.rank = rank;
    }
    let service = route
        .service(call.seed())
        .ok_or_else(|| reject(Reason::NoRunner))?
        .clone();
    let limit = call
        .timeout
        .map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = arrived + limit;
    let max_bytes = environment.limits.max_body_bytes;
    let head_bytes = memory::head::bytes(&head, &call);
    let bodies = &gateway.memory.bodies;
    let reading = bodies.read(body, max_bytes, head_bytes, &*gateway.clock);
    let body = time::timeout(limit, reading)
        .await
        .map_err(|_| reject(Reason::Expired))?
        .map_err(|failure| refuse(gateway, Some(&call), &body_refusal(failure)))?;
    // What a request to a plain service names is left to its runner.
    let target = call.target.take().zip(environment.engine(&service));
    call.target = target.map(|(target, engine)| engine.resolve(target));
    Ok(Exchange {
        blocks: call.blocks(),
        head,
        body,
        call,
        environment,
        route,
        service,
        tenant,
        arrived,
        deadline,
        fingerprint: OnceLock::new(),
    })
}

// Returns the tenant of the caller. A peer that hands a request over has authenticated it.
fn authenticate(
    tenants: &Directory,
    call: &call::Call,
    is_sender_unknown: bool,
) -> Result<Arc<Tenant>, Reason> {
    let (tenant, reason) = if call.handed_over_by.is_some() {
        let name = call.tenant.as_deref();
        (name.and_then(|name| tenants.get(name)), Reason::Misdirected)
    } else if is_sender_unknown {
        // A peer that sees this offers the request to another one.
        (
            tenants.authenticate(&call.credential),
            Reason::UnknownSender,
        )
    } else {
        (tenants.authenticate(&call.credential), Reason::Unauthorized)
    };
    tenant.map(Arc::clone).ok_or(reason)
}

// Forwards a request that the quota of its tenant admits.
async fn admit(gateway: &Arc<Gateway>, exchange: Arc<Exchange>) -> Response<Body> {
    let forwarded = match quota::admit(gateway, &exchange).await {
        Ok(permit) => {
            let forwarded = forward(gateway, Arc::clone(&exchange)).await;
            forwarded.inspect_err(|refusal| {
                quota::refund(gateway, &exchange, permit.as_ref(), refusal);
            })
        }
        Err(refusal) => Err(refusal),
    };
    forwarded.unwrap_or_else(|refusal| refuse(gateway, Some(&exchange.call), &refusal))
}

async fn forward(
    gateway: &Arc<Gateway>,
    exchange: Arc<Exchange>,
) -> Result<Response<Body>, Refusal> {
    let now = gateway.now();
    // The instance that handed a request over has counted it.
    let is_new = exchange.call.handed_over_by.is_none();
    if is_new {
        gateway.budget.record_request(&exchange.service, now);
    }
    if is_new && let Some(model) = exchange.model() {
        let objective = exchange.route.objective;
        gateway
            .demand
            .record_arrival(&exchange.service, model, objective);
    }
    let required = stream_origin::required(gateway, &exchange).await?;
    let mut attempt = Attempt::new(Arc::clone(gateway), Arc::clone(&exchange), required);
    let response = match attempt.run().await? {
        RunnerResponse::Complete(head, body) => {
            let parts = gateway.ports.protocol.response_head(&head);
            Response::from_parts(parts, Body::from(body))
        }
        RunnerResponse::Stream(stream) => {
            let runner = stream.delivery.chosen.runner.clone();
            stream_origin::record_stream(gateway, &exchange, runner.software());
            let (mut parts, body) = relay::start(attempt, *stream).into_parts();
            if !is_new {
                let protocol = &gateway.ports.protocol;
                protocol.set_software(&mut parts, runner.software());
            }
            Response::from_parts(parts, body)
        }
        RunnerResponse::Relayed(head, body) => {
            let protocol = &gateway.ports.protocol;
            if let Some(software) = protocol.software(&head) {
                stream_origin::record_stream(gateway, &exchange, &software);
            }
            let parts = protocol.response_head(&head);
            Response::from_parts(parts, Body::Relayed(body))
        }
    };
    Ok(response)
}

// The request has not run, and its connection closes.
fn body_refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::TooLong => Refusal::new(Reason::BodyTooLong),
        Failure::Full => Refusal::new(Reason::NoMemory).with_retry_after(MEMORY_RETRY),
        Failure::Slow => Refusal::new(Reason::SlowBody),
        Failure::Broken => Refusal::new(Reason::BadRequest),
    }
}

// A peer may offer a request that this instance cannot serve to others.
fn for_peer(refusal: &Refusal) -> Refusal {
    match refusal.reason {
        Reason::Unreachable | Reason::Leaving | Reason::NoEnvironment | Reason::NoMemory => {
            Refusal::new(Reason::Misdirected)
        }
        _ => *refusal,
    }
}

/// Builds the response of a refusal, counts it and logs it.
pub(crate) fn refuse(
    gateway: &Gateway,
    call: Option<&call::Call>,
    refusal: &Refusal,
) -> Response<Body> {
    let is_handed_over = call.is_some_and(|call| call.handed_over_by.is_some());
    let refusal = &if is_handed_over {
        for_peer(refusal)
    } else {
        *refusal
    };
    let reason: &'static str = refusal.reason.into();
    gateway.metrics.refusal(reason);
    log::info!(
        request = call.map(|call| call.attempt.as_str()),
        path = call.map(|call| call.path.as_str()),
        environment = *gateway.version.borrow(),
        registry = gateway.registry.newest_revision(),
        reason, status = refusal.reason.status(),
        retry_after_ms = refusal.retry_after.map(millis);
        "request refused"
    );
    gateway
        .ports
        .protocol
        .refusal_response(call, refusal)
        .map(Body::from)
}
