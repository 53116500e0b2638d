//! Checks requests and extracts their common parts: caller, operator, deadline and
//! body.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::catalog::Edition;
use almondbank_wire::digest;
use almondbank_wire::document::Caller;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::Rank;
use bytes::Bytes;
use salvo::http::{ParseError, Request, header};

use crate::node::Node;

/// Header with the time within which the work must start, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
const MAX_DEADLINE: Duration = Duration::from_hours(1);
const BEARER: &str = "Bearer ";
/// Time for which an instance that shuts down still accepts requests, from callers
/// that have not refreshed their list of entries yet.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The current document; fails if there is none, if this instance is not ready yet,
/// or if it began to shut down [`LEAVING_GRACE`] ago.
pub(crate) fn edition(node: &Node) -> Result<Arc<Edition>, Problem> {
    let edition = node.catalog.current();
    if !*node.ready.borrow() || edition.revision == 0 {
        return Err(Problem::not_run(
            Code::NoDocument,
            "no document is in force yet",
        ));
    }
    let leaving_for = node.leaving_for();
    if leaving_for.is_some_and(|leaving_for| leaving_for >= LEAVING_GRACE) {
        return Err(Problem::not_run(
            Code::Leaving,
            "this instance is shutting down",
        ));
    }
    Ok(edition)
}

/// The caller, identified by the bearer key of the request.
pub(crate) fn caller<'a>(edition: &'a Edition, request: &Request) -> Result<&'a Caller, Problem> {
    let key = bearer_digest(request);
    key.and_then(|key| edition.document.callers.get(&key))
        .ok_or_else(|| Problem::not_run(Code::UnknownKey, "the bearer key is not known"))
}

/// Name of the operator, identified by the bearer key of the request.
pub(crate) fn operator<'a>(node: &'a Node, request: &Request) -> Result<&'a str, Problem> {
    let key = bearer_digest(request);
    key.and_then(|key| node.settings.operators.get(&key))
        .map(String::as_str)
        .ok_or_else(|| Problem::not_run(Code::UnknownKey, "the operator key is not known"))
}

/// Time by which the work must start, from the header or the default of `rank`.
pub(crate) fn deadline(
    node: &Node,
    edition: &Edition,
    request: &Request,
    rank: Rank,
) -> Result<Duration, Problem> {
    let now = node.clock.now();
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        return Ok(now + edition.document.target(rank).deadline);
    };
    let budget = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis)
        .filter(|budget| !budget.is_zero() && *budget <= MAX_DEADLINE);
    match budget {
        Some(budget) => Ok(now + budget),
        None => Err(bad_request(
            "header x-deadline-ms: not a number from 1 to 3600000",
        )),
    }
}

/// The request body; fails if it is longer than the settings allow.
pub(crate) async fn body(node: &Node, request: &mut Request) -> Result<Bytes, Problem> {
    let limit = node.settings.max_body_bytes;
    match request.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(Problem::not_run(
            Code::BodyTooLarge,
            format!("the body is longer than {limit} bytes"),
        )),
        Err(error) => Err(bad_request(format!("body: {error}"))),
    }
}

pub(crate) fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(Code::BadRequest, detail)
}

fn bearer_digest(request: &Request) -> Option<String> {
    let value = request.headers().get(header::AUTHORIZATION)?;
    let key = value.to_str().ok()?.strip_prefix(BEARER)?;
    Some(digest::sha256(key))
}
