//! Metrics of the replica role.

use molespan_replica::ReplicaStatus;
use molespan_telemetry::Metrics;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of the replica role.
#[derive(Debug)]
pub(super) struct ReplicaMetrics {
    takes_part: Gauge,
    disk_full: Gauge,
    groups_led: Gauge,
    groups_voting: Gauge,
    log_bytes: Gauge,
    log_syncs: Gauge,
    entries_applied: Gauge,
    payload_bytes: Gauge,
}

impl ReplicaMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        let gauge = |name: &str, help: &str| metrics.gauge(name, help);
        Self {
            takes_part: gauge(
                "replica_takes_part",
                "Whether the replica takes part (0 or 1)",
            ),
            disk_full: gauge("replica_disk_full", "Whether its disk is full (0 or 1)"),
            groups_led: gauge("replica_groups_led", "Groups that the replica leads"),
            groups_voting: gauge("replica_groups_voting", "Groups in which the replica votes"),
            log_bytes: gauge("replica_log_bytes", "Bytes in the write-ahead log"),
            log_syncs: gauge(
                "replica_log_syncs",
                "Syncs of the write-ahead log since the start",
            ),
            entries_applied: gauge(
                "replica_entries_applied",
                "Last applied entry, over all groups",
            ),
            payload_bytes: gauge("replica_payload_bytes", "Bytes in the payload logs"),
        }
    }

    /// Sets the gauges from `status`.
    pub fn update(&self, status: &ReplicaStatus) {
        let applied: u64 = status.groups.iter().map(|group| group.applied).sum();
        let payload_bytes: u64 = status.groups.iter().map(|group| group.payload_bytes).sum();
        self.takes_part.set(i64::from(status.takes_part));
        self.disk_full.set(i64::from(status.disk_full));
        self.groups_led.set(status.leads().count() as i64);
        self.groups_voting.set(status.votes_in().count() as i64);
        self.log_bytes.set(status.log_bytes as i64);
        self.log_syncs.set(status.log_syncs as i64);
        self.entries_applied.set(applied as i64);
        self.payload_bytes.set(payload_bytes as i64);
    }
}
