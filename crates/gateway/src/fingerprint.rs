//! Fingerprints, by which a request is known when it is sent again under another attempt id.

use almondbank_wire::digest;
use hyper::header::AUTHORIZATION;
use hyper::http;

use crate::call::Call;
use crate::id;

/// Returns the fingerprint of a request, which is equal for all attempts of one caller at
/// the same method, host, path, query, model, prompt and body. Without a tenant, the caller
/// is known by its credentials.
#[must_use]
pub fn of(
    head: &http::request::Parts,
    call: &Call,
    tenant: Option<&str>,
    body: &[u8],
) -> id::Fingerprint {
    let path = head.uri.path_and_query();
    let credentials = head.headers.get(AUTHORIZATION);
    let target = call.target.as_ref();
    let adapter = target.and_then(|target| target.adapter.as_deref());
    let body = digest::sha256(body);
    let mut fields = vec![
        head.method.as_str().as_bytes(),
        call.host.as_bytes(),
        path.map_or("", http::uri::PathAndQuery::as_str).as_bytes(),
        credentials.map_or(b"".as_slice(), http::HeaderValue::as_bytes),
        tenant.unwrap_or_default().as_bytes(),
        target.map_or("", |target| &target.model).as_bytes(),
        adapter.unwrap_or_default().as_bytes(),
        body.as_bytes(),
    ];
    fields.extend(call.parts.iter().map(|part| part.id.as_bytes()));
    // With their lengths, no two lists of fields have the same bytes.
    let lengths = fields.iter().map(|field| field.len().to_string());
    let lengths = lengths.collect::<Vec<_>>().join(",");
    fields.push(lengths.as_bytes());
    digest::sha256(fields.concat())
}
