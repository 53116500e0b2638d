//! Sends a chat request to a runner and its answer to the caller.

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
use crate::reply;

/// Header that carries the request's own id to the runner and back.
const REQUEST_ID: &str = "x-request-id";
const END_OF_STREAM: &[u8] = b"data: [DONE]";
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A request that holds a slot of a runner.
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) deadline: Duration,
    pub(crate) is_stream: bool,
    pub(crate) body: String,
    pub(crate) permit: Permit,
}

/// Why an attempt failed before any byte went to the caller.
pub(crate) enum Failure {
    /// The runner is well but does not hold the replica, or has no room.
    Moved(Problem),
    /// The runner did not answer as it should.
    Broken(Problem),
}

/// Sends `work` and writes the answer.
pub(crate) async fn send(
    node: &Arc<Node>,
    work: Work,
    response: &mut Response,
) -> Result<(), Failure> {
    let edition = node.catalog.current();
    let runner = edition.document.runners.get(&work.permit.runner);
    let address = runner
        .map(|runner| runner.address)
        .ok_or_else(|| moved("the runner left the document"))?;
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, &work.id)
        .body(Full::from(work.body.clone()))
        .map_err(|error| moved(error.to_string()))?;
    let answer = tokio::select! {
        answer = node.http.send(request) => answer,
        () = silence(node, &work) => return Err(broken("the runner fell silent")),
    };
    let answer = answer.map_err(|error| match error.category() {
        Category::NotSent => Failure::Broken(Problem::not_run(
            Code::Unreachable,
            "the runner could not be reached",
        )),
        _ => broken(error.to_string()),
    })?;
    let (head, body) = answer.into_parts();
    let id = head.headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
    if id.is_some_and(|id| id != work.id.as_bytes()) {
        return Err(broken("the runner answered another request"));
    }
    match head.status {
        StatusCode::OK if work.is_stream => stream_answer(node, work, body, response).await,
        StatusCode::OK => whole_answer(node, body, response).await,
        StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => {
            Err(moved("the runner does not hold the replica"))
        }
        status if status.is_client_error() => {
            let text = collect(node, body).await?;
            reply::text(response, status.as_u16(), text);
            Ok(())
        }
        status => Err(broken(format!("the runner answered with status {status}"))),
    }
}

// Ends when the leader has lost sight of the replica, or when the answer is
// overdue by the time that a stream may be silent.
async fn silence(node: &Node, work: &Work) {
    let overdue = work.deadline + node.settings.idle;
    let mut seen = true;
    while seen && node.clock.now() < overdue {
        node.clock.sleep(ROUTE_CHECK_INTERVAL).await;
        seen = node
            .admission
            .has_route(work.permit.target(), &work.permit.replica);
    }
}

async fn whole_answer(node: &Node, body: Incoming, response: &mut Response) -> Result<(), Failure> {
    let bytes = collect(node, body).await?;
    reply::text(response, 200, bytes);
    Ok(())
}

async fn collect(node: &Node, mut body: Incoming) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    while let Some(frame) = next(node, &mut body).await? {
        bytes.extend_from_slice(&frame);
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(broken("the runner's answer is too long"));
        }
    }
    Ok(bytes)
}

// Waits for the first bytes before anything goes to the caller, so that a
// runner that breaks off before them can be replaced.
async fn stream_answer(
    node: &Arc<Node>,
    work: Work,
    mut body: Incoming,
    response: &mut Response,
) -> Result<(), Failure> {
    let first = next(node, &mut body)
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
        _permit: work.permit,
    };
    response.stream(stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    }));
    Ok(())
}

/// A stream on its way from a runner to a caller; holds the slot until its end.
struct Relay {
    node: Arc<Node>,
    body: Incoming,
    first: Option<Bytes>,
    tail: Vec<u8>,
    _permit: Permit,
}

/// A stream that ended before its last event; the caller's connection is cut,
/// so that the part is not taken for the whole.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the runner's stream was cut")
    }
}

impl std::error::Error for Cut {}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        let bytes = match self.first.take() {
            Some(first) => Some(first),
            None => next(&self.node, &mut self.body).await.map_err(|_| Cut)?,
        };
        match bytes {
            Some(bytes) => {
                self.remember(&bytes);
                Ok(Some(bytes))
            }
            None if self.has_ended() => Ok(None),
            None => Err(Cut),
        }
    }

    fn remember(&mut self, bytes: &[u8]) {
        const KEPT: usize = 64;
        self.tail.extend_from_slice(bytes);
        let extra = self.tail.len().saturating_sub(KEPT);
        self.tail.drain(..extra);
    }

    fn has_ended(&self) -> bool {
        self.tail
            .windows(END_OF_STREAM.len())
            .any(|window| window == END_OF_STREAM)
    }
}

async fn next(node: &Node, body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        let frame = time::timeout(node.settings.idle, body.frame())
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

fn moved(detail: impl Into<String>) -> Failure {
    Failure::Moved(Problem::not_run(Code::Unreachable, detail))
}

fn broken(detail: impl Into<String>) -> Failure {
    Failure::Broken(Problem::unknown(Code::BackendLost, detail))
}
