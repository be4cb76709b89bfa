//! One view per back end, by incarnation.
//!
//! Three sources are merged. The platform list says which machines exist, but
//! it lags and may go back in time. A back end's own report is newer and names
//! its incarnation. Probes and the results of real work say whether it answers.
//!
//! Invariants, for each back end:
//! - the incarnation in the view never falls;
//! - within one incarnation, leaving is final;
//! - a report of a lower incarnation changes nothing.

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

/// Bounds of the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// Failures in a row that eject a back end.
    pub failures_to_eject: u32,
    /// Successes in a row that bring a suspect back to healthy.
    pub successes_to_heal: u32,
    /// Time from ejection to the first probe; doubles with each further one.
    pub first_probe_delay: Duration,
    /// Longest time between probes.
    pub longest_probe_delay: Duration,
    /// Time between probes of a back end that nothing was heard from yet.
    pub discovery_interval: Duration,
    /// Healthy time after which earlier ejections are forgotten.
    pub ejection_memory: Duration,
    /// A latency this many times the median of its service is an outlier.
    pub outlier_factor: f64,
    /// Largest share of a service's back ends ejected as latency outliers.
    pub largest_outlier_share: f64,
    /// Time since the last contact after which a back end that is missing from
    /// the list is gone.
    pub gone_after: Duration,
    /// Time for which a gone back end's incarnation is remembered.
    pub forget_after: Duration,
    /// Time for which only lower revisions must arrive until they are believed.
    pub list_restart_after: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            failures_to_eject: 3,
            successes_to_heal: 2,
            first_probe_delay: Duration::from_millis(250),
            longest_probe_delay: Duration::from_secs(16),
            discovery_interval: Duration::from_millis(500),
            ejection_memory: Duration::from_secs(60),
            outlier_factor: 4.0,
            largest_outlier_share: 0.3,
            gone_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(3_600),
            list_restart_after: Duration::from_secs(60),
        }
    }
}

/// What a back end says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// Who reports.
    pub backend: BackendId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Whether it was told to leave.
    pub leaving: bool,
    /// Models, adapters and role; `None` when the source does not carry them.
    pub loaded: Option<Loaded>,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Models ready.
    pub models: Vec<String>,
    /// Adapters ready.
    pub adapters: Vec<String>,
    /// Role in force.
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

/// How a probe or a piece of real work ended, seen as a sign of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkResult {
    /// It answered, after this long for the first byte.
    Answered(Duration),
    /// It could not be reached, broke off, or failed by its own fault.
    Failed,
}

/// An input of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryInput {
    /// The platform list.
    List(MachineList),
    /// A back end's own report, direct or passed on by its batch owner.
    Report(BackendReport),
    /// The result of a probe that [`DirectoryOutput::Probe`] asked for. The
    /// incarnation is the one that the answer named.
    Probe {
        /// Back end.
        backend: BackendId,
        /// Incarnation that answered, if it said so.
        incarnation: Option<Incarnation>,
        /// How it went.
        result: WorkResult,
    },
    /// The result of real work.
    Work {
        /// Back end.
        backend: BackendId,
        /// Life that the work was sent to.
        incarnation: Incarnation,
        /// How it went.
        result: WorkResult,
    },
    /// Time passed; send one a few times a second.
    Tick,
}

/// An output of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryOutput {
    /// A back end changed its state; also a decision event.
    Changed(StateChange),
    /// Ask this back end for its health now.
    Probe {
        /// Back end.
        backend: BackendId,
        /// Its address, `IP:port`.
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
    /// An empty directory.
    #[must_use]
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            list: ListHistory::default(),
        }
    }

    /// Takes one input and says what changed and whom to probe.
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

    /// Every back end that is not gone.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.entries
            .values()
            .map(|entry| &entry.backend)
            .filter(|backend| backend.state != BackendState::Gone)
    }

    /// One back end, also when it is gone.
    #[must_use]
    pub fn backend(&self, backend: BackendId) -> Option<&Backend> {
        self.entries.get(&backend).map(|entry| &entry.backend)
    }

    /// Back ends of a service that may get new work.
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
        // A report names neither address nor zone, so an unlisted back end
        // cannot be used yet.
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
        let back = matches!(
            entry.backend.state,
            BackendState::Unknown | BackendState::Gone
        );
        if back {
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
        // Work of an earlier life says nothing about this one, and work never
        // announces a new life: only the back end itself or the list does.
        if entry.backend.incarnation != incarnation {
            return;
        }
        // An ejected back end is judged by its probes alone; what was in
        // flight at the ejection must not lengthen it.
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

    /// Ejects back ends whose latency stands out, up to a share of the service.
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
    /// Whether news of `incarnation` concern the life in the view, after
    /// starting anew for a higher one.
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

    /// Starts the view of a new life.
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
