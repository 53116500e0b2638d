//! Validated settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Code;
use crate::generated::gateway as raw;
use crate::{Error, Finding, Result, id, yaml};

/// JSON Schema of the settings.
pub const SCHEMA: &str = include_str!("../../../schema/gateway.json");

/// Path of the address for metrics, without which a gateway can serve.
pub const METRICS_PATH: &str = "/metrics_listen";

/// Smallest memory with which a gateway has room for its state and for requests.
const MIN_MEMORY_MB: u64 = 64;
/// Longest time that is accepted, with which sums and multiples stay in the range of `Duration`.
const MAX_TIME: Duration = Duration::from_hours(365 * 24);

/// Listen addresses of a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Address for requests from callers.
    pub callers: SocketAddr,
    /// Address for the readiness check.
    pub ready: SocketAddr,
    /// Address for connections from other gateways.
    pub peers: SocketAddr,
    /// Address of the directory, which lists the gateway addresses that callers may use.
    pub directory: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

impl Listen {
    /// Returns pairs of settings, by their paths, that name the same address. Such a pair cannot
    /// both be bound. Port 0 stands for any free one.
    #[must_use]
    pub fn conflicts(&self) -> Vec<(&'static str, &'static str)> {
        let all = [
            ("/callers_listen", self.callers),
            ("/ready_listen", self.ready),
            ("/peers_listen", self.peers),
            ("/directory_listen", self.directory),
            (METRICS_PATH, self.metrics),
        ];
        let mut conflicts = Vec::new();
        for (at, (later, address)) in all.iter().enumerate() {
            let earlier = all[..at].iter().find(|(_, other)| other == address);
            if let Some((earlier, _)) = earlier
                && address.port() != 0
            {
                conflicts.push((*earlier, *later));
            }
        }
        conflicts
    }
}

/// Retry budget of a service, shared by all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Time window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in each window in addition to the ratio.
    pub extra: f64,
}

/// Bound on the use of a tenant's quota, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Time window over which the use is counted.
    pub window: Duration,
    /// Part of the quota that may be used in a window beyond it.
    pub overage: f64,
    /// Units that may be used in a window in addition to the overage.
    pub slack: f64,
}

/// Rate limit of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Time window over which loads are counted.
    pub window: Duration,
    /// Maximum load rate in a window, as a multiple of the weight store's rate.
    pub overage: f64,
}

/// Validated settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Peer addresses to connect to while the metadata store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of file descriptors of the process.
    pub max_files: usize,
    /// Maximum memory of the process, in bytes.
    pub memory: usize,
    /// CPU limit of the process, in cores.
    pub cpu_share: f64,
    /// Whether runners reject orders with a stale fencing token.
    pub checks_fencing: bool,
    /// Duration of the leader's lease.
    pub lease: Duration,
    /// Time from the termination signal until the process is killed.
    pub grace: Duration,
    /// Time after an outage of the metadata store within which live runners
    /// register again.
    pub reconcile_window: Duration,
    /// Retry budget of each service.
    pub retry: Retry,
    /// Bound on the use of a tenant's quota.
    pub quota: Quota,
    /// Rate limit of loads from the weight store.
    pub load: Load,
    /// Maximum time that callers may cache the directory.
    pub max_directory_ttl: Duration,
    /// Maximum level of the log lines that are written.
    pub log: log::LevelFilter,
}

/// Parses and validates YAML settings.
///
/// # Errors
///
/// Fails if the text is not YAML, or with all validation errors.
pub fn parse(text: &str) -> Result<Settings> {
    let settings: raw::Gateway = yaml::parse_rendered(text, SCHEMA)?;
    Settings::try_from(settings)
}

impl TryFrom<raw::Gateway> for Settings {
    type Error = Error;

    fn try_from(raw: raw::Gateway) -> Result<Self> {
        let (settings, findings) = checked(raw);
        if !findings.is_empty() {
            return Err(Code::Findings(findings).into());
        }
        Ok(settings)
    }
}

// Returns the settings, and the findings that make them invalid.
pub(crate) fn checked(raw: raw::Gateway) -> (Settings, Vec<Finding>) {
    let mut findings = Vec::new();
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    let mut address = |path: &str, text: &str| {
        text.parse().unwrap_or_else(|_| {
            findings.push(Finding::new(path, "is not an IP address and port"));
            unset
        })
    };
    let listen = Listen {
        callers: address("/callers_listen", &raw.callers_listen),
        ready: address("/ready_listen", &raw.ready_listen),
        peers: address("/peers_listen", &raw.peers_listen),
        directory: address("/directory_listen", &raw.directory_listen),
        metrics: address("/metrics_listen", &raw.metrics_listen),
    };
    let store = address("/store", &raw.store);
    let seeds = raw
        .seeds
        .iter()
        .enumerate()
        .map(|(at, text)| address(&format!("/seeds/{at}"), text))
        .collect();
    let log = raw.log.parse().unwrap_or_else(|_| {
        findings.push(Finding::new("/log", "is not a log level"));
        log::LevelFilter::Info
    });
    findings.extend(lower_bound_findings(&raw));
    for (earlier, later) in listen.conflicts() {
        if later != METRICS_PATH {
            findings.push(Finding::new(later, format!("is the address of {earlier}")));
        }
    }
    let mut time = |path: &str, time: Duration| {
        if time > MAX_TIME {
            findings.push(Finding::new(path, "is too long"));
        }
        time
    };
    let lease = time("/lease_ms", Duration::from_millis(raw.lease_ms));
    let reconcile_window = time("/reconcile_ms", Duration::from_millis(raw.reconcile_ms));
    let grace = time("/grace_s", seconds(raw.grace_s));
    let retry_window = time("/retry_window_s", seconds(raw.retry_window_s));
    let quota_window = time("/quota_window_s", seconds(raw.quota_window_s));
    let load_window = time("/load_window_s", seconds(raw.load_window_s));
    let max_directory_ttl = time("/max_ttl_s", seconds(raw.max_ttl_s));
    if raw.instance.is_empty() {
        findings.push(Finding::new("/instance", "is empty"));
    }
    let settings = Settings {
        instance: raw.instance,
        data_centre: raw.data_centre,
        listen,
        store,
        seeds,
        max_files: usize::try_from(raw.max_files).unwrap_or(usize::MAX),
        memory: usize::try_from(raw.memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX),
        cpu_share: raw.cpu_share,
        checks_fencing: raw.checks_fencing,
        lease,
        grace,
        reconcile_window,
        retry: Retry {
            ratio: raw.retry_ratio,
            window: retry_window,
            extra: raw.retry_extra,
        },
        quota: Quota {
            window: quota_window,
            overage: raw.quota_overage,
            slack: raw.quota_slack,
        },
        load: Load {
            window: load_window,
            overage: raw.load_overage,
        },
        max_directory_ttl,
        log,
    };
    (settings, findings)
}

// Negative times are reported by their own check.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

fn lower_bound_findings(raw: &raw::Gateway) -> Vec<Finding> {
    let lower_bounds = [
        ("/max_files", raw.max_files > 0),
        ("/memory_mb", raw.memory_mb >= MIN_MEMORY_MB),
        ("/cpu_share", raw.cpu_share > 0.0),
        ("/lease_ms", raw.lease_ms > 0),
        ("/retry_ratio", raw.retry_ratio >= 0.0),
        ("/grace_s", raw.grace_s > 0.0),
        ("/retry_window_s", raw.retry_window_s > 0.0),
        ("/retry_extra", raw.retry_extra >= 0.0),
        ("/quota_window_s", raw.quota_window_s > 0.0),
        ("/quota_overage", raw.quota_overage >= 0.0),
        ("/quota_slack", raw.quota_slack >= 0.0),
        ("/load_window_s", raw.load_window_s > 0.0),
        ("/load_overage", raw.load_overage > 0.0),
        ("/max_ttl_s", raw.max_ttl_s >= 0.0),
    ];
    lower_bounds
        .into_iter()
        .filter(|(_, is_valid)| !is_valid)
        .map(|(path, _)| Finding::new(path, "is too small"))
        .collect()
}
