//! HTTP calls with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::Result;
use crate::error::Code;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
#[cfg(target_os = "linux")]
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_PER_HOST: usize = 256;
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A pooled HTTP/1.1 client.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes a client with an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: builder().build(connector()),
        }
    }

    /// Makes a client that opens a connection for each request, so that a
    /// connection that has gone silent is never used again.
    #[must_use]
    pub fn unpooled() -> Self {
        let mut builder = builder();
        builder.pool_max_idle_per_host(0);
        Self {
            inner: builder.build(connector()),
        }
    }

    /// Sends `request` and returns the answer's head; the body follows as a stream.
    ///
    /// # Errors
    ///
    /// `NotSent` if no connection could be made, else `Unknown`.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<body::Incoming>> {
        self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Code::NotSent(error.to_string()).into()
            } else {
                Code::Broken(error.to_string()).into()
            }
        })
    }

    /// Posts `question` as JSON and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// By category: not sent, unknown outcome, or refused with a status.
    pub async fn post<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<A> {
        let body = serde_json::to_vec(question).map_err(|e| Code::NotSent(e.to_string()))?;
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|error| Code::NotSent(error.to_string()))?;
        self.exchange(request, timeout).await
    }

    /// Gets a JSON answer.
    ///
    /// # Errors
    ///
    /// By category, as [`Client::post`].
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

    /// Sends `request` and collects the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// `NotSent` if no connection could be made, else `Unknown`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        time::timeout(timeout, self.collect(request))
            .await
            .map_err(|_| Code::Timeout)?
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<A> {
        let answer = self.call(request, timeout).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::PRECONDITION_FAILED => return Err(Code::Stale.into()),
            status => return Err(Code::Status(status.as_u16()).into()),
        }
        let typed = serde_json::from_slice(answer.body())
            .map_err(|error| Code::Malformed(error.to_string()))?;
        Ok(typed)
    }

    async fn collect(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Code::Broken(error.to_string()))?
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

fn connector() -> connect::HttpConnector {
    let mut connector = connect::HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    // A connection of which something in between has lost track is found by
    // probes while it is idle, and by missing acknowledgements while it is not.
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT));
    connector
}
