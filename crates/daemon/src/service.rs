//! `POST /v1/services/{service}/{call}`: calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use almondbank_serving::ledger::{Answer, Outcome};
use almondbank_wire::peer;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::ticket::Ticket;
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};

use crate::call::{self, Call};
use crate::node::Node;
use crate::{claim, extract, response};

const KEY_HEADER: &str = "idempotency-key";
const KEY_SEPARATOR: char = '/';
const MAX_KEY_BYTES: usize = 256;

/// Handler of calls of plain services.
pub(crate) struct Service {
    pub(crate) node: Arc<Node>,
}

#[async_trait]
impl Handler for Service {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let outcome = match serve(&self.node, request).await {
            Ok(outcome) => outcome,
            Err(problem) => Outcome::Failed(problem),
        };
        match outcome {
            Outcome::Answer(answer) => response::text(response, answer.status, answer.body),
            Outcome::Failed(problem) => response::problem(&self.node, response, &problem),
        }
    }
}

async fn serve(node: &Arc<Node>, request: &mut Request) -> Result<Outcome, Problem> {
    let edition = extract::edition(node)?;
    let caller = extract::caller(&edition, request)?;
    let service_name: String = request.param("service").unwrap_or_default();
    let call_name: String = request.param("call").unwrap_or_default();
    let not_found = || Problem::not_run(Code::NotFound, "no such service or call");
    let service = edition
        .document
        .services
        .get(&service_name)
        .ok_or_else(not_found)?;
    let repeatable = *service.calls.get(&call_name).ok_or_else(not_found)?;
    let rank = caller
        .granted_rank(&service_name)
        .ok_or_else(|| Problem::not_run(Code::NotGranted, "no grant for the service"))?;
    let deadline = extract::deadline(node, &edition, request, rank)?;
    let key = key(request)?;
    let bytes = extract::body(node, request).await?;
    let body =
        String::from_utf8(bytes.to_vec()).map_err(|_| extract::bad_request("body: not UTF-8"))?;
    node.metrics.request(rank);
    let call = Call {
        caller: caller.name.clone(),
        service: service_name,
        method: call_name,
        key: key.clone().unwrap_or_default(),
        body,
    };
    if repeatable {
        return Ok(call::run_repeatable(node, &call, deadline).await);
    }
    let key =
        key.ok_or_else(|| Problem::not_run(Code::KeyMissing, "header idempotency-key: missing"))?;
    let ticket = key
        .split_once(KEY_SEPARATOR)
        .and_then(|(ticket, _)| Ticket::try_from(ticket).ok());
    match ticket {
        Some(ticket) if ticket.incarnation == node.incarnation => {
            Ok(call::run_once(node, call, ticket.issued, deadline).await)
        }
        Some(ticket) => Ok(forward(node, call, &ticket, deadline).await),
        None => Ok(claim::run(node, call, deadline).await),
    }
}

fn key(request: &Request) -> Result<Option<String>, Problem> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    match text {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(extract::bad_request(
            "header idempotency-key: not 1 to 256 visible ASCII characters",
        )),
    }
}

// Only the incarnation that issued the ticket may run the call. If it cannot be
// reached, it may have run the call already, so the outcome is unknown.
async fn forward(node: &Node, call: Call, ticket: &Ticket, deadline: Duration) -> Outcome {
    let now = node.clock.now();
    let unknown = || {
        Outcome::Failed(Problem::unknown(
            Code::HolderUnreachable,
            "the instance that issued the ticket cannot be asked",
        ))
    };
    let instance = almondbank_control::membership::instance_of(&ticket.incarnation);
    let Some(link) = node.links.get(instance) else {
        return unknown();
    };
    if link.incarnation != ticket.incarnation {
        return unknown();
    }
    let budget = deadline.saturating_sub(now);
    let request = peer::CallRequest {
        id: 0,
        incarnation: ticket.incarnation.clone(),
        caller: call.caller,
        service: call.service,
        call: call.method,
        key: call.key,
        issued_ms: u64::try_from(ticket.issued.as_millis()).unwrap_or(u64::MAX),
        body: call.body,
        budget_ms: u64::try_from(budget.as_millis()).unwrap_or(u64::MAX),
    };
    let reply = tokio::select! {
        reply = link.call(request) => reply,
        () = node.clock.sleep(budget) => Ok(None),
    };
    match reply {
        Ok(Some(reply)) => outcome(reply),
        Ok(None) | Err(_) => unknown(),
    }
}

fn outcome(reply: peer::CallReply) -> Outcome {
    if reply.code.is_empty() {
        return Outcome::Answer(Answer {
            status: reply.status,
            body: reply.body,
        });
    }
    Outcome::Failed(Problem {
        code: reply.code.parse().unwrap_or(Code::BackendLost),
        run: reply.run,
        detail: reply.body,
    })
}
