//! Paces reads of the store that several tasks wait for.

use std::time::Duration;

use almondbank_port::clock::Clock;
use tokio::sync::Mutex;

/// Shares one read among the tasks that ask for it.
#[derive(Debug, Default)]
pub(crate) struct Pacer {
    /// Time of the last read that succeeded.
    read_at: Mutex<Option<Duration>>,
}

impl Pacer {
    /// Calls `read`, which returns whether it has succeeded, unless one did after `asked_at`.
    /// Two reads are at least `interval` apart.
    pub(crate) async fn refresh(
        &self,
        clock: &dyn Clock,
        asked_at: Duration,
        interval: Duration,
        read: impl Future<Output = bool>,
    ) {
        let mut read_at = self.read_at.lock().await;
        if read_at.is_some_and(|last| last > asked_at) {
            return;
        }
        let due = read_at.map_or(asked_at, |last| last + interval);
        clock.sleep(due.saturating_sub(clock.now())).await;
        if read.await {
            *read_at = Some(clock.now());
        }
    }
}
