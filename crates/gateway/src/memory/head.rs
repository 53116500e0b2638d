//! Memory that the head of a request takes for as long as the request lasts.

use std::mem;

use hyper::http;

use crate::call::{Block, Call};

/// Memory of one header besides its text: entries in the map of the caller's request and in that
/// of the request to the runner.
const ENTRY_BYTES: usize = 256;

/// Returns the bytes that the head of a request and what is derived from it take.
#[must_use]
pub fn bytes(head: &http::request::Parts, call: &Call) -> usize {
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ENTRY_BYTES);
    let blocks = call.parts.iter().count() * mem::size_of::<Block>();
    let target = head.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    target + headers.sum::<usize>() + blocks
}
