//! A clock that advances only when a test calls [`Manual::advance`].

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use async_trait::async_trait;
use tokio::sync::watch;

/// A manually advanced clock; clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Arc<watch::Sender<Duration>>,
}

impl Manual {
    /// Advances the clock and wakes the sleepers whose time has come.
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
        let deadline = self.now() + duration;
        let mut now = self.now.subscribe();
        let _ = now.wait_for(|now| *now >= deadline).await;
    }
}
