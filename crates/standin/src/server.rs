//! A small HTTP server for the stand-ins.

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

/// Error that cuts a connection in the middle of an answer.
pub type Cut = std::io::Error;
/// Body of an answer.
pub type Body = BoxBody<Bytes, Cut>;

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What answers the requests; `None` drops the connection without an answer.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// Starts a server on `address`; port 0 takes a free one.
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
                    async move { service.answer(request).await.ok_or_else(cut) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), handler)
                    .await;
            });
        }
    });
    Ok(Server { address, task })
}

/// The error that cuts a connection.
#[must_use]
pub fn cut() -> Cut {
    std::io::Error::other("cut")
}

/// A whole answer.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A JSON answer with status 200.
#[must_use]
pub fn json(value: &impl Serialize) -> Response<Body> {
    text(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// The whole body of a request.
pub async fn collect(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}
