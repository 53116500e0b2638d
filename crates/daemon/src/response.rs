//! Writes the responses of the HTTP server.

use almondbank_wire::problem::{self, Problem};
use salvo::http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::node::Node;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Writes `value` as JSON with status 200.
pub(crate) fn json(response: &mut Response, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    text(response, 200, body);
}

/// Writes a body that is already encoded as JSON; an invalid `status` becomes 502.
pub(crate) fn text(response: &mut Response, status: u16, body: impl Into<Vec<u8>>) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    let _ = response.write_body(body.into());
}

/// Writes `problem` in the format of RFC 9457 and counts it in the metrics.
pub(crate) fn problem(node: &Node, response: &mut Response, problem: &Problem) {
    node.metrics.refusal(problem.code.into());
    write_problem(response, problem, &problem.body());
}

/// Writes `problem` with a `body` that may have additional members.
pub(crate) fn write_problem(response: &mut Response, problem: &Problem, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    text(response, problem.code.status(), bytes);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, PROBLEM_JSON);
    if let Some(wait) = problem::Code::retry_after(problem.code) {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.as_secs()));
    }
    if problem.code == problem::Code::BodyTooLarge {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}
