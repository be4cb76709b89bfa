//! Metrics of zone reachability.

use molespan_telemetry::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use super::Label;

/// Metrics of unreachable zones and slow connects.
#[derive(Clone, Debug)]
pub(crate) struct ReachMetrics {
    unreachable_zones: Gauge,
    changes: Family<Label, Counter>,
    probes: Family<Label, Counter>,
    races: Family<Label, Counter>,
}

impl ReachMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Metrics) -> Self {
        Self {
            unreachable_zones: registry.gauge(
                "gateway_zones_out_of_reach",
                "Zones whose engines this gateway cannot reach",
            ),
            changes: registry.register(
                "gateway_reach_changes",
                "Zones that went out of reach or came back",
                Family::default(),
            ),
            probes: registry.register(
                "gateway_reach_probes",
                "Connects to engines without a request, to find out whether their zone is within reach",
                Family::default(),
            ),
            races: registry.register(
                "gateway_connects_raced",
                "Slow connects beside which another engine was tried, by which was up first",
                Family::default(),
            ),
        }
    }

    /// Sets the number of unreachable zones.
    pub fn set_unreachable_zones(&self, zones: usize) {
        self.unreachable_zones.set(zones as i64);
    }

    /// Counts a zone that became unreachable or reachable again.
    pub fn count_change(&self, to: &'static str) {
        self.changes.get_or_create(&[("to", to)]).inc();
    }

    /// Counts a probe connect and whether it succeeded.
    pub fn count_probe(&self, up: bool) {
        let outcome = match up {
            true => "up",
            false => "failed",
        };
        self.probes.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Counts a race of two connects; `won` is the index of the first to connect, if any
    /// did.
    pub fn count_race(&self, won: Option<usize>) {
        let won = match won {
            Some(0) => "first",
            Some(_) => "second",
            None => "none",
        };
        self.races.get_or_create(&[("won", won)]).inc();
    }
}
