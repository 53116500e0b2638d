//! Keeps streams at the software version of the runners that began them.

use tokio::time;

use crate::exchange::Exchange;
use crate::forward::millis;
use crate::gateway::Gateway;
use crate::id;
use crate::refusal::{Reason, Refusal};

/// Fraction of its remaining time that a request may wait for the records of streams.
const MAX_READ_FRACTION: f64 = 0.25;

/// Returns the only version at which the request may run, if it takes up a stream.
///
/// # Errors
///
/// Returns the refusal if the version that began the stream is not known.
pub(crate) async fn required(
    gateway: &Gateway,
    exchange: &Exchange,
) -> Result<Option<id::Software>, Refusal> {
    if exchange.call.resume_after.is_none() || !exchange.route.resumable {
        return Ok(None);
    }
    if let Some(software) = origin(gateway, exchange) {
        return Ok(Some(software));
    }
    let now = gateway.now();
    let limit = exchange.remaining(now).mul_f64(MAX_READ_FRACTION);
    let refresh = gateway.streams.refresh(gateway, now);
    if time::timeout(limit, refresh).await.is_err() {
        log::info!(
            request = exchange.call.attempt.as_str(), limit_ms = millis(limit);
            "streams of other instances could not be read in time"
        );
    }
    match origin(gateway, exchange) {
        Some(software) => Ok(Some(software)),
        None => Err(unknown_origin(gateway, exchange)),
    }
}

fn origin(gateway: &Gateway, exchange: &Exchange) -> Option<id::Software> {
    let service = &exchange.service;
    let watched = gateway.registry.watched(gateway.now());
    let is_complete = watched >= exchange.route.timeout;
    let seen = gateway.registry.software(service);
    let attempt = exchange.call.resumes.as_deref().unwrap_or_default();
    let origin = gateway
        .software
        .origin(service, attempt, &seen, is_complete);
    log::info!(
        request = exchange.call.attempt.as_str(), resumes = attempt, software = origin.as_deref(),
        seen:? = seen, watched_ms = millis(watched);
        "caller takes up a stream"
    );
    origin
}

fn unknown_origin(gateway: &Gateway, exchange: &Exchange) -> Refusal {
    let watched = gateway.registry.watched(gateway.now());
    let left = exchange.route.timeout.saturating_sub(watched);
    let refusal = Refusal::new(Reason::UnknownOrigin);
    let seen = gateway.registry.software(&exchange.service);
    if left.is_zero() || seen.len() > 1 {
        return refusal;
    }
    refusal.with_retry_after(left)
}

/// Records the version of a stream that `exchange` gets from a runner with `software`.
pub(crate) fn record_stream(gateway: &Gateway, exchange: &Exchange, software: &str) {
    if !exchange.route.resumable {
        return;
    }
    let call = &exchange.call;
    let first = match call.resume_after {
        Some(_) => call.resumes.as_ref().unwrap_or(&call.attempt),
        None => &call.attempt,
    };
    let now = gateway.now();
    let until = now + exchange.route.timeout;
    gateway
        .software
        .begin(&exchange.service, first, software, until, now);
}
