//! Restarts long-lived tasks that have panicked.
//!
//! A panic ends only the task in which it occurs. Without a restart the process would live on
//! without that task, and never again follow the environment or accept connections, for example.
//! The shared state is behind locks that a panic releases.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::retry::Backoff;
use futures_util::FutureExt;
use strum::{Display, IntoStaticStr};

use crate::gateway::Gateway;
use crate::span::millis;

/// Longest delay before the first restart, which doubles with each further panic.
const RESTART_BASE: Duration = Duration::from_millis(100);
const RESTART_MAX: Duration = Duration::from_secs(2);

/// A task that runs until the gateway stops.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Task {
    Accept,
    CrashCheck,
    Discovery,
    Environment,
    EnvironmentRecord,
    Leader,
    Link,
    MemoryWatch,
    QuarantineRecord,
    ReachCheck,
    Registrations,
    Report,
    StreamRecord,
    Summary,
    Sweep,
    Topology,
    UnlistedCheck,
    VersionRecord,
}

/// Spawns the future that `start` returns, and starts another one whenever it panics, until one
/// returns or the gateway stops.
pub(crate) fn spawn<F>(
    gateway: &Arc<Gateway>,
    task: Task,
    start: impl Fn(Arc<Gateway>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(run(Arc::clone(gateway), task, start));
}

async fn run<F>(gateway: Arc<Gateway>, task: Task, start: impl Fn(Arc<Gateway>) -> F)
where
    F: Future<Output = ()>,
{
    let mut backoff = Backoff::new(RESTART_BASE, RESTART_MAX);
    for restarts in 1_u64.. {
        let running = AssertUnwindSafe(start(Arc::clone(&gateway)));
        if running.catch_unwind().await.is_ok() {
            return;
        }
        let delay = backoff.next_delay();
        log::error!(
            task:% = task, restarts, delay_ms = millis(delay);
            "task ended by a panic; it is started again"
        );
        gateway.metrics.task_restart(task.into());
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(delay) => {}
        }
    }
}
