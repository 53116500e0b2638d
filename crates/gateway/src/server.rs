//! HTTP servers for callers, readiness checks, the directory and metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;
use crate::environment::Limits;
use crate::gateway::Gateway;
use crate::memory::Socket;
use crate::memory::connections::{Connection, Phase, Purpose};
use crate::served::Served;
use crate::{forward, tcp};

/// Time without an acknowledgement of sent data after which a connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Smallest size of the read buffer that the HTTP library accepts, in bytes. The buffer limits
/// the size of a request head.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Time for which callers may cache the directory.
const DIRECTORY_TTL: Duration = Duration::from_millis(900);

/// Accepts connections until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>, listener: Arc<TcpListener>, purpose: Purpose) {
    let connections = &gateway.memory.connections;
    loop {
        let accepted = tokio::select! {
            () = gateway.stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = connections.admit(purpose, gateway.now()) {
                    let serving = serve(Arc::clone(&gateway), stream, connection);
                    gateway.work.spawn(serving);
                }
                // A connection that gives way is closed before the next one is accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!(purpose:% = purpose, error:% = error; "failed to accept a connection");
                gateway.clock.sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, connection: Connection) {
    if let Err(error) = tcp::configure(&stream, USER_TIMEOUT) {
        log::debug!(error:% = error; "failed to configure an accepted connection");
        return;
    }
    let purpose = connection.purpose();
    let began_closing = gateway.closing.is_cancelled();
    let environment = gateway.environment();
    let limits = environment.map_or_else(Limits::default, |environment| environment.limits);
    let state = Arc::new(connection);
    let shared = (Arc::clone(&gateway), Arc::clone(&state));
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, state) = shared.clone();
        async move {
            state.begin(Phase::Body, gateway.now());
            let response = handle(&gateway, request, &state).await;
            let clock = Arc::clone(&gateway.clock);
            Ok::<_, Infallible>(response.map(|body| Served::new(body, state, clock)))
        }
    });
    let socket = Socket::new(stream, Arc::clone(&state), Arc::clone(&gateway.clock));
    // The timeouts are those of `Connections::expire`: this one would begin with the wait.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = state.closed() => {
            if state.phase() != Phase::Busy || state.is_blocked() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        // If it began after that, its request is refused, and the response closes the connection.
        () = gateway.closing.cancelled() => {
            if !began_closing {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(purpose:% = purpose, error:% = error; "connection ended");
    }
}

async fn handle(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    match connection.purpose() {
        Purpose::Callers => forward::serve(Arc::clone(gateway), request, connection).await,
        Purpose::Ready => ready(gateway, request),
        Purpose::Directory => directory(gateway, request),
        // `mesh::listen` serves the connections of peers; none comes here.
        Purpose::Metrics | Purpose::Peers => {
            let page = gateway.metrics.page(&gateway.memory);
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

// Responds with status 503 instead of an empty list, which callers could not use.
fn directory(gateway: &Gateway, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    let protocol = &gateway.ports.protocol;
    if !protocol.is_directory_request(&head) {
        return protocol.status(StatusCode::NOT_FOUND).map(Body::from);
    }
    let mut addresses = gateway.members.caller_addresses(gateway.now());
    if gateway.is_ready() && (addresses.is_empty() || !gateway.is_cut_off()) {
        addresses.push(gateway.settings.listen.callers);
    }
    if addresses.is_empty() {
        return protocol
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .map(Body::from);
    }
    let ttl = DIRECTORY_TTL.min(gateway.settings.max_directory_ttl);
    protocol.directory_response(&addresses, ttl).map(Body::from)
}
