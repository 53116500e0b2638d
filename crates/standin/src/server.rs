//! A minimal HTTP/1 server shared by the fakes.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Error of a response body that aborts the connection.
pub type Abort = std::io::Error;
/// Response body.
pub type Body = BoxBody<Bytes, Abort>;

/// A running server; dropping it closes the listener.
#[derive(Debug)]
pub struct Server {
    /// Local address of the listener.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Handles the requests of a server.
pub trait Service: Send + Sync + 'static {
    /// Handles one request; `None` closes the connection without a response.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// Starts a server on `address`; port 0 binds a free port.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start<S: Service>(address: SocketAddr, service: Arc<S>) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = Arc::clone(&service);
            tokio::spawn(async move {
                let handler = service_fn(|request| {
                    let service = Arc::clone(&service);
                    async move { service.handle(request).await.ok_or_else(abort) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), handler)
                    .await;
            });
        }
    });
    Ok(Server { address, task })
}

/// Returns the error that makes hyper abort the connection.
#[must_use]
pub fn abort() -> Abort {
    std::io::Error::other("connection aborted by an injected fault")
}

/// Returns a response with `status`, `body` and the content type `application/json`.
#[must_use]
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response with status 200 and `value` as JSON.
#[must_use]
pub fn json(value: &impl Serialize) -> Response<Body> {
    response(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Reads the body of a request; returns an empty body if reading fails.
pub async fn collect(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}
