//! `POST /v1/chat/completions`, compatible with the `OpenAI` API.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_serving::admission::{self, Permit};
use almondbank_serving::prefix::Prefix;
use almondbank_wire::document::Resolved;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::Rank;
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde_json::{Map, Value};

use crate::forward::{self, Attempt, Failure};
use crate::node::Node;
use crate::{extract, listener, response};

const MAX_ATTEMPTS: u32 = 3;
const ADAPTER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Handler of chat completion requests.
pub(crate) struct Chat {
    pub(crate) node: Arc<Node>,
}

/// A chat request that has been validated and authorized.
struct Job {
    resolved: Resolved,
    rank: Rank,
    arrived: Duration,
    deadline: Duration,
    prefix: Prefix,
    bytes: usize,
    body: Map<String, Value>,
}

impl Job {
    fn target(&self) -> Target {
        Target {
            model: self.resolved.model.clone(),
            version: self.resolved.version.clone(),
        }
    }
}

#[async_trait]
impl Handler for Chat {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let outcome = match accept(&self.node, request).await {
            Ok(job) => run(&self.node, job, response).await,
            Err(problem) => Err(problem),
        };
        if let Err(problem) = outcome {
            response::problem(&self.node, response, &problem);
        }
    }
}

async fn accept(node: &Node, request: &mut Request) -> Result<Job, Problem> {
    let arrived = node.clock.now();
    let edition = extract::edition(node)?;
    let caller = extract::caller(&edition, request)?;
    let bytes = extract::body(node, request).await?;
    let body: Map<String, Value> = serde_json::from_slice(&bytes)
        .map_err(|error| extract::bad_request(format!("body: {error}")))?;
    let Some(Value::String(name)) = body.get("model") else {
        return Err(extract::bad_request("/model: missing or not a string"));
    };
    if !body.get("messages").is_some_and(Value::is_array) {
        return Err(extract::bad_request("/messages: missing or not an array"));
    }
    if body
        .get("stream")
        .is_some_and(|stream| !stream.is_boolean())
    {
        return Err(extract::bad_request("/stream: not a boolean"));
    }
    let resolved = edition.document.resolve(name).ok_or_else(|| {
        Problem::not_run(
            Code::NotFound,
            format!("/model: no model {name:?} is served"),
        )
    })?;
    let rank = caller.granted_rank(name).ok_or_else(|| {
        Problem::not_run(Code::NotGranted, format!("/model: no grant for {name:?}"))
    })?;
    let deadline = extract::deadline(node, &edition, request, rank)?;
    node.metrics.request(rank);
    let prompt = body.get("messages").map(Value::to_string);
    let scope = format!("{}/{name}", caller.name);
    Ok(Job {
        prefix: Prefix::new(&scope, &prompt.unwrap_or_default()),
        resolved,
        rank,
        arrived,
        deadline,
        bytes: bytes.len(),
        body,
    })
}

// A chat request has no side effects, so it may be retried until the first byte
// of a response has been sent to the caller.
async fn run(node: &Arc<Node>, job: Job, response: &mut Response) -> Result<(), Problem> {
    node.retries.deposit();
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            if !node.retries.withdraw() {
                break;
            }
            node.metrics.retry();
        }
        let permit = match admit(node, &job).await {
            Ok(permit) => permit,
            Err(refusal) => return Err(last.unwrap_or(refusal)),
        };
        // After a failed attempt the routes may be stale, so the adapter is requested
        // even if they list it as resident.
        let is_resident = permit.adapter_resident && last.is_none();
        if !is_resident && !ensure_adapter(node, &job, &permit).await {
            last = Some(Problem::not_run(
                Code::Unreachable,
                "the adapter could not be loaded",
            ));
            continue;
        }
        let runner = permit.runner.clone();
        match forward::send(node, prepare(&job, permit), response).await {
            Ok(()) => {
                node.admission.record(&runner, true);
                let elapsed = node.clock.now().saturating_sub(job.arrived);
                node.metrics.first_token(job.rank, elapsed.as_secs_f64());
                return Ok(());
            }
            Err(Failure::Unavailable(problem)) => {
                node.admission.record(&runner, true);
                last = Some(problem);
            }
            Err(Failure::Broken(problem)) => {
                node.admission.record(&runner, false);
                last = Some(problem);
            }
        }
    }
    Err(last.unwrap_or_else(|| Problem::not_run(Code::Unreachable, "no runner answered")))
}

async fn admit(node: &Arc<Node>, job: &Job) -> Result<Permit, Problem> {
    let target = job.target();
    let is_cold = node.admission.ready(&target) == 0;
    let request = admission::Request {
        target,
        adapter: job.resolved.adapter.clone(),
        rank: job.rank,
        deadline: job.deadline,
        bytes: job.bytes,
        prefix: job.prefix.clone(),
    };
    let admitted = node.admission.admit(request);
    if !is_cold {
        return admitted.await;
    }
    // `biased` polls `admitted` first: the request must be in its queue before the
    // usage is published.
    tokio::select! {
        biased;
        admitted = admitted => admitted,
        never = wake_usage_task(node) => match never {},
    }
}

async fn wake_usage_task(node: &Node) -> std::convert::Infallible {
    node.cold_request.notify_one();
    std::future::pending().await
}

async fn ensure_adapter(node: &Node, job: &Job, permit: &Permit) -> bool {
    let Some(adapter) = &job.resolved.adapter else {
        return true;
    };
    let wait = job.deadline.saturating_sub(node.clock.now());
    tokio::select! {
        resident = wait_for_adapter(node, adapter, job, permit) => resident,
        () = node.clock.sleep(wait) => false,
    }
}

// Repeats the request until the adapter is resident, since there may be no
// leader for a while. Gives up when the replica no longer has a route.
async fn wait_for_adapter(node: &Node, adapter: &str, job: &Job, permit: &Permit) -> bool {
    loop {
        if request_adapter(node, adapter, &permit.replica).await {
            return true;
        }
        if !node.admission.has_route(&job.target(), &permit.replica) {
            return false;
        }
        node.clock.sleep(ADAPTER_RETRY_INTERVAL).await;
    }
}

async fn request_adapter(node: &Node, adapter: &str, replica: &str) -> bool {
    if node.term.lock().is_some() {
        return listener::request_adapter(node, adapter, replica).await;
    }
    let fencing = node.admission.fencing();
    let leader = node
        .members
        .live(node.clock.now())
        .into_iter()
        .find(|(_, member)| {
            let heartbeat = member.heartbeat.as_ref();
            heartbeat.is_some_and(|heartbeat| heartbeat.keeper >= fencing)
        });
    let Some((instance, _)) = leader else {
        return false;
    };
    match node.links.get(&instance) {
        Some(link) => link.request_adapter(adapter, replica).await,
        None => false,
    }
}

fn prepare(job: &Job, permit: Permit) -> Attempt {
    let resolved = &job.resolved;
    let name = resolved.adapter.as_ref().unwrap_or(&resolved.model);
    let mut body = job.body.clone();
    let id = format!("{:032x}", rand::random::<u128>());
    body.insert(
        "model".to_owned(),
        Value::from(format!("{name}@{}", resolved.version)),
    );
    body.insert("priority".to_owned(), Value::from(job.rank.number()));
    body.insert("request_id".to_owned(), Value::from(id.clone()));
    Attempt {
        id,
        deadline: job.deadline,
        is_stream: body.get("stream") == Some(&Value::Bool(true)),
        body: Value::Object(body).to_string(),
        permit,
    }
}
