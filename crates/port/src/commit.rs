//! Retries a transaction until its outcome is known.

use std::time::Duration;

use crate::clock::Clock;
use crate::retry;
use crate::table::{Outcome, Table, Transaction};
use crate::{Category, Result};

const RETRY_BASE: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Retries `transaction` until its outcome is known or `deadline` passes.
///
/// Each transaction must have a condition that its own writes invalidate, so that
/// a retry cannot apply it twice. After an attempt with an unknown outcome, a
/// conflict may be caused by that attempt. The writer id in the marker row shows
/// whether it was applied.
///
/// # Errors
///
/// Fails with the last error if `deadline` would pass before the next attempt,
/// or at once if the service refuses the call. The outcome is unknown unless the
/// category is `NotSent`, which means that no attempt was sent.
pub async fn resolve(
    table: &dyn Table,
    clock: &dyn Clock,
    transaction: &Transaction,
    deadline: Duration,
) -> Result<Outcome> {
    let mut backoff = retry::Backoff::new(RETRY_BASE, RETRY_MAX);
    let mut may_have_applied = false;
    loop {
        let failure = match table.commit(transaction).await {
            Ok(Outcome::Conflict(key)) if may_have_applied => {
                match committed_version(table, transaction).await {
                    Ok(Some(version)) => return Ok(Outcome::Committed(version)),
                    Ok(None) => return Ok(Outcome::Conflict(key)),
                    Err(failure) => failure,
                }
            }
            Ok(outcome) => return Ok(outcome),
            Err(failure) if failure.category() == Category::Refused => return Err(failure),
            Err(failure) => {
                may_have_applied |= failure.category() == Category::Unknown;
                failure
            }
        };
        let delay = backoff.next_delay();
        if clock.now() + delay >= deadline {
            return Err(failure.or_unknown(may_have_applied));
        }
        clock.sleep(delay).await;
    }
}

async fn committed_version(table: &dyn Table, transaction: &Transaction) -> Result<Option<u64>> {
    let Some(marker_key) = transaction.marker_key() else {
        return Ok(None);
    };
    let row = table.get(marker_key).await?;
    Ok(row
        .filter(|row| row.writer == transaction.id())
        .map(|row| row.version))
}
