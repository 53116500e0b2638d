//! Brings a transaction to a definite outcome although answers are lost.

use std::time::Duration;

use crate::clock::Clock;
use crate::retry;
use crate::table::{Outcome, Table, Transaction};
use crate::{Category, Result};

const RETRY_BASE: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Tries `transaction` until its outcome is certain or `deadline` passes.
///
/// A repeated transaction cannot take effect twice, since each of ours has a
/// condition that its own writes break. A conflict after a lost answer may be
/// with the lost attempt itself; the id in the witness row tells.
///
/// # Errors
///
/// Fails with the last failure once the clock passes `deadline`. The outcome is
/// then unknown unless the category says `NotSent` and no attempt was sent.
pub async fn resolve(
    table: &dyn Table,
    clock: &dyn Clock,
    transaction: &Transaction,
    deadline: Duration,
) -> Result<Outcome> {
    let mut backoff = retry::Backoff::new(RETRY_BASE, RETRY_MAX);
    let mut doubtful = false;
    loop {
        let failure = match table.commit(transaction).await {
            Ok(Outcome::Conflict(key)) if doubtful => match took_effect(table, transaction).await {
                Ok(Some(version)) => return Ok(Outcome::Committed(version)),
                Ok(None) => return Ok(Outcome::Conflict(key)),
                Err(failure) => failure,
            },
            Ok(outcome) => return Ok(outcome),
            Err(failure) if failure.category() == Category::Refused => return Err(failure),
            Err(failure) => {
                doubtful |= failure.category() == Category::Unknown;
                failure
            }
        };
        let delay = backoff.next_delay();
        if clock.now() + delay >= deadline {
            return Err(failure.doubt(doubtful));
        }
        clock.sleep(delay).await;
    }
}

async fn took_effect(table: &dyn Table, transaction: &Transaction) -> Result<Option<u64>> {
    let Some(witness) = transaction.witness() else {
        return Ok(None);
    };
    let row = table.get(witness).await?;
    Ok(row
        .filter(|row| row.writer == transaction.id())
        .map(|row| row.version))
}
