//! The clock, passed in so that tests can move it.

use std::fmt::Debug;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use tokio::time;

/// A monotonic clock and the calendar.
#[async_trait]
pub trait Clock: Debug + Send + Sync {
    /// Time since an origin of the clock's own; never goes back.
    fn now(&self) -> Duration;

    /// Time since the Unix epoch, for people only; may jump.
    fn unix(&self) -> Duration;

    /// Waits for `duration`.
    async fn sleep(&self, duration: Duration);
}

/// The machine's clocks.
#[derive(Debug)]
pub struct System {
    origin: time::Instant,
}

impl System {
    /// Starts a clock whose origin is now.
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

    fn unix(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    async fn sleep(&self, duration: Duration) {
        time::sleep(duration).await;
    }
}
