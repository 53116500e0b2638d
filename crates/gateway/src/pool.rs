//! Connections to runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::task::JoinHandle;

use crate::error::Code;
use crate::{Result, id, tcp};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Unacknowledged data for this long means that the runner cannot be reached.
const SILENCE: Duration = Duration::from_millis(1500);
/// Longest time that an idle connection is used again after.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Time before the runner's own idle timeout at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const MAX_IDLE_PER_RUNNER: usize = 8;

type Key = (id::Runner, SocketAddr);

/// Idle connections by runner.
#[derive(Debug)]
pub struct Pool {
    clock: Arc<dyn Clock>,
    idle: Mutex<BTreeMap<Key, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// A connection that carries one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    key: Key,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum Failure {
    /// No byte of it left.
    NotSent,
    /// It may have reached the runner.
    Broken(hyper::Error),
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to the runner, or makes one.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if the runner cannot be connected to.
    pub async fn connect(&self, runner: &str, address: SocketAddr) -> Result<Connection> {
        let key = (runner.to_owned(), address);
        if let Some(connection) = self.take(&key) {
            return Ok(connection);
        }
        let stream = tcp::connect(address, CONNECT_TIMEOUT, SILENCE).await?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Code::Connect(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "connection to a runner ended");
            }
        });
        Ok(Connection {
            key,
            sender,
            driver,
            is_reused: false,
        })
    }

    fn take(&self, key: &Key) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(key)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            if now < until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole; `keep_alive` is the time
    /// that the runner keeps it.
    pub fn put(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let kept = keep_alive.map_or(MAX_IDLE, |time| time.saturating_sub(IDLE_MARGIN));
        if kept.is_zero() {
            return;
        }
        connection.is_reused = true;
        let until = self.clock.now() + kept.min(MAX_IDLE);
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.key.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_RUNNER {
            connections.push(Idle { connection, until });
        }
    }

    /// Closes idle connections that are too old or whose runner is not known.
    pub fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|(runner, _), connections| {
            connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_known(runner)
        });
    }
}

impl Connection {
    /// Sends `request` and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the runner.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        // A new connection becomes ready once its driver has run.
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::NotSent),
                None => Err(Failure::Broken(error.into_error())),
            },
        }
    }
}
