//! Requests to the leader to load an adapter on a runner.
//!
//! A load goes on when the request that waits for it has ended: an order whose answer nobody
//! receives would leave the state of the runner unknown.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh::{self, Message};
use tokio::sync::mpsc;
use tokio::time;

use crate::call::Target;
use crate::gateway::Gateway;
use crate::id;
use crate::term::Term;

/// Longest wait for the reply of a leader that is another instance.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1200);

/// Loads an adapter for a peer, and replies whether the runner holds it.
pub(crate) fn serve(
    gateway: &Arc<Gateway>,
    request: mesh::AdapterRequest,
    replies: mpsc::Sender<Message>,
) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let target = Target {
            model: request.model,
            adapter: Some(request.adapter),
        };
        let loaded = match gateway.term() {
            Some(term) => load(term, request.runner, target).await,
            None => false,
        };
        let reply = mesh::AdapterReply {
            id: request.id,
            loaded,
        };
        // Fails if the connection is closed; the requester then times out.
        let _ = replies.send(Message::AdapterReply(reply)).await;
    });
}

/// Has the leader load the adapter of `target` on a runner; returns whether the runner holds
/// it within `limit`.
pub(crate) async fn send(
    gateway: &Gateway,
    runner: &str,
    target: &Target,
    limit: Duration,
) -> bool {
    let Some(adapter) = &target.adapter else {
        return true;
    };
    if let Some(term) = gateway.term() {
        let loading = tokio::spawn(load(term, runner.to_owned(), target.clone()));
        return matches!(time::timeout(limit, loading).await, Ok(Ok(true)));
    }
    let Some((leader, _)) = gateway.members.leader(gateway.now()) else {
        return false;
    };
    let Some(link) = gateway.links.get(&leader) else {
        return false;
    };
    let requested = link.request_adapter(runner, &target.model, adapter);
    let reply = time::timeout(limit.min(REPLY_TIMEOUT), requested).await;
    matches!(reply, Ok(Some(true)))
}

async fn load(term: Arc<Term>, runner: id::Runner, target: Target) -> bool {
    let Some(adapter) = &target.adapter else {
        return true;
    };
    term.adapters.ensure(&runner, &target.model, adapter).await
}
