//! Clock abstraction, which lets tests control time.

use std::fmt::Debug;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use tokio::time;

/// A monotonic clock and a wall clock.
#[async_trait]
pub trait Clock: Debug + Send + Sync {
    /// Monotonic time since an arbitrary origin.
    fn now(&self) -> Duration;

    /// Wall-clock time since the Unix epoch, for display only; may jump.
    fn unix_time(&self) -> Duration;

    /// Sleeps for `duration`.
    async fn sleep(&self, duration: Duration);
}

/// The clocks of the operating system.
#[derive(Debug)]
pub struct System {
    origin: time::Instant,
}

impl System {
    /// Makes a clock whose origin is the current time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl Clock for System {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    async fn sleep(&self, duration: Duration) {
        time::sleep(duration).await;
    }
}
