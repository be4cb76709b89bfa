//! Metrics of engine capacity: the demand for it, this gateway's share, and rejected
//! attempts.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use molespan_routing::dispatch::ServiceDemand;
use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use super::WAIT_BOUNDS;

/// Period over which [`ServiceDemand`] counts requests, in seconds.
const DEMAND_PERIOD_SECONDS: f64 = 1_000.0;

/// Label with the service.
type ServiceLabel = [(&'static str, String); 1];
/// Labels with the service and the kind of demand.
type DemandLabels = [(&'static str, String); 2];
/// A gauge with a fractional value.
type FloatGauge = Gauge<f64, AtomicU64>;

/// Capacity metrics.
#[derive(Clone, Debug)]
pub(crate) struct CapacityMetrics {
    rejections: Family<ServiceLabel, Counter>,
    waits: Histogram,
    demand: Family<DemandLabels, FloatGauge>,
    shares: Family<ServiceLabel, FloatGauge>,
}

impl CapacityMetrics {
    pub fn new(registry: &Metrics) -> Self {
        Self {
            rejections: registry.register(
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
            shares: registry.register(
                "gateway_room_part",
                "Part of the room at a service's engines that is this gateway's, by demand",
                Family::default(),
            ),
        }
    }

    /// Sets the demand that this gateway reports for a service, and its share of the
    /// capacity; `None` while shares are not by demand.
    pub fn set_demand(&self, demand: &ServiceDemand, share: Option<f64>) {
        let of = |what: &str| {
            let labels = [
                ("service", demand.service.clone()),
                ("what", what.to_owned()),
            ];
            self.demand.get_or_create_owned(&labels)
        };
        of("waiting").set(f64::from(demand.waiting));
        of("asked").set(demand.asked as f64 / DEMAND_PERIOD_SECONDS);
        let label = [("service", demand.service.clone())];
        match share {
            Some(share) => {
                self.shares.get_or_create(&label).set(share);
            }
            None => {
                self.shares.remove(&label);
            }
        }
    }

    /// Removes the metrics of services that may no longer be served.
    pub fn clear_services(&self) {
        self.demand.clear();
        self.shares.clear();
    }

    /// Counts an attempt that an engine of the service had no capacity for.
    pub fn count_rejection(&self, service: &str) {
        let label = [("service", service.to_owned())];
        self.rejections.get_or_create(&label).inc();
    }

    /// Records the time from arrival until an engine accepted a request that had been
    /// rejected before.
    pub fn observe_capacity_wait(&self, wait: Duration) {
        self.waits.observe(wait.as_secs_f64());
    }
}
