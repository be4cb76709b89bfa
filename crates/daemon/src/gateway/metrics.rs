//! Counters and histograms of a gateway.

use std::time::Duration;

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.32, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// One label of a counter.
type Labels = [(&'static str, String); 1];

/// Counters and histograms of a gateway.
#[derive(Clone, Debug)]
pub(super) struct GatewayMetrics {
    registry: Metrics,
    requests: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
    retries: Counter,
    resumes: Counter,
    cancelled: Counter,
    first_token: Histogram,
    batch_items: Family<Labels, Counter>,
    batch_preempted: Counter,
}

impl GatewayMetrics {
    pub(super) fn new(registry: Metrics) -> Self {
        let requests = registry.register(
            "gateway_requests",
            "Online requests by how they ended",
            Family::default(),
        );
        let refusals = registry.register(
            "gateway_refusals",
            "Online requests refused as not run, by reason",
            Family::default(),
        );
        let batch_items = registry.register(
            "gateway_batch_items",
            "Batch items run by this gateway, by how they ended",
            Family::default(),
        );
        Self {
            requests,
            refusals,
            batch_items,
            retries: registry.counter("gateway_retries", "Online requests sent again"),
            resumes: registry.counter("gateway_resumes", "Answers taken up again where they broke"),
            cancelled: registry.counter(
                "gateway_cancelled",
                "Attempts stopped for a caller that left",
            ),
            first_token: registry.histogram(
                "gateway_first_token_seconds",
                "Time from arrival to the first token of an answer",
                &LATENCY_BOUNDS,
            ),
            batch_preempted: registry.counter(
                "gateway_batch_preempted",
                "Batch streams held back or stopped for online work",
            ),
            registry,
        }
    }

    /// Encodes the metrics of the whole process as text.
    pub(super) fn encode(&self) -> String {
        self.registry.encode()
    }

    pub(super) fn request_ended(&self, how: &str) {
        self.requests
            .get_or_create(&[("end", how.to_owned())])
            .inc();
    }

    pub(super) fn refused(&self, code: &str) {
        self.refusals
            .get_or_create(&[("reason", code.to_owned())])
            .inc();
    }

    pub(super) fn retried(&self) {
        self.retries.inc();
    }

    pub(super) fn resumed(&self) {
        self.resumes.inc();
    }

    pub(super) fn cancelled(&self) {
        self.cancelled.inc();
    }

    pub(super) fn first_token(&self, after: Duration) {
        self.first_token.observe(after.as_secs_f64());
    }

    pub(super) fn batch_item(&self, how: &str) {
        self.batch_items
            .get_or_create(&[("end", how.to_owned())])
            .inc();
    }

    pub(super) fn preempted(&self, streams: u32) {
        self.batch_preempted.inc_by(u64::from(streams));
    }
}
