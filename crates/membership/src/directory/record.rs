//! The view of one back end and the rules by which its state changes.

use derive_more::Display;
use molespan_engine_api::{Machine, MachineKind};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Incarnation, ServiceName, Timestamp, ZoneName};

use super::health::Health;
use super::{DirectoryOutput, DirectorySettings, Loaded, WorkResult};

/// Where a back end stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum BackendState {
    /// Listed, but nothing was heard from it; gets no work yet.
    #[display("unknown")]
    Unknown,
    /// In service.
    #[display("healthy")]
    Healthy,
    /// It failed lately, or is back on trial; used after the healthy ones.
    #[display("suspect")]
    Suspect,
    /// It failed repeatedly; only probes are sent.
    #[display("ejected")]
    Ejected,
    /// It finishes what runs. Final for this incarnation.
    #[display("leaving")]
    Leaving,
    /// It is no longer there.
    #[display("gone")]
    Gone,
}

impl BackendState {
    /// Whether new work may be sent there.
    #[must_use]
    pub fn accepts_new_work(self) -> bool {
        matches!(self, BackendState::Healthy | BackendState::Suspect)
    }
}

/// Why a back end changed its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ChangeReason {
    /// The platform list says so.
    #[display("listed")]
    Listed,
    /// It is missing from the list and was not heard from.
    #[display("missing from the list")]
    Missing,
    /// Its own report says so.
    #[display("reported")]
    Reported,
    /// A new life of it appeared.
    #[display("new incarnation")]
    NewIncarnation,
    /// It answered.
    #[display("answered")]
    Answered,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It failed as often in a row as is allowed.
    #[display("failed repeatedly")]
    RepeatedFailures,
    /// It answers far slower than its peers.
    #[display("slow answers")]
    SlowAnswers,
}

/// A change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Back end.
    pub backend: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
    /// State before.
    pub from: BackendState,
    /// State after.
    pub to: BackendState,
    /// Why.
    pub reason: ChangeReason,
}

/// The merged view of one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its number.
    pub id: BackendId,
    /// Its latest life.
    pub incarnation: Incarnation,
    /// What it runs.
    pub kind: MachineKind,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Where it stands.
    pub zone: ZoneName,
    /// Service that it is meant for.
    pub service: ServiceName,
    /// State.
    pub state: BackendState,
    /// When that state began.
    pub since: Timestamp,
    /// Models, adapters and role, as it last reported.
    pub loaded: Loaded,
}

/// A back end and what only the directory needs to know.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) backend: Backend,
    pub(super) health: Health,
    /// When it last answered or reported by itself.
    pub(super) last_contact: Option<Timestamp>,
    /// When a current list first missed it.
    pub(super) missing_since: Option<Timestamp>,
    /// Revision of the list that its address was taken from.
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

    /// Moves to `to`, unless that would undo leaving.
    pub(super) fn change(
        &mut self,
        now: Timestamp,
        to: BackendState,
        reason: ChangeReason,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let from = self.backend.state;
        // Within an incarnation, the only way on from leaving is gone; and a
        // gone back end that was leaving stays out, see `was_leaving`.
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

    /// Takes the result of a probe or of work into account.
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
                self.health.answered(latency);
                self.answered(now, settings, outputs);
            }
            WorkResult::Failed => {
                self.health.failed();
                self.failed(now, settings, outputs);
            }
        }
    }

    fn answered(
        &mut self,
        now: Timestamp,
        settings: &DirectorySettings,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let healed = self.health.successes >= settings.successes_to_heal;
        let to = match self.backend.state {
            BackendState::Unknown | BackendState::Gone => BackendState::Healthy,
            // Half-open: one answer lets work in again, more make it healthy.
            BackendState::Ejected => BackendState::Suspect,
            BackendState::Suspect if healed => BackendState::Healthy,
            _ => return,
        };
        self.change(now, to, ChangeReason::Answered, outputs);
    }

    fn failed(
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

    /// Stops sending work and schedules the first probe.
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

    /// Sends due probes, forgets old ejections and notices that it is gone.
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

    /// Missing from the list, and silent for long enough not to be a machine
    /// that an older list does not know yet.
    fn is_gone(&self, now: Timestamp, settings: &DirectorySettings) -> bool {
        let missing_for = |since: &Timestamp| now.since(*since) >= settings.gone_after;
        let silent = self
            .last_contact
            .is_none_or(|contact| now.since(contact) >= settings.gone_after);
        self.missing_since.as_ref().is_some_and(missing_for) && silent
    }
}
