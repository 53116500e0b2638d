//! Validated documents: the models, runners, services and callers of one environment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::Code;
use crate::generated::document as raw;
use crate::rank::Rank;
use crate::{Error, Result, check, id, yaml};

/// JSON Schema of a document.
pub const SCHEMA: &str = include_str!("../../../schema/document.json");

const VERSION_SEPARATOR: char = '@';
const DEFAULT_DEADLINES: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
];
const DEFAULT_FLOOR_PERCENT: [u8; 3] = [0, 10, 5];

/// A validated document.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Environment that the document configures.
    pub environment: String,
    /// Targets of the ranks that the document lists.
    pub targets: BTreeMap<Rank, Target>,
    /// Model runners by name.
    pub runners: BTreeMap<id::Runner, Runner>,
    /// Models by name.
    pub models: BTreeMap<id::Model, Model>,
    /// Adapters by name.
    pub adapters: BTreeMap<id::Adapter, Adapter>,
    /// Services without models, by name.
    pub services: BTreeMap<String, Service>,
    /// Callers by the SHA-256 digest of their key.
    pub callers: BTreeMap<String, Caller>,
}

/// Latency and capacity target of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Time to the first token for requests without a deadline of their own.
    pub deadline: Duration,
    /// Share of the capacity reserved for this rank against more urgent work, in
    /// percent.
    pub floor_percent: u8,
}

/// A runner, which loads models and serves requests to them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Accelerator memory for weights and adapters, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it rejects orders with a stale fencing token.
    pub checks_fencing: bool,
}

/// A model that runners may load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Accelerator memory of a replica without adapters, in bytes.
    pub bytes: u64,
    /// Accelerator memory reserved for adapters in each replica, in bytes.
    pub pool_bytes: u64,
    /// Available versions; the first is the default.
    pub versions: Vec<id::Version>,
    /// Maximum number of replicas of one version.
    pub max_replicas: u32,
    /// Expected time to load the weights from the weight store.
    pub load_time: Duration,
}

/// An adapter of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adapter {
    /// Model that it extends.
    pub model: id::Model,
    /// Memory that it takes from the adapter pool, in bytes.
    pub bytes: u64,
}

/// A service without models.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Addresses of its back ends.
    pub addresses: Vec<SocketAddr>,
    /// Whether each call is idempotent, by name of the call.
    pub calls: BTreeMap<String, bool>,
}

/// A caller, identified by its bearer key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Name in logs and metrics.
    pub name: id::Caller,
    /// Rank of the caller's requests by model, adapter or service.
    pub grants: BTreeMap<String, Rank>,
}

/// Model, version and adapter that a requested name refers to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Resolved {
    /// Model to run.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Adapter to apply to the model.
    pub adapter: Option<id::Adapter>,
}

impl Document {
    /// Resolves the name of a model or adapter with an optional `@version` suffix.
    ///
    /// Returns `None` if the model, adapter or version does not exist.
    #[must_use]
    pub fn resolve(&self, name: &str) -> Option<Resolved> {
        let (base, pinned) = match name.split_once(VERSION_SEPARATOR) {
            Some((base, version)) => (base, Some(version)),
            None => (name, None),
        };
        let adapter = self.adapters.get(base);
        let model_name = adapter.map_or(base, |adapter| adapter.model.as_str());
        let model = self.models.get(model_name)?;
        let version = match pinned {
            Some(version) => model.versions.iter().find(|known| *known == version)?,
            None => model.versions.first()?,
        };
        Some(Resolved {
            model: model_name.to_owned(),
            version: version.clone(),
            adapter: adapter.map(|_| base.to_owned()),
        })
    }

    /// Returns the target of `rank`, or its default if the document lists none.
    #[must_use]
    pub fn target(&self, rank: Rank) -> Target {
        self.targets
            .get(&rank)
            .copied()
            .unwrap_or_else(|| default_target(rank))
    }
}

impl Caller {
    /// Returns the caller's rank for `name`, with or without `@version`; `None` if it
    /// has no grant.
    #[must_use]
    pub fn granted_rank(&self, name: &str) -> Option<Rank> {
        let base = name.split(VERSION_SEPARATOR).next().unwrap_or(name);
        self.grants.get(base).copied()
    }
}

/// Parses and validates a YAML document.
///
/// # Errors
///
/// Fails if `text` is not YAML, or with all validation errors.
pub fn parse(text: &str) -> Result<Document> {
    let document: raw::Document = yaml::parse(text, SCHEMA)?;
    Document::try_from(document)
}

/// Returns the YAML document in `text` with its environment replaced.
///
/// # Errors
///
/// Fails if the text is not YAML or does not match the schema.
pub fn with_environment(text: &str, environment: &str) -> Result<String> {
    let mut document: raw::Document = yaml::parse(text, SCHEMA)?;
    environment.clone_into(&mut document.environment);
    yaml::write(&document)
}

/// Returns the scalar fields of the YAML document in `text` by path.
///
/// The path of a list item uses its `name`, `target` or `rank` in place of its
/// index where it has one, so that a comparison ignores the order of the list.
///
/// # Errors
///
/// Fails if the text is not YAML or does not match the schema.
pub fn fields(text: &str) -> Result<BTreeMap<String, String>> {
    let value: Value = yaml::parse(text, SCHEMA)?;
    let mut fields = BTreeMap::new();
    flatten(String::new(), &value, &mut fields);
    Ok(fields)
}

fn flatten(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(format!("{path}/{name}"), member, fields);
            }
        }
        Value::Array(items) => {
            for (at, item) in items.iter().enumerate() {
                let name = ["name", "target", "rank"]
                    .iter()
                    .find_map(|key| item.get(key))
                    .map_or_else(|| at.to_string(), scalar_to_string);
                flatten(format!("{path}/{name}"), item, fields);
            }
        }
        scalar => {
            fields.insert(path, scalar_to_string(scalar));
        }
    }
}

fn scalar_to_string(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

pub(crate) fn default_target(rank: Rank) -> Target {
    Target {
        deadline: DEFAULT_DEADLINES[rank.index()],
        floor_percent: DEFAULT_FLOOR_PERCENT[rank.index()],
    }
}

impl TryFrom<raw::Document> for Document {
    type Error = Error;

    fn try_from(raw: raw::Document) -> Result<Self> {
        let mut checker = check::Checker::default();
        let document = checker.document(raw);
        if checker.findings.is_empty() {
            Ok(document)
        } else {
            Err(Code::Findings(checker.findings).into())
        }
    }
}
