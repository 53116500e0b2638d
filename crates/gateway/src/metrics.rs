//! Counters and latency histograms in the Prometheus format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::Result;
use crate::error::Code;

const SECONDS_BOUNDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
];

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
    fair_shares: Counter<u64>,
    fetches: Counter<u64>,
    environments: Counter<u64>,
    latency: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Code::Malformed(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("almondbank");
        let counter = |name, description| {
            let builder = meter.u64_counter(name);
            builder.with_description(description).build()
        };
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
            fetches: counter(
                "almondbank_fetches",
                "Requests to other instances for newer versions.",
            ),
            environments: counter(
                "almondbank_environments_received",
                "Environments received from other instances, by whether they were newer.",
            ),
            latency: meter
                .f64_histogram("almondbank_latency_seconds")
                .with_description("Time to the first byte of an answer, by route.")
                .with_boundaries(SECONDS_BOUNDS.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
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

    /// Counts a request to another instance for newer versions.
    pub fn fetch(&self) {
        self.fetches.add(1, &[]);
    }

    /// Counts an environment that another instance sent.
    pub fn environment_received(&self, is_newer: bool) {
        self.environments
            .add(1, &[KeyValue::new("newer", is_newer)]);
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn page(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .inspect_err(|error| log::warn!(error:% = error; "failed to encode the metrics"))
            .unwrap_or_default()
    }
}
