//! Sends chat requests to runners and relays the responses to the callers.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::Category;
use almondbank_serving::admission::Permit;
use almondbank_wire::problem::{Code, Problem};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use salvo::http::{HeaderValue, Response};
use tokio::time;

use crate::node::Node;
use crate::response;

/// Header with the id of the request, which the runner repeats in its response.
const REQUEST_ID: &str = "x-request-id";
const END_OF_STREAM: &[u8] = b"data: [DONE]";
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// One attempt to run a chat request; holds a slot of the runner.
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) deadline: Duration,
    pub(crate) is_stream: bool,
    pub(crate) body: String,
    pub(crate) permit: Permit,
}

/// Why an attempt failed before any byte was sent to the caller.
pub(crate) enum Failure {
    /// The runner is healthy, but does not hold the replica or has no capacity.
    Unavailable(Problem),
    /// The runner could not be reached or returned no valid response.
    Broken(Problem),
}

/// Sends the request of `attempt` to its runner and writes the runner's response
/// to `response`.
pub(crate) async fn send(
    node: &Arc<Node>,
    attempt: Attempt,
    response: &mut Response,
) -> Result<(), Failure> {
    let edition = node.catalog.current();
    let runner = edition.document.runners.get(&attempt.permit.runner);
    let address = runner
        .map(|runner| runner.address)
        .ok_or_else(|| unavailable("the runner left the document"))?;
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, &attempt.id)
        .body(Full::from(attempt.body.clone()))
        .map_err(|error| unavailable(error.to_string()))?;
    let received = tokio::select! {
        received = node.http.send(request) => received,
        () = timed_out(node, &attempt) => return Err(broken("the runner fell silent")),
    };
    let received = received.map_err(|error| match error.category() {
        Category::NotSent => Failure::Broken(Problem::not_run(
            Code::Unreachable,
            "the runner could not be reached",
        )),
        _ => broken(error.to_string()),
    })?;
    let (head, body) = received.into_parts();
    let id = head.headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
    if id.is_some_and(|id| id != attempt.id.as_bytes()) {
        return Err(broken("the runner answered another request"));
    }
    match head.status {
        StatusCode::OK if attempt.is_stream => relay_stream(node, attempt, body, response).await,
        StatusCode::OK => relay_body(node, body, response).await,
        StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => {
            Err(unavailable("the runner does not hold the replica"))
        }
        status if status.is_client_error() => {
            let text = collect(node, body).await?;
            response::text(response, status.as_u16(), text);
            Ok(())
        }
        status => Err(broken(format!("the runner answered with status {status}"))),
    }
}

// Completes when the replica no longer has a route, or when the deadline and then
// the idle timeout have passed.
async fn timed_out(node: &Node, attempt: &Attempt) {
    let overdue = attempt.deadline + node.settings.idle_timeout;
    let mut has_route = true;
    while has_route && node.clock.now() < overdue {
        node.clock.sleep(ROUTE_CHECK_INTERVAL).await;
        has_route = node
            .admission
            .has_route(attempt.permit.target(), &attempt.permit.replica);
    }
}

async fn relay_body(node: &Node, body: Incoming, response: &mut Response) -> Result<(), Failure> {
    let bytes = collect(node, body).await?;
    response::text(response, 200, bytes);
    Ok(())
}

async fn collect(node: &Node, mut body: Incoming) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    while let Some(chunk) = next_chunk(node, &mut body).await? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(broken("the runner's answer is too long"));
        }
    }
    Ok(bytes)
}

// Reads the first bytes before the response to the caller begins, so that a
// failure before them can be retried on another runner.
async fn relay_stream(
    node: &Arc<Node>,
    attempt: Attempt,
    mut body: Incoming,
    response: &mut Response,
) -> Result<(), Failure> {
    let first = next_chunk(node, &mut body)
        .await?
        .ok_or_else(|| broken("the runner sent an empty stream"))?;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let relay = Relay {
        node: Arc::clone(node),
        body,
        first: Some(first),
        tail: Vec::new(),
        _permit: attempt.permit,
    };
    response.stream(stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    }));
    Ok(())
}

/// A stream relayed from a runner to a caller; holds the slot until it ends.
struct Relay {
    node: Arc<Node>,
    body: Incoming,
    first: Option<Bytes>,
    tail: Vec<u8>,
    _permit: Permit,
}

/// Error for a stream that ended before its last event; it aborts the caller's
/// connection, so that the partial response is not mistaken for a complete one.
#[derive(Debug)]
struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the runner's stream ended before its last event")
    }
}

impl std::error::Error for Truncated {}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        let bytes = match self.first.take() {
            Some(first) => Some(first),
            None => next_chunk(&self.node, &mut self.body)
                .await
                .map_err(|_| Truncated)?,
        };
        match bytes {
            Some(bytes) => {
                self.append_tail(&bytes);
                Ok(Some(bytes))
            }
            None if self.is_complete() => Ok(None),
            None => Err(Truncated),
        }
    }

    fn append_tail(&mut self, bytes: &[u8]) {
        const TAIL_BYTES: usize = 64;
        self.tail.extend_from_slice(bytes);
        let extra = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..extra);
    }

    fn is_complete(&self) -> bool {
        self.tail
            .windows(END_OF_STREAM.len())
            .any(|window| window == END_OF_STREAM)
    }
}

async fn next_chunk(node: &Node, body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        let frame = time::timeout(node.settings.idle_timeout, body.frame())
            .await
            .map_err(|_| broken("the runner fell silent"))?;
        match frame {
            None => return Ok(None),
            Some(Err(error)) => return Err(broken(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

fn unavailable(detail: impl Into<String>) -> Failure {
    Failure::Unavailable(Problem::not_run(Code::Unreachable, detail))
}

fn broken(detail: impl Into<String>) -> Failure {
    Failure::Broken(Problem::unknown(Code::BackendLost, detail))
}
