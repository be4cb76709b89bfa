//! Directory of back ends with one entry per back end, keyed to its incarnation.
//!
//! Three sources are merged. The platform list says which machines exist, but it may lag
//! or go back to an older revision. A report of the back end itself is newer and names
//! its incarnation. Probes and the results of requests show whether it responds.
//!
//! Invariants for each back end:
//! - its incarnation never decreases;
//! - leaving is final within an incarnation;
//! - reports of a lower incarnation have no effect.

mod health;
mod machine_list;
mod record;

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_engine_api::{EngineRole, LoadReport, MachineList};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Incarnation, ServiceName, Timestamp};

pub use record::{Backend, BackendState, ChangeReason, StateChange};

use health::Health;
use machine_list::ListHistory;
use record::Entry;

/// Settings of the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// Consecutive failures that eject a back end.
    pub failures_to_eject: u32,
    /// Consecutive successes that make a suspect back end healthy.
    pub successes_to_recover: u32,
    /// Time from an ejection to the first probe; doubled for each further probe.
    pub first_probe_delay: Duration,
    /// Maximum time between probes.
    pub longest_probe_delay: Duration,
    /// Interval between probes of a back end that has never responded.
    pub discovery_interval: Duration,
    /// Time in the healthy state after which earlier ejections are forgotten.
    pub ejection_memory: Duration,
    /// A back end is an outlier if its latency exceeds the median of its service by this
    /// factor.
    pub outlier_factor: f64,
    /// Maximum fraction of a service's back ends that may be ejected as latency outliers.
    pub largest_outlier_share: f64,
    /// Time without contact after which a back end that is missing from the list is gone.
    pub gone_after: Duration,
    /// Time for which the incarnation of a gone back end is remembered.
    pub forget_after: Duration,
    /// Time for which only lower list revisions must arrive before they are accepted.
    pub list_reset_after: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            failures_to_eject: 3,
            successes_to_recover: 2,
            first_probe_delay: Duration::from_millis(250),
            longest_probe_delay: Duration::from_secs(16),
            discovery_interval: Duration::from_millis(500),
            ejection_memory: Duration::from_secs(60),
            outlier_factor: 4.0,
            largest_outlier_share: 0.3,
            gone_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(3_600),
            list_reset_after: Duration::from_secs(60),
        }
    }
}

/// Status reported by a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// The reporting back end.
    pub backend: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether the back end was told to leave.
    pub leaving: bool,
    /// Models, adapters and role; `None` if the source does not report them.
    pub loaded: Option<Loaded>,
}

/// Models and adapters that an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Models that are ready.
    pub models: Vec<String>,
    /// Adapters that are ready.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: EngineRole,
}

impl From<&LoadReport> for BackendReport {
    fn from(report: &LoadReport) -> Self {
        Self {
            backend: report.backend,
            incarnation: report.incarnation,
            leaving: report.leaving,
            loaded: Some(Loaded {
                models: report.models.clone(),
                adapters: report.adapters.clone(),
                role: report.role,
            }),
        }
    }
}

/// Result of a probe or request, as a health signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkResult {
    /// The back end responded, after this time to the first byte.
    Answered(Duration),
    /// The back end was unreachable, closed the connection early, or failed by its own
    /// fault.
    Failed,
}

/// Input of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryInput {
    /// The platform list.
    List(MachineList),
    /// A report of the back end, received directly or through its batch owner.
    Report(BackendReport),
    /// The result of a probe requested by [`DirectoryOutput::Probe`].
    Probe {
        /// The probed back end.
        backend: BackendId,
        /// Incarnation named in the response, if any.
        incarnation: Option<Incarnation>,
        /// Result of the probe.
        result: WorkResult,
    },
    /// The result of a request.
    Work {
        /// The back end that received the request.
        backend: BackendId,
        /// Incarnation that the request was sent to.
        incarnation: Incarnation,
        /// Result of the request.
        result: WorkResult,
    },
    /// Time passed; expected several times per second.
    Tick,
}

/// Output of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryOutput {
    /// A back end changed its state; also reported as a decision event.
    Changed(StateChange),
    /// Send a health probe to this back end now.
    Probe {
        /// The back end to probe.
        backend: BackendId,
        /// Its address, as `IP:port`.
        address: String,
    },
}

/// The merged view of all back ends.
#[derive(Clone, Debug)]
pub struct Directory {
    settings: DirectorySettings,
    entries: BTreeMap<BackendId, Entry>,
    list: ListHistory,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            list: ListHistory::default(),
        }
    }

    /// Handles an input and returns the state changes and the probes to send.
    pub fn handle(&mut self, now: Timestamp, input: DirectoryInput) -> Vec<DirectoryOutput> {
        let mut outputs = Vec::new();
        match input {
            DirectoryInput::List(list) => self.merge_list(now, list, &mut outputs),
            DirectoryInput::Report(report) => self.merge_report(now, report, &mut outputs),
            DirectoryInput::Probe {
                backend,
                incarnation,
                result,
            } => self.merge_probe(now, backend, incarnation, result, &mut outputs),
            DirectoryInput::Work {
                backend,
                incarnation,
                result,
            } => self.merge_work(now, backend, incarnation, result, &mut outputs),
            DirectoryInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Returns every back end that is not gone.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.entries
            .values()
            .map(|entry| &entry.backend)
            .filter(|backend| backend.state != BackendState::Gone)
    }

    /// Returns a back end, even if it is gone.
    #[must_use]
    pub fn backend(&self, backend: BackendId) -> Option<&Backend> {
        self.entries.get(&backend).map(|entry| &entry.backend)
    }

    /// Returns the back ends of a service that accept new requests.
    pub fn in_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Backend> + 'a {
        self.backends()
            .filter(move |backend| backend.service == *service)
            .filter(|backend| backend.state.accepts_new_work())
    }

    fn merge_report(
        &mut self,
        now: Timestamp,
        report: BackendReport,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        // A report contains neither address nor zone, so an unlisted back end cannot be
        // used yet.
        let Some(entry) = self.entries.get_mut(&report.backend) else {
            return;
        };
        if !entry.admit_incarnation(now, report.incarnation, outputs) {
            return;
        }
        entry.last_contact = Some(now);
        if let Some(loaded) = report.loaded {
            entry.backend.loaded = loaded;
        }
        if report.leaving {
            entry.change(now, BackendState::Leaving, ChangeReason::Reported, outputs);
            return;
        }
        if !enabled(Mechanism::StickyLeaving) && entry.backend.state == BackendState::Leaving {
            entry.change(now, BackendState::Healthy, ChangeReason::Reported, outputs);
        }
        let becomes_healthy = matches!(
            entry.backend.state,
            BackendState::Unknown | BackendState::Gone
        );
        if becomes_healthy {
            entry.change(now, BackendState::Healthy, ChangeReason::Reported, outputs);
        }
    }

    fn merge_probe(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        incarnation: Option<Incarnation>,
        result: WorkResult,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let Some(entry) = self.entries.get_mut(&backend) else {
            return;
        };
        entry.health.probe_ended();
        let named = incarnation.unwrap_or(entry.backend.incarnation);
        if !entry.admit_incarnation(now, named, outputs) {
            return;
        }
        entry.observe(now, &self.settings, result, outputs);
    }

    fn merge_work(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        incarnation: Incarnation,
        result: WorkResult,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let Some(entry) = self.entries.get_mut(&backend) else {
            return;
        };
        // Results from an earlier incarnation do not apply to the current one, and a
        // result never announces a new incarnation: only the back end itself or the list
        // does.
        if entry.backend.incarnation != incarnation {
            return;
        }
        // The state of an ejected back end depends on its probes only; requests that were
        // in flight at the ejection must not prolong it.
        if entry.backend.state == BackendState::Ejected {
            return;
        }
        entry.observe(now, &self.settings, result, outputs);
    }

    fn tick(&mut self, now: Timestamp, outputs: &mut Vec<DirectoryOutput>) {
        for entry in self.entries.values_mut() {
            entry.tick(now, &self.settings, outputs);
        }
        self.eject_outliers(now, outputs);
        let forget_after = self.settings.forget_after;
        self.entries.retain(|_, entry| {
            let gone = entry.backend.state == BackendState::Gone;
            !gone || now.since(entry.backend.since) < forget_after
        });
    }

    /// Ejects latency outliers, up to the maximum share of the service.
    fn eject_outliers(&mut self, now: Timestamp, outputs: &mut Vec<DirectoryOutput>) {
        let outliers = health::find_outliers(&self.entries, &self.settings);
        for backend in outliers {
            if let Some(entry) = self.entries.get_mut(&backend) {
                entry.eject(now, &self.settings, ChangeReason::SlowAnswers, outputs);
            }
        }
    }
}

impl Entry {
    /// Whether an input for `incarnation` applies to the entry. A higher incarnation
    /// first resets the entry.
    fn admit_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        outputs: &mut Vec<DirectoryOutput>,
    ) -> bool {
        let current = self.backend.incarnation;
        if incarnation > current {
            self.restart(now, incarnation, outputs);
        }
        incarnation >= current || !enabled(Mechanism::IncarnationOrder)
    }

    /// Resets the entry for a new incarnation.
    fn restart(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        self.backend.incarnation = incarnation;
        self.backend.loaded = Loaded::default();
        self.health = Health::default();
        let from = self.backend.state;
        self.backend.state = BackendState::Unknown;
        self.backend.since = now;
        outputs.push(DirectoryOutput::Changed(StateChange {
            backend: self.backend.id,
            incarnation,
            from,
            to: BackendState::Unknown,
            reason: ChangeReason::NewIncarnation,
        }));
    }
}
