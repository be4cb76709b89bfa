//! Metrics of batch work that runs beside online work.

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Batch metrics.
#[derive(Clone, Debug)]
pub(crate) struct BatchMetrics {
    preempted: Counter,
    reserved_slots: Gauge,
}

impl BatchMetrics {
    pub fn new(registry: &Metrics) -> Self {
        Self {
            preempted: registry.counter(
                "gateway_batch_runs_cut",
                "Runs of batch items here that gave way to online requests",
            ),
            reserved_slots: registry.gauge(
                "gateway_batch_slots_kept",
                "Slots that batch work leaves free for online requests that come next",
            ),
        }
    }

    /// Counts preempted runs.
    pub fn count_preempted(&self, runs: u64) {
        self.preempted.inc_by(runs);
    }

    /// Sets the number of slots that batch work leaves free.
    pub fn set_reserved_slots(&self, slots: f64) {
        self.reserved_slots.set(slots.round() as i64);
    }
}
