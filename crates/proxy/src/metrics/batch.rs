//! Batch work beside online work.

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Figures of batch work.
#[derive(Clone, Debug)]
pub(crate) struct BatchMetrics {
    cuts: Counter,
    kept: Gauge,
}

impl BatchMetrics {
    pub fn new(registry: &Metrics) -> Self {
        Self {
            cuts: registry.counter(
                "gateway_batch_runs_cut",
                "Runs of batch items here that gave way to online requests",
            ),
            kept: registry.gauge(
                "gateway_batch_slots_kept",
                "Slots that batch work leaves free for online requests that come next",
            ),
        }
    }

    /// Runs gave way.
    pub fn cut(&self, runs: u64) {
        self.cuts.inc_by(runs);
    }

    /// Slots that are left free now.
    pub fn kept(&self, slots: f64) {
        self.kept.set(slots.round() as i64);
    }
}
