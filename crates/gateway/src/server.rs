//! The listeners for callers, readiness checks, the directory and metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use strum::Display;
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;
use crate::gateway::Gateway;
use crate::{forward, tcp};

/// Unacknowledged data for this long means that the caller cannot be reached.
const SILENCE: Duration = Duration::from_secs(4);
/// Buffer for one head.
const MAX_HEAD_BYTES: usize = 64 << 10;
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Time for which callers keep the list of addresses.
const DIRECTORY_TTL: Duration = Duration::from_millis(900);
/// Descriptors that are kept for everything but connections of callers.
const RESERVED_FILES: usize = 600;

/// What a listener is for.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Purpose {
    Callers,
    Ready,
    Directory,
    Metrics,
}

/// Accepts connections until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>, listener: TcpListener, purpose: Purpose) {
    let max_connections = gateway
        .settings
        .max_files
        .saturating_sub(RESERVED_FILES)
        .max(64);
    loop {
        let accepted = tokio::select! {
            () = gateway.stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) if gateway.work.len() < max_connections => {
                let serving = serve(Arc::clone(&gateway), stream, purpose);
                gateway.work.spawn(serving);
            }
            Ok(_) => {
                log::warn!(purpose:% = purpose, max_connections; "connection refused: too many");
            }
            Err(error) => {
                log::warn!(purpose:% = purpose, error:% = error; "connection is not accepted");
                gateway.clock.sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, purpose: Purpose) {
    if let Err(error) = tcp::configure(&stream, SILENCE) {
        log::debug!(error:% = error; "connection lost at once");
        return;
    }
    let idle = gateway
        .environment()
        .map(|environment| environment.limits.idle_timeout);
    let idle = idle.unwrap_or(Duration::from_secs(15));
    let answering = Arc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&answering);
        async move { Ok::<_, Infallible>(answer(gateway, request, purpose).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = if gateway.closing.is_cancelled() {
        // The request on it is refused, and its answer closes the connection.
        connection.await
    } else {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = gateway.closing.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(purpose:% = purpose, error:% = error; "connection ended");
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    purpose: Purpose,
) -> Response<Body> {
    match purpose {
        Purpose::Callers => forward::serve(gateway, request).await,
        Purpose::Ready => ready(&gateway, request),
        Purpose::Directory => directory(&gateway, request),
        Purpose::Metrics => {
            let page = gateway.metrics.page();
            Response::new(Body::from(bytes::Bytes::from(page)))
        }
    }
}

fn ready(gateway: &Gateway, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    let protocol = &gateway.ports.protocol;
    let status = if !protocol.is_readiness_check(&head) {
        StatusCode::NOT_FOUND
    } else if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    protocol.status(status).map(Body::from)
}

// Lists this instance too while nothing else is known: an empty list helps nobody.
fn directory(gateway: &Gateway, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    let protocol = &gateway.ports.protocol;
    if !protocol.is_directory_request(&head) {
        return protocol.status(StatusCode::NOT_FOUND).map(Body::from);
    }
    let mut addresses = gateway.members.caller_addresses(gateway.now());
    if gateway.is_ready() {
        addresses.push(gateway.settings.listen.callers);
    }
    if addresses.is_empty() {
        return protocol
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .map(Body::from);
    }
    let ttl = DIRECTORY_TTL.min(gateway.settings.max_ttl);
    protocol.directory_response(&addresses, ttl).map(Body::from)
}
