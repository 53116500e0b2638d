//! Audit trail of the changes to an environment.

use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::table::{Table, Transaction};
use almondbank_wire::row;

use crate::{Result, key};

/// A change to record in the audit trail.
#[derive(Clone, Debug)]
pub struct Change {
    /// Operator or instance that makes the change.
    pub actor: String,
    /// Action, for example `apply`.
    pub action: String,
    /// Row or object that is changed.
    pub target: String,
    /// Revision or fencing token before the change.
    pub from: Option<u64>,
    /// Revision or fencing token after the change.
    pub to: Option<u64>,
}

/// Adds an audit entry for `change` to `transaction`, so that both are committed
/// together.
#[must_use]
pub fn record(
    transaction: Transaction,
    environment: &str,
    clock: &dyn Clock,
    change: Change,
) -> Transaction {
    let at_unix_ms = millis(clock.unix());
    let name = transaction.id().replace('/', "-");
    let entry = row::Audit {
        actor: change.actor,
        action: change.action,
        target: change.target,
        from: change.from,
        to: change.to,
        at_unix_ms,
    };
    transaction.put(
        key::audit(environment, at_unix_ms, &name),
        key::encode(&entry),
    )
}

/// Reads the audit trail, oldest entry first.
///
/// # Errors
///
/// Fails if the table does not answer or a row is malformed.
pub async fn history(table: &dyn Table, environment: &str) -> Result<Vec<row::Audit>> {
    let rows = table.scan(&key::audits(environment)).await?;
    rows.iter()
        .map(|row| key::decode(&row.key, &row.value))
        .collect()
}

/// Converts `duration` to whole milliseconds; saturates at `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
