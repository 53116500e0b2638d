//! Keeps streams at the software version of the runners that began them.

use std::time::Duration;

use tokio::time;

use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::refusal::{Reason, Refusal};
use crate::span::millis;
use crate::{id, stream_record, watcher};

/// Fraction of its remaining time that a request may wait for the records of streams.
const MAX_READ_FRACTION: f64 = 0.25;
/// Interval at which the reports of peers are checked.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

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
    if let Some(software) = &exchange.call.software {
        return Ok(Some(software.clone()));
    }
    if let Some(software) = recorded_origin(gateway, exchange) {
        return Ok(Some(software));
    }
    let now = gateway.now();
    let limit = exchange.remaining(now).mul_f64(MAX_READ_FRACTION);
    let is_current = time::timeout(limit, has_current_versions(gateway, exchange, now));
    let is_current = is_current.await.unwrap_or_default();
    if is_current && let Some(software) = origin(gateway, exchange) {
        return Ok(Some(software));
    }
    let refresh = stream_record::refresh(gateway, now);
    if time::timeout(limit, refresh).await.is_err() {
        log::info!(
            request = exchange.call.attempt.as_str(), limit_ms = millis(limit);
            "streams of other instances could not be read in time"
        );
    }
    let origin = if is_current {
        origin(gateway, exchange)
    } else {
        recorded_origin(gateway, exchange)
    };
    origin
        .map(Some)
        .ok_or_else(|| unknown_origin(gateway, exchange))
}

fn recorded_origin(gateway: &Gateway, exchange: &Exchange) -> Option<id::Software> {
    let attempt = exchange.call.resumes.as_deref().unwrap_or_default();
    gateway.software.recorded_origin(&exchange.service, attempt)
}

// Whether this instance knows all versions that can have begun a stream which is taken up
// at `now`. It may have missed a new one while it was cut off or stood still.
async fn has_current_versions(gateway: &Gateway, exchange: &Exchange, now: Duration) -> bool {
    match watcher::catch_up(gateway).await {
        Ok(()) => true,
        Err(error) => {
            log::info!(
                request = exchange.call.attempt.as_str(), error:% = error;
                "the versions that serve could not be read"
            );
            peers_have_no_newer(gateway, exchange, now).await
        }
    }
}

// Waits until all instances at which the stream can have begun have reported after `since`;
// returns whether none of them knows newer registrations than this one.
async fn peers_have_no_newer(gateway: &Gateway, exchange: &Exchange, since: Duration) -> bool {
    loop {
        let now = gateway.now();
        let window = exchange.route.timeout;
        if let Some(newest) = gateway.members.registry_of_all(window, since, now)
            && newest <= gateway.registry.newest_revision()
        {
            return true;
        }
        gateway.clock.sleep(REPORT_CHECK_INTERVAL).await;
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

/// Records that the caller of `exchange` gets its first event from a runner with `software`.
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
