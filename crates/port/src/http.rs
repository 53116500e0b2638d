//! HTTP client with JSON calls and timeouts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, StatusCode, body, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use parking_lot::RwLock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::Result;
use crate::connector::Connector;
use crate::error::Code;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
#[cfg(target_os = "linux")]
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_PER_HOST: usize = 256;
/// Receive buffer of a connection, in bytes, which the kernel doubles. Without a size it lets
/// each grow to tens of megabytes while nothing is read.
const RECEIVE_BUFFER: usize = 192 << 10;
/// Send buffer of a connection, in bytes, likewise.
const SEND_BUFFER: usize = 192 << 10;
/// Largest response unless the client has a limit of its own, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Most bytes of the heads of a response, interim ones included.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Share of a body that its chunks may add to it, as a divisor.
const FRAMING_DIVISOR: usize = 8;

type Pool = legacy::Client<Connector, Full<Bytes>>;

/// An HTTP/1.1 client with a connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<RwLock<Generation>>,
    builder: legacy::Builder,
    /// Whether the pool is replaced after a call without a response.
    drops_silent: bool,
    /// Largest response that is read, in bytes.
    max_response: usize,
}

/// A pool and the number of those before it.
#[derive(Debug)]
struct Generation {
    number: u64,
    pool: Pool,
}

impl Generation {
    fn first(pool: Pool) -> Arc<RwLock<Self>> {
        Arc::new(RwLock::new(Self { number: 0, pool }))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes a client that reuses idle connections.
    #[must_use]
    pub fn new() -> Self {
        Self::with_builder(builder(), MAX_RESPONSE_BYTES)
    }

    fn with_builder(builder: legacy::Builder, max_response: usize) -> Self {
        Self {
            pool: Generation::first(builder.build(connector(max_response))),
            builder,
            drops_silent: false,
            max_response,
        }
    }

    /// Opens new connections after a call of [`Client::call`] without a response: idle ones
    /// may have fallen silent, too. For clients of one server.
    #[must_use]
    pub fn with_new_connections_after_timeout(self) -> Self {
        Self {
            drops_silent: true,
            ..self
        }
    }

    /// Limits the size of the responses that are read, in bytes.
    #[must_use]
    pub fn with_max_response(self, max_response: usize) -> Self {
        Self {
            drops_silent: self.drops_silent,
            ..Self::with_builder(self.builder, max_response)
        }
    }

    /// Makes a client that opens a new connection for each request, so that it
    /// never reuses a connection that has become unresponsive.
    #[must_use]
    pub fn unpooled() -> Self {
        let mut builder = builder();
        builder.pool_max_idle_per_host(0);
        Self::with_builder(builder, MAX_RESPONSE_BYTES)
    }

    /// Sends `request` and returns the response with a streaming body.
    ///
    /// # Errors
    ///
    /// `NotSent` if the connection failed, else `Unknown`.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<body::Incoming>> {
        let pool = self.pool.read().pool.clone();
        pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Code::NotSent(error.to_string()).into()
            } else {
                Code::Broken(error.to_string()).into()
            }
        })
    }

    /// Sends `payload` as JSON in a POST request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// `NotSent` if the connection failed, `Stale` for status 412, `Refused` for
    /// other statuses below 500 that are not 200, else `Unknown`.
    pub async fn post<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        payload: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<A> {
        let body = serde_json::to_vec(payload).map_err(|e| Code::NotSent(e.to_string()))?;
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|error| Code::NotSent(error.to_string()))?;
        self.exchange(request, timeout).await
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`Client::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|error| Code::NotSent(error.to_string()))?;
        self.exchange(request, timeout).await
    }

    /// Sends `request` and reads the complete response, with any status.
    ///
    /// # Errors
    ///
    /// `NotSent` if the connection failed, else `Unknown`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let generation = self.pool.read().number;
        let Ok(response) = time::timeout(timeout, self.collect(request)).await else {
            if self.drops_silent {
                self.replace_pool(generation);
            }
            return Err(Code::Timeout.into());
        };
        response
    }

    // Calls in progress keep their connections; one of them replaces each pool.
    fn replace_pool(&self, generation: u64) {
        let mut current = self.pool.write();
        if current.number == generation {
            current.number += 1;
            current.pool = self.builder.build(connector(self.max_response));
        }
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<A> {
        let response = self.call(request, timeout).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::PRECONDITION_FAILED => return Err(Code::Stale.into()),
            status => return Err(Code::Status(status.as_u16()).into()),
        }
        let typed = serde_json::from_slice(response.body())
            .map_err(|error| Code::Malformed(error.to_string()))?;
        Ok(typed)
    }

    async fn collect(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, self.max_response)
            .collect()
            .await
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    Code::TooLarge
                } else {
                    Code::Broken(error.to_string())
                }
            })?
            .to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

fn builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
    builder
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(rt::TokioTimer::new())
        .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
        .retry_canceled_requests(false);
    builder
}

fn connector(max_response: usize) -> Connector {
    let mut connector = connect::HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_recv_buffer_size(Some(RECEIVE_BUFFER));
    connector.set_send_buffer_size(Some(SEND_BUFFER));
    // Detects connections dropped silently by a NAT or firewall: keepalive probes
    // while a connection is idle, TCP_USER_TIMEOUT while data is unacknowledged.
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let max_bytes = max_response + max_response / FRAMING_DIVISOR + MAX_HEAD_BYTES;
    Connector::new(connector, max_bytes)
}
