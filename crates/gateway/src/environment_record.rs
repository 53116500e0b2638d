//! Records the environment where the store has lost it, so that instances that start later
//! do not serve by the older one that the store lists.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::{key, lease};
use almondbank_wire::{mesh, row};

use crate::gateway::Gateway;
use crate::id::ENVIRONMENT;
use crate::leader_row::{self, Row};

/// Interval at which the leader checks whether the store has lost the environment.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest text in one row; a longer one is divided.
const MAX_TEXT_BYTES: usize = 32 << 10;
/// What logs name as the source of an environment that was recorded.
const SOURCE: &str = "record";

/// Reads the record at the start, and writes it while this instance is the leader and the
/// store lists an older environment.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut row = Row::new(key::environment(ENVIRONMENT), "environment");
    gateway.join.set_reads_record(true);
    if let Some(environment) = row.read::<mesh::Environment>(&gateway).await {
        gateway.join.record_newest(environment.version);
        let environment = read_parts(&gateway, environment).await;
        receive(&gateway, &environment);
    }
    gateway.join.set_reads_record(false);
    check_history(&gateway).await;
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(CHECK_INTERVAL) => {}
        }
        if gateway.term().is_none() {
            row.forget();
            continue;
        }
        if let Some(environment) = lost_environment(&gateway) {
            let version = environment.version;
            let (first, parts) = divide(environment);
            row.update_with(&gateway, version, &first, parts).await;
        }
    }
}

// Returns the active environment if the store lists an older one.
fn lost_environment(gateway: &Gateway) -> Option<mesh::Environment> {
    if gateway.stored_version()? >= *gateway.version.borrow() {
        return None;
    }
    let document = gateway.document()?;
    Some(mesh::Environment {
        version: document.environment.version,
        text: document.text,
    })
}

// Divides a text that is too long for a row into further rows; the first one has only its
// version then.
fn divide(environment: mesh::Environment) -> (mesh::Environment, Vec<(String, String)>) {
    if environment.text.len() <= MAX_TEXT_BYTES {
        return (environment, Vec::new());
    }
    let version = environment.version;
    let mut rest = environment.text.as_str();
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (text, later) = rest.split_at(rest.floor_char_boundary(MAX_TEXT_BYTES));
        let part = mesh::Environment {
            version,
            text: text.to_owned(),
        };
        let key = key::environment_part(ENVIRONMENT, parts.len());
        parts.push((key, key::encode(&part)));
        rest = later;
    }
    let first = mesh::Environment {
        version,
        text: String::new(),
    };
    (first, parts)
}

// Adds the text from its parts, if the row has none. Parts of a longer text may be left from an
// earlier version.
async fn read_parts(gateway: &Gateway, mut environment: mesh::Environment) -> mesh::Environment {
    if !environment.text.is_empty() {
        return environment;
    }
    let prefix = key::environment_parts(ENVIRONMENT);
    let table = &gateway.ports.table;
    let rows = leader_row::read(gateway, "environment's text", || table.scan(&prefix)).await;
    let rows = rows.unwrap_or_default();
    let parts = rows
        .iter()
        .filter_map(|row| key::decode::<mesh::Environment>(&row.key, &row.value).ok());
    let parts = parts.filter(|part| part.version == environment.version);
    environment.text = parts.map(|part| part.text).collect();
    environment
}

fn receive(gateway: &Gateway, recorded: &mesh::Environment) {
    if recorded.text.is_empty() {
        return;
    }
    match gateway.ports.documents.decode(&recorded.text) {
        Ok(document) => gateway.install(document, SOURCE),
        Err(error) => log::warn!(
            version = recorded.version, error:% = error;
            "recorded environment is malformed"
        ),
    }
}

// Reads in which history of the store the last lease was taken.
async fn check_history(gateway: &Gateway) {
    let table = &gateway.ports.table;
    let key = key::lease(ENVIRONMENT);
    let row = leader_row::read(gateway, "lease", || table.get(&key)).await;
    let lease: Option<row::Lease> = row
        .flatten()
        .and_then(|row| key::decode(&row.key, &row.value).ok());
    let is_present = |lease: row::Lease| lease::history(lease.fencing) == table.history();
    if lease.is_some_and(is_present) {
        gateway.join.record_settled();
    }
}
