//! Room at engines: who wants it, which part of it is this gateway's, and who found none.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use molespan_routing::dispatch::ServiceDemand;
use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use super::WAIT_BOUNDS;

/// Seconds that told requests came in.
const ASKED_SECONDS: f64 = 1_000.0;

/// The service of a counter.
type ServiceLabel = [(&'static str, String); 1];
/// The service of a gauge, and what it tells of it.
type DemandLabels = [(&'static str, String); 2];
/// A gauge of a part.
type Level = Gauge<f64, AtomicU64>;

/// What is counted of room at engines.
#[derive(Clone, Debug)]
pub(crate) struct RoomMetrics {
    turned_away: Family<ServiceLabel, Counter>,
    waits: Histogram,
    demand: Family<DemandLabels, Level>,
    parts: Family<ServiceLabel, Level>,
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
            demand: registry.register(
                "gateway_demand",
                "Online requests of this gateway for a service: waiting, and asked a second",
                Family::default(),
            ),
            parts: registry.register(
                "gateway_room_part",
                "Part of the room at a service's engines that is this gateway's, by demand",
                Family::default(),
            ),
        }
    }

    /// This gateway tells its demand for a service, and has such a part of the room; `None`
    /// while parts go by what runs.
    pub fn tells(&self, demand: &ServiceDemand, part: Option<f64>) {
        let of = |what: &str| {
            let labels = [
                ("service", demand.service.clone()),
                ("what", what.to_owned()),
            ];
            self.demand.get_or_create_owned(&labels)
        };
        of("waiting").set(f64::from(demand.waiting));
        of("asked").set(demand.asked as f64 / ASKED_SECONDS);
        let label = [("service", demand.service.clone())];
        match part {
            Some(part) => {
                self.parts.get_or_create(&label).set(part);
            }
            None => {
                self.parts.remove(&label);
            }
        }
    }

    /// Other services are served from now on.
    pub fn forget_services(&self) {
        self.demand.clear();
        self.parts.clear();
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
