//! Health tracking of one back end: consecutive failures, latency and probes.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::{BackendId, ServiceName, Timestamp};

use super::DirectorySettings;
use super::record::{BackendState, Entry};

/// Weight of the newest sample in the latency EWMA.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Minimum number of latency samples before a back end can be an outlier.
const MIN_LATENCY_SAMPLES: u32 = 20;
/// Minimum number of back ends in a service for its median to be meaningful.
const MIN_MEASURED_PEERS: usize = 3;
/// Number of doublings after which the probe delay stops growing.
const MAX_DOUBLINGS: u32 = 16;
/// Time after which an unanswered probe no longer delays the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Health of one incarnation of a back end.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Consecutive failures since the last success.
    failures: u32,
    /// Consecutive successes since the last failure.
    pub(super) successes: u32,
    /// Number of ejections that have not been forgotten yet.
    ejections: u32,
    /// EWMA of the time to the first byte, in microseconds.
    latency_micros: f64,
    /// Number of samples in the EWMA.
    latency_samples: u32,
    /// When the next probe is due.
    next_probe: Timestamp,
    /// When the outstanding probe was sent.
    probing_since: Option<Timestamp>,
    /// Whether this incarnation was ever seen leaving.
    pub(super) was_leaving: bool,
}

impl Health {
    pub(super) fn record_success(&mut self, latency: Duration) {
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        let micros = latency.as_micros() as f64;
        if self.latency_samples == 0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_EWMA_WEIGHT * (micros - self.latency_micros);
        self.latency_samples = self.latency_samples.saturating_add(1);
    }

    pub(super) fn record_failure(&mut self) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether a failure must eject the back end. One that was ejected recently is
    /// ejected again by its next failure; the growing probe delay limits flapping.
    pub(super) fn must_eject(&self, settings: &DirectorySettings) -> bool {
        let on_trial = self.ejections > 0;
        on_trial || self.failures >= settings.failures_to_eject
    }

    /// Schedules the next probe with an exponentially growing delay.
    pub(super) fn back_off(&mut self, now: Timestamp, settings: &DirectorySettings) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let delay = settings.first_probe_delay * (1 << doublings);
        self.next_probe = now + delay.min(settings.longest_probe_delay);
        self.ejections = self.ejections.saturating_add(1);
        self.latency_samples = 0;
    }

    pub(super) fn forget_ejections(&mut self) {
        self.ejections = 0;
    }

    pub(super) fn probe_ended(&mut self) {
        self.probing_since = None;
    }

    /// Whether a probe should be sent now. If so, records it as sent.
    pub(super) fn probe_due(
        &mut self,
        now: Timestamp,
        state: BackendState,
        settings: &DirectorySettings,
    ) -> bool {
        let needs_probe = matches!(
            state,
            BackendState::Unknown | BackendState::Suspect | BackendState::Ejected
        );
        let outstanding = self
            .probing_since
            .is_some_and(|since| now.since(since) < PROBE_TIMEOUT);
        if !needs_probe || outstanding || now < self.next_probe {
            return false;
        }
        self.probing_since = Some(now);
        if state != BackendState::Ejected {
            self.next_probe = now + settings.discovery_interval;
        }
        true
    }
}

/// Returns the healthy back ends that are latency outliers in their service, slowest
/// first, up to the maximum share of back ends of the service.
pub(super) fn find_outliers(
    entries: &BTreeMap<BackendId, Entry>,
    settings: &DirectorySettings,
) -> Vec<BackendId> {
    let mut by_service: BTreeMap<&ServiceName, Vec<&Entry>> = BTreeMap::new();
    for entry in entries.values() {
        by_service
            .entry(&entry.backend.service)
            .or_default()
            .push(entry);
    }
    by_service
        .into_values()
        .flat_map(|peers| outliers_of_service(&peers, settings))
        .collect()
}

fn outliers_of_service(peers: &[&Entry], settings: &DirectorySettings) -> Vec<BackendId> {
    let mut measured: Vec<&&Entry> = peers
        .iter()
        .filter(|entry| entry.backend.state == BackendState::Healthy)
        .filter(|entry| entry.health.latency_samples >= MIN_LATENCY_SAMPLES)
        .collect();
    if measured.len() < MIN_MEASURED_PEERS {
        return Vec::new();
    }
    measured.sort_by(|a, b| {
        let (a, b) = (a.health.latency_micros, b.health.latency_micros);
        b.total_cmp(&a)
    });
    let median = measured[measured.len() / 2].health.latency_micros;
    let ejected = peers
        .iter()
        .filter(|entry| entry.backend.state == BackendState::Ejected)
        .count();
    let allowed = (peers.len() as f64 * settings.largest_outlier_share) as usize;
    measured
        .into_iter()
        .take_while(|entry| entry.health.latency_micros > median * settings.outlier_factor)
        .take(allowed.saturating_sub(ejected))
        .map(|entry| entry.backend.id)
        .collect()
}
