//! Paths of the operator API.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// What is encoded in a segment: all but the unreserved characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Path of `resource` of an environment, whose name may be any text.
pub fn of_environment(environment: &str, resource: &str) -> String {
    let environment = utf8_percent_encode(environment, ENCODED);
    format!("/environments/{environment}/{resource}")
}
