//! Keys of the rows in the table service, and the encoding of their values.

use almondbank_wire::{digest, id};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;
use crate::error::Code;

/// Longest key of a row, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Longest name of an environment in a key, in bytes. The rest of the key needs the others.
const MAX_ENVIRONMENT_BYTES: usize = 64;
/// Begins the digest that stands for a name which a key cannot hold.
const DIGEST_MARK: char = '~';
const SEPARATOR: char = '/';

/// Key of the lease row.
#[must_use]
pub fn lease(environment: &str) -> String {
    in_environment(environment, "lease")
}

/// Key prefix of all replica rows.
#[must_use]
pub fn replicas(environment: &str) -> String {
    in_environment(environment, "replica/")
}

/// Key of the row of one replica.
#[must_use]
pub fn replica(environment: &str, replica: &str) -> String {
    below(replicas(environment), replica)
}

/// Key of the row that names the newest revision.
#[must_use]
pub fn head(environment: &str) -> String {
    in_environment(environment, "head")
}

/// Key of the row of one accepted document.
#[must_use]
pub fn revision(environment: &str, revision: id::Revision) -> String {
    in_environment(environment, &format!("revision/{revision:012}"))
}

/// Key prefix of all audit entries.
#[must_use]
pub fn audits(environment: &str) -> String {
    in_environment(environment, "audit/")
}

/// Key of one audit entry; `name` distinguishes entries with the same time.
#[must_use]
pub fn audit(environment: &str, at_unix_ms: u64, name: &str) -> String {
    below(format!("{}{at_unix_ms:016}-", audits(environment)), name)
}

/// Key prefix of all instance rows.
#[must_use]
pub fn members(environment: &str) -> String {
    in_environment(environment, "member/")
}

/// Key of the row of one instance.
#[must_use]
pub fn member(environment: &str, instance: &str) -> String {
    below(members(environment), instance)
}

/// Key of the row with the software versions of the runners.
#[must_use]
pub fn software(environment: &str) -> String {
    in_environment(environment, "software")
}

/// Key of the row with the environment, where the store has lost it.
#[must_use]
pub fn environment(environment: &str) -> String {
    in_environment(environment, "environment")
}

/// Key prefix of the rows that hold the text of that environment, if it is too long for one.
#[must_use]
pub fn environment_parts(environment: &str) -> String {
    in_environment(environment, "environment-part/")
}

/// Key of the row with one part of that text.
#[must_use]
pub fn environment_part(environment: &str, part: usize) -> String {
    below(environment_parts(environment), &format!("{part:06}"))
}

/// Key of the row with what crashes runners.
#[must_use]
pub fn quarantine(environment: &str) -> String {
    in_environment(environment, "quarantine")
}

/// Key prefix of the rows that name the streams which began at each instance.
#[must_use]
pub fn streams(environment: &str) -> String {
    in_environment(environment, "streams/")
}

/// Key of the row that names the streams which began at one instance.
#[must_use]
pub fn streams_of(environment: &str, instance: &str) -> String {
    below(streams(environment), instance)
}

/// Key prefix of the rows that drain runners.
#[must_use]
pub fn drains(environment: &str) -> String {
    in_environment(environment, "drain/")
}

/// Key of the row that drains one runner; while it exists, the runner gets no new
/// work.
#[must_use]
pub fn drain(environment: &str, runner: &str) -> String {
    below(drains(environment), runner)
}

/// Key of the claim on one call that must not be repeated.
#[must_use]
pub fn claim(environment: &str, digest: &str) -> String {
    in_environment(environment, &format!("claim/{digest}"))
}

fn in_environment(environment: &str, rest: &str) -> String {
    let is_held = environment.len() <= MAX_ENVIRONMENT_BYTES
        && !environment.contains(SEPARATOR)
        && !environment.starts_with(DIGEST_MARK);
    if is_held {
        format!("env/{environment}/{rest}")
    } else {
        format!("env/{}/{rest}", digest_of(environment))
    }
}

// Returns the key of `name` below `prefix`. Names that begin with the mark have digests as well, so
// that no name has the key of another one.
fn below(prefix: String, name: &str) -> String {
    if prefix.len() + name.len() <= MAX_KEY_BYTES && !name.starts_with(DIGEST_MARK) {
        prefix + name
    } else {
        prefix + &digest_of(name)
    }
}

fn digest_of(name: &str) -> String {
    format!("{DIGEST_MARK}{}", digest::sha256(name))
}

/// Serializes the value of a row as JSON.
///
/// # Panics
///
/// Never: all row types can be represented in JSON.
#[must_use]
pub fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("row types serialize to JSON")
}

/// Parses the value of the row at `key`.
///
/// # Errors
///
/// Fails if `value` is not the JSON representation of a `T`.
pub fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    let typed = serde_json::from_str(value).map_err(|e| Code::Row(key.to_owned(), e))?;
    Ok(typed)
}
