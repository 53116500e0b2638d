//! Keys of the rows that the system keeps.

use almondbank_wire::id;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;
use crate::error::Code;

/// Row of the shard's lease.
#[must_use]
pub fn lease(environment: &str) -> String {
    format!("env/{environment}/lease")
}

/// Prefix of the rows of placed replicas.
#[must_use]
pub fn replicas(environment: &str) -> String {
    format!("env/{environment}/replica/")
}

/// Row of one placed replica.
#[must_use]
pub fn replica(environment: &str, replica: &str) -> String {
    format!("env/{environment}/replica/{replica}")
}

/// Row that names the newest revision.
#[must_use]
pub fn head(environment: &str) -> String {
    format!("env/{environment}/head")
}

/// Row of one accepted document.
#[must_use]
pub fn revision(environment: &str, revision: id::Revision) -> String {
    format!("env/{environment}/revision/{revision:012}")
}

/// Prefix of the audit trail.
#[must_use]
pub fn audits(environment: &str) -> String {
    format!("env/{environment}/audit/")
}

/// Row of one audit entry; `name` keeps entries of one time apart.
#[must_use]
pub fn audit(environment: &str, at_unix_ms: u64, name: &str) -> String {
    format!("env/{environment}/audit/{at_unix_ms:016}-{name}")
}

/// Prefix of the rows of instances.
#[must_use]
pub fn members(environment: &str) -> String {
    format!("env/{environment}/member/")
}

/// Row of one instance.
#[must_use]
pub fn member(environment: &str, instance: &str) -> String {
    format!("env/{environment}/member/{instance}")
}

/// Prefix of the rows that keep new work from runners.
#[must_use]
pub fn drains(environment: &str) -> String {
    format!("env/{environment}/drain/")
}

/// Row that keeps new work from one runner.
#[must_use]
pub fn drain(environment: &str, runner: &str) -> String {
    format!("env/{environment}/drain/{runner}")
}

/// Row of the claim on one call that may not be repeated.
#[must_use]
pub fn claim(environment: &str, digest: &str) -> String {
    format!("env/{environment}/claim/{digest}")
}

/// Writes a row's value.
///
/// # Panics
///
/// Never: rows hold only types that JSON can carry.
#[must_use]
pub fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("rows encode as JSON")
}

/// Reads a row's value.
///
/// # Errors
///
/// Fails if the value is not the JSON of a `T`.
pub fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    let typed = serde_json::from_str(value).map_err(|e| Code::Row(key.to_owned(), e))?;
    Ok(typed)
}
