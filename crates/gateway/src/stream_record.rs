//! Records in the store which software version began the streams of each instance, while
//! runners of several versions serve one service.
//!
//! Each instance writes one row, so that its streams can be taken up at the version that
//! began them after it is gone, even if all instances are replaced at once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::table::{Row, Transaction};
use almondbank_port::{Category, commit};

use crate::entries::TOMBSTONE_TTL;
use crate::gateway::Gateway;
use crate::id;
use crate::id::ENVIRONMENT;
use crate::software::Record;

/// Shortest interval between two writes of the row, and between two reads of all rows.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time by which the intervals grow with each instance, which bounds the calls of all.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Time for which streams of the rows are kept.
const RECORD_TTL: Duration = Duration::from_mins(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the rows of all instances, unless they were read after `asked_at`.
pub(crate) async fn refresh(gateway: &Gateway, asked_at: Duration) {
    let clock = &*gateway.clock;
    let reading = read(gateway);
    let pacer = &gateway.stream_reads;
    pacer
        .refresh(clock, asked_at, interval(gateway), reading)
        .await;
}

/// Reads the rows at the start, and writes that of this instance until it stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    while !read(&gateway).await {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(MIN_INTERVAL) => {}
        }
    }
    let mut written = Record::new();
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(interval(&gateway)) => {}
        }
        let now = gateway.now();
        let record = gateway.software.own(&mixed_services(&gateway, now), now);
        if has_new(&record, &written) && write(&gateway, &record).await {
            written = record;
        }
    }
}

// Services whose streams can be of several versions.
fn mixed_services(gateway: &Gateway, now: Duration) -> BTreeSet<id::Service> {
    let mut versions = gateway.registry.all_software();
    if gateway.registry.watched(now) < TOMBSTONE_TTL {
        versions = gateway.software.merge_recorded(versions);
    }
    versions.retain(|_, of_service| of_service.len() > 1);
    versions.into_keys().collect()
}

// Whether a record has a stream that the one before has not. Streams that have ended need no
// write.
fn has_new(record: &Record, before: &Record) -> bool {
    record.iter().any(|(service, versions)| {
        versions.iter().any(|(software, attempts)| {
            let known = before.get(service).and_then(|known| known.get(software));
            known.is_none_or(|known| !attempts.is_subset(known))
        })
    })
}

fn interval(gateway: &Gateway) -> Duration {
    let instances = gateway.members.share_count(gateway.now());
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_INSTANCE.saturating_mul(instances))
}

async fn read(gateway: &Gateway) -> bool {
    match gateway.ports.table.scan(&key::streams(ENVIRONMENT)).await {
        Ok(rows) => {
            for row in &rows {
                merge(gateway, row);
            }
            true
        }
        Err(error) => {
            log::info!(error:% = error; "streams of other instances could not be read");
            false
        }
    }
}

fn merge(gateway: &Gateway, row: &Row) {
    let own = key::streams_of(ENVIRONMENT, &gateway.settings.instance);
    let now = gateway.now();
    match key::decode(&row.key, &row.value) {
        Ok(record) => gateway
            .software
            .merge(&record, row.key == own, now + RECORD_TTL, now),
        Err(error) => {
            log::warn!(error:% = error; "record of streams in the store is malformed");
        }
    }
}

// Returns whether the record was written, or refused as it would be again.
async fn write(gateway: &Gateway, record: &Record) -> bool {
    let writer = format!("{}/streams", gateway.incarnation);
    let key = key::streams_of(ENVIRONMENT, &gateway.settings.instance);
    let transaction = Transaction::new(writer).put(key, key::encode(record));
    let deadline = gateway.now() + WRITE_TIMEOUT;
    let table = &*gateway.ports.table;
    let written = commit::resolve(table, &*gateway.clock, &transaction, deadline).await;
    if let Err(error) = &written {
        log::info!(error:% = error; "streams could not be recorded");
    }
    written.map_or_else(|error| error.category() == Category::Refused, |_| true)
}
