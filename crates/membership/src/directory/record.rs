//! The entry of one back end and its state transitions.

use derive_more::Display;
use molespan_engine_api::{Machine, MachineKind};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Incarnation, ServiceName, Timestamp, ZoneName};

use super::health::Health;
use super::{DirectoryOutput, DirectorySettings, Loaded, WorkResult};

/// State of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum BackendState {
    /// Listed, but has not responded yet; receives no requests.
    #[display("unknown")]
    Unknown,
    /// In service.
    #[display("healthy")]
    Healthy,
    /// Failed recently, or was ejected and is being tried again; used only after the
    /// healthy back ends.
    #[display("suspect")]
    Suspect,
    /// Failed repeatedly; receives only probes.
    #[display("ejected")]
    Ejected,
    /// Finishes the requests in flight. Final for this incarnation.
    #[display("leaving")]
    Leaving,
    /// No longer exists.
    #[display("gone")]
    Gone,
}

impl BackendState {
    /// Whether the back end may receive new requests.
    #[must_use]
    pub fn accepts_new_work(self) -> bool {
        matches!(self, BackendState::Healthy | BackendState::Suspect)
    }
}

/// Reason for a change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ChangeReason {
    /// The platform list reports the state.
    #[display("listed")]
    Listed,
    /// The back end is missing from the list and silent.
    #[display("missing from the list")]
    Missing,
    /// The back end itself reported the state.
    #[display("reported")]
    Reported,
    /// A new incarnation appeared.
    #[display("new incarnation")]
    NewIncarnation,
    /// The back end responded.
    #[display("answered")]
    Answered,
    /// A request or probe failed.
    #[display("failed")]
    Failed,
    /// The number of consecutive failures reached the limit.
    #[display("failed repeatedly")]
    RepeatedFailures,
    /// The back end responds much more slowly than its peers.
    #[display("slow answers")]
    SlowAnswers,
}

/// A change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Identifier of the back end.
    pub backend: BackendId,
    /// Incarnation of the back end.
    pub incarnation: Incarnation,
    /// Previous state.
    pub from: BackendState,
    /// New state.
    pub to: BackendState,
    /// Reason for the change.
    pub reason: ChangeReason,
}

/// Merged information about one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Identifier of the back end.
    pub id: BackendId,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// Kind of machine.
    pub kind: MachineKind,
    /// Address of its HTTP interface, as `IP:port`.
    pub address: String,
    /// Zone of the back end.
    pub zone: ZoneName,
    /// Service that it is assigned to.
    pub service: ServiceName,
    /// Current state.
    pub state: BackendState,
    /// When the current state began.
    pub since: Timestamp,
    /// Models, adapters and role that it last reported.
    pub loaded: Loaded,
}

/// A back end with the internal state of the directory.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) backend: Backend,
    pub(super) health: Health,
    /// When it last responded or sent a report.
    pub(super) last_contact: Option<Timestamp>,
    /// Since when it has been missing from current lists.
    pub(super) missing_since: Option<Timestamp>,
    /// Revision of the list that provided its address.
    pub(super) revision: u64,
}

impl Entry {
    pub(super) fn new(now: Timestamp, machine: &Machine, revision: u64) -> Self {
        Self {
            backend: Backend {
                id: machine.id,
                incarnation: machine.incarnation,
                kind: machine.kind,
                address: machine.address.clone(),
                zone: machine.zone.clone(),
                service: machine.service.clone(),
                state: BackendState::Unknown,
                since: now,
                loaded: Loaded::default(),
            },
            health: Health::default(),
            last_contact: None,
            missing_since: None,
            revision,
        }
    }

    /// Changes the state to `to`, unless that would undo leaving.
    pub(super) fn change(
        &mut self,
        now: Timestamp,
        to: BackendState,
        reason: ChangeReason,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let from = self.backend.state;
        // Within an incarnation, a leaving back end can only become gone, and one that
        // was leaving before it was gone stays out of service; see `was_leaving`.
        let undoes_leaving = self.health.was_leaving && to.accepts_new_work();
        if from == to || (undoes_leaving && enabled(Mechanism::StickyLeaving)) {
            return;
        }
        self.health.was_leaving |= to == BackendState::Leaving;
        self.backend.state = to;
        self.backend.since = now;
        outputs.push(DirectoryOutput::Changed(StateChange {
            backend: self.backend.id,
            incarnation: self.backend.incarnation,
            from,
            to,
            reason,
        }));
    }

    /// Applies the result of a probe or request.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        result: WorkResult,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        match result {
            WorkResult::Answered(latency) => {
                self.last_contact = Some(now);
                self.health.record_success(latency);
                self.on_success(now, settings, outputs);
            }
            WorkResult::Failed => {
                self.health.record_failure();
                self.on_failure(now, settings, outputs);
            }
        }
    }

    fn on_success(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let recovered = self.health.successes >= settings.successes_to_recover;
        let to = match self.backend.state {
            BackendState::Unknown | BackendState::Gone => BackendState::Healthy,
            // Half-open: one success admits requests again, further ones make it healthy.
            BackendState::Ejected => BackendState::Suspect,
            BackendState::Suspect if recovered => BackendState::Healthy,
            _ => return,
        };
        self.change(now, to, ChangeReason::Answered, outputs);
    }

    fn on_failure(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        match self.backend.state {
            BackendState::Healthy | BackendState::Suspect => {
                if self.health.must_eject(settings) {
                    self.eject(now, settings, ChangeReason::RepeatedFailures, outputs);
                } else {
                    self.change(now, BackendState::Suspect, ChangeReason::Failed, outputs);
                }
            }
            BackendState::Ejected => self.health.back_off(now, settings),
            BackendState::Unknown | BackendState::Leaving | BackendState::Gone => {}
        }
    }

    /// Stops sending requests to the back end and schedules the first probe.
    pub(super) fn eject(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        reason: ChangeReason,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        self.health.back_off(now, settings);
        self.change(now, BackendState::Ejected, reason, outputs);
    }

    /// Sends due probes, forgets old ejections and detects that the back end is gone.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let state = self.backend.state;
        let healthy_for = now.since(self.backend.since);
        if state == BackendState::Healthy && healthy_for >= settings.ejection_memory {
            self.health.forget_ejections();
        }
        if self.is_gone(now, settings) {
            self.change(now, BackendState::Gone, ChangeReason::Missing, outputs);
            return;
        }
        if self.health.probe_due(now, state, settings) {
            outputs.push(DirectoryOutput::Probe {
                backend: self.backend.id,
                address: self.backend.address.clone(),
            });
        }
    }

    /// Whether the back end is missing from the list and has been silent too long to be a
    /// machine that a lagging list does not contain yet.
    fn is_gone(&self, now: Timestamp, settings: &DirectorySettings) -> bool {
        let missing_for = |since: &Timestamp| now.since(*since) >= settings.gone_after;
        let silent = self
            .last_contact
            .is_none_or(|contact| now.since(contact) >= settings.gone_after);
        self.missing_since.as_ref().is_some_and(missing_for) && silent
    }
}
