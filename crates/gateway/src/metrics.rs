//! Counters and latency histograms in the Prometheus format.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use parking_lot::Mutex;
use prometheus::{Registry, TextEncoder};

use crate::error::Code;
use crate::memory::resident::Resident;
use crate::memory::{Budget, machine};
use crate::prediction::{Outcome, Prediction};
use crate::{Result, id, log_status};

const SECONDS_BOUNDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Tenants that are named in the metrics.
const MAX_TENANTS: usize = 64;
/// Label of all others.
const OTHER_TENANTS: &str = "other";

/// Metrics of one instance. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    responses: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    connections: Counter<u64>,
    handovers: Counter<u64>,
    notices: Counter<u64>,
    links: Counter<u64>,
    task_restarts: Counter<u64>,
    fair_shares: Counter<u64>,
    fetches: Counter<u64>,
    environments: Counter<u64>,
    quota_requests: Counter<u64>,
    quota_tokens: Counter<u64>,
    quota_asks: Counter<u64>,
    /// Tenants with series of their own.
    tenants: Arc<Mutex<BTreeSet<id::Tenant>>>,
    prompt_tokens: Counter<u64>,
    predictions: Counter<u64>,
    latency: Histogram<f64>,
    memory: Gauge<u64>,
    memory_ended: Counter<u64>,
    resident: Gauge<u64>,
    lag: Gauge<f64>,
    /// Longest one since the metrics were last read.
    longest_lag: Arc<Mutex<Duration>>,
    stalls: Counter<u64>,
    tcp_pages: Gauge<u64>,
    provider: SdkMeterProvider,
}

fn provider(registry: &Registry) -> Result<SdkMeterProvider> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|error| Code::Malformed(error.to_string()))?;
    Ok(SdkMeterProvider::builder().with_reader(exporter).build())
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let builder = meter.u64_counter(name);
    builder.with_description(description).build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    let builder = meter.u64_gauge(name);
    builder.with_description(description).build()
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let provider = provider(&registry)?;
        let meter = provider.meter("almondbank");
        let counter = |name, description| counter(&meter, name, description);
        let gauge = |name, description| gauge(&meter, name, description);
        Ok(Self {
            responses: counter(
                "almondbank_answers",
                "Answers of runners passed on, by route.",
            ),
            refusals: counter("almondbank_refusals", "Requests refused, by reason."),
            retries: counter("almondbank_retries", "Requests sent again, by service."),
            orders: counter(
                "almondbank_orders",
                "Orders to runners, by action and receipt.",
            ),
            connections: counter("almondbank_connections", "Connections made to runners."),
            handovers: counter(
                "almondbank_handovers",
                "Requests offered to other instances, by outcome.",
            ),
            notices: counter(
                "almondbank_notices",
                "Changes of what runners say of themselves, by kind.",
            ),
            fair_shares: counter(
                "almondbank_fair_shares",
                "Requests that waited or were refused as their tenant had used up its share.",
            ),
            links: counter("almondbank_links", "Links opened to other instances."),
            task_restarts: counter(
                "almondbank_task_restarts",
                "Restarts of tasks that have panicked, by task.",
            ),
            fetches: counter(
                "almondbank_fetches",
                "Requests to other instances for newer versions.",
            ),
            environments: counter(
                "almondbank_environments_received",
                "Environments received from other instances, by whether they were newer.",
            ),
            quota_requests: counter(
                "almondbank_quota_requests",
                "Requests of tenants with a quota, by tenant and decision.",
            ),
            quota_tokens: counter(
                "almondbank_quota_tokens",
                "Units of their quotas that tenants have used, by tenant.",
            ),
            quota_asks: counter(
                "almondbank_quota_asks",
                "Requests to other instances for units of quotas, by whether the owner granted in time.",
            ),
            tenants: Arc::default(),
            memory: gauge(
                "almondbank_memory_held_bytes",
                "Memory held for callers and runners, by part.",
            ),
            resident: gauge(
                "almondbank_resident_bytes",
                "Resident memory of the process: now, and the peak.",
            ),
            lag: meter
                .f64_gauge("almondbank_lag_seconds")
                .with_description(
                    "Longest time by which a task ran late since the metrics were last read.",
                )
                .build(),
            longest_lag: Arc::default(),
            stalls: counter(
                "almondbank_stalls",
                "Times for which no task ran that was due, by cause.",
            ),
            tcp_pages: gauge(
                "almondbank_machine_tcp_pages",
                "Pages of the machine that buffers of TCP connections take.",
            ),
            memory_ended: counter(
                "almondbank_memory_ended",
                "Connections and bodies that were evicted or refused, by kind.",
            ),
            prompt_tokens: counter(
                "almondbank_prompt_tokens",
                "Prompt tokens of streams that have begun, by whether they were expected to be cached.",
            ),
            predictions: counter(
                "almondbank_prefix_predictions",
                "Streams with a prefix that was expected to be cached, by whether it was.",
            ),
            latency: meter
                .f64_histogram("almondbank_latency_seconds")
                .with_description("Time to the first byte of an answer, by route.")
                .with_boundaries(SECONDS_BOUNDS.to_vec())
                .build(),
            registry,
            provider,
        })
    }

    /// Exports what `status` returns at each scrape.
    pub fn export_log_status(
        &self,
        status: impl Fn() -> log_status::Status + Clone + Send + Sync + 'static,
    ) {
        let meter = self.provider.meter("almondbank");
        let lost = status.clone();
        meter
            .u64_observable_counter("almondbank_log_lost_lines")
            .with_description("Lines of the log that were dropped.")
            .with_callback(move |observer| observer.observe(lost().lost_lines, &[]))
            .build();
        let waiting = status.clone();
        meter
            .u64_observable_gauge("almondbank_log_waiting_bytes")
            .with_description("Bytes of lines of the log that are not written yet.")
            .with_callback(move |observer| observer.observe(waiting().waiting_bytes, &[]))
            .build();
        meter
            .u64_observable_counter("almondbank_log_failures")
            .with_description("Failures to write the log, by error.")
            .with_callback(move |observer| {
                for (error, count) in status().failures {
                    observer.observe(count, &[KeyValue::new("error", error)]);
                }
            })
            .build();
    }

    /// Counts a runner's response and records its latency.
    pub fn response(&self, route: &str, latency: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.responses.add(1, &labels);
        self.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Counts a refused request.
    pub fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry of a request.
    pub fn retry(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.retries.add(1, &labels);
    }

    /// Counts an order to a runner by its receipt.
    pub fn order(&self, action: String, receipt: String) {
        let labels = [
            KeyValue::new("action", action),
            KeyValue::new("receipt", receipt),
        ];
        self.orders.add(1, &labels);
    }

    /// Counts a connection that was opened to a runner.
    pub fn connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a request that was offered to another instance.
    pub fn handover(&self, outcome: &'static str) {
        self.handovers.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a change of what a runner says of itself.
    pub fn notice(&self, kind: &'static str) {
        self.notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that waits or is refused as its tenant has used up its share.
    pub fn fair_share(&self, verdict: &'static str) {
        self.fair_shares
            .add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a link that was opened to another instance.
    pub fn link(&self) {
        self.links.add(1, &[]);
    }

    /// Counts the restart of a task that has panicked.
    pub fn task_restart(&self, task: &'static str) {
        self.task_restarts.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts a request to another instance for newer versions.
    pub fn fetch(&self) {
        self.fetches.add(1, &[]);
    }

    /// Counts an environment that another instance sent.
    pub fn environment_received(&self, is_newer: bool) {
        self.environments
            .add(1, &[KeyValue::new("newer", is_newer)]);
    }

    /// Counts a request that the quota of its tenant admits, and its tokens.
    pub fn quota_admitted(&self, tenant: &str, tokens: u64, is_local: bool) {
        let label = self.tenant_label(tenant);
        let decision = if is_local {
            "admitted_by_share"
        } else {
            "admitted"
        };
        let decision = KeyValue::new("decision", decision);
        self.quota_requests.add(1, &[label.clone(), decision]);
        self.quota_tokens.add(tokens, &[label]);
    }

    /// Counts a request that the quota of its tenant does not admit.
    pub fn quota_refused(&self, tenant: &str, is_local: bool) {
        let decision = if is_local {
            "refused_by_share"
        } else {
            "refused"
        };
        let decision = KeyValue::new("decision", decision);
        let labels = [self.tenant_label(tenant), decision];
        self.quota_requests.add(1, &labels);
    }

    /// Counts an ask to another instance for units of a quota.
    pub fn quota_ask(&self, is_granted: bool) {
        let label = KeyValue::new("answered", is_granted);
        self.quota_asks.add(1, &[label]);
    }

    // The first tenants have series of their own, so that their number is bounded.
    fn tenant_label(&self, tenant: &str) -> KeyValue {
        let mut tenants = self.tenants.lock();
        let is_named = tenants.contains(tenant)
            || (tenants.len() < MAX_TENANTS && tenants.insert(tenant.to_owned()));
        let name = if is_named { tenant } else { OTHER_TENANTS };
        KeyValue::new("tenant", name.to_owned())
    }

    /// Records by how much a task ran late.
    pub fn lag(&self, lag: Duration) {
        let mut longest = self.longest_lag.lock();
        *longest = lag.max(*longest);
    }

    /// Counts a time for which no task ran that was due.
    pub fn stall(&self, cause: &'static str) {
        self.stalls.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts connections or bodies that were evicted or refused.
    pub fn memory_ended(&self, kind: &'static str, count: u64) {
        self.memory_ended.add(count, &[KeyValue::new("kind", kind)]);
    }

    /// Counts the prompt of a stream that has begun, and the outcome of the prediction of what
    /// was cached of it.
    pub fn prefix(&self, prefill_tokens: u64, prediction: &Prediction, outcome: Outcome) {
        let cached = |is_cached: bool| [KeyValue::new("cached", is_cached)];
        self.prompt_tokens.add(prefill_tokens, &cached(false));
        self.prompt_tokens
            .add(prediction.cached_tokens, &cached(true));
        if outcome != Outcome::None {
            let outcome: &'static str = outcome.into();
            self.predictions
                .add(1, &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Encodes all metrics in the Prometheus text format, with what `memory` and the process hold
    /// now.
    #[must_use]
    pub fn page(&self, memory: &Budget) -> String {
        for (part, bytes) in memory.held() {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.memory.record(bytes, &[KeyValue::new("part", part)]);
        }
        if let Some(resident) = Resident::read() {
            for (kind, bytes) in [("now", resident.now), ("peak", resident.peak)] {
                self.resident.record(bytes, &[KeyValue::new("kind", kind)]);
            }
        }
        let lag = std::mem::take(&mut *self.longest_lag.lock());
        self.lag.record(lag.as_secs_f64(), &[]);
        if let Some(pages) = machine::tcp_pages() {
            self.tcp_pages.record(pages, &[]);
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .inspect_err(|error| log::warn!(error:% = error; "failed to encode the metrics"))
            .unwrap_or_default()
    }
}
