//! Requests that engines had no room for.

use std::time::Duration;

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

use super::WAIT_BOUNDS;

/// The service of a counter.
type ServiceLabel = [(&'static str, String); 1];

/// What is counted of room at engines.
#[derive(Clone, Debug)]
pub(crate) struct RoomMetrics {
    turned_away: Family<ServiceLabel, Counter>,
    waits: Histogram,
}

impl RoomMetrics {
    pub fn new(registry: &Metrics) -> Self {
        Self {
            turned_away: registry.register(
                "gateway_turned_away",
                "Attempts of online requests that an engine had no room for, by service",
                Family::default(),
            ),
            waits: registry.histogram(
                "gateway_room_wait_seconds",
                "Time from the arrival of a request that was turned away until an engine took it",
                &WAIT_BOUNDS,
            ),
        }
    }

    /// An engine of the service had no room for a request.
    pub fn turned_away(&self, service: &str) {
        let label = [("service", service.to_owned())];
        self.turned_away.get_or_create(&label).inc();
    }

    /// An engine answered a request that was turned away before, so long after it came.
    pub fn waited(&self, wait: Duration) {
        self.waits.observe(wait.as_secs_f64());
    }
}
