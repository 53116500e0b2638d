//! Builds settings and documents for tests and examples.

use std::fmt::Write;
use std::net::SocketAddr;

use almondbank_wire::digest;

/// Bearer key of the fixture's caller.
pub const CALLER_KEY: &str = "studio-key";
/// Bearer key of a caller without grants.
pub const UNGRANTED_KEY: &str = "stranger-key";
/// Bearer key of the fixture's operator.
pub const OPERATOR_KEY: &str = "operator-key";
/// Shared secret with which the fixture's instances authenticate to each other.
pub const PEER_SECRET: &str = "fixture-peer-secret";

/// A runner entry of the document.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Unique name of the runner.
    pub name: String,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses orders with a stale fencing token.
    pub checks_fencing: bool,
}

/// A model entry of the document, with the caller's grant for it.
#[derive(Clone, Debug)]
pub struct Model {
    /// Unique name of the model.
    pub name: String,
    /// Size of the weights in memory, in bytes.
    pub bytes: u64,
    /// Memory reserved for adapters, in bytes.
    pub pool_bytes: u64,
    /// Maximum number of replicas.
    pub max_replicas: u32,
    /// Expected load time, in milliseconds.
    pub load_ms: u64,
    /// Priority rank of the caller's requests, from 1 (highest) to 3.
    pub rank: u8,
    /// Names of its adapters; each takes 1 byte of the pool.
    pub adapters: Vec<String>,
}

impl Model {
    /// Creates a model of 10 bytes with a 10-byte adapter pool, one replica and rank 1.
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

/// Returns a document as YAML, with grants on everything in it for the caller `studio`.
///
/// With `service`, the document has a service `floorbook` with the calls `book`, which is not
/// repeatable, and `lookup`, which is.
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
    write_list(&mut text, "runners", runners, |text, runner| {
        let _ = writeln!(
            text,
            "  - {{name: {}, address: \"{}\", data_centre: one, memory_bytes: {}, slots: {}, checks_fencing: {}}}",
            runner.name, runner.address, runner.memory_bytes, runner.slots, runner.checks_fencing,
        );
    });
    write_list(&mut text, "models", models, |text, model| {
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

/// Returns the settings of one daemon as YAML, listening on free loopback ports.
///
/// `extra` is appended as further lines of YAML.
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

fn write_list<T>(
    text: &mut String,
    name: &str,
    items: &[T],
    mut write_item: impl FnMut(&mut String, &T),
) {
    if items.is_empty() {
        return;
    }
    let _ = writeln!(text, "{name}:");
    for item in items {
        write_item(text, item);
    }
}
