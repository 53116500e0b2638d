//! Calls that may not be repeated and whose idempotency key contains no ticket.
//!
//! Before the call, a row of the table claims the key for one incarnation; after
//! the call, the row stores the response.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::commit;
use almondbank_port::table::{ABSENT, Outcome as Commit, Row, Transaction};
use almondbank_serving::ledger::{Answer, Outcome};
use almondbank_wire::problem::{Code, Problem, Run};
use almondbank_wire::{digest, row};

use crate::call::{self, Call};
use crate::node::Node;

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const RECORD_TIMEOUT: Duration = Duration::from_mins(1);

/// Claims the key of `call` and runs the call, or returns the outcome of an
/// earlier call with the same key.
pub(crate) async fn run(node: &Arc<Node>, call: Call, deadline: Duration) -> Outcome {
    let key = key::claim(node.environment(), &digest::sha256(call.scope()));
    let claimed_ms = u64::try_from(node.age().as_millis()).unwrap_or(u64::MAX);
    let claim = row::Claim {
        incarnation: node.incarnation.clone(),
        body_sha256: call.digest(),
        claimed_ms,
        answer: None,
    };
    let writer = format!("{}/claim/{:016x}", node.incarnation, rand::random::<u64>());
    let transaction = Transaction::new(writer)
        .require(&key, ABSENT)
        .put(&key, key::encode(&claim));
    let claimed = commit::resolve(&*node.table, &*node.clock, &transaction, deadline).await;
    match claimed {
        Ok(Commit::Committed(version)) => {
            execute(node, call, &key, version, &claim, deadline).await
        }
        Ok(Commit::Conflict(_)) => wait_for_outcome(node, call, &key, deadline).await,
        Err(_) => Outcome::Failed(Problem::not_run(
            Code::TableDown,
            "the key could not be claimed; a ticket from /v1/entries needs no claim",
        )),
    }
}

async fn execute(
    node: &Arc<Node>,
    call: Call,
    key: &str,
    version: u64,
    claim: &row::Claim,
    deadline: Duration,
) -> Outcome {
    let claimed = Duration::from_millis(claim.claimed_ms);
    let outcome = call::run_once(node, call, claimed, deadline).await;
    let record = Transaction::new(format!("{}/answer/{key}", node.incarnation));
    let record = match &outcome {
        Outcome::Answer(answer) => {
            let mut claim = claim.clone();
            claim.answer = Some(row::Answer {
                status: answer.status,
                body: answer.body.clone(),
            });
            record.require(key, version).put(key, key::encode(&claim))
        }
        Outcome::Failed(problem) if problem.run == Run::NotRun => {
            record.require(key, version).delete(key)
        }
        Outcome::Failed(_) => return outcome,
    };
    let task_node = Arc::clone(node);
    let recorded = node.calls.spawn(async move {
        let until = task_node.clock.now() + RECORD_TIMEOUT;
        let _ = commit::resolve(&*task_node.table, &*task_node.clock, &record, until).await;
    });
    // Waits until the response is stored, so that other instances can return it, but
    // not beyond the deadline if the table is slow.
    let wait = deadline.saturating_sub(node.clock.now());
    tokio::select! {
        _ = recorded => {}
        () = node.clock.sleep(wait) => {}
    }
    outcome
}

// Waits for the outcome of the call that claimed the key earlier. If this
// incarnation holds the claim, the outcome is in its ledger; if another one does,
// the response may still be stored in the row.
async fn wait_for_outcome(node: &Arc<Node>, call: Call, key: &str, deadline: Duration) -> Outcome {
    loop {
        if let Ok(Some(found)) = node.table.get(key).await
            && let Some(outcome) = outcome(node, &call, &found, deadline).await
        {
            return outcome;
        }
        if node.clock.now() + POLL_INTERVAL >= deadline {
            return Outcome::Failed(Problem::unknown(
                Code::HolderUnreachable,
                "the key was claimed by a call whose outcome is not known",
            ));
        }
        node.clock.sleep(POLL_INTERVAL).await;
    }
}

async fn outcome(
    node: &Arc<Node>,
    call: &Call,
    found: &Row,
    deadline: Duration,
) -> Option<Outcome> {
    let claim: row::Claim = key::decode(&found.key, &found.value).ok()?;
    if claim.body_sha256 != call.digest() {
        return Some(Outcome::Failed(Problem::not_run(
            Code::KeyReused,
            "the key was used with another body",
        )));
    }
    if let Some(answer) = claim.answer {
        return Some(Outcome::Answer(Answer {
            status: answer.status,
            body: answer.body,
        }));
    }
    if claim.incarnation != node.incarnation {
        return None;
    }
    let call = call.clone();
    Some(execute(node, call, &found.key, found.version, &claim, deadline).await)
}
