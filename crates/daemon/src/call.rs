//! Sends calls to the back ends of plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::{Category, Error};
use almondbank_serving::ledger::{Answer, Begin, Outcome};
use almondbank_wire::problem::{Code, Problem, Run};
use almondbank_wire::{digest, peer};
use http_body_util::Full;
use hyper::{Request, header};

use crate::node::Node;

const MAX_ATTEMPTS: usize = 3;
/// Timeout of a call that may not be repeated. The call goes on after the deadline
/// of its caller, so that a retry can get the response.
const RUN_TIMEOUT: Duration = Duration::from_mins(1);

/// A call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) caller: String,
    pub(crate) service: String,
    pub(crate) method: String,
    pub(crate) key: String,
    pub(crate) body: String,
}

impl Call {
    /// The idempotency key, qualified by caller, service and method.
    pub(crate) fn scope(&self) -> String {
        format!(
            "{}/{}/{}/{}",
            self.caller, self.service, self.method, self.key
        )
    }

    /// SHA-256 of the body, which detects a key that is reused for another call.
    pub(crate) fn digest(&self) -> String {
        digest::sha256(&self.body)
    }
}

/// Runs a call that may be repeated; retries it on the next back end if an
/// attempt fails.
pub(crate) async fn run_repeatable(node: &Node, call: &Call, deadline: Duration) -> Outcome {
    node.retries.deposit();
    let mut last = unreachable();
    for (attempt, address) in addresses(node, call)
        .into_iter()
        .cycle()
        .take(MAX_ATTEMPTS)
        .enumerate()
    {
        if attempt > 0 && !node.retries.withdraw() {
            break;
        }
        let wait = deadline.saturating_sub(node.clock.now());
        if wait.is_zero() {
            break;
        }
        match send(node, call, address, wait).await {
            Ok(answer) => return Outcome::Answer(answer),
            Err(error) => last = problem(&error),
        }
    }
    Outcome::Failed(last)
}

/// Runs a call that may not be repeated, or waits for one that has already begun
/// under the same key. `issued` is the age of this incarnation at which it issued
/// the ticket or claimed the key.
pub(crate) async fn run_once(
    node: &Arc<Node>,
    call: Call,
    issued: Duration,
    deadline: Duration,
) -> Outcome {
    let begun = node
        .ledger
        .begin(&call.scope(), &call.digest(), issued, node.age());
    let waiter = match begun {
        Begin::Refused(problem) => return Outcome::Failed(problem),
        Begin::Wait(waiter) => waiter,
        Begin::Run(guard) => {
            let waiter = guard.waiter();
            let task_node = Arc::clone(node);
            node.calls.spawn(async move {
                let outcome = run(&task_node, &call, deadline).await;
                guard.finish(outcome);
            });
            waiter
        }
    };
    let wait = deadline.saturating_sub(node.clock.now());
    tokio::select! {
        outcome = waiter.outcome() => outcome,
        () = node.clock.sleep(wait) => Outcome::Failed(Problem::unknown(
            Code::Deadline,
            "the service has not answered yet; ask again with the same key",
        )),
    }
}

/// Runs a call forwarded by another instance under a ticket of this incarnation.
pub(crate) async fn serve_forwarded(
    node: &Arc<Node>,
    request: peer::CallRequest,
) -> peer::CallReply {
    let id = request.id;
    let outcome = if request.incarnation == node.incarnation {
        let deadline = node.clock.now() + Duration::from_millis(request.budget_ms);
        let issued = Duration::from_millis(request.issued_ms);
        let call = Call {
            caller: request.caller,
            service: request.service,
            method: request.call,
            key: request.key,
            body: request.body,
        };
        run_once(node, call, issued, deadline).await
    } else {
        Outcome::Failed(Problem::unknown(
            Code::HolderUnreachable,
            "the instance that issued the ticket is gone",
        ))
    };
    reply(id, outcome)
}

fn reply(id: u64, outcome: Outcome) -> peer::CallReply {
    match outcome {
        Outcome::Answer(answer) => peer::CallReply {
            id,
            status: answer.status,
            body: answer.body,
            run: Run::Ran,
            code: String::new(),
        },
        Outcome::Failed(problem) => peer::CallReply {
            id,
            status: problem.code.status(),
            body: problem.detail,
            run: problem.run,
            code: problem.code.to_string(),
        },
    }
}

/// Sends a call that may not be repeated. Tries the next back end only if the
/// connection failed, since then no byte of the call was sent; any later failure
/// is final.
pub(crate) async fn run(node: &Node, call: &Call, deadline: Duration) -> Outcome {
    let mut last = unreachable();
    for address in addresses(node, call) {
        if node.clock.now() >= deadline {
            return Outcome::Failed(Problem::not_run(Code::Deadline, "the deadline has passed"));
        }
        match send(node, call, address, RUN_TIMEOUT).await {
            Ok(answer) => return Outcome::Answer(answer),
            Err(error) => {
                last = problem(&error);
                if error.category() != Category::NotSent {
                    break;
                }
            }
        }
    }
    Outcome::Failed(last)
}

fn addresses(node: &Node, call: &Call) -> Vec<SocketAddr> {
    let edition = node.catalog.current();
    let service = edition.document.services.get(&call.service);
    let mut addresses = service.map_or_else(Vec::new, |service| service.addresses.clone());
    if !addresses.is_empty() {
        let start = rand::random::<u32>() as usize % addresses.len();
        addresses.rotate_left(start);
    }
    addresses
}

// Opens a new connection for each call: a pooled connection may be dead, which
// would leave the outcome unknown.
async fn send(
    node: &Node,
    call: &Call,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Answer, Error> {
    let request = Request::post(format!("http://{address}/{}/{}", call.service, call.method))
        .header(header::CONTENT_TYPE, "application/json")
        .header("idempotency-key", &call.key)
        .header("x-caller", &call.caller)
        .body(Full::from(call.body.clone()))
        .map_err(|_| Error::not_sent())?;
    let response = node.unpooled_http.call(request, timeout).await?;
    let status = response.status().as_u16();
    let body = String::from_utf8_lossy(response.body()).into_owned();
    Ok(Answer { status, body })
}

fn problem(error: &Error) -> Problem {
    match error.category() {
        Category::NotSent => unreachable(),
        _ => Problem::unknown(Code::BackendLost, error.to_string()),
    }
}

fn unreachable() -> Problem {
    Problem::not_run(Code::Unreachable, "no back end could be reached")
}
