//! A listener whose address may not be available yet.
//!
//! A process that ends because an address is taken is started again with the same settings and
//! ends again. So it keeps trying, and is ready once callers and peers can connect.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use almondbank_port::clock::Clock;
use tokio::net::TcpListener;

use crate::memory::connections::Purpose;
use crate::span::millis;
use crate::tcp;

/// Time from one attempt to bind an address to the next.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts from one log line to the next, 10 s.
const ATTEMPTS_PER_REPORT: u32 = 50;

/// A listener that is bound, or is to be bound once its address is available.
#[derive(Debug)]
pub(crate) struct Listener {
    purpose: Purpose,
    address: SocketAddr,
    bound: OnceLock<Arc<TcpListener>>,
}

impl Listener {
    /// Binds `address` if it is available.
    pub(crate) fn new(purpose: Purpose, address: SocketAddr) -> Self {
        let listener = Self {
            purpose,
            address,
            bound: OnceLock::new(),
        };
        if let Err(error) = listener.bind() {
            listener.report(log::Level::Warn, &error);
        }
        listener
    }

    /// The address that is bound, or the one to be bound.
    pub(crate) fn address(&self) -> SocketAddr {
        let bound = self.bound.get();
        let address = bound.and_then(|bound| bound.local_addr().ok());
        address.unwrap_or(self.address)
    }

    pub(crate) fn purpose(&self) -> Purpose {
        self.purpose
    }

    pub(crate) fn is_bound(&self) -> bool {
        self.bound.get().is_some()
    }

    /// Returns the listener once its address is bound.
    pub(crate) async fn bound(&self, clock: &dyn Clock) -> Arc<TcpListener> {
        let began = clock.now();
        let mut attempts = 0_u32;
        loop {
            if let Some(bound) = self.bound.get() {
                return Arc::clone(bound);
            }
            clock.sleep(RETRY_INTERVAL).await;
            attempts = attempts.wrapping_add(1);
            match self.bind() {
                Ok(()) => {
                    let after = millis(clock.now().saturating_sub(began));
                    log::info!(
                        listener:% = self.purpose, address:% = self.address(), after_ms = after;
                        "listening"
                    );
                }
                Err(error) if attempts.is_multiple_of(ATTEMPTS_PER_REPORT) => {
                    self.report(log::Level::Error, &error);
                }
                Err(_) => {}
            }
        }
    }

    fn report(&self, level: log::Level, error: &io::Error) {
        log::log!(
            level, listener:% = self.purpose, address:% = self.address, error:% = error;
            "cannot listen; trying again"
        );
    }

    fn bind(&self) -> io::Result<()> {
        let bound = tcp::listen(self.address)?;
        self.bound.get_or_init(|| Arc::new(bound));
        Ok(())
    }
}
