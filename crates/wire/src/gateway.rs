//! Checked settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Code;
use crate::generated::gateway as raw;
use crate::{Error, Finding, Result, id, yaml};

/// The JSON Schema of the settings.
pub const SCHEMA: &str = include_str!("../../../schema/gateway.json");

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness check.
    pub ready: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Limit of retries over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Retries for each request.
    pub ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Retries in a window beside the ratio.
    pub extra: f64,
}

/// Limit of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Window over which loads are counted.
    pub window: Duration,
    /// Factor on the store's rate that a window may reach.
    pub overage: f64,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Peer addresses to try while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// File descriptors that the process may use.
    pub max_files: usize,
    /// Part of a processor core that the process may use.
    pub cpu_share: f64,
    /// Whether runners refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Term of the leader's lease.
    pub lease: Duration,
    /// Time from the signal to terminate to the forced end.
    pub grace: Duration,
    /// Time after an outage of the store within which live runners register again.
    pub reconcile: Duration,
    /// Limit of retries.
    pub retry: Retry,
    /// Limit of loads from the weight store.
    pub load: Load,
    /// Longest time that callers may keep a list of addresses.
    pub max_ttl: Duration,
    /// Log level.
    pub log: log::LevelFilter,
}

/// Parses and checks settings written in YAML.
///
/// # Errors
///
/// Fails if the text is not YAML, or with every mistake in it.
pub fn parse(text: &str) -> Result<Settings> {
    let settings: raw::Gateway = yaml::parse(text, SCHEMA)?;
    Settings::try_from(settings)
}

impl TryFrom<raw::Gateway> for Settings {
    type Error = Error;

    fn try_from(raw: raw::Gateway) -> Result<Self> {
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
        let positive = [
            ("/max_files", raw.max_files > 0),
            ("/cpu_share", raw.cpu_share > 0.0),
            ("/lease_ms", raw.lease_ms > 0),
            ("/retry_ratio", raw.retry_ratio >= 0.0),
            ("/grace_s", raw.grace_s > 0.0),
            ("/retry_window_s", raw.retry_window_s > 0.0),
            ("/retry_extra", raw.retry_extra >= 0.0),
            ("/load_window_s", raw.load_window_s > 0.0),
            ("/load_overage", raw.load_overage > 0.0),
            ("/max_ttl_s", raw.max_ttl_s > 0.0),
        ];
        for (path, valid) in positive {
            if !valid {
                findings.push(Finding::new(path, "is too small"));
            }
        }
        if raw.instance.is_empty() {
            findings.push(Finding::new("/instance", "is empty"));
        }
        if !findings.is_empty() {
            return Err(Code::Findings(findings).into());
        }
        Ok(Self {
            instance: raw.instance,
            data_centre: raw.data_centre,
            listen,
            store,
            seeds,
            max_files: usize::try_from(raw.max_files).unwrap_or(usize::MAX),
            cpu_share: raw.cpu_share,
            checks_fencing: raw.checks_fencing,
            lease: Duration::from_millis(raw.lease_ms),
            grace: Duration::from_secs_f64(raw.grace_s),
            reconcile: Duration::from_millis(raw.reconcile_ms),
            retry: Retry {
                ratio: raw.retry_ratio,
                window: Duration::from_secs_f64(raw.retry_window_s),
                extra: raw.retry_extra,
            },
            load: Load {
                window: Duration::from_secs_f64(raw.load_window_s),
                overage: raw.load_overage,
            },
            max_ttl: Duration::from_secs_f64(raw.max_ttl_s),
            log,
        })
    }
}
