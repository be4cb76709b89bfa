//! Metrics of a gateway for operators, in the Prometheus text format.
//!
//! Each decision-making part of the gateway has its own group.

mod batch;
mod pace;
mod queue;
mod reach;
mod room;
mod streams;

use std::time::Duration;

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

use self::batch::BatchMetrics;
use self::pace::PaceMetrics;
use self::queue::QueueMetrics;
use self::reach::ReachMetrics;
use self::room::CapacityMetrics;
pub(crate) use self::streams::Resumed;
use self::streams::StreamMetrics;
use crate::dialect::Refusal;

/// Upper bounds of the wait histograms' buckets, in seconds.
const WAIT_BOUNDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0];

/// One label of a counter.
type Label = [(&'static str, &'static str); 1];

/// The service of a counter.
type ServiceLabel = [(&'static str, String); 1];

/// Metrics of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    registry: Metrics,
    refusals: Family<Label, Counter>,
    waits: Histogram,
    barred: Family<ServiceLabel, Counter>,
    held_back: Counter,
    unusable_engines: Counter,
    /// Capacity of engines.
    pub capacity: CapacityMetrics,
    /// Batch work.
    pub batch: BatchMetrics,
    /// Work times at engines.
    pub pace: PaceMetrics,
    /// Reachability of zones.
    pub reach: ReachMetrics,
    /// Requests that wait for an engine.
    pub queue: QueueMetrics,
    /// Streams that callers take up.
    pub streams: StreamMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let registry = Metrics::default();
        let refusals = registry.register(
            "gateway_refusals",
            "Online requests that the gateway itself answered, by reason",
            Family::default(),
        );
        Self {
            refusals,
            batch: BatchMetrics::new(&registry),
            pace: PaceMetrics::new(&registry),
            reach: ReachMetrics::new(&registry),
            queue: QueueMetrics::new(&registry),
            streams: StreamMetrics::new(&registry),
            waits: registry.histogram(
                "gateway_engine_wait_seconds",
                "Time from a request's arrival until an engine was chosen for its first attempt",
                &WAIT_BOUNDS,
            ),
            barred: registry.register(
                "gateway_barred_requests",
                "Online requests refused since they or parts of their prompts are barred, by service",
                Family::default(),
            ),
            held_back: registry.register(
                "gateway_batch_held_back",
                "Times that batch items were held back since the stores were silent",
                Counter::default(),
            ),
            unusable_engines: registry.register(
                "gateway_unusable_engines",
                "Engines that were told without a usable address",
                Counter::default(),
            ),
            capacity: CapacityMetrics::new(&registry),
            registry,
        }
    }
}

impl GatewayMetrics {
    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }

    /// Counts a request that the gateway answered itself.
    pub fn count_refusal(&self, refusal: Refusal) {
        self.refusals
            .get_or_create(&[("reason", reason(refusal))])
            .inc();
    }

    /// Counts a request of a service that was refused since it is barred.
    pub fn count_barred(&self, service: &str) {
        let label = [("service", service.to_owned())];
        self.barred.get_or_create(&label).inc();
    }

    /// Counts that batch items were held back because the stores were silent.
    pub fn batch_held_back(&self) {
        self.held_back.inc();
    }

    /// Counts a reported engine without a usable address.
    pub fn unusable_engine(&self) {
        self.unusable_engines.inc();
    }

    /// Records the wait until an engine was chosen for a request's first attempt.
    pub fn observe_engine_wait(&self, wait: Duration) {
        self.waits.observe(wait.as_secs_f64());
    }
}

fn reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NoConfiguration { .. } => "no_configuration",
        Refusal::NoRoute => "no_route",
        Refusal::UnknownKey => "unknown_key",
        Refusal::OverLimit { .. } => "over_limit",
        Refusal::Busy { .. } => "busy",
        Refusal::StreamUnknown { .. } => "stream_unknown",
        Refusal::Barred { .. } => "barred",
        Refusal::TooLate => "too_late",
        Refusal::TimedOut => "timed_out",
        Refusal::AnswerLost => "answer_lost",
        Refusal::Malformed => "malformed",
        Refusal::HeadTooLong => "head_too_long",
        Refusal::BodyTooLong => "body_too_long",
        Refusal::Slow => "slow",
    }
}
