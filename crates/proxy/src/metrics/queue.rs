//! Metrics of requests that wait for an engine.

use std::time::Duration;

use molespan_routing::queue::Reason;
use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use super::{Label, WAIT_BOUNDS};

/// Metrics of the queues of all services.
#[derive(Clone, Debug)]
pub(crate) struct QueueMetrics {
    waits: Family<Label, Histogram, fn() -> Histogram>,
    refusals: Family<Label, Counter>,
    errors: Histogram,
    lengths: Family<Label, Gauge>,
}

impl QueueMetrics {
    pub fn new(registry: &Metrics) -> Self {
        let waits: Family<Label, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(|| Histogram::new(WAIT_BOUNDS));
        Self {
            waits: registry.register(
                "gateway_queue_wait_seconds",
                "Time from a request's arrival until an engine was chosen for an attempt, by how it stood to its target then",
                waits,
            ),
            refusals: registry.register(
                "gateway_queue_refusals",
                "Requests whose turn for an engine could not come, by reason",
                Family::default(),
            ),
            errors: registry.histogram(
                "gateway_queue_forecast_error_seconds",
                "How far the wait in the queue was from what was expected of it on arrival",
                &WAIT_BOUNDS,
            ),
            lengths: registry.register(
                "gateway_queue_length",
                "Requests that wait for an engine, by how they stand to their target",
                Family::default(),
            ),
        }
    }

    /// Records that an engine was chosen for a request of age `age`; `error` is the error
    /// of the forecast wait.
    pub fn observe_wait(&self, in_time: bool, age: Duration, error: Option<Duration>) {
        let waits = self.waits.get_or_create(&standing(in_time));
        waits.observe(age.as_secs_f64());
        if let Some(error) = error {
            self.errors.observe(error.as_secs_f64());
        }
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, reason: Reason) {
        let reason = match reason {
            Reason::Full => "full",
            Reason::TenantFull => "tenant_full",
            Reason::Hopeless => "hopeless",
            Reason::Waited => "waited",
        };
        self.refusals.get_or_create(&[("reason", reason)]).inc();
    }

    /// Sets the number of waiting requests and how many of them can still be in time.
    pub fn set_lengths(&self, waiting: usize, in_time: usize) {
        for (standing, count) in [
            (standing(true), in_time),
            (standing(false), waiting.saturating_sub(in_time)),
        ] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.lengths.get_or_create(&standing).set(count);
        }
    }
}

fn standing(in_time: bool) -> Label {
    let standing = if in_time { "in_time" } else { "late" };
    [("standing", standing)]
}
