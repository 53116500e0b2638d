//! Keeps streams at the software version of the runners that began them.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::commit;
use almondbank_port::table::Transaction;
use tokio::time;

use crate::exchange::Exchange;
use crate::forward::millis;
use crate::gateway::Gateway;
use crate::id;
use crate::mesh::ENVIRONMENT;
use crate::refusal::{Reason, Refusal};
use crate::registry::TOMBSTONE_TTL;
use crate::software::Versions;

/// Interval at which the versions are compared with those in the store.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which they are written again, in case the store has lost them.
const REWRITE_INTERVAL: Duration = Duration::from_secs(30);
/// Fraction of its remaining time that a request may wait for the records of streams.
const MAX_READ_FRACTION: f64 = 0.25;
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Reads the versions in the store at the start, and writes them while this instance is
/// the leader, so that instances that start later know what served before.
pub(crate) async fn record(gateway: Arc<Gateway>) {
    read(&gateway).await;
    let mut written: Option<(Versions, Duration)> = None;
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(RECORD_INTERVAL) => {}
        }
        if gateway.term().is_none() {
            written = None;
            continue;
        }
        let now = gateway.now();
        let mut versions = gateway.registry.all_software();
        if gateway.registry.watched(now) < TOMBSTONE_TTL {
            versions = gateway.software.merge_recorded(versions);
        }
        let is_written = written
            .as_ref()
            .is_some_and(|(known, at)| *known == versions && now < *at + REWRITE_INTERVAL);
        if !is_written && write(&gateway, &versions).await {
            written = Some((versions, now));
        }
    }
}

async fn read(gateway: &Gateway) {
    while !gateway.stopped.is_cancelled() {
        match gateway.ports.table.get(&key::software(ENVIRONMENT)).await {
            Ok(Some(row)) => {
                match key::decode(&row.key, &row.value) {
                    Ok(versions) => gateway.software.set_recorded(versions),
                    Err(error) => {
                        log::warn!(error:% = error; "versions of runners in the store are malformed");
                    }
                }
                return;
            }
            Ok(None) => return,
            Err(error) => {
                log::info!(error:% = error; "versions of runners could not be read");
                gateway.clock.sleep(RECORD_INTERVAL).await;
            }
        }
    }
}

async fn write(gateway: &Gateway, versions: &Versions) -> bool {
    let writer = format!("{}/software", gateway.incarnation);
    let transaction =
        Transaction::new(writer).put(key::software(ENVIRONMENT), key::encode(versions));
    let deadline = gateway.now() + WRITE_TIMEOUT;
    let table = &*gateway.ports.table;
    let written = commit::resolve(table, &*gateway.clock, &transaction, deadline).await;
    log::info!(versions:? = versions, is_written = written.is_ok(); "versions of runners recorded");
    written.is_ok()
}
