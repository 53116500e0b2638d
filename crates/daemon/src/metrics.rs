//! Metrics of the instance, in the Prometheus text format.

use almondbank_wire::rank::Rank;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::Result;
use crate::error::Code;

/// Upper bounds of the histogram's buckets, in seconds.
const SECONDS_BOUNDS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.058, 0.1, 0.25, 0.5, 1.1, 2.5, 10.0, 60.0, 300.0,
];

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    first_token: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Code::Metrics(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("almondbank");
        Ok(Self {
            registry,
            requests: meter
                .u64_counter("almondbank_requests")
                .with_description("Requests accepted from callers, by rank.")
                .build(),
            refusals: meter
                .u64_counter("almondbank_refusals")
                .with_description("Requests that ended in a problem, by code.")
                .build(),
            retries: meter
                .u64_counter("almondbank_retries")
                .with_description("Attempts after the first.")
                .build(),
            orders: meter
                .u64_counter("almondbank_orders")
                .with_description("Orders sent to runners, by action.")
                .build(),
            first_token: meter
                .f64_histogram("almondbank_first_token_seconds")
                .with_description("Time from a request's arrival to its first byte, by rank.")
                .with_boundaries(SECONDS_BOUNDS.to_vec())
                .build(),
            _provider: provider,
        })
    }

    pub(crate) fn request(&self, rank: Rank) {
        self.requests.add(1, &[rank_label(rank)]);
    }

    pub(crate) fn refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    pub(crate) fn retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn order(&self, action: &str) {
        self.orders
            .add(1, &[KeyValue::new("action", action.to_owned())]);
    }

    pub(crate) fn first_token(&self, rank: Rank, seconds: f64) {
        self.first_token.record(seconds, &[rank_label(rank)]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

fn rank_label(rank: Rank) -> KeyValue {
    KeyValue::new("rank", i64::from(rank.number()))
}
