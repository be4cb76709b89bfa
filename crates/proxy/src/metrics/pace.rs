//! Metrics of work times at engines.

use molespan_routing::dispatch::{LoadFault, PaceFigures};
use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use super::Label;

/// Work time metrics; a pace is an engine's work time relative to the usual one.
#[derive(Clone, Debug)]
pub(crate) struct PaceMetrics {
    median: Gauge,
    slowest: Gauge,
    slow: Gauge,
    faults: Family<Label, Counter>,
}

impl PaceMetrics {
    pub fn new(registry: &Metrics) -> Self {
        Self {
            median: registry.gauge(
                "gateway_engine_pace_median_percent",
                "Time that work takes at the engine in the middle, of what is usual",
            ),
            slowest: registry.gauge(
                "gateway_engine_pace_slowest_percent",
                "Time that work takes at the slowest engine, of what is usual",
            ),
            slow: registry.gauge(
                "gateway_engines_slow",
                "Engines that get less work since work takes several times as long there",
            ),
            faults: registry.register(
                "gateway_engine_load_faults",
                "Load reports of engines that make no sense, by what is wrong",
                Family::default(),
            ),
        }
    }

    /// Sets the current paces of all engines.
    pub fn set(&self, figures: PaceFigures) {
        let percent = |pace: f64| (pace * 100.0).round() as i64;
        self.median.set(percent(figures.median));
        self.slowest.set(percent(figures.slowest));
        self.slow.set(i64::from(figures.slow));
    }

    /// Counts an implausible load report.
    pub fn fault(&self, fault: LoadFault) {
        let part = match fault {
            LoadFault::Load => "load",
            LoadFault::Pace => "pace",
        };
        self.faults.get_or_create(&[("part", part)]).inc();
    }
}
