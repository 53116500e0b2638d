//! Validated settings of a daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Code;
use crate::generated::settings as raw;
use crate::{Error, Finding, Result, digest, id, yaml};

/// JSON Schema of the settings.
pub const SCHEMA: &str = include_str!("../../../schema/settings.json");

const MIN_SECRET_CHARS: usize = 16;
const MIN_LEASE: Duration = Duration::from_millis(500);
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Environment whose document it serves.
    pub environment: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Listen address for callers and operators.
    pub callers_listen: SocketAddr,
    /// Listen address for other instances.
    pub peers_listen: SocketAddr,
    /// Secret shared by all instances, which authenticates their connections.
    pub peer_secret: String,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the service that lists the VMs.
    pub roster: SocketAddr,
    /// Peer addresses to connect to while the table service is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Names of operators by the SHA-256 digest of their key.
    pub operators: BTreeMap<String, String>,
    /// Duration of the shard's lease.
    pub lease: Duration,
    /// Maximum time that a shutdown waits for requests in progress.
    pub drain_timeout: Duration,
    /// Time without data after which a runner's stream counts as broken.
    pub idle_timeout: Duration,
    /// Retention time of an idempotency key and its response.
    pub key_ttl: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of concurrent connections from callers.
    pub max_connections: usize,
    /// Maximum number of queued requests.
    pub max_queue: usize,
    /// Maximum number of concurrent loads from the weight store.
    pub weight_slots: u32,
    /// Maximum rate of load starts from the weight store, per second.
    pub weight_per_second: f64,
    /// Log level, from `error` to `trace`.
    pub log: String,
}

/// Parses and validates YAML settings.
///
/// # Errors
///
/// Fails if the text is not YAML, or with all validation errors.
pub fn parse(text: &str) -> Result<Settings> {
    let settings: raw::Settings = yaml::parse(text, SCHEMA)?;
    Settings::try_from(settings)
}

impl TryFrom<raw::Settings> for Settings {
    type Error = Error;

    fn try_from(raw: raw::Settings) -> Result<Self> {
        let mut findings = Vec::new();
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut address = |path: &str, text: &str| {
            text.parse().unwrap_or_else(|_| {
                findings.push(Finding::new(path, "is not an IP address and port"));
                unset
            })
        };
        let callers_listen = address("/callers_listen", &raw.callers_listen);
        let peers_listen = address("/peers_listen", &raw.peers_listen);
        let table = address("/table", &raw.table);
        let objects = address("/objects", &raw.objects);
        let roster = address("/roster", &raw.roster);
        let seeds = raw
            .seeds
            .iter()
            .enumerate()
            .map(|(at, text)| address(&format!("/seeds/{at}"), text))
            .collect();
        let operators = operators(raw.operators, &mut findings);
        let settings = Self {
            instance: raw.instance,
            environment: raw.environment,
            data_centre: raw.data_centre,
            callers_listen,
            peers_listen,
            peer_secret: raw.peer_secret,
            table,
            objects,
            roster,
            seeds,
            operators,
            lease: Duration::from_millis(raw.lease_ms),
            drain_timeout: Duration::from_millis(raw.drain_ms),
            idle_timeout: Duration::from_millis(raw.idle_ms),
            key_ttl: Duration::from_millis(raw.key_ttl_ms),
            max_body_bytes: usize::try_from(raw.max_body_bytes).unwrap_or(usize::MAX),
            max_connections: usize::try_from(raw.max_connections).unwrap_or(usize::MAX),
            max_queue: usize::try_from(raw.max_queue).unwrap_or(usize::MAX),
            weight_slots: raw.weight_slots,
            weight_per_second: raw.weight_per_second,
            log: raw.log,
        };
        settings.check(&mut findings);
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(Code::Findings(findings).into())
        }
    }
}

fn operators(raw: Vec<raw::Operator>, findings: &mut Vec<Finding>) -> BTreeMap<String, String> {
    let mut operators = BTreeMap::new();
    for (at, operator) in raw.into_iter().enumerate() {
        let path = format!("/operators/{at}/key_sha256");
        match digest::parse(&operator.key_sha256) {
            Ok(key) => {
                operators.insert(key, operator.name);
            }
            Err(error) => findings.push(Finding::new(path, error.to_string())),
        }
    }
    operators
}

impl Settings {
    fn check(&self, findings: &mut Vec<Finding>) {
        let mut require = |valid: bool, path: &str, reason: &str| {
            if !valid {
                findings.push(Finding::new(path, reason));
            }
        };
        require(!self.instance.is_empty(), "/instance", "is empty");
        require(!self.environment.is_empty(), "/environment", "is empty");
        require(
            self.peer_secret.chars().count() >= MIN_SECRET_CHARS,
            "/peer_secret",
            "has fewer than 16 characters",
        );
        require(self.lease >= MIN_LEASE, "/lease_ms", "is less than 500");
        require(!self.idle_timeout.is_zero(), "/idle_ms", "is zero");
        require(!self.key_ttl.is_zero(), "/key_ttl_ms", "is zero");
        require(self.max_body_bytes > 0, "/max_body_bytes", "is zero");
        require(self.max_connections > 0, "/max_connections", "is zero");
        require(self.max_queue > 0, "/max_queue", "is zero");
        require(self.weight_slots > 0, "/weight_slots", "is zero");
        require(
            self.weight_per_second > 0.0,
            "/weight_per_second",
            "is not more than zero",
        );
        require(
            LEVELS.contains(&self.log.as_str()),
            "/log",
            "is not error, warn, info, debug or trace",
        );
    }
}
