//! A fake model runner with an HTTP interface.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_wire::order::{Action, Order, Report};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode, header};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time;

use crate::engine::{Engine, Refusal};
use crate::server::{self, Body, Server, Service};

const REQUEST_ID: &str = "x-request-id";

/// Timing, capacity and injected faults of the runner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Chat requests never get a response.
    pub silent: bool,
    /// Streams are aborted after this many events, other responses after as many bytes, at
    /// most 8.
    pub cut_after: Option<usize>,
    /// Streams end without an error after this many events, before they are complete.
    pub end_after: Option<usize>,
    /// Responses carry the id `crossed` in place of the request's id.
    pub crossed: bool,
    /// Number of tokens in a response, at least 2.
    pub tokens: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Time before the first token, in milliseconds.
    pub prefill_ms: u64,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Duration of an adapter load, in milliseconds.
    pub adapter_ms: u64,
    /// Age of the state that reports contain, in milliseconds.
    pub report_lag_ms: u64,
    /// Reports announce that the runner is leaving.
    pub leaving: bool,
    /// Duration of subsequent loads from the weight store, in milliseconds; `None` keeps it.
    pub load_ms: Option<u64>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            silent: false,
            cut_after: None,
            end_after: None,
            crossed: false,
            tokens: 4,
            token_ms: 0,
            prefill_ms: 0,
            slots: 16,
            adapter_ms: 5,
            report_lag_ms: 0,
            leaving: false,
            load_ms: None,
        }
    }
}

/// A fake model runner.
#[derive(Debug)]
pub struct Runner {
    name: String,
    clock: Arc<dyn Clock>,
    /// Simulated replicas and memory.
    pub engine: Mutex<Engine>,
    behaviour: Mutex<Behaviour>,
    reports: Mutex<Vec<Snapshot>>,
    slots: Mutex<Slots>,
}

#[derive(Debug)]
struct Snapshot {
    at: Duration,
    report: Report,
}

#[derive(Debug, Default)]
struct Slots {
    running: usize,
    sequence: u64,
    waiting: BTreeMap<(u64, u64), oneshot::Sender<()>>,
}

impl Runner {
    /// Creates a runner.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        engine: Engine,
        behaviour: Behaviour,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.into(),
            clock,
            engine: Mutex::new(engine),
            behaviour: Mutex::new(behaviour),
            reports: Mutex::default(),
            slots: Mutex::default(),
        })
    }

    /// Starts an HTTP server for it on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        server::start(address, Arc::clone(self)).await
    }

    /// Replaces timing, capacity and injected faults.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut engine = self.engine.lock();
        engine.set_leaving(behaviour.leaving);
        if let Some(load_ms) = behaviour.load_ms {
            engine.set_load_time(Duration::from_millis(load_ms));
        }
        drop(engine);
        *self.behaviour.lock() = behaviour;
    }

    fn report(&self) -> Report {
        let now = self.clock.now();
        let lag = Duration::from_millis(self.behaviour.lock().report_lag_ms);
        let report = self.engine.lock().report(now);
        if lag.is_zero() {
            return report;
        }
        let mut reports = self.reports.lock();
        reports.push(Snapshot { at: now, report });
        let outdated = reports
            .iter()
            .rposition(|snapshot| snapshot.at + lag <= now)
            .unwrap_or(0);
        reports.drain(..outdated);
        reports[0].report.clone()
    }

    async fn order(&self, order: Order) -> Response<Body> {
        if order.action == Action::LoadAdapter {
            let load_ms = self.behaviour.lock().adapter_ms;
            time::sleep(Duration::from_millis(load_ms)).await;
        }
        let outcome = self.engine.lock().order(&order, self.clock.now());
        match outcome {
            Ok(receipt) => server::json(&receipt),
            Err(Refusal::Stale) => server::response(StatusCode::PRECONDITION_FAILED, ""),
            Err(Refusal::Missing) => server::response(StatusCode::CONFLICT, ""),
        }
    }

    async fn chat(self: Arc<Self>, id: String, body: Bytes) -> Option<Response<Body>> {
        let Ok(request) = serde_json::from_slice::<Value>(&body) else {
            return Some(server::response(StatusCode::BAD_REQUEST, "{}"));
        };
        let name = request["model"].as_str().unwrap_or_default().to_owned();
        let (base, version) = name.split_once('@').unwrap_or((&name, ""));
        let served = self.engine.lock().serves(base, version, self.clock.now());
        if !served {
            return Some(server::response(StatusCode::NOT_FOUND, "{}"));
        }
        let behaviour = self.behaviour.lock().clone();
        if behaviour.silent {
            std::future::pending::<()>().await;
        }
        let priority = request["priority"].as_u64().unwrap_or(3);
        let slot = Slot::acquire(&self, priority, behaviour.slots).await;
        self.engine.lock().record_run(&id);
        sleep_unless_zero(Duration::from_millis(behaviour.prefill_ms)).await;
        let tokens = self.tokens(&request, &behaviour);
        let response_id = if behaviour.crossed {
            "crossed".to_owned()
        } else {
            id
        };
        let mut response = if request["stream"] == Value::Bool(true) {
            stream_response(&response_id, &name, tokens, &behaviour, slot)
        } else {
            let token_time = Duration::from_millis(behaviour.token_ms);
            sleep_unless_zero(token_time * u32::try_from(tokens.len()).unwrap_or(0)).await;
            drop(slot);
            complete_response(&response_id, &name, &tokens, &behaviour)
        };
        let value = header::HeaderValue::from_str(&response_id).ok()?;
        response.headers_mut().insert(REQUEST_ID, value);
        Some(response)
    }

    // The response contains the runner's name and the prompt, so that tests can tell which
    // runner handled which request.
    fn tokens(&self, request: &Value, behaviour: &Behaviour) -> Vec<String> {
        let prompt = request["messages"]
            .as_array()
            .and_then(|messages| messages.last())
            .and_then(|message| message["content"].as_str())
            .unwrap_or_default();
        let mut tokens = vec![format!("{}:", self.name), format!(" {prompt}")];
        tokens.extend((2..behaviour.tokens).map(|n| format!(" t{n}")));
        tokens
    }
}

impl Service for Runner {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let id = request
            .headers()
            .get(REQUEST_ID)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = server::collect(request).await;
        match path.as_str() {
            "/report" => Some(server::json(&self.report())),
            "/orders" => Some(self.order(serde_json::from_slice(&body).ok()?).await),
            "/v1/chat/completions" => self.chat(id, body).await,
            "/count" => Some(server::json(self.engine.lock().counters())),
            "/behaviour" => {
                self.set_behaviour(serde_json::from_slice(&body).ok()?);
                Some(server::json(&true))
            }
            _ => Some(server::response(StatusCode::NOT_FOUND, "")),
        }
    }
}

// Tokio rounds a sleep of zero up to its next timer tick.
async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
}

fn complete_response(
    id: &str,
    model: &str,
    tokens: &[String],
    behaviour: &Behaviour,
) -> Response<Body> {
    let content = tokens.concat();
    let completion = json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
    });
    let text = completion.to_string();
    let Some(cut_after) = behaviour.cut_after else {
        return server::response(StatusCode::OK, text);
    };
    let part = Bytes::from(text).slice(..cut_after.min(8));
    let frames = stream::iter([Ok(Frame::data(part)), Err(server::abort())]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

fn stream_response(
    id: &str,
    model: &str,
    tokens: Vec<String>,
    behaviour: &Behaviour,
    slot: Slot,
) -> Response<Body> {
    let token_time = Duration::from_millis(behaviour.token_ms);
    let cut_after = behaviour.cut_after.unwrap_or(usize::MAX);
    let mut events: Vec<_> = tokens
        .into_iter()
        .map(|token| {
            let chunk = json!({
                "id": id,
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {"content": token}}],
            });
            format!("data: {chunk}\n\n")
        })
        .collect();
    events.push("data: [DONE]\n\n".to_owned());
    events.truncate(behaviour.end_after.unwrap_or(usize::MAX));
    let frames = stream::iter(events.into_iter().enumerate()).then(move |(at, event)| {
        let _slot = &slot;
        async move {
            if at > 0 && !token_time.is_zero() {
                time::sleep(token_time).await;
            }
            if at >= cut_after {
                return Err(server::abort());
            }
            Ok(Frame::data(Bytes::from(event)))
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(SyncStream::new(frames))));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Permit for one concurrent request. Dropping it hands the slot to the waiting request with
/// the lowest priority value, in order of arrival.
struct Slot {
    runner: Arc<Runner>,
}

impl Slot {
    async fn acquire(runner: &Arc<Runner>, priority: u64, limit: usize) -> Self {
        let receiver = {
            let mut slots = runner.slots.lock();
            if slots.running < limit {
                slots.running += 1;
                None
            } else {
                slots.sequence += 1;
                let position = (priority, slots.sequence);
                let (sender, receiver) = oneshot::channel();
                slots.waiting.insert(position, sender);
                Some(receiver)
            }
        };
        if let Some(receiver) = receiver {
            let _ = receiver.await;
        }
        Self {
            runner: Arc::clone(runner),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut slots = self.runner.slots.lock();
        while let Some((_, next)) = slots.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        slots.running -= 1;
    }
}

/// Makes a stream `Sync`, as [`Body`] requires. Only one task polls it at a time, so the lock
/// is never contended.
struct SyncStream<S> {
    inner: Mutex<std::pin::Pin<Box<S>>>,
}

impl<S> SyncStream<S> {
    fn new(stream: S) -> Self {
        Self {
            inner: Mutex::new(Box::pin(stream)),
        }
    }
}

impl<S: futures_util::Stream> futures_util::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        self.inner.lock().as_mut().poll_next(context)
    }
}
