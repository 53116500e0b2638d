//! `GET /v1/entries`: which addresses callers should use.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;

use crate::node::Node;
use crate::{intake, reply};

/// Time that callers may keep the answer.
const KEEP: Duration = Duration::from_secs(5);

/// Handles the request.
pub(crate) struct Entries {
    pub(crate) node: Arc<Node>,
}

#[derive(Debug, Serialize)]
struct Answer {
    /// Addresses in the order to try.
    entries: Vec<String>,
    /// Time for which the answer may be kept, in milliseconds.
    keep_ms: u64,
    /// Beginning of idempotency keys made under this answer.
    ticket: String,
}

#[async_trait]
impl Handler for Entries {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let edition = self.node.catalog.current();
        if let Err(problem) = intake::caller(&edition, request) {
            return reply::problem(&self.node, response, &problem);
        }
        let answer = Answer {
            entries: entries(&self.node),
            keep_ms: u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX),
            ticket: self.node.ticket().to_string(),
        };
        reply::json(response, &answer);
    }
}

// This instance goes first, since the ticket is its own; the others follow in
// random order, those of the same data centre before the rest.
fn entries(node: &Node) -> Vec<String> {
    let mut others: Vec<_> = node
        .members
        .serving(node.clock.now())
        .into_values()
        .map(|member| {
            let far = member.data_centre != node.settings.data_centre;
            (far, rand::random::<u32>(), member.callers.to_string())
        })
        .collect();
    others.sort();
    let own = node.callers.to_string();
    let own = (!node.is_leaving()).then_some(own);
    own.into_iter()
        .chain(others.into_iter().map(|(_, _, address)| address))
        .collect()
}
