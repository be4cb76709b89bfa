//! Metrics in the Prometheus text format.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};

/// Media type of the text that [`Metrics::encode`] returns.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Prefix of all metric names.
const PREFIX: &str = "molespan";

/// The metrics of one process. Clones share one registry.
///
/// All names get the prefix `molespan_`, and those of counters the suffix `_total`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix(PREFIX))),
        }
    }
}

impl Metrics {
    /// Registers a metric of any type, such as a family of counters with labels,
    /// and returns it. Clones of a metric share its values.
    pub fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.lock().register(name, help, metric.clone());
        metric
    }

    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.register(name, help, Counter::default())
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(name, help, Gauge::default())
    }

    /// Registers a histogram with the given upper bounds of its buckets.
    #[must_use]
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Histogram {
        self.register(name, help, Histogram::new(bounds.iter().copied()))
    }

    /// Registers a collector, whose metrics are read when they are encoded.
    pub fn register_collector(&self, collector: Box<dyn Collector>) {
        self.lock().register_collector(collector);
    }

    /// Encodes the metrics in the text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _written = encode(&mut text, &self.lock());
        text
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
