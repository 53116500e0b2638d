//! Opens the connections of HTTP clients, which deliver a limited number of bytes for each
//! request.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::read_limit::Limited;

type Opened = Result<TokioIo<Limited<TcpStream>>, <HttpConnector as Service<Uri>>::Error>;

/// Opens connections over TCP.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    inner: HttpConnector,
    /// Most bytes that a connection delivers for one request.
    max_bytes: usize,
}

impl Connector {
    pub(crate) fn new(inner: HttpConnector, max_bytes: usize) -> Self {
        Self { inner, max_bytes }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Limited<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Opened> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (opening, max_bytes) = (self.inner.call(uri), self.max_bytes);
        Box::pin(async move {
            let stream = opening.await?.into_inner();
            Ok(TokioIo::new(Limited::per_write(stream, max_bytes)))
        })
    }
}
