//! A clock that stands still until it is moved.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use async_trait::async_trait;
use tokio::sync::watch;

/// A clock for tests.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Arc<watch::Sender<Duration>>,
}

impl Manual {
    /// Moves the clock ahead.
    pub fn advance(&self, by: Duration) {
        self.now.send_modify(|now| *now += by);
    }
}

#[async_trait]
impl Clock for Manual {
    fn now(&self) -> Duration {
        *self.now.borrow()
    }

    fn unix_time(&self) -> Duration {
        *self.now.borrow()
    }

    async fn sleep(&self, duration: Duration) {
        let until = self.now() + duration;
        let mut now = self.now.subscribe();
        let _ = now.wait_for(|now| *now >= until).await;
    }
}
