//! The cases, by name.

mod many_parts;
mod memory;
mod no_connections;
mod two_leaders;
mod unknown_models;

use std::path::Path;

use crate::Outcome;
use crate::record::Record;

pub fn run(
    name: &str,
    directory: &Path,
    has_trouble: bool,
    record: &Record,
) -> std::io::Result<Outcome> {
    match name {
        "many_parts" => many_parts::run(directory, has_trouble, record),
        "no_connections" => no_connections::run(directory, has_trouble, record),
        "two_leaders" => two_leaders::run(directory, has_trouble, record),
        "unknown_models" => unknown_models::run(directory, has_trouble, record),
        _ => Err(std::io::Error::other(format!("no such case: {name}"))),
    }
}
