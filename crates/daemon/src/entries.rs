//! `GET /v1/entries`: the addresses that callers should use.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;

use crate::node::Node;
use crate::{extract, response};

/// Time for which callers may cache the response.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Handler of requests for the list of entries.
pub(crate) struct Entries {
    pub(crate) node: Arc<Node>,
}

/// Body of the response.
#[derive(Debug, Serialize)]
struct Body {
    /// Addresses of instances, in the order in which to try them.
    entries: Vec<String>,
    /// Time for which the response may be cached, in milliseconds.
    keep_ms: u64,
    /// Ticket of this incarnation, which callers use as prefix of idempotency keys.
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
        if let Err(problem) = extract::caller(&edition, request) {
            return response::problem(&self.node, response, &problem);
        }
        let body = Body {
            entries: entries(&self.node),
            keep_ms: u64::try_from(MAX_AGE.as_millis()).unwrap_or(u64::MAX),
            ticket: self.node.ticket().to_string(),
        };
        response::json(response, &body);
    }
}

// This instance comes first unless it is leaving, since it issued the ticket. The
// others follow in random order, those in the same data centre before the rest.
fn entries(node: &Node) -> Vec<String> {
    let mut others: Vec<_> = node
        .members
        .serving(node.clock.now())
        .into_values()
        .map(|member| {
            let is_remote = member.data_centre != node.settings.data_centre;
            (is_remote, rand::random::<u32>(), member.callers.to_string())
        })
        .collect();
    others.sort();
    let own = node.callers.to_string();
    let own = (!node.is_leaving()).then_some(own);
    own.into_iter()
        .chain(others.into_iter().map(|(_, _, address)| address))
        .collect()
}
