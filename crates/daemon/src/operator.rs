//! The API for operators, under `/operator/v1`.

use std::sync::Arc;

use almondbank_control::catalog::Proposal;
use almondbank_control::demand::Target;
use almondbank_control::{Category, Error, audit, key};
use almondbank_port::commit;
use almondbank_port::table::Transaction;
use almondbank_wire::operator as wire;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::{document, row};
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::{extract, response};

/// Longest document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Operation that an operator requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    Get,
    Apply,
    Promote,
    History,
    Status,
    Where,
    Drain,
    Leave,
}

/// Handler of one operation.
pub(crate) struct Operator {
    pub(crate) node: Arc<Node>,
    pub(crate) action: Action,
}

/// Problem of a failed request, with the additional fields of this API.
struct Refusal {
    problem: Problem,
    winner: Option<u64>,
    mistakes: Vec<wire::Mistake>,
}

/// Body of the response, or the reason of the refusal.
type Outcome = Result<Vec<u8>, Refusal>;

#[async_trait]
impl Handler for Operator {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.execute(request).await {
            Ok(body) => response::text(response, 200, body),
            Err(refusal) => refuse(&self.node, response, refusal),
        }
    }
}

impl Operator {
    async fn execute(&self, request: &mut Request) -> Outcome {
        let node = &self.node;
        let actor = extract::operator(node, request)?.to_owned();
        let environment = request
            .param::<String>("environment")
            .unwrap_or_else(|| node.environment().to_owned());
        match self.action {
            Action::Get => get(node, &environment, request).await,
            Action::Apply => {
                let apply: wire::Apply = body(request).await?;
                let proposal = Proposal {
                    environment,
                    base: apply.base,
                    text: apply.document,
                    actor,
                    action: "apply".to_owned(),
                };
                accept(node, &proposal).await
            }
            Action::Promote => promote(node, environment, actor, body(request).await?).await,
            Action::History => Ok(json(&audit::history(&*node.table, &environment).await?)),
            Action::Status => Ok(json(&status(node))),
            Action::Where => Ok(json(&places(node).await?)),
            Action::Drain => drain(node, &environment, &actor, body(request).await?).await,
            Action::Leave => {
                log::info!("operator {actor} requested shutdown of this instance");
                node.leave();
                Ok(json(&status(node)))
            }
        }
    }
}

async fn get(node: &Node, environment: &str, request: &Request) -> Outcome {
    let wanted: Option<u64> = request.query("revision");
    let head = node.repository.head(environment).await?;
    let (revision, actor, text) = match (wanted, head) {
        (Some(revision), _) => {
            let text = node.repository.revision(environment, revision).await?;
            (revision, String::new(), text)
        }
        (None, None) => (0, String::new(), String::new()),
        (None, Some(head)) => {
            let text = node.repository.text(&head.row.object).await?;
            (head.row.revision, head.row.actor, text)
        }
    };
    Ok(json(&wire::Edition {
        revision,
        actor,
        document: text,
    }))
}

async fn accept(node: &Node, proposal: &Proposal) -> Outcome {
    let revision = node.repository.accept(proposal).await?;
    log::info!(
        "accepted revision {revision} of environment {} from operator {}",
        proposal.environment,
        proposal.actor
    );
    if proposal.environment == node.environment() {
        node.catalog.offer(revision, &proposal.text)?;
    }
    Ok(json(&wire::Accepted { revision }))
}

async fn promote(
    node: &Node,
    environment: String,
    actor: String,
    promote: wire::Promote,
) -> Outcome {
    let head = node.repository.head(&promote.from).await?;
    let newest = head.as_ref().map_or(0, |head| head.row.revision);
    let Some(head) = head.filter(|_| newest == promote.revision) else {
        return Err(Refusal {
            problem: Problem::not_run(
                Code::Conflict,
                format!("the newest revision of {} is {newest}", promote.from),
            ),
            winner: Some(newest),
            mistakes: Vec::new(),
        });
    };
    let text = node.repository.text(&head.row.object).await?;
    let text = document::with_environment(&text, &environment).map_err(Error::from)?;
    let proposal = Proposal {
        environment,
        base: promote.base,
        text,
        actor,
        action: "promote".to_owned(),
    };
    accept(node, &proposal).await
}

fn status(node: &Node) -> wire::Status {
    let now = node.clock.now();
    let live = node.members.live(now);
    let peers = node
        .members
        .all()
        .into_iter()
        .map(|(instance, member)| {
            let heartbeat = member.heartbeat.as_ref();
            wire::Peer {
                live: live.contains_key(&instance),
                revision: heartbeat.map_or(0, |heartbeat| heartbeat.revision),
                leaving: heartbeat.is_some_and(|heartbeat| heartbeat.leaving),
                keeper: heartbeat.is_some_and(|heartbeat| heartbeat.keeper > 0),
                callers: member.callers.to_string(),
                incarnation: member.incarnation,
                data_centre: member.data_centre,
                instance,
            }
        })
        .collect();
    wire::Status {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation.clone(),
        environment: node.environment().to_owned(),
        revision: node.catalog.current().revision,
        leaving: node.is_leaving(),
        fencing: node.fencing(),
        waiting: u64::try_from(node.admission.waiting()).unwrap_or(u64::MAX),
        running: node.admission.running(),
        peers,
    }
}

// Lists the replicas that have a row, with readiness from this instance's routes.
async fn places(node: &Node) -> Result<Vec<wire::Place>, Refusal> {
    let prefix = key::replicas(node.environment());
    let rows = node.table.scan(&prefix).await.map_err(Error::from)?;
    let mut places = Vec::new();
    for found in rows {
        let row: row::Replica = key::decode(&found.key, &found.value)?;
        let target = Target {
            model: row.model.clone(),
            version: row.version.clone(),
        };
        let route = node.admission.route(&target, &row.replica);
        places.push(wire::Place {
            ready: route.as_ref().is_some_and(|route| route.ready),
            adapters: route.map(|route| route.adapters).unwrap_or_default(),
            model: row.model,
            version: row.version,
            replica: row.replica,
            runner: row.runner,
        });
    }
    Ok(places)
}

async fn drain(node: &Node, environment: &str, actor: &str, drain: wire::Drain) -> Outcome {
    let key = key::drain(environment, &drain.runner);
    let writer = format!("drain/{:016x}", rand::random::<u64>());
    let transaction = Transaction::new(writer);
    let transaction = if drain.draining {
        let row = row::Drain {
            actor: actor.to_owned(),
        };
        transaction.put(key, key::encode(&row))
    } else {
        transaction.delete(key)
    };
    let change = audit::Change {
        actor: actor.to_owned(),
        action: if drain.draining { "drain" } else { "undrain" }.to_owned(),
        target: drain.runner.clone(),
        from: None,
        to: None,
    };
    let transaction = audit::record(transaction, environment, &*node.clock, change);
    let deadline = node.clock.now() + std::time::Duration::from_secs(5);
    commit::resolve(&*node.table, &*node.clock, &transaction, deadline)
        .await
        .map_err(Error::from)?;
    Ok(json(&drain))
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let bytes = request
        .payload_with_max_size(MAX_DOCUMENT_BYTES)
        .await
        .map_err(|error| extract::bad_request(format!("body: {error}")))?;
    let typed = serde_json::from_slice(bytes)
        .map_err(|error| extract::bad_request(format!("body: {error}")))?;
    Ok(typed)
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn refuse(node: &Node, response: &mut Response, refusal: Refusal) {
    node.metrics.refusal(refusal.problem.code.into());
    let body = refusal.problem.body();
    let body = wire::Refusal {
        type_: body.kind,
        title: body.title,
        status: body.status,
        detail: body.detail,
        code: body.code,
        winner: refusal.winner,
        mistakes: refusal.mistakes,
    };
    response::write_problem(response, &refusal.problem, &body);
}

impl From<Problem> for Refusal {
    fn from(problem: Problem) -> Self {
        Self {
            problem,
            winner: None,
            mistakes: Vec::new(),
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let code = match error.category() {
            Category::Conflict => Code::Conflict,
            Category::Data => Code::InvalidDocument,
            Category::Platform | Category::NotLeader => Code::TableDown,
        };
        let problem = if code == Code::TableDown {
            Problem::unknown(code, error.to_string())
        } else {
            Problem::not_run(code, error.to_string())
        };
        let mistakes = error
            .findings()
            .iter()
            .map(|finding| wire::Mistake {
                path: finding.path.clone(),
                reason: finding.reason.clone(),
            })
            .collect();
        Self {
            problem,
            winner: error.winner(),
            mistakes,
        }
    }
}
