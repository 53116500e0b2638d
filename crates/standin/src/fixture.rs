//! Settings and documents for tests and examples.

use std::fmt::Write;
use std::net::SocketAddr;

use almondbank_wire::digest;

/// Bearer key of the fixture's caller.
pub const CALLER_KEY: &str = "studio-key";
/// Bearer key of a caller without grants.
pub const UNGRANTED_KEY: &str = "stranger-key";
/// Bearer key of the fixture's operator.
pub const OPERATOR_KEY: &str = "operator-key";
/// Secret of the fixture's instances.
pub const PEER_SECRET: &str = "fixture-peer-secret";

/// A model runner of the document.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Requests at once.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
}

/// A model of the document.
#[derive(Clone, Debug)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Memory, in bytes.
    pub bytes: u64,
    /// Memory for adapters, in bytes.
    pub pool_bytes: u64,
    /// Replicas at the most.
    pub max_replicas: u32,
    /// Expected load time, in milliseconds.
    pub load_ms: u64,
    /// Rank of the caller's requests.
    pub rank: u8,
    /// Names of its adapters, each a hundredth of the pool.
    pub adapters: Vec<String>,
}

impl Model {
    /// Makes a model of 10 bytes with a pool of 10 for adapters of 1 byte.
    #[must_use]
    pub fn new(name: impl Into<String>, load_ms: u64) -> Self {
        Self {
            name: name.into(),
            bytes: 10,
            pool_bytes: 10,
            max_replicas: 1,
            load_ms,
            rank: 1,
            adapters: Vec::new(),
        }
    }
}

/// Writes a document as YAML.
#[must_use]
pub fn document(
    environment: &str,
    runners: &[Runner],
    models: &[Model],
    service: Option<SocketAddr>,
) -> String {
    let mut text = format!("environment: {environment}\n");
    let mut grants = String::new();
    let mut adapters = String::new();
    list(&mut text, "runners", runners, |text, runner| {
        let _ = writeln!(
            text,
            "  - {{name: {}, address: \"{}\", data_centre: one, memory_bytes: {}, slots: {}, checks_fencing: {}}}",
            runner.name, runner.address, runner.memory_bytes, runner.slots, runner.checks_fencing,
        );
    });
    list(&mut text, "models", models, |text, model| {
        let _ = writeln!(
            text,
            "  - {{name: {}, bytes: {}, adapter_pool_bytes: {}, versions: [v1, v2], max_replicas: {}, load_ms: {}}}",
            model.name, model.bytes, model.pool_bytes, model.max_replicas, model.load_ms,
        );
        let _ = writeln!(
            grants,
            "      - {{target: {}, rank: {}}}",
            model.name, model.rank
        );
        for adapter in &model.adapters {
            let _ = writeln!(
                adapters,
                "  - {{name: {adapter}, model: {}, bytes: 1}}",
                model.name
            );
            let _ = writeln!(
                grants,
                "      - {{target: {adapter}, rank: {}}}",
                model.rank
            );
        }
    });
    if !adapters.is_empty() {
        let _ = write!(text, "adapters:\n{adapters}");
    }
    if let Some(address) = service {
        let _ = writeln!(
            text,
            "services:\n  - name: floorbook\n    addresses: [\"{address}\"]\n    calls:\n      - {{name: book, repeatable: false}}\n      - {{name: lookup, repeatable: true}}",
        );
        grants.push_str("      - {target: floorbook, rank: 1}\n");
    }
    let _ = writeln!(
        text,
        "callers:\n  - name: studio\n    key_sha256: {}\n    grants:\n{grants}  - name: stranger\n    key_sha256: {}\n    grants: []",
        digest::sha256(CALLER_KEY),
        digest::sha256(UNGRANTED_KEY),
    );
    text
}

/// Writes settings of one daemon as YAML, with free ports.
#[must_use]
pub fn settings(instance: &str, environment: &str, platform: SocketAddr, extra: &str) -> String {
    format!(
        "instance: {instance}\n\
         environment: {environment}\n\
         data_centre: one\n\
         callers_listen: 127.0.0.1:0\n\
         peers_listen: 127.0.0.1:0\n\
         peer_secret: {PEER_SECRET}\n\
         table: {platform}\n\
         objects: {platform}\n\
         roster: {platform}\n\
         operators:\n  - {{name: olga, key_sha256: {}}}\n\
         {extra}",
        digest::sha256(OPERATOR_KEY),
    )
}

fn list<T>(text: &mut String, name: &str, items: &[T], mut write: impl FnMut(&mut String, &T)) {
    if items.is_empty() {
        return;
    }
    let _ = writeln!(text, "{name}:");
    for item in items {
        write(text, item);
    }
}
