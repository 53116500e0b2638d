//! Checked documents: what one environment serves, to whom and at which rank.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::Code;
use crate::generated::document as raw;
use crate::rank::Rank;
use crate::{Error, Result, check, id, yaml};

/// The JSON Schema of a document.
pub const SCHEMA: &str = include_str!("../../../schema/document.json");

const VERSION_SEPARATOR: char = '@';
const DEFAULT_DEADLINES: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
];
const DEFAULT_FLOOR_PERCENT: [u8; 3] = [0, 10, 5];

/// A checked document.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Environment that the document is for.
    pub environment: String,
    /// Targets by rank.
    pub targets: BTreeMap<Rank, Target>,
    /// Model runners by name.
    pub runners: BTreeMap<id::Runner, Runner>,
    /// Models by name.
    pub models: BTreeMap<id::Model, Model>,
    /// Adapters by name.
    pub adapters: BTreeMap<id::Adapter, Adapter>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Callers by the digest of their key.
    pub callers: BTreeMap<String, Caller>,
}

/// Target of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Time to the first token when the caller names none.
    pub deadline: Duration,
    /// Share of the capacity that more urgent work leaves to this rank, in percent.
    pub floor_percent: u8,
}

/// One model runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// One model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Memory of a replica without adapters, in bytes.
    pub bytes: u64,
    /// Memory beside each replica for adapters, in bytes.
    pub pool_bytes: u64,
    /// Versions served; the first is the default.
    pub versions: Vec<id::Version>,
    /// Replicas of one version at the most.
    pub max_replicas: u32,
    /// Expected time of a load from the weight store.
    pub load_time: Duration,
}

/// One adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adapter {
    /// Model that it extends.
    pub model: id::Model,
    /// Memory in the adapter pool, in bytes.
    pub bytes: u64,
}

/// One plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Addresses of its back ends.
    pub addresses: Vec<SocketAddr>,
    /// Its calls, and whether each may be repeated.
    pub calls: BTreeMap<String, bool>,
}

/// One caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Name in logs and counters.
    pub name: id::Caller,
    /// Rank of the caller's requests by target.
    pub grants: BTreeMap<String, Rank>,
}

/// What a model name in a request stands for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Resolved {
    /// Model to run.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Adapter on top of it.
    pub adapter: Option<id::Adapter>,
}

impl Document {
    /// Resolves `name`, a model or an adapter, with an optional `@version`.
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

    /// Target of `rank`.
    #[must_use]
    pub fn target(&self, rank: Rank) -> Target {
        self.targets
            .get(&rank)
            .copied()
            .unwrap_or_else(|| default_target(rank))
    }
}

impl Caller {
    /// Rank at which the caller may use `name`, ignoring a pinned version.
    #[must_use]
    pub fn grant(&self, name: &str) -> Option<Rank> {
        let base = name.split(VERSION_SEPARATOR).next().unwrap_or(name);
        self.grants.get(base).copied()
    }
}

/// Parses and checks a document written in YAML.
///
/// # Errors
///
/// Fails if the text is not YAML, or with every mistake in it.
pub fn parse(text: &str) -> Result<Document> {
    let document: raw::Document = yaml::parse(text, SCHEMA)?;
    Document::try_from(document)
}

/// The document in `text` for another environment, as YAML.
///
/// # Errors
///
/// Fails if the text is not a document.
pub fn rename(text: &str, environment: &str) -> Result<String> {
    let mut document: raw::Document = yaml::parse(text, SCHEMA)?;
    environment.clone_into(&mut document.environment);
    yaml::write(&document)
}

/// The fields of the document in `text`, each by its path.
///
/// Items of a list are found by their name, so that their order does not matter.
///
/// # Errors
///
/// Fails if the text is not a document.
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
                    .map_or_else(|| at.to_string(), name_of);
                flatten(format!("{path}/{name}"), item, fields);
            }
        }
        scalar => {
            fields.insert(path, name_of(scalar));
        }
    }
}

fn name_of(value: &Value) -> String {
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
