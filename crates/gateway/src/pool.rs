//! Pool of connections to runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::read_limit::{self, Allowance};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::task::JoinHandle;

use crate::connector::Connector;
use crate::error::Code;
use crate::upload::Upload;
use crate::{Result, id, upload};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without an acknowledgement of sent data after which a connection is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time for which an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Time before the runner's keep-alive timeout at which an idle connection is
/// discarded.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const MAX_IDLE_PER_RUNNER: usize = 8;
/// Most bytes before the end of a response's head: the head, interim ones, and what the library
/// reads ahead of the body.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Size of the read buffer, in bytes, which also limits the head of a response. 300 streams whose
/// callers did not read took 24 MB more with 64 KiB.
const MAX_BUFFER_BYTES: usize = 16 << 10;

type Key = (id::Runner, SocketAddr);

/// Idle connections by runner and address.
#[derive(Debug)]
pub struct Pool {
    clock: Arc<dyn Clock>,
    connector: Arc<dyn Connector>,
    idle: Mutex<BTreeMap<Key, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// A connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    key: Key,
    sender: http1::SendRequest<upload::body::Body>,
    driver: JoinHandle<()>,
    allowance: Allowance,
    upload: Upload,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reason for which a send got no response.
#[derive(Debug)]
pub enum Failure {
    /// No byte was sent.
    NotSent,
    /// The request may have reached the runner.
    Broken(hyper::Error),
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, connector: Arc<dyn Connector>) -> Self {
        Self {
            clock,
            connector,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to the runner or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if the connection cannot be opened.
    pub async fn connect(&self, runner: &str, address: SocketAddr) -> Result<Connection> {
        let key = (runner.to_owned(), address);
        if let Some(connection) = self.take(&key) {
            return Ok(connection);
        }
        let stream = self
            .connector
            .connect(address, CONNECT_TIMEOUT, USER_TIMEOUT)
            .await?;
        let allowance = Allowance::default();
        let upload = Upload::default();
        let stream = upload::socket::Socket::new(stream, upload.clone());
        let stream = read_limit::Limited::new(stream, allowance.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Code::Connect(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "connection to a runner failed");
            }
        });
        Ok(Connection {
            key,
            sender,
            driver,
            allowance,
            upload,
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

    /// Returns a connection to the pool after its response was read to the end.
    /// `keep_alive` is the runner's idle timeout, if it states one.
    pub fn put(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_time = keep_alive.map_or(MAX_IDLE, |time| time.saturating_sub(IDLE_MARGIN));
        if idle_time.is_zero() {
            return;
        }
        connection.is_reused = true;
        let until = self.clock.now() + idle_time.min(MAX_IDLE);
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.key.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_RUNNER {
            connections.push(Idle { connection, until });
        }
    }

    /// Closes idle connections that have expired or whose runner is not known.
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
    /// Sends `request` and waits for the response head.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::NotSent`] if no byte was sent, and with
    /// [`Failure::Broken`] if the request may have reached the runner.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        // A new connection becomes ready when its driver task has been polled.
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent);
        }
        self.allowance.limit(MAX_HEAD_BYTES);
        self.upload.start();
        let request = request.map(|body| upload::body::Body::new(body, self.upload.clone()));
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.lift();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::NotSent),
                None => Err(Failure::Broken(error.into_error())),
            },
        }
    }
    /// Checks that the end of the connection, up to which a body was read, ends the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke, or ended before the whole request was sent.
    pub fn check_end(&self) -> Result<()> {
        if self.upload.is_whole() {
            return Ok(());
        }
        Err(Code::Broken("the connection ended inside the request".to_owned()).into())
    }
}
